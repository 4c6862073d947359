//! The stages of a request on the table of open requests, without sockets.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use stairfront_balancer::arrival::ArrivalTime;
use stairfront_balancer::clock::Clock;
use stairfront_balancer::configuration::memory::Memory;
use stairfront_balancer::configuration::request_catalog::RequestCatalog;
use stairfront_balancer::lifecycle::{id_locks::IdLocks, loop_monitor};
use stairfront_balancer::memory::ledger::MemoryLedger;
use stairfront_balancer::messages::{
    Answer, Arrival, AttemptEnd, AttemptId, AttemptOutcome, Command, FinalAnswer, Verb,
};
use stairfront_balancer::stages::admit::{AdmissionError, RequestTable, SendOrder};
use stairfront_balancer::stages::parse::{Accepted, RequestParser};
use stairfront_balancer::stages::send::SendDecision;
use stairfront_balancer::upstream::load_report::load_report;
use stairfront_policy::interface::{
    CacheId, Class, ClassId, Idempotency, Limits, Outcome, Request, RequestId, Settings, TenantId,
    MS,
};
use stairfront_settings::{HostLimits, LoadedSettings, Names};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

const CACHE: CacheId = CacheId(1);
const MAX_ATTEMPTS: u8 = 3;

fn arrive(id: u32, value: usize) -> (Arrival, oneshot::Receiver<FinalAnswer>) {
    let (answer, receiver) = oneshot::channel();
    let word = Bytes::from_static(b"w");
    let value = Some(Bytes::from(vec![0; value]));
    let command = Command {
        verb: Verb::Set,
        key: word.clone(),
        id: Bytes::from(id.to_string()),
        info: word,
        value,
        idempotent: true,
    };
    let request = Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: TenantId(0),
        key: None,
        expires_at: 0,
        waited: 0,
        write: false,
        retry: false,
    };
    (
        Arrival {
            request,
            arrived_at: 0,
            command,
            memory: None,
            answer,
            liveness: Rc::default(),
        },
        receiver,
    )
}

fn end(request: u32, number: u8, outcome: Outcome) -> AttemptEnd {
    let value = (outcome == Outcome::Served).then(|| Bytes::from_static(b"v"));
    let attempt = AttemptId {
        request: RequestId(request),
        number,
    };
    let result = AttemptOutcome {
        value,
        ..AttemptOutcome::without_report(outcome)
    };
    AttemptEnd {
        attempt,
        cache: CACHE,
        started_at: Instant::now(),
        result,
        memory: None,
        body: None,
    }
}

fn admitted(table: &mut RequestTable, id: u32) -> oneshot::Receiver<FinalAnswer> {
    let (arrival, receiver) = arrive(id, 1);
    assert!(table.admit(arrival, MAX_ATTEMPTS).is_ok());
    receiver
}

fn sent(table: &mut RequestTable, id: u32) -> stairfront_balancer::messages::Job {
    match table.send(RequestId(id), order()) {
        SendDecision::Job(job) => job,
        _ => panic!("not sent"),
    }
}

/// A send that is decided now.
fn order() -> SendOrder {
    SendOrder {
        cache: CACHE,
        give_up_at: Instant::now() + Duration::from_millis(500),
        window_end: None,
    }
}

/// The arrival of a command that was read in time.
fn just_now() -> ArrivalTime {
    ArrivalTime::between(Instant::now(), Instant::now())
}

#[test]
fn a_request_beyond_the_capacity_is_refused_at_once() {
    let mut table = RequestTable::new(1);
    let _first = admitted(&mut table, 1);
    let (arrival, mut receiver) = arrive(2, 1);
    assert!(table.admit(arrival, MAX_ATTEMPTS).is_err());
    assert_eq!(
        receiver.try_recv().unwrap().answer,
        Answer::Busy { after_ms: None }
    );
}

#[test]
fn open_requests_are_bounded_by_memory_and_return_it() {
    let ledger = MemoryLedger::new(&Memory::of(64));
    let mut table = RequestTable::new(usize::MAX);
    let limit = ledger.requests.limit();
    let mut admitted = 0;
    while let Some(memory) = ledger.reserve_request(64 * 1024, None) {
        let (mut arrival, _receiver) = arrive(admitted, 64 * 1024);
        arrival.memory = Some(memory);
        assert!(table.admit(arrival, MAX_ATTEMPTS).is_ok());
        admitted += 1;
    }
    // What a request takes beside its value counts too.
    let values = limit / (64 * 1024);
    assert!(
        admitted as usize > values * 9 / 10 && (admitted as usize) < values,
        "{admitted} values of 64 KiB in {limit}"
    );
    let job = sent(&mut table, 0);
    for id in 0..admitted {
        table.answer(RequestId(id), Answer::Failed);
        table.relay(&mut end(id, 0, Outcome::Reset));
        table.complete(RequestId(id));
    }
    assert!(table.open.is_empty());
    assert!(
        ledger.requests.reserved() >= 64 * 1024,
        "an attempt still has the value of its request"
    );
    drop(job);
    assert_eq!(ledger.requests.reserved(), 0);
}

