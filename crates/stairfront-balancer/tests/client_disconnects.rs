//! Clients that disconnect while the engine is behind: the event waits in the engine's queue, and still no attempt is begun
//! for them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use stairfront_balancer::arrival::PollClock;
use stairfront_balancer::client::{accept, context::ClientContext, permits::ClientPermits};
use stairfront_balancer::clock::Clock;
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::configuration::memory::Memory;
use stairfront_balancer::configuration::request_catalog::RequestCatalog;
use stairfront_balancer::control::cordon_record::CordonRecord;
use stairfront_balancer::engine::{Engine, EngineHandles};
use stairfront_balancer::lifecycle::loop_monitor::{self, RuntimeHandles};
use stairfront_balancer::lifecycle::shutdown::Phase;
use stairfront_balancer::memory::ledger::MemoryLedger;
use stairfront_balancer::messages::{Arrival, Command, EngineEvent, FinalAnswer, Verb};
use stairfront_balancer::stages::liveness::RequestLiveness;
use stairfront_balancer::stages::parse::RequestParser;
use stairfront_balancer::stages::route::Decide;
use stairfront_balancer::transport::Tcp;
use stairfront_balancer::upstream::upstream_pool::{PoolSettings, UpstreamPool};
use stairfront_policy::interface::{
    Action, ClassId, Event, Key, Micros, Request, RequestId, TenantId, SECOND,
};
use stairfront_policy::Policy;
use stairfront_test_support::loopback::{
    cache, commands, config, get, hit, line, ms, run, until, Client, Log,
};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::sleep;

fn read(lines: &[serde_json::Value]) -> Config {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    Config::from_text("test", &config(nowhere, nowhere, lines, 1024).to_string()).unwrap()
}

/// A client context whose event queue, of this length, the test reads in place of an engine.
fn context(
    config: &Config,
    queue_length: usize,
) -> (
    Rc<ClientContext>,
    mpsc::Receiver<EngineEvent>,
    watch::Sender<Phase>,
) {
    let (event_sender, events) = mpsc::channel(queue_length);
    let (phase, phase_receiver) = watch::channel(Phase::Running);
    let (clock, start) = (Clock::start(), &config.start);
    let memory = MemoryLedger::new(&config.memory);
    let parser = RequestParser {
        catalog: Rc::new(RefCell::new(RequestCatalog::of(start))),
        clock,
        counters: Rc::default(),
        admission: loop_monitor::admission_controller(&start.settings, clock, 0),
        ready: watch::channel(true).1,
        membership: None,
        maintenance: Rc::default(),
        memory: Rc::clone(&memory),
    };
    let context = ClientContext {
        events: event_sender,
        parser,
        counters: Rc::default(),
        polls: Rc::new(PollClock::start()),
        phase: phase_receiver,
        pressure: Rc::default(),
        permits: Rc::new(ClientPermits::new(8)),
        successor: Rc::default(),
        paused: Rc::default(),
        scratch: Rc::default(),
        memory,
        next_id: Cell::new(0),
        next_connection: Cell::new(0),
    };
    (Rc::new(context), events, phase)
}

/// With many disconnects or arrivals at once, the engine handles a disconnect long after it would have sent the requests.
#[test]
fn a_disconnect_marks_open_requests_while_the_event_queue_is_full() {
    run(async {
        let (context, mut events, _phase) = context(&read(&[]), 3);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (_handing, handed) = mpsc::channel(1);
        spawn_local(accept::serve(listener, Rc::clone(&context), handed));
        let mut client = Client::connect(address).await.unwrap();
        for id in ["1", "2", "3"] {
            client.send(&get("k", id, 1400)).await;
        }
        // All three are accepted, and fill the queue.
        until(|| context.events.capacity() == 0).await;
        drop(client);
        let liveness: Vec<Rc<RequestLiveness>> = {
            // The disconnect is noticed at a read; the engine has handled nothing.
            sleep(ms(50)).await;
            (0..3)
                .map(|_| match events.try_recv() {
                    Ok(EngineEvent::Arrived(arrival)) => arrival.liveness,
                    _ => panic!("three arrivals are first"),
                })
                .collect()
        };
        assert!(
            liveness.iter().all(|request| request.is_finished()),
            "whoever holds one of them sees it"
        );
    });
}

