//! The messages between voters and what they store, as golden files: a change of names must not
//! change a byte.
use stairfront_raft::{
    AppendEntries, ClusterMessage, Entry, Envelope, HardState, Message, MessageBody, Payload,
    Snapshot, Voter,
};
use stairfront_test_support::golden::GoldenFiles;

fn golden() -> GoldenFiles {
    GoldenFiles::of_crate(env!("CARGO_MANIFEST_DIR"))
}

fn voter(name: &str, incarnation: u64) -> Voter {
    Voter {
        name: name.to_string(),
        incarnation,
    }
}

fn entries() -> Vec<Entry> {
    vec![
        Entry {
            term: 31,
            payload: Payload::Noop,
        },
        Entry {
            term: 32,
            payload: Payload::Command(vec![7, 8, 9, 200]),
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
        cluster_id: 43,
        data: vec![44, 45, 255],
    }
}

/// A body of each kind, with its label in the golden files.
fn bodies() -> Vec<(&'static str, MessageBody)> {
    let mut bodies = election_bodies();
    bodies.extend(replication_bodies());
    bodies
}

fn election_bodies() -> Vec<(&'static str, MessageBody)> {
    vec![
        (
            "question before a vote",
            MessageBody::RequestPreVote {
                last_log_index: 11,
                last_log_term: 12,
            },
        ),
        (
            "answer to it, yes",
            MessageBody::PreVoteResponse { granted: true },
        ),
        (
            "answer to it, no",
            MessageBody::PreVoteResponse { granted: false },
        ),
        (
            "request for a vote",
            MessageBody::RequestVote {
                last_log_index: 13,
                last_log_term: 14,
                leadership_transfer: true,
            },
        ),
        (
            "request for a vote, not handed over",
            MessageBody::RequestVote {
                last_log_index: 15,
                last_log_term: 16,
                leadership_transfer: false,
            },
        ),
        ("vote, yes", MessageBody::VoteResponse { granted: true }),
        ("vote, no", MessageBody::VoteResponse { granted: false }),
    ]
}

fn replication_bodies() -> Vec<(&'static str, MessageBody)> {
    vec![
        (
            "entries",
            MessageBody::AppendEntries(AppendEntries {
                prev_log_index: 17,
                prev_log_term: 18,
                entries: entries(),
                leader_commit: 19,
            }),
        ),
        (
            "heartbeat",
            MessageBody::AppendEntries(AppendEntries {
                prev_log_index: 20,
                prev_log_term: 21,
                entries: Vec::new(),
                leader_commit: 22,
            }),
        ),
        (
            "answer to entries, the same",
            MessageBody::AppendResponse {
                match_index: Some(23),
                next_index_hint: 24,
            },
        ),
        (
            "answer to entries, not the same",
            MessageBody::AppendResponse {
                match_index: None,
                next_index_hint: 25,
            },
        ),
        (
            "snapshot",
            MessageBody::InstallSnapshot {
                snapshot: snapshot(),
            },
        ),
        ("stand for election", MessageBody::TimeoutNow),
    ]
}

fn messages() -> Vec<(&'static str, Message)> {
    (300..)
        .zip(bodies())
        .map(|(term, (label, body))| (label, Message { term, body }))
        .collect()
}

#[test]
fn messages_between_voters() {
    golden().assert_postcard("messages.hex", &messages());
}

#[test]
fn envelopes() {
    let envelope = |to: Option<Voter>, message| Envelope {
        from: voter("elm", 1005),
        to,
        cluster_id: 51,
        message,
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
                ClusterMessage::Proposal {
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
    golden().assert_postcard("envelopes.hex", &cases);
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
    golden().assert_postcard("term_and_vote.hex", &cases);
}

#[test]
fn entries_of_the_log() {
    let labels = ["nothing", "order", "voters"];
    let cases: Vec<(&str, Entry)> = labels.into_iter().zip(entries()).collect();
    golden().assert_postcard("entries.hex", &cases);
}

#[test]
fn snapshots() {
    golden().assert_postcard(
        "snapshots.hex",
        &[("full", snapshot()), ("empty", Snapshot::default())],
    );
}
