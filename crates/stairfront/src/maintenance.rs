//! `stairfront maintenance`: submits and changes plans of maintenance, and shows them.
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stairfront_balancer::control::maintenance::admin::{CommittedCommand, DryRun, PublishedView};
use tokio::time::sleep;

use crate::admin_client::{self, percent_encode, AdminResponse};
use crate::arguments::{MaintenanceArguments, MaintenanceCommand};
use crate::{invalid_input, maintenance_table};

const WATCH_INTERVAL: Duration = Duration::from_secs(1);
/// Largest plan that is read; it holds some names.
const MAX_PLAN_BYTES: u64 = 4096;
const PLANS_PATH: &str = "/admin/maintenance";
const DRY_RUN_PATH: &str = "/admin/maintenance/dry-run";
const STANDARD_INPUT: &str = "-";
const DEFAULT_AUTHOR: &str = "operator";

/// Carries out a subcommand of `stairfront maintenance`.
pub fn maintenance(arguments: &MaintenanceArguments) -> ExitCode {
    let runtime = match admin_client::runtime() {
        Ok(runtime) => runtime,
        Err(error) => return invalid_input(&error),
    };
    match runtime.block_on(Client::new(arguments).run(&arguments.command)) {
        Ok(code) => code,
        // The reader of the output has ended.
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => invalid_input(&format!("{}: {error}", arguments.ops)),
    }
}

/// One use of the admin API.
struct Client {
    address: SocketAddr,
    json: bool,
    author: String,
}

impl Client {
    fn new(arguments: &MaintenanceArguments) -> Self {
        let author = arguments.author.clone();
        let author = author.or_else(|| std::env::var("USER").ok());
        Client {
            address: arguments.ops,
            json: arguments.json,
            author: author.unwrap_or_else(|| DEFAULT_AUTHOR.to_string()),
        }
    }

    async fn run(&self, command: &MaintenanceCommand) -> io::Result<ExitCode> {
        match command {
            MaintenanceCommand::Show => self.show().await.map(|()| ExitCode::SUCCESS),
            MaintenanceCommand::Watch => self.watch().await,
            MaintenanceCommand::Plan {
                file,
                dry_run: false,
            } => self.submit(file).await,
            MaintenanceCommand::Plan {
                file,
                dry_run: true,
            } => self.dry_run(file).await,
            MaintenanceCommand::Done { plan, machine } => {
                self.change("done", *plan, &[("machine", machine)]).await
            }
            MaintenanceCommand::Skip { plan, machine } => {
                self.change("skip", *plan, &[("machine", machine)]).await
            }
            MaintenanceCommand::Hold { plan, why } => {
                self.change("hold", *plan, &[("why", why)]).await
            }
            MaintenanceCommand::Resume { plan } => self.change("resume", *plan, &[]).await,
            MaintenanceCommand::Drop { plan } => self.change("drop", *plan, &[]).await,
            MaintenanceCommand::Force {
                plan,
                machine,
                member,
            } => {
                let parameters = [("machine", machine.as_str()), ("member", member.as_str())];
                self.change("force", *plan, &parameters).await
            }
        }
    }

    async fn call(
        &self,
        method: &'static str,
        target: &str,
        body: Option<Vec<u8>>,
    ) -> io::Result<AdminResponse> {
        admin_client::call(self.address, method, target, body).await
    }

    async fn change(
        &self,
        verb: &str,
        plan: u64,
        parameters: &[(&str, &str)],
    ) -> io::Result<ExitCode> {
        let author = percent_encode(&self.author);
        let mut target = format!("{PLANS_PATH}/{verb}?plan={plan}&author={author}");
        for (name, value) in parameters {
            target += &format!("&{name}={}", percent_encode(value));
        }
        let response = self.call("POST", &target, None).await?;
        self.print_committed(&response)
    }

    async fn submit(&self, file: &Path) -> io::Result<ExitCode> {
        let plan = self.read_plan(file)?;
        let response = self.call("POST", PLANS_PATH, Some(plan)).await?;
        self.print_committed(&response)
    }

    async fn dry_run(&self, file: &Path) -> io::Result<ExitCode> {
        let plan = self.read_plan(file)?;
        let response = self.call("POST", DRY_RUN_PATH, Some(plan)).await?;
        if !response.is_ok() || self.json {
            return print_response(&response);
        }
        let DryRun {
            order,
            rounds,
            max_seconds,
        } = response.json()?;
        let mut out = io::stdout().lock();
        for (at, machine) in order.iter().enumerate() {
            writeln!(out, "{:4}  {machine}", at + 1)?;
        }
        writeln!(
            out,
            "{rounds} rounds; each step is called late after its time, all of them after {max_seconds} s"
        )?;
        Ok(ExitCode::SUCCESS)
    }

    /// The plan of a file, with the author where it names none.
    fn read_plan(&self, file: &Path) -> io::Result<Vec<u8>> {
        let mut text = String::new();
        if file.as_os_str() == STANDARD_INPUT {
            io::stdin().take(MAX_PLAN_BYTES).read_to_string(&mut text)?;
        } else {
            File::open(file)?
                .take(MAX_PLAN_BYTES)
                .read_to_string(&mut text)?;
        }
        let mut plan: serde_json::Value = serde_json::from_str(&text).map_err(io::Error::other)?;
        if let Some(keys) = plan.as_object_mut() {
            keys.entry("author")
                .or_insert_with(|| self.author.as_str().into());
        }
        Ok(plan.to_string().into_bytes())
    }

    async fn watch(&self) -> io::Result<ExitCode> {
        loop {
            match self.show().await {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return Err(error),
                Err(error) => eprintln!("{}: {error}", self.address),
            }
            sleep(WATCH_INTERVAL).await;
        }
    }

    async fn show(&self) -> io::Result<()> {
        let response = self.call("GET", PLANS_PATH, None).await?;
        if !response.is_ok() {
            return Err(response.error());
        }
        let mut out = io::stdout().lock();
        if self.json {
            writeln!(out, "{}", response.text())?;
        } else {
            let view: PublishedView = response.json()?;
            write!(out, "{}", maintenance_table::table(&view, unix_ms()))?;
        }
        out.flush()
    }

    fn print_committed(&self, response: &AdminResponse) -> io::Result<ExitCode> {
        if !response.is_ok() || self.json {
            return print_response(response);
        }
        let CommittedCommand {
            via,
            leader,
            index,
            term,
        } = response.json()?;
        let leader = leader.unwrap_or_else(|| "nobody by now".to_string());
        writeln!(
            io::stdout().lock(),
            "settled as entry {index} of term {term}, by way of {via}; {leader} leads"
        )?;
        Ok(ExitCode::SUCCESS)
    }
}

fn print_response(response: &AdminResponse) -> io::Result<ExitCode> {
    if response.is_ok() {
        writeln!(io::stdout().lock(), "{}", response.text())?;
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("{}", response.text());
    Ok(ExitCode::FAILURE)
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
