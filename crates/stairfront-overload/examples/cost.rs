//! What the admission costs a request: one message told and one question asked, open and while it refuses most.
use std::hint::black_box;
use std::time::Instant;

use stairfront_overload::{AdmissionController, AdmissionSettings, Arrival};

const ROUNDS: u32 = 5_000_000;

fn main() {
    let set = AdmissionSettings {
        target: 10_000,
        quotas: vec![1.0; 8],
        class_weights: vec![2.0, 1.0],
        max_advice_ms: 1500.0,
        seed: 1,
    };
    for (name, growth) in [("open", 0), ("refusing", 20_000)] {
        let mut admission = AdmissionController::new(0, set.clone());
        for beat in 1..200 {
            admission.record_timer_delay(beat * 10_000, beat * growth);
        }
        let start = Instant::now();
        for i in 0..ROUNDS {
            admission.record_message_delay(black_box(100));
            let (tenant, class, retry) = (Some((i % 8) as usize), (i % 2) as usize, i % 5 == 0);
            black_box(admission.admit(Arrival {
                tenant,
                class,
                retry,
            }));
        }
        let ns = start.elapsed().as_nanos() as f64 / f64::from(ROUNDS);
        println!(
            "{name}: {ns:.1} ns a request, taking {:.2}",
            admission.admitted_fraction()
        );
    }
}
