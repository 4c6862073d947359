//! Plans of maintenance as a table: each machine's stage, since when, and why it is blocked.
use stairfront_balancer::control::maintenance::admin::PublishedView;
use stairfront_maintenance::{BlockedMachine, MachineView, PlanView};

/// The table of all plans. `now_ms` is the time in ms since 1970.
pub fn table(published: &PublishedView, now_ms: u64) -> String {
    let mut text = heading(published);
    for plan in &published.view.plans {
        text += &plan_heading(plan);
        for machine in &plan.machines {
            let is_blocked = |blocked: &&BlockedMachine| {
                blocked.plan == plan.plan && blocked.machine == machine.machine
            };
            let blocked = published.blocked.iter().find(is_blocked);
            text += &row(machine, blocked, now_ms);
        }
    }
    text
}

fn heading(published: &PublishedView) -> String {
    let agreement = &published.agreement;
    let mut text = format!(
        "{} {}; {} leads in term {}, settled up to {}; voters {}\n",
        published.balancer,
        agreement.role,
        agreement.leader.as_deref().unwrap_or("nobody"),
        agreement.term,
        agreement.committed,
        agreement.voters.join(", ")
    );
    if !agreement.missing_voters.is_empty() {
        let missing = agreement.missing_voters.join(", ");
        text += &format!("not among the voters yet, or any more: {missing}\n");
    }
    if let Some(fault) = &published.view.fault {
        text += &format!("nothing further is taken out: {fault}\n");
    }
    text
}

fn plan_heading(plan: &PlanView) -> String {
    let mut text = format!("\nplan {} by {}: {}", plan.plan, plan.author, plan.reason);
    if plan.dropped {
        text += " (dropped)";
    }
    if let Some(reason) = &plan.held {
        text += &format!(" (held: {reason})");
    }
    text + &format!(
        "\n{:24}{:10}{:10}{:>10}  waits for\n",
        "machine", "kind", "stage", "since"
    )
}

fn row(machine: &MachineView, blocked: Option<&BlockedMachine>, now_ms: u64) -> String {
    let since_s = now_ms.saturating_sub(machine.since_ms) / 1000;
    let reason = blocked.map_or("", |blocked| blocked.reason.as_str());
    let forced = if machine.forced.is_empty() {
        String::new()
    } else {
        format!(" (past {})", machine.forced.join(", "))
    };
    format!(
        "{:24}{:10}{:10}{since_s:>8} s  {reason}{forced}\n",
        machine.machine,
        machine.kind,
        machine.stage.as_str()
    )
}
