//! Plans, the consensus below them and the attempts that they protect, on a virtual clock and network, with disks that
//! stall, lose what was not synced or come back empty.
//!
//! An observer that sees all attempts checks after each step: no attempt is in flight at a host when work begins there, none
//! begins until the work is done, no more hosts are worked at than the plan allows, and no two members apply different entries
//! at one index. After the last fault the plans must finish.
//!
//! `PLANS_SEEDS=1..10001 cargo test --release -p stairfront-maintenance --test network` plays more seeds.
mod checks;
mod faults;
mod leader;
mod member;
mod operators;
mod processing;
mod world;

use std::ops::Range;

use stairfront_common::time::{Micros, SECOND};

use crate::world::World;

#[test]
fn plans_keep_their_limits_and_finish_under_crashes_cuts_and_lost_disks() {
    let seeds = seeds();
    let count = seeds.end - seeds.start;
    let mut durations = play_all(seeds);
    durations.sort_unstable();
    let seconds = |duration: Option<&Micros>| duration.copied().unwrap_or(0) / SECOND;
    let max = seconds(durations.last());
    let median = seconds(durations.get(durations.len() / 2));
    println!(
        "{} of {count} ended after {median} s (median), {max} s at most; in the rest the log was lost",
        durations.len()
    );
    assert!(
        durations.len() as u64 * 2 > count,
        "the log was lost in most runs, so that nothing was checked"
    );
}

fn seeds() -> Range<u64> {
    let text = std::env::var("PLANS_SEEDS").unwrap_or("1..25".to_string());
    let (from, to) = text.split_once("..").expect("PLANS_SEEDS is FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

/// The times from the last fault to the end of the plans, of all runs whose log was not lost.
fn play_all(seeds: Range<u64>) -> Vec<Micros> {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get());
    std::thread::scope(|scope| {
        let running: Vec<_> = (0..threads)
            .map(|first| {
                let seeds = seeds.clone().skip(first).step_by(threads);
                scope.spawn(move || {
                    seeds
                        .filter_map(|seed| World::new(seed).play())
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        running
            .into_iter()
            .flat_map(|thread| thread.join().expect("a seed failed"))
            .collect()
    })
}
