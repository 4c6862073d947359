//! Random scripts of overlapping faults, checked by the observer; a failing seed is the bug report.
mod sim;

use sim::{Sim, HOST};
use stairfront_common::random::SeededRng;
use stairfront_common::time::{Micros, SECOND};
use stairfront_emulator::group_observer::{GroupEvent, GroupLimits, GroupObserver, GroupReport};
use stairfront_emulator::group_script::{FaultBudget, GroupScript, RECOVERY_TIMEOUT};

/// Seeds of the scripts: some in CI, more by `GROUP_SEEDS=1..2000 cargo test --release -p stairfront-gossip-membership --test scripts`.
fn seeds(usual: std::ops::Range<u64>) -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("GROUP_SEEDS") else {
        return usual;
    };
    let (from, to) = text.split_once("..").expect("GROUP_SEEDS is FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

fn play(seed: u64, members: usize) -> (GroupScript, GroupReport, Sim) {
    let script = GroupScript::draw(seed, members, FaultBudget::default(), 6 * SECOND);
    let mut sim = Sim::new(members, seed);
    sim.start_all();
    sim.play(&script);
    let mut rng = SeededRng::for_part(seed, "operators");
    while sim.now < script.end().max(8 * SECOND) {
        let until = sim.now + 500_000 + rng.below(3_000_000_u64) as Micros;
        sim.run_until(until.min(script.end().max(8 * SECOND)));
        let member = rng.below(members as u64) as usize;
        let cordon = rng.happens(0.6);
        sim.order(member, cordon);
    }
    sim.begin_quiet();
    sim.until_whole(RECOVERY_TIMEOUT + SECOND);
    let observer = std::mem::replace(
        &mut sim.observer,
        GroupObserver::new(Vec::new(), GroupLimits::default()),
    );
    let report = observer.finish(sim.now);
    (script, report, sim)
}

#[test]
fn no_random_script_of_faults_leaves_a_member_with_a_wrong_view() {
    let mut checks = (0, 0, 0, 0);
    let mut failed = Vec::new();
    let mut slowest: f64 = 0.0;
    // Three seeds that once failed: a member that is received by nobody took the others' gossip about each other for contact
    // with them (1903); the address of a failed member made it alive at one that had just started (691); two lost datagrams
    // ended a bare majority (1160).
    for seed in seeds(1..60).chain([691, 1160, 1903]) {
        let members = 5 + (seed % 5) as usize;
        let (script, report, sim) = play(seed, members);
        if std::env::var("GROUP_LOG").is_ok() {
            for entry in &sim.log {
                let ms = entry.at as f64 / 1e3;
                println!("{ms:9.1} b{}: {:?}", entry.member, entry.content);
            }
        }
        let f = &report.metrics;
        checks.0 += f.judged_alive;
        checks.1 += f.judged_dead;
        checks.2 += f.judged_quorum;
        checks.3 += f.confirmed_cordons;
        slowest = slowest.max(f.complete_after_ms.unwrap_or(f64::INFINITY));
        if report.violations > 0 {
            println!(
                "seed {seed}, {members} members:\n{}\n{}",
                script.describe().join("\n"),
                report.examples[0]
            );
            failed.push(seed);
        }
    }
    println!("checks {checks:?}, whole again after {slowest:.0} ms at most");
    assert!(failed.is_empty(), "seeds {failed:?}");
    // A check that is never made finds nothing.
    assert!(
        checks.0 > 1000 && checks.1 > 100 && checks.2 > 1000 && checks.3 > 10,
        "{checks:?}"
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let digest = |seed| {
        let (_, report, sim) = play(seed, 7);
        (format!("{report:?}"), sim.log)
    };
    assert!(digest(3) == digest(3));
    assert!(digest(3) != digest(4));
}

#[test]
fn the_observer_reports_a_request_after_a_confirmed_cordon() {
    let mut sim = sim::whole(5, 1);
    sim.order(0, true);
    let until = sim.now + 2 * SECOND;
    sim.run_until(until);
    sim.observer.observe(
        sim.now,
        GroupEvent::AttemptStarted {
            host: HOST.into(),
            member: 3,
        },
    );
    let report = sim.finish();
    assert_eq!(
        (report.metrics.confirmed_cordons, report.violations),
        (1, 1),
        "{report:?}"
    );
}
