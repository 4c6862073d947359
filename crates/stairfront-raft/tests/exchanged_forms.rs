//! What voters say to each other and what they store, as golden files: a change of names must not change a byte.
mod golden;

use stairfront_raft::message::Body;
use stairfront_raft::{
    ClusterMessage, Entry, Envelope, HardState, Message, Payload, Snapshot, Voter,
};

fn voter(name: &str, life: u64) -> Voter {
    Voter {
        name: name.to_string(),
        incarnation: life,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry {
            term: 31,
            payload: Payload::Nothing,
        },
        Entry {
            term: 32,
            payload: Payload::Order(vec![7, 8, 9, 200]),
        },
        Entry {
            term: 33,
            payload: Payload::Voters(vec![voter("ash", 1001), voter("birch", 1002)]),
        },
    ]
}

fn snapshot() -> Snapshot {
    Snapshot {
        index: 41,
        term: 42,
        voters: vec![voter("cedar", 1003), voter("doum", 1004)],
        founding: 43,
        data: vec![44, 45, 255],
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let bodies = vec![
        (
            "question before a vote",
            Body::PreVote {
                last_index: 11,
                last_term: 12,
            },
        ),
        ("answer to it, yes", Body::PreVoteAnswer { granted: true }),
        ("answer to it, no", Body::PreVoteAnswer { granted: false }),
        (
            "request for a vote",
            Body::Vote {
                last_index: 13,
                last_term: 14,
                handed: true,
            },
        ),
        (
            "request for a vote, not handed over",
            Body::Vote {
                last_index: 15,
                last_term: 16,
                handed: false,
            },
        ),
        ("vote, yes", Body::VoteAnswer { granted: true }),
        ("vote, no", Body::VoteAnswer { granted: false }),
        (
            "entries",
            Body::Append {
                prev_index: 17,
                prev_term: 18,
                entries: entries(),
                commit: 19,
            },
        ),
        (
            "heartbeat",
            Body::Append {
                prev_index: 20,
                prev_term: 21,
                entries: Vec::new(),
                commit: 22,
            },
        ),
        (
            "answer to entries, the same",
            Body::AppendAnswer {
                matched: Some(23),
                hint: 24,
            },
        ),
        (
            "answer to entries, not the same",
            Body::AppendAnswer {
                matched: None,
                hint: 25,
            },
        ),
        (
            "snapshot",
            Body::Install {
                snapshot: snapshot(),
            },
        ),
        ("stand for election", Body::Campaign),
    ];
    let messages = bodies.into_iter().enumerate();
    messages
        .map(|(at, (label, body))| {
            (
                label,
                Message {
                    term: 300 + at as u64,
                    body,
                },
            )
        })
        .collect()
}

#[test]
fn messages_between_voters() {
    golden::postcard("messages.hex", &messages());
}

#[test]
fn envelopes() {
    let envelope = |to: Option<Voter>, word| Envelope {
        from: voter("elm", 1005),
        to,
        founding: 51,
        message: word,
    };
    let to = || Some(voter("fir", 1006));
    let mut cases = vec![
        (
            "presence, to a name",
            envelope(None, ClusterMessage::Heartbeat),
        ),
        (
            "presence, to a life",
            envelope(to(), ClusterMessage::Heartbeat),
        ),
        (
            "order",
            envelope(
                to(),
                ClusterMessage::Order {
                    id: 52,
                    bytes: vec![53, 54, 128],
                },
            ),
        ),
    ];
    cases.extend(
        messages()
            .into_iter()
            .map(|(label, message)| (label, envelope(to(), ClusterMessage::Raft(message)))),
    );
    golden::postcard("envelopes.hex", &cases);
}

#[test]
fn term_and_vote() {
    let cases = [
        (
            "with a vote",
            HardState {
                term: 61,
                vote: Some(voter("gum", 1007)),
            },
        ),
        (
            "without one",
            HardState {
                term: 62,
                vote: None,
            },
        ),
    ];
    golden::postcard("term_and_vote.hex", &cases);
}

#[test]
fn entries_of_the_log() {
    let labels = ["nothing", "order", "voters"];
    let cases: Vec<(&str, Entry)> = labels.into_iter().zip(entries()).collect();
    golden::postcard("entries.hex", &cases);
}

#[test]
fn snapshots() {
    golden::postcard(
        "snapshots.hex",
        &[("full", snapshot()), ("empty", Snapshot::default())],
    );
}
