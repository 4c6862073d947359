//! Single failures of the protocol, each guarded against by one test, on a virtual clock.
mod sim;

use sim::{name, whole, LogContent, LogEntry, Sim, HOST};
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_emulator::group_observer::GroupEvent;
use stairfront_emulator::group_script::{all_links, links_across, GroupAction};
use stairfront_emulator::links::LinkFault;
use stairfront_gossip_membership::OrderError;
use stairfront_gossip_membership::{Event, MemberState, QuorumStatus};

fn lay(sim: &mut Sim, number: u64, pairs: &[(usize, usize)], fault: LinkFault) {
    sim.act(GroupAction::AddLinkFault {
        id: number,
        pairs: pairs.to_vec(),
        fault,
    });
}

fn run_for(sim: &mut Sim, time: Micros) {
    let until = sim.now + time;
    sim.run_until(until);
}

/// Runs in small steps; a condition holds after each.
fn hold_for(sim: &mut Sim, time: Micros, mut holds: impl FnMut(&Sim) -> bool) {
    let end = sim.now + time;
    while sim.now < end {
        run_for(sim, 50 * MS);
        assert!(holds(sim), "at {} ms", sim.now / MS);
    }
}

/// Runs until a condition holds; returns the time that it took.
fn until(sim: &mut Sim, max: Micros, mut holds: impl FnMut(&Sim) -> bool) -> Micros {
    let begin = sim.now;
    while !holds(sim) {
        assert!(sim.now - begin <= max, "not within {} ms", max / MS);
        run_for(sim, 20 * MS);
    }
    sim.now - begin
}

fn nobody_failed(sim: &Sim, except: Option<usize>) -> bool {
    let count = sim.nodes.len();
    (0..count)
        .filter(|at| Some(*at) != except && sim.nodes[*at].core.is_some())
        .all(|at| {
            (0..count)
                .filter(|of| Some(*of) != except && *of != at)
                .all(|of| sim.state(at, of) != MemberState::Failed)
        })
}

fn total_suspicions(sim: &Sim) -> u64 {
    (0..sim.nodes.len())
        .map(|member| sim.core(member).counters().suspicions)
        .sum()
}

fn is_quorum_change(entry: &LogEntry) -> bool {
    matches!(
        entry.content,
        LogContent::Event(Event::QuorumChanged { .. })
    )
}

fn is_conflict(entry: &LogEntry) -> bool {
    matches!(
        entry.content,
        LogContent::Event(Event::NameConflictBegan { .. })
    )
}

fn all_whole(sim: &Sim) -> bool {
    (0..sim.nodes.len()).all(|i| sim.quorum_status(i) == "whole" && nobody_failed(sim, None))
}

#[test]
fn members_with_a_cut_link_stay_alive_by_indirect_probes() {
    let mut sim = whole(5, 1);
    lay(&mut sim, 1, &[(0, 1), (1, 0)], LinkFault::Cut);
    hold_for(&mut sim, 60 * SECOND, |sim| {
        nobody_failed(sim, None) && (0..5).all(|i| sim.quorum_status(i) == "whole")
    });
    // Indirect probes succeed, so that there is not even a suspicion.
    let suspicions = total_suspicions(&sim);
    assert_eq!(suspicions, 0);
}

#[test]
fn a_member_that_receives_and_is_received_by_nobody_is_alone() {
    let mut sim = whole(7, 2);
    let out: Vec<(usize, usize)> = (1..7).map(|to| (0, to)).collect();
    lay(&mut sim, 1, &out, LinkFault::Cut);
    until(&mut sim, 5 * SECOND, |sim| sim.quorum_status(0) == "alone");
    until(&mut sim, 3 * SECOND, |sim| {
        (1..7).all(|i| sim.quorum_status(i) == "majority")
    });
    // Gossip that it receives, also about itself, must not count as contact with the others.
    hold_for(&mut sim, 20 * SECOND, |sim| {
        sim.quorum_status(0) == "alone" && nobody_failed(sim, Some(0))
    });
    sim.act(GroupAction::RemoveLinkFault { id: 1 });
    until(&mut sim, 4 * SECOND, all_whole);
}

