//! Admission before an event loop of fixed capacity: a simulated loop that falls backlog by what it admits beyond that.
use stairfront_common::time::Micros;
use stairfront_overload::{AdmissionController, AdmissionDecision, AdmissionSettings, Arrival};

const TICK: Micros = 5_000;
const TARGET: Micros = 10_000;

/// A loop with a capacity, in units of work a second; a served request is one, a refused one a fifth.
struct EventLoop {
    admission: AdmissionController,
    now: Micros,
    backlog: f64,
    capacity: f64,
    next: u64,
    retries: bool,
}

#[derive(Default, Debug)]
struct Counts {
    /// Asked and admitted, by tenant.
    tenants: [(u32, u32); 2],
    retries: (u32, u32),
    lowest_class: (u32, u32),
    max_delay: Micros,
}

fn fraction((asked, admitted): (u32, u32)) -> f64 {
    f64::from(admitted) / f64::from(asked.max(1))
}

impl EventLoop {
    fn new(capacity: f64) -> Self {
        let settings = AdmissionSettings {
            target: TARGET,
            quotas: vec![1.0, 1.0],
            class_weights: vec![2.0, 1.0],
            max_advice_ms: 1500.0,
            seed: 1,
        };
        EventLoop {
            admission: AdmissionController::new(0, settings),
            now: 0,
            backlog: 0.0,
            capacity,
            next: 0,
            retries: true,
        }
    }

    /// Requests at a rate for a while; `greedy` of them are of the second tenant.
    fn run(&mut self, rate: f64, seconds: f64, greedy: f64) -> Counts {
        let mut counts = Counts::default();
        let end = self.now + (seconds * 1e6) as Micros;
        let mut due = 0.0;
        while self.now < end {
            self.now += TICK;
            due += rate * TICK as f64 / 1e6;
            while due >= 1.0 {
                due -= 1.0;
                self.next += 1;
                let tenant = usize::from((self.next as f64 * 0.618_034).fract() < greedy);
                let (retry, class) = (
                    self.retries && self.next.is_multiple_of(7),
                    usize::from(self.next.is_multiple_of(5)),
                );
                let admitted = self.admission.admit(Arrival {
                    tenant: Some(tenant),
                    class,
                    retry,
                }) == AdmissionDecision::Admit;
                self.backlog += if admitted { 1.0 } else { 0.2 };
                let count =
                    |pair: &mut (u32, u32)| *pair = (pair.0 + 1, pair.1 + u32::from(admitted));
                count(&mut counts.tenants[tenant]);
                if retry {
                    count(&mut counts.retries);
                }
                if class == 1 {
                    count(&mut counts.lowest_class);
                }
            }
            self.backlog = (self.backlog - self.capacity * TICK as f64 / 1e6).max(0.0);
            let late = (self.backlog / self.capacity * 1e6) as Micros;
            counts.max_delay = counts.max_delay.max(late);
            self.admission.record_message_delay(late / 2);
            self.admission.record_timer_delay(self.now, late);
        }
        counts
    }
}

#[test]
fn below_capacity_everything_is_admitted_and_a_short_burst_rejects_nothing() {
    let mut event_loop = EventLoop::new(10_000.0);
    let counts = event_loop.run(9_000.0, 5.0, 0.5);
    assert!(
        counts.tenants.iter().all(|tenant| fraction(*tenant) == 1.0),
        "{counts:?}"
    );
    let counts = event_loop.run(30_000.0, 0.02, 0.5);
    assert!(
        counts.tenants.iter().all(|tenant| fraction(*tenant) == 1.0),
        "{counts:?}"
    );
}

#[test]
fn beyond_capacity_the_delay_stays_bounded_and_tenants_within_their_quota_are_served() {
    let mut event_loop = EventLoop {
        retries: false,
        ..EventLoop::new(10_000.0)
    };
    event_loop.run(9_000.0, 1.0, 0.5);
    // 2.5 times what it carries, three quarters of it of one of two tenants of equal quota.
    event_loop.run(25_000.0, 2.0, 0.75);
    let counts = event_loop.run(25_000.0, 5.0, 0.75);
    let [fair, greedy] = counts.tenants.map(fraction);
    assert!(fair > 0.9 && greedy < 0.35, "{fair} {greedy}: {counts:?}");
    assert!(counts.max_delay < 4 * TARGET, "{counts:?}");
    let admitted: u32 = counts.tenants.iter().map(|(_, admitted)| admitted).sum();
    // A loop that spends a fifth of a request on each refusal can serve 6,250 a second at most.
    assert!(f64::from(admitted) / 5.0 > 0.85 * 6_250.0, "{counts:?}");
}

#[test]
fn with_all_tenants_within_quota_retries_and_low_priority_classes_are_rejected_first() {
    let mut event_loop = EventLoop::new(10_000.0);
    event_loop.run(16_000.0, 2.0, 0.5);
    let counts = event_loop.run(16_000.0, 5.0, 0.5);
    let all = fraction(counts.tenants[0]);
    assert!(
        fraction(counts.retries) < 0.2 && fraction(counts.lowest_class) < all - 0.1 && all > 0.5,
        "{counts:?}"
    );
}

#[test]
fn after_a_surge_everything_is_admitted_within_a_second_and_noise_causes_no_oscillation() {
    let mut event_loop = EventLoop::new(10_000.0);
    event_loop.run(40_000.0, 5.0, 0.75);
    assert!(event_loop.admission.admitted_fraction() < 0.5);
    event_loop.run(8_000.0, 1.0, 0.5);
    let counts = event_loop.run(8_000.0, 3.0, 0.5);
    assert!(
        counts.tenants.iter().all(|tenant| fraction(*tenant) == 1.0),
        "{counts:?}"
    );
    // Just past capacity: what is admitted stays close to what can be.
    event_loop.run(12_000.0, 2.0, 0.5);
    let fractions: Vec<f64> = (0..20)
        .map(|_| event_loop.run(12_000.0, 0.25, 0.5))
        .map(|counts| fraction(counts.tenants[0]))
        .collect();
    let (least, most) = fractions.iter().fold((1.0_f64, 0.0_f64), |(a, b), part| {
        (a.min(*part), b.max(*part))
    });
    assert!(least > 0.55 && most <= 1.0, "{fractions:?}");
}

#[test]
fn a_rejection_carries_retry_advice_that_spreads_the_retries() {
    let mut event_loop = EventLoop::new(1_000.0);
    event_loop.run(50_000.0, 3.0, 0.5);
    let mut advice = Vec::new();
    for _ in 0..200 {
        if let AdmissionDecision::Reject {
            retry_after_ms: Some(ms),
        } = event_loop.admission.admit(Arrival {
            tenant: Some(1),
            class: 1,
            retry: true,
        }) {
            advice.push(ms);
        }
    }
    let (least, most) = (advice.iter().min().unwrap(), advice.iter().max().unwrap());
    assert!(
        advice.len() > 150 && *most <= 1500 && most - least > 400,
        "{least} to {most}"
    );
}