#[test]
fn values_on_their_way_to_clients_are_bounded_by_memory_and_return_it() {
    let ledger = MemoryLedger::new(&Memory::of(64));
    let mut table = RequestTable::new(usize::MAX);
    let large = |id| {
        let mut end = end(id, 0, Outcome::Served);
        end.memory = ledger.replies.try_reserve(64 * 1024);
        let value = end.memory.as_ref().map(|_| vec![0; 64 * 1024]);
        end.result.value = value.map(Bytes::from);
        end
    };
    let (mut unread, mut id) = (Vec::new(), 0);
    let refused = loop {
        let mut receiver = admitted(&mut table, id);
        let _job = sent(&mut table, id);
        assert!(table.relay(&mut large(id)).request_finished);
        let given = receiver.try_recv().unwrap();
        if given.answer == Answer::Failed {
            break id;
        }
        unread.push(given);
        id += 1;
    };
    let limit = ledger.replies.limit();
    assert_eq!(refused as usize, limit / (64 * 1024));
    drop(unread);
    assert_eq!(ledger.replies.reserved(), 0);
    let mut receiver = admitted(&mut table, id + 1);
    let _job = sent(&mut table, id + 1);
    table.relay(&mut large(id + 1));
    assert!(matches!(
        receiver.try_recv().unwrap().answer,
        Answer::Value(_)
    ));
}

#[test]
fn the_first_value_is_the_final_answer() {
    let mut table = RequestTable::new(10);
    let mut receiver = admitted(&mut table, 1);
    let _job = sent(&mut table, 1);
    assert!(!table.relay(&mut end(1, 0, Outcome::Miss)).request_finished);
    let _job = sent(&mut table, 1);
    let result = table.relay(&mut end(1, 1, Outcome::Served));
    assert_eq!((result.request_finished, result.attempt), (true, 1));
    assert_eq!(
        receiver.try_recv().unwrap().answer,
        Answer::Value(Bytes::from_static(b"v"))
    );
    assert!(
        !table.answer(RequestId(1), Answer::Failed),
        "one final answer"
    );
    table.complete(RequestId(1));
    assert!(table.open.is_empty());
    assert!(
        table
            .relay(&mut end(1, 2, Outcome::Served))
            .request_finished
    );
}

#[test]
fn an_answered_request_stays_until_its_last_attempt_has_ended_and_is_not_sent_again() {
    let mut table = RequestTable::new(10);
    let _receiver = admitted(&mut table, 1);
    let _job = sent(&mut table, 1);
    assert!(table.answer(RequestId(1), Answer::Busy { after_ms: Some(5) }));
    table.complete(RequestId(1));
    assert_eq!(table.open.len(), 1);
    match table.send(RequestId(1), order()) {
        SendDecision::Ended(end) => assert_eq!(end.result.outcome, Outcome::NeverSent),
        _ => panic!("sent after the answer"),
    }
    assert!(
        table
            .relay(&mut end(1, 0, Outcome::TimedOut))
            .request_finished
    );
    table.complete(RequestId(1));
    assert!(table.open.is_empty());
}

#[test]
fn attempts_beyond_the_maximum_and_for_unknown_requests_are_never_sent() {
    let mut table = RequestTable::new(10);
    let _receiver = admitted(&mut table, 1);
    for number in 0..MAX_ATTEMPTS {
        let _job = sent(&mut table, 1);
        table.relay(&mut end(1, number, Outcome::Full));
    }
    for id in [1, 7] {
        let decision = table.send(RequestId(id), order());
        assert!(
            matches!(decision, SendDecision::Ended(end) if end.result.outcome == Outcome::NeverSent)
        );
    }
}