#[test]
fn a_stall_of_a_second_is_no_failure_and_one_of_ten_makes_no_other_member_fail() {
    for seed in 0..10 {
        let mut sim = whole(7, seed);
        sim.act(GroupAction::Pause { member: 3 });
        hold_for(&mut sim, SECOND, |sim| nobody_failed(sim, None));
        sim.act(GroupAction::Resume { member: 3 });
        hold_for(&mut sim, 3 * SECOND, |sim| nobody_failed(sim, None));
        sim.act(GroupAction::Pause { member: 3 });
        hold_for(&mut sim, 10 * SECOND, |sim| nobody_failed(sim, Some(3)));
        assert!((0..7)
            .filter(|i| *i != 3)
            .all(|i| sim.state(i, 3) == MemberState::Failed));
        sim.act(GroupAction::Resume { member: 3 });
        // It must not take its own stall for the silence of the others.
        run_for(&mut sim, 100 * MS);
        assert_eq!(sim.quorum_status(3), "settling", "seed {seed}");
        let back = |sim: &Sim| (0..7).all(|i| i == 3 || sim.state(i, 3) == MemberState::Alive);
        until(&mut sim, 2 * SECOND, |sim| {
            assert!(nobody_failed(sim, Some(3)), "seed {seed}");
            back(sim)
        });
        hold_for(&mut sim, 5 * SECOND, |sim| nobody_failed(sim, None));
    }
}

#[test]
fn packet_loss_with_jitter_and_a_starved_member_make_nobody_fail() {
    // A ping is sent up to four times: with a tenth lost, few probes get no ack.
    for (members, loss, time) in [
        (7, 0.1, 100 * SECOND),
        (7, 0.25, 100 * SECOND),
        (60, 0.25, 15 * SECOND),
    ] {
        let mut sim = whole(members, 4);
        lay(
            &mut sim,
            1,
            &all_links(members),
            LinkFault::Loss { chance: loss },
        );
        lay(
            &mut sim,
            2,
            &all_links(members),
            LinkFault::Slow {
                latency_ms: 2.0,
                jitter_ms: 50.0,
            },
        );
        hold_for(&mut sim, time, |sim| {
            sim.now % SECOND != 0 || nobody_failed(sim, None)
        });
        let suspicions = total_suspicions(&sim);
        assert!(
            suspicions > 0 || loss < 0.2,
            "the links were too good to test anything"
        );
    }
    let mut sim = whole(7, 5);
    // A twentieth of a core: it runs for 5 ms of each 100.
    for _ in 0..300 {
        sim.act(GroupAction::Pause { member: 2 });
        run_for(&mut sim, 95 * MS);
        sim.act(GroupAction::Resume { member: 2 });
        run_for(&mut sim, 5 * MS);
        assert!(nobody_failed(&sim, None));
    }
}

#[test]
fn both_sides_of_a_partition_know_their_quorum_status_and_agree_soon_after_it_heals() {
    for seed in 0..6 {
        let mut sim = whole(7, seed);
        let side = [0, 2, 5];
        lay(&mut sim, 1, &links_across(7, &side), LinkFault::Cut);
        let right = |sim: &Sim| {
            (0..7).all(|i| {
                sim.quorum_status(i)
                    == if side.contains(&i) {
                        "minority"
                    } else {
                        "majority"
                    }
            })
        };
        until(&mut sim, 5 * SECOND, right);
        hold_for(&mut sim, 10 * SECOND, right);
        // After the partition each side asserts that the other side's members have failed.
        sim.act(GroupAction::RemoveLinkFault { id: 1 });
        until(&mut sim, 3 * SECOND, |sim| nobody_failed(sim, None));
        hold_for(&mut sim, 2 * SECOND, |sim| nobody_failed(sim, None));
        until(&mut sim, SECOND, all_whole);
    }
}