/// A decision module that records its events of requests.
struct RecordingPolicy(Policy, Rc<RefCell<Vec<&'static str>>>);

impl Decide for RecordingPolicy {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Request(_) => self.1.borrow_mut().push("request"),
            Event::ClientDisconnected { .. } => self.1.borrow_mut().push("client disconnected"),
            Event::AttemptFinished(result) if result.request_finished => {
                self.1.borrow_mut().push("attempt finished, request over")
            }
            Event::AttemptFinished(_) => self.1.borrow_mut().push("attempt finished, request open"),
            _ => {}
        }
        self.0.handle(now, event, actions);
    }
}

/// An engine without servers in use, whose decision module records events here.
fn recording_engine(
    config: &Config,
    events: &mpsc::Sender<EngineEvent>,
    record: &Rc<RefCell<Vec<&'static str>>>,
) -> Engine<RecordingPolicy, Tcp> {
    let (clock, start) = (Clock::start(), config.start.clone());
    let memory = MemoryLedger::new(&Memory::of(64));
    let settings = PoolSettings {
        max_connections: 4,
        held_by_predecessor: 0,
        connect_timeout: ms(250),
        servers_idle_timeout: ms(10_000),
        stall_timeout: ms(10_000),
        max_value_bytes: Memory::of(64).max_value_bytes,
        memory: Rc::clone(&memory),
        lists: Rc::default(),
    };
    let pool = UpstreamPool::new(Tcp, settings, Vec::new(), events.clone(), Rc::default());
    let handles = EngineHandles {
        runtime: RuntimeHandles {
            clock,
            admission: loop_monitor::admission_controller(&start.settings, clock, 0),
            counters: Rc::default(),
            polls: Rc::new(PollClock::start()),
            memory,
            resident: Rc::default(),
        },
        ready: watch::channel(false).0,
        record: CordonRecord::within(None, "b"),
        id_log: Default::default(),
        has_predecessor: false,
        catalog: Rc::new(RefCell::new(RequestCatalog::of(&start))),
        group: None,
        origin: Rc::default(),
    };
    let record = Rc::clone(record);
    let build_policy = |settings| RecordingPolicy(Policy::new(settings, 1), record);
    Engine::new(start, build_policy, pool, handles)
}

/// A request whose client has already disconnected.
fn abandoned_request() -> Arrival {
    let word = Bytes::from_static(b"w");
    let now = Clock::start().now();
    let (answer, _) = oneshot::channel::<FinalAnswer>();
    let liveness = RequestLiveness::default();
    liveness.finish();
    Arrival {
        request: Request {
            id: RequestId(7),
            class: ClassId(0),
            tenant: TenantId(0),
            key: Some(Key(1)),
            expires_at: now + SECOND,
            waited: 0,
            write: false,
            retry: false,
        },
        arrived_at: now,
        command: Command {
            verb: Verb::Get,
            key: word.clone(),
            id: word.clone(),
            info: word,
            value: None,
            idempotent: true,
        },
        memory: None,
        answer,
        liveness: Rc::new(liveness),
    }
}

/// A decision module that believes the request to be open would retry it again and again, and use up its retry budget.
#[test]
fn the_policy_is_notified_of_a_disconnect_before_the_end_of_the_unsent_attempt() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, _| hit("v")).await;
        let mut config = read(&[line("c", host, "box")]);
        let (event_sender, events) = mpsc::channel(8);
        let (_order_sender, orders) = mpsc::channel(1);
        let record = Rc::new(RefCell::new(Vec::new()));
        let engine = recording_engine(&config, &event_sender, &record);
        event_sender
            .send(EngineEvent::Arrived(abandoned_request()))
            .await
            .unwrap_or_else(|_| panic!("closed"));
        let known = std::mem::take(&mut config.known);
        spawn_local(engine.run(known, None, events, orders));
        until(|| record.borrow().len() >= 3).await;
        sleep(ms(20)).await;
        assert_eq!(
            *record.borrow(),
            [
                "request",
                "client disconnected",
                "attempt finished, request over"
            ]
        );
        assert_eq!(commands(&log, "cache").len(), 0);
    });
}
