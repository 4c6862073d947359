//! The beat by which a balancer learns how long its loop takes to come round.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use stairfront_overload::{AdmissionController, AdmissionSettings};
use stairfront_policy::interface::{Micros, Settings, MS};
use tracing::info;

use crate::clock::{micros, sleep_until, Clock, Instant};
use crate::counters::Counters;

/// Between two beats. A timer of tokio's is up to a millisecond late by itself.
const BEAT: Duration = Duration::from_millis(10);
const GRAIN: Micros = MS;
/// Part of the tightest aim that a request may lose to the loop, and its bounds: below the one a timer's grain and a
/// busy machine's own delays would count, above the other drains and pings would wait too long.
const AIM_PART: Micros = 25;
const MIN_TARGET: Micros = 5 * MS;
const MAX_TARGET: Micros = 15 * MS;
/// Taking less than this is told in the log, once until all is taken again.
const TOLD_BELOW: f64 = 0.9;

/// The door of a balancer with these settings.
pub fn door(set: &Settings, clock: Clock, seed: u64) -> Rc<RefCell<AdmissionController>> {
    Rc::new(RefCell::new(AdmissionController::new(
        clock.now(),
        door_settings(set, seed),
    )))
}

/// What the settings say to the door; a door that is there keeps its seed.
pub fn door_settings(set: &Settings, seed: u64) -> AdmissionSettings {
    let aim = set
        .classes
        .iter()
        .map(|class| class.latency_objective)
        .min()
        .unwrap_or(MAX_TARGET * AIM_PART);
    AdmissionSettings {
        target: (aim / AIM_PART).clamp(MIN_TARGET, MAX_TARGET),
        quotas: set
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect(),
        class_weights: set
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .collect(),
        max_advice_ms: set.limits.max_retry_after as f64 / MS as f64,
        seed,
    }
}

/// What a balancer knows of itself.
#[derive(Clone)]
pub struct RuntimeHandles {
    pub clock: Clock,
    pub door: Rc<RefCell<AdmissionController>>,
    pub counters: Rc<Counters>,
}

/// Beats for as long as the balancer runs, and tells the door how late each beat was.
pub async fn beat(vitals: RuntimeHandles) {
    let RuntimeHandles {
        clock,
        door,
        counters,
    } = vitals;
    let mut told = false;
    loop {
        let due = Instant::now() + BEAT;
        sleep_until(due).await;
        let late = micros(due.elapsed()) - GRAIN;
        let (part, behind) = {
            let mut door = door.borrow_mut();
            door.record_timer_delay(clock.now(), late);
            (door.admitted_fraction(), door.max_delay())
        };
        counters.loop_behind_us.set(behind.max(0) as u64);
        counters.taking_permille.set((part * 1000.0) as u64);
        if part < TOLD_BELOW && !told {
            told = true;
            info!(
                "behind by {} ms, taking {part:.2} of the requests",
                behind / MS
            );
        } else if part >= 1.0 && told {
            told = false;
            info!(
                "in time again, taking all requests; {} were turned away since the start",
                counters.shed.get()
            );
        }
    }
}
