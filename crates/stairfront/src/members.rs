//! Who is there of a balancer's group, for a person: what `GET /admin/members` says, as a table.
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use stairfront_membership_agent::Report;
use tokio::time::sleep;

use crate::command_line::MembersArguments;
use crate::{door, FAULTY};

const WATCH_EVERY: Duration = Duration::from_secs(1);

pub fn members(arguments: &MembersArguments) -> ExitCode {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(problem) => return failed(&problem.to_string()),
    };
    runtime.block_on(async {
        loop {
            let told = ask(arguments.ops)
                .await
                .and_then(|report| tell(&report, arguments.json));
            match (told, arguments.watch) {
                (Ok(whole), false) => {
                    return if whole {
                        ExitCode::SUCCESS
                    } else {
                        ExitCode::FAILURE
                    }
                }
                (Err(problem), false) => return failed(&format!("{}: {problem}", arguments.ops)),
                // Whoever reads it no more has seen enough.
                (Err(problem), true) if problem.kind() == io::ErrorKind::BrokenPipe => {
                    return ExitCode::SUCCESS
                }
                (Err(problem), true) => eprintln!("{}: {problem}", arguments.ops),
                (Ok(_), true) => {}
            }
            sleep(WATCH_EVERY).await;
        }
    })
}

fn failed(problem: &str) -> ExitCode {
    eprintln!("{problem}");
    ExitCode::from(FAULTY)
}

async fn ask(ops: SocketAddr) -> io::Result<Report> {
    let (status, body) = door::call(ops, "GET", "/admin/members", None).await?;
    match status {
        200 => serde_json::from_slice(&body).map_err(io::Error::other),
        _ => Err(io::Error::other(format!(
            "status {status}: {}",
            String::from_utf8_lossy(&body).trim()
        ))),
    }
}

/// True if there is nothing to look after.
fn tell(report: &Report, as_json: bool) -> io::Result<bool> {
    let mut out = io::stdout().lock();
    if as_json {
        writeln!(out, "{}", serde_json::to_string(report)?)?;
    } else {
        write!(out, "{}", table(report))?;
    }
    out.flush()?;
    let quiet = report.roster_differs.is_empty() && !report.name_conflict;
    Ok(quiet && report.quorum == stairfront_membership_agent::QuorumStatus::Whole)
}

pub fn table(report: &Report) -> String {
    let seconds = |ms: u64| format!("{:.1} s", ms as f64 / 1e3);
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
        text += &format!(
            "somebody has seen the group otherwise for {}\n",
            seconds(report.divergence_ms)
        );
    }
    if !report.cordons.is_empty() {
        text += &format!("out for the group: {}\n", report.cordons.join(", "));
    }
    text += &format!(
        "{:20}{:24}{:10}{:>16}{:>12}\n",
        "member", "address", "state", "incarnation", "since"
    );
    for member in &report.members {
        let address = member
            .address
            .map_or("never heard of".to_string(), |address| address.to_string());
        text += &format!(
            "{:20}{:24}{:10}{:>16}{:>12}\n",
            member.name,
            address,
            member.state.as_str(),
            member.incarnation,
            seconds(member.since_ms)
        );
    }
    text
}