#[test]
fn a_send_after_a_cancel_waits_for_the_end_of_the_cancelled_attempt() {
    let mut table = RequestTable::new(10);
    let _receiver = admitted(&mut table, 1);
    let mut first = sent(&mut table, 1);
    assert!(first.cancel.try_recv().is_err());
    table.cancel(RequestId(1), 0);
    assert!(
        first.cancel.try_recv().is_ok(),
        "its connection is told to end"
    );
    let order = order();
    assert!(matches!(
        table.send(RequestId(1), order),
        SendDecision::Deferred
    ));
    assert!(
        table.send_deferred(RequestId(1)).is_none(),
        "it is still in flight"
    );
    assert!(
        !table
            .relay(&mut end(1, 0, Outcome::Cancelled))
            .request_finished
    );
    match table.send_deferred(RequestId(1)) {
        Some(SendDecision::Job(job)) => {
            assert_eq!(job.attempt.number, 1);
            assert_eq!(job.give_up_at, order.give_up_at, "the wait counts");
        }
        _ => panic!("not sent"),
    }
}

#[test]
fn a_deferred_send_is_not_sent_after_the_answer() {
    let mut table = RequestTable::new(10);
    let _receiver = admitted(&mut table, 1);
    let _job = sent(&mut table, 1);
    table.cancel(RequestId(1), 0);
    assert!(matches!(
        table.send(RequestId(1), order()),
        SendDecision::Deferred
    ));
    assert!(table.answer(RequestId(1), Answer::Failed));
    table.relay(&mut end(1, 0, Outcome::Cancelled));
    match table.send_deferred(RequestId(1)) {
        Some(SendDecision::Ended(end)) => {
            assert_eq!(
                (end.attempt.number, end.result.outcome),
                (1, Outcome::NeverSent)
            )
        }
        _ => panic!("sent after the answer"),
    }
    table.complete(RequestId(1));
    assert!(table.open.is_empty());
}

#[test]
fn load_reports_are_read_in_the_order_of_the_settings() {
    let fields: Vec<String> = ["throughput", "utilization", "x1"]
        .map(String::from)
        .to_vec();
    let load = load_report(b"utilization=0.5,other=9,x1=3,throughput=40", &fields);
    assert_eq!((load.len, load.values), (3, [40.0, 0.5, 3.0, 0.0]));
    for text in [
        &b""[..],
        b"=",
        b"throughput",
        b"throughput=high",
        b"failed",
        b"\xff=1",
        // A missing field, impossible values, and a field named twice.
        b"throughput=40,utilization=0.5",
        b"throughput=40,utilization=NaN,x1=3",
        b"throughput=40,utilization=0.5,x1=inf",
        b"throughput=-1,utilization=0.5,x1=3",
        b"throughput=40,utilization=0.5,x1=3,x1=4",
    ] {
        assert_eq!(load_report(text, &fields).len, 0, "{text:?}");
    }
}

#[test]
fn a_duplicate_id_is_rejected_until_its_request_is_completed() {
    let mut table = RequestTable::new(10);
    let _receiver = admitted(&mut table, 1);
    let _job = sent(&mut table, 1);
    let (mut again, mut receiver) = arrive(1, 1);
    again.request.id = RequestId(2);
    assert_eq!(
        table.admit(again, MAX_ATTEMPTS),
        Err(AdmissionError::DuplicateId)
    );
    assert!(matches!(
        receiver.try_recv().unwrap().answer,
        Answer::Error(_)
    ));
    // Answered, it is still in flight at a server.
    assert!(table.answer(RequestId(1), Answer::Failed));
    table.complete(RequestId(1));
    assert_eq!(
        table.admit(arrive(1, 1).0, MAX_ATTEMPTS),
        Err(AdmissionError::DuplicateId)
    );
    table.relay(&mut end(1, 0, Outcome::TimedOut));
    table.complete(RequestId(1));
    assert!(table.admit(arrive(1, 1).0, MAX_ATTEMPTS).is_ok());
}

/// A parser with one class, `read`, whose clock does not matter.
fn parser() -> RequestParser {
    let clock = Clock::starting_at(0);
    let settings = Settings {
        classes: vec![Class {
            idempotency: Idempotency::Idempotent,
            latency_objective: 250 * MS,
            deadline: 1500 * MS,
            priority_weight: 1.0,
            late_weight: 0.0,
            stream: false,
        }],
        limits: Limits {
            max_retry_after: 1500 * MS,
            ..Limits::default()
        },
        ..Settings::default()
    };
    let names = Names {
        classes: vec!["read".to_string()],
        ..Names::default()
    };
    let host = HostLimits {
        max_open_requests: 10,
        idle_timeout: MS,
    };
    let start = LoadedSettings {
        settings: settings.clone(),
        names,
        host,
    };
    let admission = loop_monitor::admission_controller(&settings, clock, 1);
    RequestParser {
        maintenance: Default::default(),
        catalog: Rc::new(RefCell::new(RequestCatalog::of(&start))),
        clock,
        counters: Rc::default(),
        admission,
        ready: watch::channel(true).1,
        membership: None,
        memory: MemoryLedger::new(&Memory::of(64)),
    }
}

