//! Single rules, each by the shortest exchange that would break it; drawn schedules meet some of
//! them once in thousands.
use stairfront_raft::{
    AppendEntries, Entry, HardState, Log, LogIndex, Message, MessageBody, Micros, Node, Payload,
    RaftError, Recovered, Settings, Snapshot, Term, Voter, MS, SECOND,
};

/// When the node under test was elected.
const ELECTED: Micros = 3 * SECOND;

fn voter(number: u64) -> Voter {
    Voter {
        name: format!("v{number}"),
        incarnation: number,
    }
}

fn command(term: Term) -> Entry {
    Entry {
        term,
        payload: Payload::Command(vec![term as u8]),
    }
}

/// Voter 0 of three, in this term, with these entries behind the first snapshot.
fn node(term: Term, entries: &[Entry]) -> Node {
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        voters: (0..3).map(voter).collect(),
        cluster_id: 1,
        data: Vec::new(),
    };
    let recovered = Recovered {
        hard_state: HardState { term, vote: None },
        log: Log::new(snapshot, entries.to_vec()),
    };
    Node::new(0, Settings::new(voter(0), 1), recovered)
}

/// Makes all durable that there is.
fn persist_all(node: &mut Node, now: Micros) {
    while let Some(ready) = node.ready() {
        node.persisted(now, ready.number);
    }
}

/// Has the node elected by one other voter.
fn elect(node: &mut Node) {
    node.tick(ELECTED);
    persist_all(node, ELECTED);
    let term = node.term() + 1;
    let body = MessageBody::PreVoteResponse { granted: true };
    node.handle_message(ELECTED, &voter(1), Message { term, body });
    persist_all(node, ELECTED);
    assert_eq!(node.term(), term);
    let body = MessageBody::VoteResponse { granted: true };
    node.handle_message(ELECTED, &voter(1), Message { term, body });
    assert!(node.is_leader());
    persist_all(node, ELECTED);
}

/// A follower answers that it has the log up to an index.
fn respond(node: &mut Node, follower: u64, index: LogIndex) {
    let message = Message {
        term: node.term(),
        body: MessageBody::AppendResponse {
            match_index: Some(index),
            next_index_hint: 0,
        },
    };
    node.handle_message(ELECTED, &voter(follower), message);
}

/// An entry of an older term that a majority has can still be replaced by another leader's (Raft
/// figure 8).
#[test]
fn an_entry_of_an_older_term_is_committed_only_with_one_of_the_current_term() {
    let mut node = node(2, &[command(2)]);
    elect(&mut node);
    respond(&mut node, 1, 2);
    assert_eq!(node.commit_index(), 1);
    respond(&mut node, 1, 3);
    assert_eq!(node.commit_index(), 3);
}

/// Behind the entries that a leader has sent may be entries of another history, which it has not
/// seen.
#[test]
fn entries_behind_those_that_the_leader_sent_are_not_committed() {
    let mut node = node(2, &[command(2), command(2)]);
    let body = MessageBody::AppendEntries(AppendEntries {
        prev_log_index: 1,
        prev_log_term: 1,
        entries: Vec::new(),
        leader_commit: 3,
    });
    node.handle_message(0, &voter(1), Message { term: 3, body });
    assert_eq!(node.commit_index(), 1);
}

/// If a leader counted an entry before it is on its own disk, its crash and another's loss would
/// undo what was committed.
#[test]
fn a_leader_counts_itself_only_for_what_it_has_persisted() {
    let mut node = node(2, &[]);
    elect(&mut node);
    respond(&mut node, 1, 2);
    let first = node.propose(ELECTED, vec![1]).unwrap();
    let ready = node.ready().unwrap();
    let second = node.propose(ELECTED, vec![2]).unwrap();
    respond(&mut node, 1, second);
    // The first is durable, the second is not.
    node.persisted(ELECTED, ready.number);
    assert_eq!(node.commit_index(), first);
    persist_all(&mut node, ELECTED);
    assert_eq!(node.commit_index(), second);
}

/// Two of four voters are no majority, and the changes of two leaders must not overlap.
#[test]
fn half_is_no_majority_and_one_change_of_voters_at_a_time() {
    let mut node = node(2, &[]);
    elect(&mut node);
    let four: Vec<Voter> = (0..4).map(voter).collect();
    node.set_learners([voter(3)].into_iter());
    // Before an entry of its own term is committed, two leaders' changes could overlap.
    assert!(node
        .change_voters(ELECTED, vec![voter(0), voter(1)])
        .is_err());
    respond(&mut node, 1, 2);
    persist_all(&mut node, ELECTED);
    node.tick(ELECTED + 200 * MS);
    assert!(matches!(
        node.change_voters(ELECTED, four.clone()),
        Err(RaftError::LearnerBehind)
    ));
    respond(&mut node, 3, 2);
    let change = node.change_voters(ELECTED, four).unwrap();
    assert!(matches!(
        node.change_voters(ELECTED, vec![voter(0), voter(1), voter(2)]),
        Err(RaftError::ChangeInProgress)
    ));
    persist_all(&mut node, ELECTED);
    respond(&mut node, 1, change);
    assert!(node.commit_index() < change, "two of four");
    respond(&mut node, 2, change);
    assert_eq!(node.commit_index(), change);
}

/// A leader without contact would accept proposals that are never committed; one that was cut off
/// and comes back with a higher term would end a leader that the others follow.
#[test]
fn a_leader_without_a_majority_steps_down_and_does_not_raise_its_term() {
    let mut node = node(2, &[]);
    elect(&mut node);
    let term = node.term();
    for step in 1..200 {
        node.tick(ELECTED + step * 100 * MS);
        persist_all(&mut node, ELECTED);
    }
    assert!(!node.is_leader());
    assert_eq!(node.term(), term);
    assert!(matches!(
        node.propose(23 * SECOND, vec![1]),
        Err(RaftError::NotLeader(_))
    ));
}
