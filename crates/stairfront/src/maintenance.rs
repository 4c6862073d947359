//! Plans of maintenance, for a person: what is agreed at the operators' door, said and shown.
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use stairfront_balancer::control::maintenance::admin::{CommittedCommand, DryRun, PublishedView};
use tokio::time::sleep;

use crate::command_line::{MaintenanceArguments, MaintenanceCommand};
use crate::{door, FAULTY};

const WATCH_EVERY: Duration = Duration::from_secs(1);
/// A plan is some names.
const LARGEST_PLAN: u64 = 4096;
const PATH: &str = "/admin/maintenance";

pub fn maintenance(arguments: &MaintenanceArguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(problem) => return failed(&problem.to_string()),
    };
    match runtime.block_on(carry_out(arguments)) {
        Ok(code) => code,
        Err(problem) if problem.kind() == io::ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(problem) => failed(&format!("{}: {problem}", arguments.ops)),
    }
}

fn failed(problem: &str) -> ExitCode {
    eprintln!("{problem}");
    ExitCode::from(FAULTY)
}

async fn carry_out(arguments: &MaintenanceArguments) -> io::Result<ExitCode> {
    let MaintenanceArguments {
        ops,
        json,
        author,
        command,
    } = arguments;
    let author = author
        .clone()
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "operator".to_string());
    let act = |verb: &str, plan: &u64, more: &[(&str, &str)]| {
        let mut target = format!("{PATH}/{verb}?plan={plan}&author={}", escaped(&author));
        more.iter()
            .for_each(|(key, value)| target += &format!("&{key}={}", escaped(value)));
        target
    };
    let target = match command {
        MaintenanceCommand::Show => {
            show(*ops, *json).await?;
            return Ok(ExitCode::SUCCESS);
        }
        MaintenanceCommand::Watch => loop {
            if let Err(problem) = show(*ops, *json).await {
                if problem.kind() == io::ErrorKind::BrokenPipe {
                    return Err(problem);
                }
                eprintln!("{ops}: {problem}");
            }
            sleep(WATCH_EVERY).await;
        },
        MaintenanceCommand::Plan { file, dry_run } => {
            return plan(*ops, file, *dry_run, &author, *json).await
        }
        MaintenanceCommand::Done { plan, machine } => act("done", plan, &[("machine", machine)]),
        MaintenanceCommand::Skip { plan, machine } => act("skip", plan, &[("machine", machine)]),
        MaintenanceCommand::Hold { plan, why } => act("hold", plan, &[("why", why)]),
        MaintenanceCommand::Resume { plan } => act("resume", plan, &[]),
        MaintenanceCommand::Drop { plan } => act("drop", plan, &[]),
        MaintenanceCommand::Force {
            plan,
            machine,
            member,
        } => act("force", plan, &[("machine", machine), ("member", member)]),
    };
    settled(door::call(*ops, "POST", &target, None).await?, *json)
}

async fn plan(
    ops: SocketAddr,
    file: &std::path::Path,
    dry_run: bool,
    author: &str,
    json: bool,
) -> io::Result<ExitCode> {
    let mut text = String::new();
    match file.to_str() {
        Some("-") => io::stdin().take(LARGEST_PLAN).read_to_string(&mut text)?,
        _ => std::fs::File::open(file)?
            .take(LARGEST_PLAN)
            .read_to_string(&mut text)?,
    };
    let mut plan: serde_json::Value = serde_json::from_str(&text).map_err(io::Error::other)?;
    if let Some(keys) = plan.as_object_mut() {
        keys.entry("author").or_insert_with(|| author.into());
    }
    let body = Some(plan.to_string().into_bytes());
    if !dry_run {
        return settled(door::call(ops, "POST", PATH, body).await?, json);
    }
    let (status, answer) = door::call(ops, "POST", &format!("{PATH}/dry-run"), body).await?;
    if status != 200 || json {
        return said(status, &answer);
    }
    let DryRun {
        order,
        rounds,
        max_seconds: at_most_s,
    } = serde_json::from_slice(&answer).map_err(io::Error::other)?;
    let mut out = io::stdout().lock();
    for (at, machine) in order.iter().enumerate() {
        writeln!(out, "{:4}  {machine}", at + 1)?;
    }
    writeln!(
        out,
        "{rounds} rounds; each step is called late after its time, all of them after {at_most_s} s"
    )?;
    Ok(ExitCode::SUCCESS)
}

