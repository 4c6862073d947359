//! The connections of processes of one balancer during an upgrade, which have one limit together.
use std::net::SocketAddr;
use std::rc::Rc;

use stairfront_balancer::configuration::limits::SECOND_PROCESS_DESCRIPTORS;
use stairfront_balancer::counters::Counters;
use stairfront_balancer::lifecycle::handover::OtherProcess;
use stairfront_balancer::messages::EngineEvent;
use stairfront_balancer::transport::Tcp;
use stairfront_balancer::upstream::upstream_pool::{
    PoolSettings, Protocol, UpstreamPool, UpstreamTarget,
};
use stairfront_test_support::loopback::{cache, hit, ms, run, Log, Step};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;

use crate::fixture::{self, end, job, CACHE};

/// The pool of one process.
struct Process {
    pool: UpstreamPool<Tcp>,
    events: mpsc::Receiver<EngineEvent>,
    counters: Rc<Counters>,
    /// Attempts are cancelled as these are dropped.
    attempts: Vec<oneshot::Sender<()>>,
}

impl Process {
    fn start(host: SocketAddr, max_connections: usize, held_by_predecessor: usize) -> Self {
        let settings = PoolSettings {
            held_by_predecessor,
            ..fixture::settings(max_connections)
        };
        let counters = Rc::<Counters>::default();
        let (sender, events) = mpsc::channel(16);
        let mut pool = UpstreamPool::new(Tcp, settings, Vec::new(), sender, Rc::clone(&counters));
        let target = UpstreamTarget {
            address: host,
            protocol: Protocol::Resp,
        };
        pool.set_target(CACHE, target);
        Process {
            pool,
            events,
            counters,
            attempts: Vec::new(),
        }
    }

    fn dispatch(&mut self, count: usize) {
        for _ in 0..count {
            let (job, attempt) = job(self.attempts.len() as u32);
            assert!(self.pool.dispatch(job).is_none());
            self.attempts.push(attempt);
        }
    }

    fn open(&self) -> usize {
        self.counters.server_connections_open.get() as usize
    }
}

/// What a second process takes for itself; less where that would be over half of its part.
fn own_descriptors(max_connections: usize) -> usize {
    SECOND_PROCESS_DESCRIPTORS.min(max_connections / 4)
}

/// A successor counts on what the processes before it do not have: of the descriptors, all of them and their own ones.
#[test]
fn processes_of_upgrades_behind_each_other_take_more_connections_than_one() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let new_pool =
        |max, held_by_predecessor| Process::start(nowhere, max, held_by_predecessor).pool;
    for max in [8, 30, 142, 680] {
        let held_for_second = new_pool(max, 0).share_connections();
        let held_for_third = new_pool(max, held_for_second).share_connections();
        // Each keeps half at least of what it has.
        let (second, third) = (max - held_for_second, max - held_for_third);
        assert!(
            second <= max / 2 && third <= second / 2 + 1,
            "{max}: {second}, {third}"
        );
        assert!(second > 0, "{max}");
        let own = max / 2 - second;
        assert!(own >= own_descriptors(max), "{max}: {own}");
    }
}

/// Guards against more descriptors than the limit: what the second process takes for itself was taken from its connections,
/// and the first one used as many more.
#[test]
fn two_processes_with_all_attempts_in_use_open_more_than_the_limit() {
    run(async {
        let host = cache("cache", &Log::default(), |_, _| Step::Silence).await;
        for max in [8, 30, 142, 200] {
            let mut old = Process::start(host, max, 0);
            let held = old.pool.share_connections();
            let mut new = Process::start(host, max, held);
            old.dispatch(max);
            new.dispatch(max);
            let (olds, news) = (old.open(), new.open());
            assert!(
                olds + news + own_descriptors(max) <= max,
                "{max}: {olds} and {news}"
            );
            // A successor that has ended leaves everything.
            let mut ends = Vec::new();
            old.pool
                .take_connections_of(OtherProcess::Successor, &mut ends);
            assert_eq!(old.open(), max);
        }
    });
}

/// Guards against requests that are refused at the new process while the old one, which answers its last few, keeps half of
/// all connections.
#[test]
fn connections_that_the_old_process_needs_no_more_stay_unused() {
    run(async {
        let host = cache("cache", &Log::default(), |_, words| {
            match words[0].as_str() {
                "C.GET" => hit("value"),
                _ => Step::Silence,
            }
        })
        .await;
        let max = 142;
        let mut old = Process::start(host, max, 0);
        old.dispatch(6);
        for _ in 0..6 {
            end(&mut old.pool, &mut old.events).await;
        }
        let held = old.pool.share_connections();
        let mut new = Process::start(host, max, held);
        new.dispatch(max);
        let before = new.open();
        let mut released = 0;
        // Idle connections are left once they are closed.
        for _ in 0..20 {
            let count = old.pool.release_connections(2);
            new.pool.take_released(count, &mut Vec::new());
            released += count;
            sleep(ms(5)).await;
            while let Ok(EngineEvent::Pool(event)) = old.events.try_recv() {
                old.pool.handle(event, &mut Vec::new());
            }
        }
        assert_eq!(old.open(), 4, "kept for the last requests");
        assert_eq!(new.open(), before + released);
        assert_eq!(new.open(), max - 4 - own_descriptors(max));
        old.dispatch(max);
        assert_eq!(old.open(), 4);
    });
}