#[test]
fn a_moving_partition_leaves_no_two_sides_with_a_quorum() {
    let mut sim = whole(7, 9);
    let mut last = 0;
    for step in 0..12u64 {
        let side: Vec<usize> = (0..3).map(|i| (i + step as usize) % 7).collect();
        lay(&mut sim, step + 1, &links_across(7, &side), LinkFault::Cut);
        sim.act(GroupAction::RemoveLinkFault { id: last });
        last = step + 1;
        run_for(&mut sim, 6 * SECOND);
        for i in 0..7 {
            let has_quorum = matches!(sim.quorum_status(i), "whole" | "majority");
            assert_eq!(
                has_quorum,
                !side.contains(&i),
                "step {step}, b{i}: {}",
                sim.quorum_status(i)
            );
        }
    }
}

#[test]
fn a_flapping_link_does_not_flap_the_quorum_status() {
    let mut sim = whole(5, 3);
    lay(
        &mut sim,
        1,
        &links_across(5, &[4]),
        LinkFault::Flap { period_ms: 600.0 },
    );
    let before = sim.log.len();
    run_for(&mut sim, 60 * SECOND);
    let changes = sim.log[before..]
        .iter()
        .filter(|entry| entry.member != 4 && is_quorum_change(entry))
        .count();
    assert!(
        changes <= 8,
        "{changes} changes of the quorum status in a minute"
    );
}

#[test]
fn two_processes_with_one_name_are_detected_at_both_and_no_member_flaps() {
    let mut sim = whole(5, 6);
    sim.act(GroupAction::StartDuplicate { member: 1 });
    run_for(&mut sim, 5 * SECOND);
    let conflicts = |sim: &Sim| sim.log.iter().filter(|entry| is_conflict(entry)).count();
    assert_eq!(conflicts(&sim), 2);
    assert!(!matches!(sim.quorum_status(1), "whole" | "majority"));
    let incarnation = |sim: &Sim| {
        let report = sim.core(0).report(sim.now);
        report
            .members
            .into_iter()
            .find(|member| member.name == name(1))
            .unwrap()
            .incarnation
    };
    let incarnation_before = incarnation(&sim);
    hold_for(&mut sim, 60 * SECOND, |sim| nobody_failed(sim, None));
    assert!(
        incarnation(&sim) - incarnation_before <= 2,
        "they refute each other without end"
    );
    assert_eq!(conflicts(&sim), 2, "logged once");
    lay(&mut sim, 1, &all_links(5), LinkFault::Loss { chance: 0.1 });
    hold_for(&mut sim, 30 * SECOND, |sim| nobody_failed(sim, None));
    assert_eq!(conflicts(&sim), 2, "a lost notice ended the conflict");
    sim.act(GroupAction::RemoveLinkFault { id: 1 });
    // The order is not done for the group while one of the two may not have applied it.
    sim.order(0, true);
    run_for(&mut sim, 3 * SECOND);
    assert!(sim
        .core(0)
        .progress(1)
        .is_some_and(|progress| !progress.done));
    sim.act(GroupAction::StopDuplicate { member: 1 });
    until(&mut sim, 6 * SECOND, all_whole);
}

#[test]
fn a_restart_after_its_clock_was_set_back_gets_a_higher_incarnation() {
    let mut sim = whole(5, 7);
    sim.act(GroupAction::Kill {
        member: 2,
        empty: true,
    });
    run_for(&mut sim, 200 * MS);
    sim.step_clocks_back(3600 * SECOND);
    sim.act(GroupAction::Start { member: 2 });
    until(&mut sim, 3 * SECOND, |sim| {
        (0..5).all(|i| sim.quorum_status(i) == "whole")
    });
    hold_for(&mut sim, 10 * SECOND, |sim| nobody_failed(sim, None));
    let report = sim.core(0).report(sim.now);
    assert!(
        report.members[2].incarnation > 1_700_000_000_000,
        "not above the former one"
    );
}

