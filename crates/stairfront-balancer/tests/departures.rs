//! A client that leaves while the engine is behind: word of it waits before the engine, and nothing is begun for it all the
//! same.
mod common;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use common::{cache, commands, config, get, hit, line, ms, run, until, Client, Log};
use stairfront_balancer::client::{accept, admission::ConnectionPressure, context::ClientContext};
use stairfront_balancer::clock::Clock;
use stairfront_balancer::configuration::config::Config;
use stairfront_balancer::configuration::limits::Memory;
use stairfront_balancer::configuration::request_catalog::RequestCatalog;
use stairfront_balancer::control::cordon_record::CordonRecord;
use stairfront_balancer::engine::{Engine, EngineHandles};
use stairfront_balancer::lifecycle::loop_monitor::{self, RuntimeHandles};
use stairfront_balancer::lifecycle::shutdown::Phase;
use stairfront_balancer::messages::{Arrival, Command, EngineEvent, FinalAnswer, Verb};
use stairfront_balancer::stages::parse::RequestParser;
use stairfront_balancer::stages::route::Decide;
use stairfront_balancer::transport::Tcp;
use stairfront_balancer::upstream::upstream_pool::{PoolSettings, UpstreamPool};
use stairfront_codec::budget::Budget;
use stairfront_policy::interface::{
    Action, ClassId, Event, Key, Micros, Request, RequestId, TenantId, SECOND,
};
use stairfront_policy::Policy;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch, Semaphore};
use tokio::task::spawn_local;
use tokio::time::sleep;

fn read(lines: &[serde_json::Value]) -> Config {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    Config::from_text("test", &config(nowhere, nowhere, lines, 1024).to_string()).unwrap()
}

/// What the clients' tasks share, before an engine with room for so many messages that the test plays.
fn context(
    config: &Config,
    room: usize,
) -> (
    Rc<ClientContext>,
    mpsc::Receiver<EngineEvent>,
    watch::Sender<Phase>,
) {
    let (inbox, inputs) = mpsc::channel(room);
    let (phase, phases) = watch::channel(Phase::Running);
    let (clock, start, memory) = (Clock::start(), &config.start, config.memory);
    let parser = RequestParser {
        catalog: Rc::new(RefCell::new(RequestCatalog::of(start))),
        clock,
        counters: Rc::default(),
        admission: loop_monitor::admission_controller(&start.settings, clock, 0),
        ready: watch::channel(true).1,
        membership: None,
        maintenance: Rc::default(),
    };
    let context = ClientContext {
        events: inbox,
        parser,
        counters: Rc::default(),
        phase: phases,
        pressure: ConnectionPressure::default(),
        permits: Arc::new(Semaphore::new(8)),
        held_by_predecessor: Cell::new(0),
        successor: Rc::default(),
        budget: Budget::new(memory.commands),
        large_budget: Budget::new(memory.large_commands),
        next_id: Cell::new(0),
    };
    (Rc::new(context), inputs, phase)
}

/// Danger: with many departures at once, or many arrivals, the engine hears of one long after it would have sent its requests
/// on.
#[test]
fn a_departure_reaches_what_was_taken_though_the_engine_has_no_room_for_it() {
    run(async {
        let (context, mut inputs, _phase) = context(&read(&[]), 3);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (_handing, handed) = mpsc::channel(1);
        spawn_local(accept::serve(listener, Rc::clone(&context), 8, handed));
        let mut client = Client::connect(address).await.unwrap();
        for id in ["1", "2", "3"] {
            client.send(&get("k", id, 1400)).await;
        }
        // All three are taken, and fill what room there is.
        until(|| context.events.capacity() == 0).await;
        drop(client);
        let over: Vec<Rc<Cell<bool>>> = {
            // It is noticed at a read, with nothing heard by the engine.
            sleep(ms(50)).await;
            (0..3)
                .map(|_| match inputs.try_recv() {
                    Ok(EngineEvent::Arrived(arrival)) => arrival.finished,
                    _ => panic!("three arrivals are first"),
                })
                .collect()
        };
        assert!(
            over.iter().all(|over| over.get()),
            "whoever holds one of them sees it"
        );
    });
}

/// A decision module that keeps a record of what it is told of requests.
struct Watched(Policy, Rc<RefCell<Vec<&'static str>>>);

impl Decide for Watched {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Request(_) => self.1.borrow_mut().push("request"),
            Event::ClientDisconnected { .. } => self.1.borrow_mut().push("client gone"),
            Event::AttemptFinished(settled) if settled.request_finished => {
                self.1.borrow_mut().push("settled, over")
            }
            Event::AttemptFinished(_) => self.1.borrow_mut().push("settled, open"),
            _ => {}
        }
        self.0.handle(now, event, actions);
    }
}

/// Danger: a module that takes the request of a client that left for open would send it again and again, and spend what it
/// may spend on repeats.
#[test]
fn the_module_hears_of_a_departure_before_it_hears_that_nothing_was_sent() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, _| hit("v")).await;
        let mut config = read(&[line("c", host, "box")]);
        let (inbox, inputs) = mpsc::channel(8);
        let (_orders, ordered) = mpsc::channel(1);
        let (clock, start, memory) = (Clock::start(), config.start.clone(), Memory::of(64));
        let limits = PoolSettings {
            max_connections: 4,
            held_by_predecessor: 0,
            connect_timeout: ms(250),
            servers_idle_timeout: ms(10_000),
            stall_timeout: ms(10_000),
            memory,
        };
        let pool = UpstreamPool::new(Tcp, limits, Vec::new(), inbox.clone(), Rc::default());
        let admission = loop_monitor::admission_controller(&start.settings, clock, 0);
        let shared = EngineHandles {
            runtime: RuntimeHandles {
                clock,
                admission,
                counters: Rc::default(),
            },
            ready: watch::channel(false).0,
            record: CordonRecord::within(None, "b"),
            catalog: Rc::new(RefCell::new(RequestCatalog::of(&start))),
            group: None,
            origin: Rc::default(),
        };
        let told = Rc::new(RefCell::new(Vec::new()));
        let record = Rc::clone(&told);
        let engine = Engine::new(
            start,
            |set| Watched(Policy::new(set, 1), record),
            memory,
            pool,
            shared,
        );
        let (answer, receiver) = oneshot::channel::<FinalAnswer>();
        let (id, class, tenant, key) = (RequestId(7), ClassId(0), TenantId(0), Some(Key(1)));
        let expires = clock.now() + SECOND;
        let request = Request {
            id,
            class,
            tenant,
            key,
            expires_at: expires,
            write: false,
            retry: false,
        };
        let word = Bytes::from_static(b"w");
        let command = Command {
            verb: Verb::Get,
            key: word.clone(),
            id: word.clone(),
            info: word,
            value: None,
        };
        let finished = Rc::new(Cell::new(true));
        drop(receiver);
        let arrival = Arrival {
            request,
            arrived_at: clock.now(),
            command,
            memory: None,
            answer,
            finished,
        };
        inbox
            .send(EngineEvent::Arrived(arrival))
            .await
            .unwrap_or_else(|_| panic!("closed"));
        let known = std::mem::take(&mut config.known);
        spawn_local(engine.run(known, None, inputs, ordered));
        until(|| told.borrow().len() >= 3).await;
        sleep(ms(20)).await;
        assert_eq!(*told.borrow(), ["request", "client gone", "settled, over"]);
        assert_eq!(commands(&log, "cache").len(), 0);
    });
}
