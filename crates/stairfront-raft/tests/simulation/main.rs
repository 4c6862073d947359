//! Voters on a virtual clock: links that lose, duplicate and cut, disks that lose what was not
//! synced, crashes, disks that come back empty. Safety is checked after each step, and after the
//! last fault new entries must be committed everywhere.
mod faults;
#[path = "../support/mod.rs"]
mod support;
mod world;

use std::panic::catch_unwind;

use stairfront_raft::SECOND;

use crate::world::World;

/// Twelve seconds with faults, then the time without.
fn play(seed: u64) -> World {
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut world = World::new(voters, seed);
    world.run_until(12 * SECOND);
    world.converge();
    world
}

/// CI plays some seeds; `AGREEMENT_SEEDS=1..10000 cargo test --release -p stairfront-raft` plays
/// more.
#[test]
fn one_history_under_crashes_cuts_and_lost_disks() {
    let seeds = match std::env::var("AGREEMENT_SEEDS") {
        Ok(text) => {
            let (from, to) = text.split_once("..").expect("AGREEMENT_SEEDS is FROM..TO");
            from.parse::<u64>().unwrap()..to.parse().unwrap()
        }
        Err(_) => 1..60,
    };
    let (mut entries, mut crashes, mut lost_disks, mut changes, mut terms) = (0, 0, 0, 0, 0);
    for seed in seeds {
        let played = catch_unwind(|| play(seed));
        let world = played.unwrap_or_else(|_| panic!("seed {seed}"));
        entries += world.committed.len();
        crashes += world.crashes;
        lost_disks += world.lost_disks;
        changes += world.voter_changes;
        terms += world.leaders.len();
    }
    println!("{entries} entries, {crashes} crashes, {lost_disks} disks lost, {changes} changes of voters, {terms} terms");
    assert!(entries > 1000 && crashes > 50 && lost_disks > 10 && changes > 20 && terms > 100);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let digests = |seed| play(seed).digests;
    assert_eq!(digests(7), digests(7));
    assert_ne!(digests(7), digests(8));
}

/// The simulation finds what it is for: a voter that sends messages before the state they depend on
/// is durable.
#[test]
fn a_voter_that_sends_before_it_has_persisted_is_found() {
    let found = (1..400).any(|seed| {
        catch_unwind(|| {
            let mut world = World::new(3, seed);
            world.sends_before_persisting = true;
            world.run_until(20 * SECOND);
            world.converge();
        })
        .is_err()
    });
    assert!(found);
}

/// On a link that duplicates, answers to duplicated answers multiplied; a leader's disk fell 1,890
/// writes behind.
#[test]
fn duplicated_responses_do_not_multiply() {
    play(6208);
}

/// A voter that counted before it had the log left, with one more disk lost, no majority that could
/// elect a leader.
#[test]
fn a_new_voter_counts_only_once_it_has_the_log() {
    play(46);
}
