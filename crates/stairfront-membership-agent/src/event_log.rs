//! Log lines for the events of the state machine.
use stairfront_common::time::{Micros, MS};
use stairfront_gossip_membership::{AliveTransition, Event, Evidence, HostChange, MemberChange};
use tracing::{info, warn};

/// Writes an event to the log.
pub(crate) fn log(event: &Event) {
    match event {
        Event::Member { member, change } => log_member(member, change),
        Event::Host { host, change } => log_host(host, change),
        Event::QuorumChanged {
            status,
            confirmed,
            roster,
        } => {
            let status = status.as_str();
            info!(status, confirmed, roster, "quorum status changed");
        }
        Event::Stalled { duration } => {
            let stalled_ms = duration / MS;
            warn!(
                stalled_ms,
                "process stalled; asking the other members for their state"
            );
        }
        Event::NameConflictBegan {
            name,
            other,
            other_keeps_name,
        } => {
            warn!(
                %name, %other, other_keeps_name,
                "two processes have one name; neither counts for a majority until one ends"
            );
        }
        Event::NameConflictEnded { name } => {
            info!(%name, "other process with this name has ended");
        }
        Event::PacketsRejected { error, count } => {
            warn!(%error, count, "packets of the group rejected");
        }
        Event::CordonRejected { error } => {
            warn!(%error, "cordon of the group not accepted");
        }
    }
}

fn log_member(member: &str, change: &MemberChange) {
    match change {
        MemberChange::Alive {
            address,
            transition,
            evidence,
        } => {
            let Origin {
                source,
                gossip_from,
                ..
            } = Origin::of(evidence);
            let transition = transition_name(*transition);
            info!(member, %address, transition, source, gossip_from, "member is alive");
        }
        MemberChange::Suspect { evidence } => {
            let Origin {
                source,
                gossip_from,
                unanswered_ms,
                helpers,
            } = Origin::of(evidence);
            info!(
                member,
                source, gossip_from, unanswered_ms, helpers, "member is suspect"
            );
        }
        MemberChange::Failed {
            suspected_for,
            suspected_by,
        } => {
            let suspected_ms = suspected_for / MS;
            let suspected_by = suspected_by.join(", ");
            info!(member, suspected_ms, suspected_by, "member has failed");
        }
        MemberChange::Left { evidence } => {
            let Origin {
                source,
                gossip_from,
                ..
            } = Origin::of(evidence);
            info!(member, source, gossip_from, "member has left");
        }
    }
}

fn log_host(host: &str, change: &HostChange) {
    match change {
        HostChange::Cordoned => info!(host, "host cordoned by the group"),
        HostChange::Uncordoned => info!(host, "host uncordoned by the group"),
        HostChange::DrainHint { index, by, ttl } => {
            let ttl_ms = ttl / MS;
            info!(
                host,
                index, by, ttl_ms, "drain hint stops new requests to host"
            );
        }
    }
}

/// The origin of an assertion, as fields of a log line.
struct Origin<'a> {
    source: &'static str,
    gossip_from: Option<&'a str>,
    unanswered_ms: Option<Micros>,
    helpers: Option<String>,
}

impl<'a> Origin<'a> {
    fn of(evidence: &'a Evidence) -> Self {
        let mut origin = Origin {
            source: "itself",
            gossip_from: None,
            unanswered_ms: None,
            helpers: None,
        };
        match evidence {
            Evidence::OwnStatement => {}
            Evidence::Gossip { from } => {
                origin.source = "gossip";
                origin.gossip_from = Some(from);
            }
            Evidence::ProbeTimeout { after, helpers } => {
                origin.source = "probe";
                origin.unanswered_ms = Some(after / MS);
                origin.helpers = Some(helpers.join(", "));
            }
        }
        origin
    }
}

fn transition_name(transition: AliveTransition) -> &'static str {
    match transition {
        AliveTransition::Joined => "joined",
        AliveTransition::Restarted => "restarted",
        AliveTransition::Refuted => "refuted suspicion",
        AliveTransition::Recovered => "recovered",
    }
}
