//! Measures how late the event loop of the balancer comes round, and reports it to the admission controller; and how near
//! resident memory is to the limit.
use std::cell::RefCell;
use std::rc::Rc;

use stairfront_common::time::{from_duration, Micros, MS};
use stairfront_overload::{AdmissionController, AdmissionSettings};
use stairfront_policy::interface::Settings;
use tracing::info;

use crate::arrival::{PollClock, TICK_INTERVAL};
use crate::clock::{sleep_until, Clock, Instant};
use crate::counters::Counters;
use crate::memory::ledger::MemoryLedger;
use crate::memory::resident::{MemoryWatch, ResidentMemory};

/// Lateness that every timer of tokio's has.
const TIMER_GRANULARITY: Micros = MS;
/// The tightest latency objective divided by this is the delay that a request may lose to the loop. It is bounded: below
/// the lower bound a timer's granularity and a busy machine's own delays would count, above the upper one draining and
/// health checks would wait too long.
const OBJECTIVE_DIVISOR: Micros = 25;
const MIN_TARGET: Micros = 5 * MS;
const MAX_TARGET: Micros = 15 * MS;
/// A measurement that is late by this is a stall: the process or its machine stood still, or one turn of the loop was long.
const STALL_THRESHOLD: Micros = 100 * MS;
/// Admitting less than this fraction is logged, once until all is admitted again.
const LOG_THRESHOLD: f64 = 0.9;

/// The admission controller of a balancer with these settings.
pub fn admission_controller(
    settings: &Settings,
    clock: Clock,
    seed: u64,
) -> Rc<RefCell<AdmissionController>> {
    Rc::new(RefCell::new(AdmissionController::new(
        clock.now(),
        admission_settings(settings, seed),
    )))
}

/// The part of the settings that an admission controller needs; one that exists already keeps its seed.
pub fn admission_settings(settings: &Settings, seed: u64) -> AdmissionSettings {
    let tightest_objective = settings
        .classes
        .iter()
        .map(|class| class.latency_objective)
        .min()
        .unwrap_or(MAX_TARGET * OBJECTIVE_DIVISOR);
    AdmissionSettings {
        target: (tightest_objective / OBJECTIVE_DIVISOR).clamp(MIN_TARGET, MAX_TARGET),
        quotas: settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect(),
        class_weights: settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .collect(),
        max_advice_ms: settings.limits.max_retry_after as f64 / MS as f64,
        seed,
    }
}

/// Handles that most parts of a balancer need: clocks, the admission controller and the counters.
#[derive(Clone)]
pub struct RuntimeHandles {
    /// The one clock.
    pub clock: Clock,
    /// Decides what is admitted while this balancer itself is behind.
    pub admission: Rc<RefCell<AdmissionController>>,
    /// The counters of this process.
    pub counters: Rc<Counters>,
    /// When the event loop has polled the network; ticked here.
    pub polls: Rc<PollClock>,
    /// The memory that is reserved for peers.
    pub memory: Rc<MemoryLedger>,
    /// The memory that the kernel counts.
    pub resident: Rc<ResidentMemory>,
}

/// Measures for as long as the balancer runs, and reports to the admission controller how late each measurement was.
pub async fn run(handles: RuntimeHandles) {
    let RuntimeHandles {
        clock,
        admission,
        counters,
        polls,
        memory,
        resident,
    } = handles;
    let mut memory_watch = MemoryWatch::new(memory, resident, Rc::clone(&counters));
    let mut logged = false;
    let mut stalls: u64 = 0;
    loop {
        let due = Instant::now() + TICK_INTERVAL;
        sleep_until(due).await;
        polls.tick();
        memory_watch.check();
        let delay = from_duration(due.elapsed()) - TIMER_GRANULARITY;
        if delay >= STALL_THRESHOLD {
            stalls += 1;
            info!(stalled_ms = delay / MS, stalls, "event loop stalled");
        }
        let (admitted, behind) = {
            let mut admission = admission.borrow_mut();
            admission.record_timer_delay(clock.now(), delay);
            (admission.admitted_fraction(), admission.max_delay())
        };
        counters.loop_behind_us.set(behind.max(0) as u64);
        counters.taking_permille.set((admitted * 1000.0) as u64);
        if admitted < LOG_THRESHOLD && !logged {
            logged = true;
            info!(
                behind_ms = behind / MS,
                admitted = format_args!("{admitted:.2}"),
                "event loop is behind, shedding load"
            );
        } else if admitted >= 1.0 && logged {
            logged = false;
            info!(
                shed = counters.shed.get(),
                "event loop is in time again, admitting all requests"
            );
        }
    }
}
