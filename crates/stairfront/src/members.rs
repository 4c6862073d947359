//! `stairfront members`: the group as one of its balancers sees it, as a table.
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use stairfront_membership_agent::{QuorumStatus, Report};
use tokio::time::sleep;

use crate::arguments::MembersArguments;
use crate::{admin_client, invalid_input};

const WATCH_INTERVAL: Duration = Duration::from_secs(1);
const MEMBERS_PATH: &str = "/admin/members";

/// Prints the group once, or each second until the reader or an operator ends it.
pub fn members(arguments: &MembersArguments) -> ExitCode {
    let runtime = match admin_client::runtime() {
        Ok(runtime) => runtime,
        Err(error) => return invalid_input(&error),
    };
    if arguments.watch {
        runtime.block_on(watch(arguments))
    } else {
        runtime.block_on(show_once(arguments))
    }
}

async fn show_once(arguments: &MembersArguments) -> ExitCode {
    match show(arguments).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => invalid_input(&format!("{}: {error}", arguments.ops)),
    }
}

async fn watch(arguments: &MembersArguments) -> ExitCode {
    loop {
        match show(arguments).await {
            Ok(_) => {}
            // The reader of the output has ended.
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => return ExitCode::SUCCESS,
            Err(error) => eprintln!("{}: {error}", arguments.ops),
        }
        sleep(WATCH_INTERVAL).await;
    }
}

/// Prints the group; true if it is complete and needs no attention.
async fn show(arguments: &MembersArguments) -> io::Result<bool> {
    let report = fetch(arguments.ops).await?;
    let mut out = io::stdout().lock();
    if arguments.json {
        writeln!(out, "{}", serde_json::to_string(&report)?)?;
    } else {
        write!(out, "{}", table(&report))?;
    }
    out.flush()?;
    let agrees = report.roster_differs.is_empty() && !report.name_conflict;
    Ok(agrees && report.quorum == QuorumStatus::Whole)
}

async fn fetch(address: SocketAddr) -> io::Result<Report> {
    admin_client::call(address, "GET", MEMBERS_PATH, None)
        .await?
        .json()
}

fn table(report: &Report) -> String {
    let mut text = format!(
        "{} of group {}: {} for {}, digest {}\n",
        report.name,
        report.group,
        report.quorum.as_str(),
        seconds(report.quorum_since_ms),
        report.digest
    );
    if report.name_conflict {
        text += "another living process has this one's name\n";
    }
    if !report.roster_differs.is_empty() {
        text += &format!("another roster at: {}\n", report.roster_differs.join(", "));
    }
    if report.divergence_ms > 0 {
        let divergence = seconds(report.divergence_ms);
        text += &format!("somebody has seen the group otherwise for {divergence}\n");
    }
    if !report.cordons.is_empty() {
        text += &format!("out for the group: {}\n", report.cordons.join(", "));
    }
    text += &row("member", "address", "state", "incarnation", "since");
    for member in &report.members {
        let address = member.address.map(|address| address.to_string());
        text += &row(
            &member.name,
            address.as_deref().unwrap_or("never heard of"),
            member.state.as_str(),
            &member.incarnation.to_string(),
            &seconds(member.since_ms),
        );
    }
    text
}

fn row(member: &str, address: &str, state: &str, incarnation: &str, since: &str) -> String {
    format!("{member:20}{address:24}{state:10}{incarnation:>16}{since:>12}\n")
}

fn seconds(ms: u64) -> String {
    format!("{:.1} s", ms as f64 / 1e3)
}
