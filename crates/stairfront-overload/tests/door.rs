//! The door before a loop that can do so much and no more: a plant that gets behind by what it takes beyond that.
use stairfront_overload::{
    AdmissionController, AdmissionDecision, AdmissionSettings, Arrival, Micros,
};

const TICK: Micros = 5_000;
const TARGET: Micros = 10_000;

/// A loop with a capacity, in units of work a second; a served request is one, a refused one a fifth.
struct Loop {
    door: AdmissionController,
    now: Micros,
    behind: f64,
    capacity: f64,
    next: u64,
    retries: bool,
}

#[derive(Default, Debug)]
struct Seen {
    /// Asked and taken, by tenant.
    tenants: [(u32, u32); 2],
    retries: (u32, u32),
    least: (u32, u32),
    worst: Micros,
}

fn part((asked, taken): (u32, u32)) -> f64 {
    f64::from(taken) / f64::from(asked.max(1))
}

impl Loop {
    fn new(capacity: f64) -> Self {
        let set = AdmissionSettings {
            target: TARGET,
            quotas: vec![1.0, 1.0],
            worths: vec![2.0, 1.0],
            most_advice_ms: 1500.0,
            seed: 1,
        };
        Loop {
            door: AdmissionController::new(0, set),
            now: 0,
            behind: 0.0,
            capacity,
            next: 0,
            retries: true,
        }
    }

    /// Requests at a rate for a while; `greedy` of them are of the second tenant.
    fn run(&mut self, rate: f64, seconds: f64, greedy: f64) -> Seen {
        let mut seen = Seen::default();
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
                let taken = self.door.ask(Arrival {
                    tenant: Some(tenant),
                    class,
                    retry,
                }) == AdmissionDecision::Take;
                self.behind += if taken { 1.0 } else { 0.2 };
                let count = |pair: &mut (u32, u32)| *pair = (pair.0 + 1, pair.1 + u32::from(taken));
                count(&mut seen.tenants[tenant]);
                if retry {
                    count(&mut seen.retries);
                }
                if class == 1 {
                    count(&mut seen.least);
                }
            }
            self.behind = (self.behind - self.capacity * TICK as f64 / 1e6).max(0.0);
            let late = (self.behind / self.capacity * 1e6) as Micros;
            seen.worst = seen.worst.max(late);
            self.door.message(late / 2);
            self.door.timer(self.now, late);
        }
        seen
    }
}

#[test]
fn with_room_everything_is_taken_and_a_short_burst_refuses_nobody() {
    let mut plant = Loop::new(10_000.0);
    let seen = plant.run(9_000.0, 5.0, 0.5);
    assert!(
        seen.tenants.iter().all(|tenant| part(*tenant) == 1.0),
        "{seen:?}"
    );
    let seen = plant.run(30_000.0, 0.02, 0.5);
    assert!(
        seen.tenants.iter().all(|tenant| part(*tenant) == 1.0),
        "{seen:?}"
    );
}

#[test]
fn past_its_capacity_the_delay_stays_bounded_and_who_is_in_share_is_served() {
    let mut plant = Loop {
        retries: false,
        ..Loop::new(10_000.0)
    };
    plant.run(9_000.0, 1.0, 0.5);
    // 2.5 times what it carries, three quarters of it of one of two tenants of equal quota.
    plant.run(25_000.0, 2.0, 0.75);
    let seen = plant.run(25_000.0, 5.0, 0.75);
    let [fair, greedy] = seen.tenants.map(part);
    assert!(fair > 0.9 && greedy < 0.35, "{fair} {greedy}: {seen:?}");
    assert!(seen.worst < 4 * TARGET, "{seen:?}");
    let taken: u32 = seen.tenants.iter().map(|(_, taken)| taken).sum();
    // A loop that spends a fifth of a request on each refusal can serve 6,250 a second at most.
    assert!(f64::from(taken) / 5.0 > 0.85 * 6_250.0, "{seen:?}");
}

#[test]
fn with_tenants_in_share_retries_and_what_is_worth_least_go_first() {
    let mut plant = Loop::new(10_000.0);
    plant.run(16_000.0, 2.0, 0.5);
    let seen = plant.run(16_000.0, 5.0, 0.5);
    let all = part(seen.tenants[0]);
    assert!(
        part(seen.retries) < 0.2 && part(seen.least) < all - 0.1 && all > 0.5,
        "{seen:?}"
    );
}

#[test]
fn when_the_surge_ends_all_is_taken_again_within_a_second_and_noise_does_not_swing_it() {
    let mut plant = Loop::new(10_000.0);
    plant.run(40_000.0, 5.0, 0.75);
    assert!(plant.door.part() < 0.5);
    plant.run(8_000.0, 1.0, 0.5);
    let seen = plant.run(8_000.0, 3.0, 0.5);
    assert!(
        seen.tenants.iter().all(|tenant| part(*tenant) == 1.0),
        "{seen:?}"
    );
    // Just past capacity: what is taken stays close to what can be.
    plant.run(12_000.0, 2.0, 0.5);
    let parts: Vec<f64> = (0..20)
        .map(|_| plant.run(12_000.0, 0.25, 0.5))
        .map(|seen| part(seen.tenants[0]))
        .collect();
    let (least, most) = parts.iter().fold((1.0_f64, 0.0_f64), |(a, b), part| {
        (a.min(*part), b.max(*part))
    });
    assert!(least > 0.55 && most <= 1.0, "{parts:?}");
}

#[test]
fn a_refusal_says_when_to_come_back_and_spreads_the_return() {
    let mut plant = Loop::new(1_000.0);
    plant.run(50_000.0, 3.0, 0.5);
    let mut advice = Vec::new();
    for _ in 0..200 {
        if let AdmissionDecision::Refuse { after_ms: Some(ms) } = plant.door.ask(Arrival {
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