fn settled((status, answer): (u16, bytes::Bytes), json: bool) -> io::Result<ExitCode> {
    if status != 200 || json {
        return said(status, &answer);
    }
    let CommittedCommand {
        via,
        leader,
        index,
        term,
    } = serde_json::from_slice(&answer).map_err(io::Error::other)?;
    let leader = leader.unwrap_or_else(|| "nobody by now".to_string());
    writeln!(
        io::stdout().lock(),
        "settled as entry {index} of term {term}, by way of {via}; {leader} leads"
    )?;
    Ok(ExitCode::SUCCESS)
}

fn said(status: u16, answer: &[u8]) -> io::Result<ExitCode> {
    let text = String::from_utf8_lossy(answer).trim().to_string();
    if status == 200 {
        writeln!(io::stdout().lock(), "{text}")?;
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("{text}");
    Ok(ExitCode::FAILURE)
}

/// For a query: all but letters and digits by their bytes.
fn escaped(text: &str) -> String {
    text.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' => {
                (byte as char).to_string()
            }
            other => format!("%{other:02X}"),
        })
        .collect()
}

async fn show(ops: SocketAddr, json: bool) -> io::Result<()> {
    let (status, answer) = door::call(ops, "GET", PATH, None).await?;
    if status != 200 {
        let text = String::from_utf8_lossy(&answer);
        return Err(io::Error::other(format!(
            "status {status}: {}",
            text.trim()
        )));
    }
    let mut out = io::stdout().lock();
    if json {
        writeln!(out, "{}", String::from_utf8_lossy(&answer).trim())?;
        return out.flush();
    }
    let shown: PublishedView = serde_json::from_slice(&answer).map_err(io::Error::other)?;
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64;
    write!(out, "{}", table(&shown, now_ms))?;
    out.flush()
}

/// Each machine's step, since when, and why it waits.
pub fn table(shown: &PublishedView, now_ms: u64) -> String {
    let PublishedView {
        balancer: me,
        agreement,
        view,
        blocked: waits,
    } = shown;
    let leader = agreement.leader.as_deref().unwrap_or("nobody");
    let mut text = format!(
        "{me} {}; {leader} leads in term {}, settled up to {}; voters {}\n",
        agreement.role,
        agreement.term,
        agreement.committed,
        agreement.voters.join(", ")
    );
    if !agreement.missing_voters.is_empty() {
        text += &format!(
            "not among the voters yet, or any more: {}\n",
            agreement.missing_voters.join(", ")
        );
    }
    if let Some(trouble) = &view.fault {
        text += &format!("nothing further is taken out: {trouble}\n");
    }
    for plan in &view.plans {
        text += &format!("\nplan {} by {}: {}", plan.plan, plan.author, plan.reason);
        text += if plan.dropped { " (dropped)" } else { "" };
        text += &plan
            .held
            .as_ref()
            .map_or(String::new(), |why| format!(" (held: {why})"));
        text += &format!(
            "\n{:24}{:10}{:10}{:>10}  waits for\n",
            "machine", "kind", "stage", "since"
        );
        for row in &plan.machines {
            let why = waits
                .iter()
                .find(|waits| waits.plan == plan.plan && waits.machine == row.machine);
            let since = now_ms.saturating_sub(row.since_ms) / 1000;
            let forced = match row.forced.is_empty() {
                true => String::new(),
                false => format!(" (past {})", row.forced.join(", ")),
            };
            text += &format!(
                "{:24}{:10}{:10}{:>8} s  {}{forced}\n",
                row.machine,
                row.kind,
                row.stage.as_str(),
                since,
                why.map_or("", |waits| waits.reason.as_str())
            );
        }
    }
    text
}
