//! Single rules, each by the shortest exchange that would break it; drawn schedules meet some of them once in thousands.
use stairfront_raft::message::Body;
use stairfront_raft::{
    Entry, HardState, Index, Log, Message, Node, Payload, RaftError, Recovered, Settings, Snapshot,
    Voter, SECOND,
};

fn voter(at: u64) -> Voter {
    Voter {
        name: format!("v{at}"),
        incarnation: at,
    }
}

fn order(term: u64) -> Entry {
    Entry {
        term,
        payload: Payload::Order(vec![term as u8]),
    }
}

/// Voter 0 of three, in this term, with these entries behind the founding.
fn node(term: u64, entries: &[Entry]) -> Node {
    let voters = (0..3).map(voter).collect();
    let snapshot = Snapshot {
        index: 1,
        term: 1,
        voters,
        founding: 1,
        data: Vec::new(),
    };
    let recovered = Recovered {
        hard: HardState { term, vote: None },
        log: Log::new(snapshot, entries.to_vec()),
    };
    Node::new(0, Settings::new(voter(0), 1), recovered)
}

/// Stores and sends all that there is: the last number.
fn store(node: &mut Node, now: i64) -> u64 {
    let mut last = 0;
    while let Some(ready) = node.ready() {
        last = ready.number;
        node.persisted(now, last);
    }
    last
}

/// Has it elected by one other.
fn elect(node: &mut Node) {
    let now = 3 * SECOND;
    node.tick(now);
    store(node, now);
    let term = node.term() + 1;
    node.handle_message(
        now,
        &voter(1),
        Message {
            term,
            body: Body::PreVoteAnswer { granted: true },
        },
    );
    store(node, now);
    assert_eq!(node.term(), term);
    node.handle_message(
        now,
        &voter(1),
        Message {
            term,
            body: Body::VoteAnswer { granted: true },
        },
    );
    assert!(node.is_leader());
    store(node, now);
}

fn has(node: &mut Node, who: u64, index: Index) {
    let body = Body::AppendAnswer {
        matched: Some(index),
        hint: 0,
    };
    node.handle_message(
        3 * SECOND,
        &voter(who),
        Message {
            term: node.term(),
            body,
        },
    );
}

/// Danger (Raft figure 8): an entry of an older term that a majority has can still be replaced by another leader's.
#[test]
fn an_older_terms_entry_is_settled_with_one_of_its_own_alone() {
    let mut node = node(2, &[order(2)]);
    elect(&mut node);
    has(&mut node, 1, 2);
    assert_eq!(node.commit(), 1);
    has(&mut node, 1, 3);
    assert_eq!(node.commit(), 3);
}

/// Danger: behind what a leader has sent may stand entries of another history, which it has not seen.
#[test]
fn what_stands_behind_a_leaders_word_is_not_settled_by_it() {
    let mut node = node(2, &[order(2), order(2)]);
    let body = Body::Append {
        prev_index: 1,
        prev_term: 1,
        entries: Vec::new(),
        commit: 3,
    };
    node.handle_message(0, &voter(1), Message { term: 3, body });
    assert_eq!(node.commit(), 1);
}

/// Danger: counted before it is on the own disk, a crash of this one and another's loss undo what was settled.
#[test]
fn a_leader_counts_itself_once_it_has_stored() {
    let mut node = node(2, &[]);
    elect(&mut node);
    has(&mut node, 1, 2);
    let first = node.propose(3 * SECOND, vec![1]).unwrap();
    let ready = node.ready().unwrap();
    let second = node.propose(3 * SECOND, vec![2]).unwrap();
    has(&mut node, 1, second);
    // The first is stored, the second is not.
    node.persisted(3 * SECOND, ready.number);
    assert_eq!(node.commit(), first);
    store(&mut node, 3 * SECOND);
    assert_eq!(node.commit(), second);
}

/// Danger: of four voters two are no majority.
#[test]
fn half_is_no_majority_and_one_change_at_a_time() {
    let mut node = node(2, &[]);
    elect(&mut node);
    let four: Vec<Voter> = (0..4).map(voter).collect();
    node.set_learners([voter(3)].into_iter());
    // Before an entry of its own term is settled, two leaders' changes could overlap.
    assert!(node.change(3 * SECOND, vec![voter(0), voter(1)]).is_err());
    has(&mut node, 1, 2);
    store(&mut node, 3 * SECOND);
    node.tick(3 * SECOND + 200_000);
    assert!(matches!(
        node.change(3 * SECOND, four.clone()),
        Err(RaftError::Behind)
    ));
    has(&mut node, 3, 2);
    let at = node.change(3 * SECOND, four).unwrap();
    assert!(matches!(
        node.change(3 * SECOND, vec![voter(0), voter(1), voter(2)]),
        Err(RaftError::Changing)
    ));
    store(&mut node, 3 * SECOND);
    has(&mut node, 1, at);
    assert!(node.commit() < at, "two of four");
    has(&mut node, 2, at);
    assert_eq!(node.commit(), at);
}

/// Danger: a leader that hears nobody would take orders that are never settled; one that was cut off and comes back would
/// end a leader that others hear.
#[test]
fn one_that_hears_no_majority_leads_no_more_and_raises_no_term_while_it_is_cut_off() {
    let mut node = node(2, &[]);
    elect(&mut node);
    let term = node.term();
    for step in 1..200 {
        node.tick(3 * SECOND + step * 100_000);
        store(&mut node, 3 * SECOND);
    }
    assert!(!node.is_leader());
    assert_eq!(node.term(), term);
    assert!(matches!(
        node.propose(23 * SECOND, vec![1]),
        Err(RaftError::NotLeader(_))
    ));
}