#[test]
fn of_a_cordon_and_a_lift_on_two_sides_of_a_partition_the_cordon_stands() {
    let mut sim = whole(7, 8);
    assert!(sim.order(0, true));
    run_for(&mut sim, SECOND);
    lay(&mut sim, 1, &links_across(7, &[5, 6]), LinkFault::Cut);
    until(&mut sim, 6 * SECOND, |sim| {
        sim.quorum_status(6) == "minority" && sim.quorum_status(0) == "majority"
    });
    // A member without a majority must not lift, and a lift must not remove a cordon that it has not observed.
    let now = sim.now;
    let refused = sim.nodes[6].core.as_mut().unwrap().order(now, HOST, false);
    assert_eq!(
        refused,
        Err(OrderError::NoMajority(QuorumStatus::Minority)),
        "no lift without a majority"
    );
    assert!(sim.order(6, true));
    assert!(sim.order(0, false));
    run_for(&mut sim, 2 * SECOND);
    assert!(!sim.is_cordoned(0) && sim.is_cordoned(5) && sim.is_cordoned(6));
    sim.act(GroupAction::RemoveLinkFault { id: 1 });
    until(&mut sim, 4 * SECOND, |sim| {
        (0..7).all(|i| sim.is_cordoned(i))
    });
    until(&mut sim, 3 * SECOND, all_whole);
    assert!(sim.order(3, false));
    until(&mut sim, 2 * SECOND, |sim| {
        (0..7).all(|i| !sim.is_cordoned(i))
    });
}

#[test]
fn half_of_the_roster_has_no_majority() {
    let mut sim = whole(6, 11);
    for who in 0..6 {
        sim.act(GroupAction::Kill {
            member: who,
            empty: who % 2 == 0,
        });
    }
    run_for(&mut sim, SECOND);
    for who in [1, 3, 5] {
        sim.act(GroupAction::Start { member: who });
    }
    run_for(&mut sim, 8 * SECOND);
    assert!(
        [1, 3, 5]
            .into_iter()
            .all(|i| sim.quorum_status(i) == "minority"),
        "half is taken for a majority"
    );
    for who in [0, 2, 4] {
        sim.act(GroupAction::Start { member: who });
    }
    until(&mut sim, 6 * SECOND, all_whole);
}

/// On a virtual clock with the emulator's links, not measured on processes.
#[test]
fn a_killed_member_is_failed_at_all_others_in_five_seconds_at_a_cost_independent_of_group_size() {
    let mut rates = Vec::new();
    // Few in CI; `GROUP_KILLS=60 cargo test --release -p stairfront-gossip-membership --test hard_cases` has more, and a group of 300.
    let more: Option<usize> = std::env::var("GROUP_KILLS")
        .ok()
        .and_then(|text| text.parse().ok());
    let sizes = match more {
        Some(kills) => vec![(7, kills), (60, kills), (300, kills.min(10))],
        None => vec![(7, 10), (60, 3)],
    };
    for (members, kills) in sizes {
        let mut sim = whole(members, 13);
        let before: u64 = sim.nodes.iter().map(|node| node.datagrams).sum();
        run_for(&mut sim, 5 * SECOND);
        let sent: u64 = sim.nodes.iter().map(|node| node.datagrams).sum();
        rates.push((sent - before) as f64 / members as f64 / 5.0);
        let mut times = Vec::new();
        for kill in 0..kills {
            let who = kill * 7 % members;
            sim.act(GroupAction::Kill {
                member: who,
                empty: false,
            });
            let all = |sim: &Sim| {
                (0..members).all(|i| i == who || sim.state(i, who) == MemberState::Failed)
            };
            times.push(until(&mut sim, 10 * SECOND, all) / MS);
            sim.act(GroupAction::Start { member: who });
            run_for(&mut sim, 4 * SECOND);
        }
        times.sort();
        println!(
            "{members}: median {} ms, max {} ms of {kills}",
            times[times.len() / 2],
            times[times.len() - 1]
        );
        let p99 = times[(times.len() * 99).div_ceil(100) - 1];
        println!("{members}: p99 {p99} ms");
        assert!(members > 60 || p99 <= 5000, "{times:?}");
    }
    println!("datagrams a second and member: {rates:?}");
    assert!(rates.iter().all(|rate| *rate < rates[0] * 1.2), "{rates:?}");
}