#[test]
fn a_balancer_that_is_behind_sheds_requests_before_admission_and_nothing_else() {
    let parser = parser();
    let admission = Rc::clone(&parser.admission);
    let words = |text: &str| {
        text.split(' ')
            .map(|word| Bytes::copy_from_slice(word.as_bytes()))
            .collect()
    };
    let get = || parser.parse(words("C.GET k 1 c=read,d=900"), just_now());
    assert!(matches!(get(), Accepted::Request { .. }));
    // For a second every measurement is later than the one before: the delay grows by half of the time that passes.
    for tick in 1..100 {
        admission
            .borrow_mut()
            .record_timer_delay(tick * 10 * MS, tick * 5 * MS);
    }
    let is_shed = |accepted: &Accepted| {
        matches!(
            accepted,
            Accepted::Answered(Answer::Busy {
                after_ms: Some(50..=1500)
            })
        )
    };
    let refused = (0..1000).filter(|_| is_shed(&get())).count() as u64;
    assert!(refused > 800, "{refused}");
    assert_eq!(parser.counters.shed.get(), refused);
    for (command, answer) in [
        ("PING", Answer::Pong),
        ("C.GET k 1 c=other", Answer::Error("ERR unknown class")),
    ] {
        assert!(
            matches!(parser.parse(words(command), just_now()), Accepted::Answered(given) if given == answer),
            "{command}"
        );
    }
    // In time again for a second: all are admitted.
    for tick in 100..200 {
        admission.borrow_mut().record_timer_delay(tick * 10 * MS, 0);
    }
    assert_eq!((0..1000).filter(|_| is_shed(&get())).count(), 0);
}

/// The client has disconnected, and the engine has not handled the event yet.
#[test]
fn nothing_is_sent_for_a_client_that_has_disconnected_before_the_engine_knows() {
    let mut table = RequestTable::new(10);
    let (arrival, _receiver) = arrive(1, 1);
    let liveness = Rc::clone(&arrival.liveness);
    assert!(table.admit(arrival, MAX_ATTEMPTS).is_ok());
    let _first = sent(&mut table, 1);
    table.cancel(RequestId(1), 0);
    assert!(matches!(
        table.send(RequestId(1), order()),
        SendDecision::Deferred
    ));
    liveness.finish();
    table.relay(&mut end(1, 0, Outcome::Cancelled));
    let assert_never_sent = |sending: SendDecision| match sending {
        SendDecision::Ended(end) => assert_eq!(end.result.outcome, Outcome::NeverSent),
        _ => panic!("sent"),
    };
    assert_never_sent(
        table
            .send_deferred(RequestId(1))
            .expect("the cancelled attempt has ended"),
    );
    assert_never_sent(table.send(RequestId(1), order()));
}

/// What the processes of an upgrade agree on before anything is sent: also a request that waits has its id alone.
#[test]
fn an_id_that_waits_unsent_at_one_process_is_admitted_at_another() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ids");
    let mut tables = [
        RequestTable::new(8),
        RequestTable::new(8),
        RequestTable::new(8),
    ];
    // Open before there is another process.
    tables[0].admit(arrive(1, 0).0, MAX_ATTEMPTS).unwrap();
    for table in &tables {
        table
            .open_ids
            .share(Some(IdLocks::open(&path, true).unwrap()));
    }
    tables[1].admit(arrive(2, 0).0, MAX_ATTEMPTS).unwrap();
    for (id, holder) in [(1, 0), (2, 1)] {
        for table in &mut tables {
            let refused = table.admit(arrive(id, 0).0, MAX_ATTEMPTS);
            assert_eq!(refused.unwrap_err(), AdmissionError::DuplicateId, "{id}");
        }
        // Its answer is out: the next one to come has it.
        tables[holder].answer(RequestId(id), Answer::Failed);
        tables[holder].complete(RequestId(id));
        tables[2].admit(arrive(id, 0).0, MAX_ATTEMPTS).unwrap();
    }
    // A process that ends leaves what it had.
    let [_, mut left, ended] = tables;
    drop(ended);
    left.admit(arrive(1, 0).0, MAX_ATTEMPTS).unwrap();
}

/// A request that is not admitted for another reason leaves its id.
#[test]
fn the_id_of_a_request_that_is_refused_stays_claimed() {
    let mut table = RequestTable::new(1);
    table.admit(arrive(1, 0).0, MAX_ATTEMPTS).unwrap();
    for _ in 0..2 {
        let refused = table.admit(arrive(2, 0).0, MAX_ATTEMPTS);
        assert_eq!(refused.unwrap_err(), AdmissionError::NoCapacity);
    }
}