/// The observer is notified of each order that is done, and of each member that still sends requests.
#[test]
fn a_cordon_is_not_done_before_a_stalled_member_has_confirmed_it() {
    let mut sim = whole(5, 14);
    sim.act(GroupAction::Pause { member: 4 });
    assert!(sim.order(0, true));
    run_for(&mut sim, 8 * SECOND);
    assert_eq!(sim.state(0, 4), MemberState::Failed);
    let done = |sim: &Sim| sim.core(0).progress(1).unwrap().done;
    assert!(!done(&sim), "a failed member may still send requests");
    sim.act(GroupAction::Resume { member: 4 });
    until(&mut sim, 3 * SECOND, done);
    sim.observer.observe(sim.now, GroupEvent::FaultsFinished);
    sim.until_whole(5 * SECOND);
    assert_eq!(sim.finish().violations, 0);
}

/// An order that was lost on its way to one member would never be done, or would be taken for done.
#[test]
fn an_order_is_retransmitted_until_all_members_have_confirmed_it() {
    let mut sim = whole(7, 15);
    let bursts = LinkFault::Bursts {
        chance: 0.07,
        datagrams: 6.0,
    };
    lay(&mut sim, 1, &links_across(7, &[6]), LinkFault::Cut);
    lay(&mut sim, 2, &all_links(7), bursts);
    assert!(sim.order(0, true));
    let progress = |sim: &Sim| sim.core(0).progress(1).unwrap();
    until(&mut sim, 4 * SECOND, |sim| progress(sim).missing.len() == 1);
    assert_eq!(progress(&sim).missing[0].name, name(6));
    run_for(&mut sim, 4 * SECOND);
    assert!(!progress(&sim).done);
    sim.act(GroupAction::RemoveLinkFault { id: 1 });
    until(&mut sim, 4 * SECOND, |sim| progress(sim).done);
}

/// A member that receives acks late would suspect all others, and the whole group would learn of it.
#[test]
fn a_member_that_receives_acks_late_doubts_its_own_health_first() {
    let mut sim = whole(7, 16);
    let late = LinkFault::Slow {
        latency_ms: 255.0,
        jitter_ms: 10.0,
    };
    lay(&mut sim, 1, &links_across(7, &[0]), late);
    run_for(&mut sim, 60 * SECOND);
    let counters = sim.core(0).counters();
    assert!(
        counters.probes > 100 && counters.probes_failed * 10 < counters.probes * 7,
        "{counters:?}"
    );
    assert!(nobody_failed(&sim, None));
}

/// A member that missed an order for a moment, and never failed, would go on sending requests to a cordoned host.
#[test]
fn cordon_sets_that_differ_are_made_equal_before_the_next_push_pull() {
    let mut sim = whole(7, 17);
    let deaf: Vec<(usize, usize)> = (0..6).map(|from| (from, 6)).collect();
    lay(&mut sim, 1, &deaf, LinkFault::Cut);
    assert!(sim.order(0, true));
    run_for(&mut sim, SECOND);
    sim.act(GroupAction::Kill {
        member: 0,
        empty: true,
    });
    sim.act(GroupAction::RemoveLinkFault { id: 1 });
    assert!(sim.is_cordoned(1) && !sim.is_cordoned(6));
    until(&mut sim, 1500 * MS, |sim| sim.is_cordoned(6));
}

/// A member that restarts without its record would take its empty cordon set for the group's.
#[test]
fn a_start_is_not_bootstrapped_before_a_majority_has_sent_its_cordons() {
    let mut sim = whole(7, 18);
    assert!(sim.order(0, true));
    run_for(&mut sim, SECOND);
    sim.act(GroupAction::Kill {
        member: 3,
        empty: true,
    });
    sim.act(GroupAction::Start { member: 3 });
    assert!(!sim.core(3).is_bootstrapped());
    until(&mut sim, 300 * MS, |sim| sim.core(3).is_bootstrapped());
    assert!(sim.is_cordoned(3));
}
