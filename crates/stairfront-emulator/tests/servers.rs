//! The models of the servers, with their faults.
use std::collections::HashMap;

use bytes::Bytes;
use proptest::prelude::*;
use stairfront_common::time::{Micros, MS, SECOND};
use stairfront_emulator::cache_host::{
    is_value_for, Action, CacheHost, CacheSettings, Command, ConnectionId, IdempotencyStore, Reply,
    ReplySlot, ServerFaults,
};
use stairfront_emulator::discovery_agent::{self, DiscoveryAgent, EndpointRecord, EndpointStatus};
use stairfront_emulator::distributions::ServiceTime;
use stairfront_emulator::origin::{self, Origin, OriginSettings};

fn settings() -> CacheSettings {
    CacheSettings {
        cores: 1,
        hit: ServiceTime::fixed(10.0),
        miss: ServiceTime::fixed(1.0),
        max_queue: 3,
        ..CacheSettings::default()
    }
}

fn host(settings: CacheSettings) -> CacheHost {
    let mut host = CacheHost::new(settings, 1, "c", IdempotencyStore::shared());
    assert!(host.open(0, ConnectionId(1)));
    host
}

fn slot(number: u64) -> ReplySlot {
    ReplySlot {
        connection: ConnectionId(1),
        sequence: number,
    }
}

fn command(key: &str, id: &str, write: bool) -> Command {
    let bytes = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    Command {
        write,
        key: bytes(key),
        id: bytes(id),
        info: bytes("c=read,d=9"),
        value: Bytes::new(),
    }
}

fn send(host: &mut CacheHost, now: Micros, number: u64, key: &str) -> Vec<Action> {
    let mut actions = Vec::new();
    host.handle_command(
        now,
        slot(number),
        command(key, &format!("id{number}"), false),
        &mut actions,
    );
    actions
}

fn advance(host: &mut CacheHost, now: Micros) -> Vec<Action> {
    let mut actions = Vec::new();
    host.advance(now, &mut actions);
    actions
}

#[test]
fn a_value_is_cached_until_it_expires_is_evicted_or_invalidated() {
    let mut host = host(CacheSettings {
        ttl_ms: 100.0,
        max_keys: 2,
        ..settings()
    });
    assert!(send(&mut host, 0, 0, "k").is_empty());
    assert_eq!(
        advance(&mut host, MS),
        [Action::Reply(slot(0), Reply::Miss { report: None })]
    );
    host.fill(2 * MS, &Bytes::from("id0"));
    send(&mut host, 3 * MS, 1, "k");
    assert_eq!(
        host.next_due(),
        Some(13 * MS),
        "work starts when the command comes, however late the driver advances"
    );
    let served = advance(&mut host, 20 * MS);
    let [Action::Reply(
        _,
        Reply::Value {
            value, note: "hit", ..
        },
    )] = &served[..]
    else {
        panic!("{served:?}")
    };
    assert!(is_value_for(value, b"id1") && !is_value_for(value, b"id"));
    // Expired, evicted by two others, or invalidated: each is a miss.
    let missed = |host: &mut CacheHost, now, number| {
        send(host, now, number, "k");
        matches!(
            advance(host, now + 50 * MS)[..],
            [Action::Reply(_, Reply::Miss { .. })]
        )
    };
    assert!(missed(&mut host, 200 * MS, 2));
    host.fill(251 * MS, &Bytes::from("id2"));
    host.preload(252 * MS, Bytes::from("x"));
    host.preload(252 * MS, Bytes::from("y"));
    assert!(missed(&mut host, 253 * MS, 3));
    host.fill(304 * MS, &Bytes::from("id3"));
    host.invalidate_fraction(1.0);
    assert!(missed(&mut host, 305 * MS, 4));
    // A value that did not miss at this host is not stored.
    host.fill(356 * MS, &Bytes::from("elsewhere"));
    assert!(missed(&mut host, 357 * MS, 5));
}

#[test]
fn a_full_queue_and_a_drain_reject_commands() {
    let mut host = host(CacheSettings {
        holds_all_keys: true,
        ..settings()
    });
    let replies: Vec<_> = (0..6)
        .flat_map(|number| send(&mut host, 0, number, "k"))
        .collect();
    assert_eq!(
        replies,
        [
            Action::Reply(slot(4), Reply::Busy),
            Action::Reply(slot(5), Reply::Busy)
        ]
    );
    assert_eq!(
        advance(&mut host, 25 * MS).len(),
        2,
        "one core, ten milliseconds each"
    );
    host.drain(true);
    assert_eq!(
        send(&mut host, 26 * MS, 6, "k"),
        [Action::Reply(slot(6), Reply::Busy)]
    );
    assert_eq!(
        advance(&mut host, SECOND).len(),
        2,
        "work in flight is finished"
    );
}

#[test]
fn a_cold_host_crashes_only_when_overloaded() {
    let overload = |interval: Micros| {
        let mut host = host(CacheSettings {
            holds_all_keys: true,
            max_queue: 100_000,
            overload_window_ms: 1000.0,
            ..settings()
        });
        host.start_cold(0);
        host.open(0, ConnectionId(1));
        let mut crashed = None;
        for i in 0..3 * SECOND / interval {
            let actions = send(&mut host, i * interval, i as u64, "k");
            advance(&mut host, i * interval);
            if actions.contains(&Action::Crashed) {
                crashed = Some(i * interval);
                break;
            }
        }
        (crashed, host.max_cold_load_ratio(), host)
    };
    // It has a fifth of its capacity at first, 20 of these commands per second, and can bear three times as many.
    let (crashed, max_load, _) = overload(SECOND / 40);
    assert!(
        crashed.is_none() && (0.3..0.9).contains(&max_load),
        "{crashed:?} {max_load}"
    );
    let (crashed, max_load, mut host) = overload(SECOND / 120);
    assert!(
        crashed.is_some_and(|at| (SECOND..2 * SECOND).contains(&at)) && max_load > 1.0,
        "{crashed:?} {max_load}"
    );
    assert!(
        !host.open(4 * SECOND, ConnectionId(2)),
        "it stays down until it is started again"
    );
    host.start_cold(20 * SECOND);
    assert!(host.open(20 * SECOND, ConnectionId(2)));
    assert!(
        (
            host.capacity_fraction(20 * SECOND),
            host.capacity_fraction(31 * SECOND)
        ) == (0.2, 1.0)
    );
}

#[test]
fn a_write_with_an_idempotency_key_takes_effect_once_in_its_group() {
    let group = IdempotencyStore::shared();
    let mut effects = Vec::new();
    let mut hosts: Vec<_> = ["a", "b"]
        .map(|name| CacheHost::new(settings(), 1, name, group.clone()))
        .into();
    for (i, host) in [0, 1, 0, 1].into_iter().enumerate() {
        let (now, mut actions) = (i as Micros * 30 * MS, Vec::new());
        let write = Command {
            info: Bytes::from("c=put,k=the-key"),
            ..command("k", &format!("id{i}"), true)
        };
        hosts[host].handle_command(now, slot(i as u64), write, &mut actions);
        hosts[host].advance(now + 20 * MS, &mut actions);
        assert!(actions
            .iter()
            .any(|action| matches!(action, Action::Reply(_, Reply::Value { .. }))));
        effects.extend(
            actions
                .into_iter()
                .filter(|action| matches!(action, Action::Effect { .. })),
        );
    }
    assert_eq!(
        effects,
        [Action::Effect {
            id: Bytes::from("id0"),
            key: Bytes::from("k")
        }]
    );
    let mut actions = Vec::new();
    let write = Command {
        info: Bytes::from("k=the-key"),
        ..command("k", "late", true)
    };
    hosts[0].handle_command(5 * SECOND, slot(9), write, &mut actions);
    hosts[0].advance(6 * SECOND, &mut actions);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Effect { .. })),
        "the key has expired by then"
    );
}

#[test]
fn an_overloaded_origin_stops_and_fails_what_it_may_have_executed() {
    let settings = OriginSettings {
        cores: 1,
        read: ServiceTime::fixed(10.0),
        max_queue: 10_000,
        ..OriginSettings::default()
    };
    let mut origin = Origin::new(settings, 1);
    let request = |id: u64| origin::Request {
        write: id == 0,
        key: Bytes::from("k"),
        id: Bytes::from(id.to_string()),
    };
    let mut actions = Vec::new();
    let mut stopped = None;
    for id in 0..2000 {
        let now = id as Micros * 2500;
        origin.handle_request(now, slot(id), request(id), &mut actions);
        origin.advance(now, &mut actions);
        if actions.contains(&origin::Action::Stopped) {
            stopped = Some(id);
            break;
        }
    }
    let stopped = stopped.expect("four times its capacity");
    let count = |wanted: fn(&origin::Action) -> bool| {
        actions.iter().filter(|action| wanted(action)).count() as u64
    };
    let values = count(|action| matches!(action, origin::Action::Value(..)));
    let failed = count(|action| matches!(action, origin::Action::Failed(_)));
    assert_eq!(
        values + failed,
        stopped,
        "each but the last, which never started"
    );
    assert_eq!(
        actions.last(),
        Some(&origin::Action::NotStarted(slot(stopped)))
    );
    let written = |action: &&origin::Action| matches!(action, origin::Action::Written { .. });
    assert_eq!(actions.iter().filter(written).count(), 1);
}

fn record(name: &str, status: EndpointStatus) -> EndpointRecord {
    EndpointRecord {
        name: name.to_string(),
        address: "127.0.0.1:1".to_string(),
        zone: "a".to_string(),
        kind: "cache".to_string(),
        group: 0,
        status,
        since_ms: 0,
    }
}

/// An agent with two serving hosts and a lag of 300 ms, whose list a balancer has.
fn agent() -> DiscoveryAgent {
    let mut agent = DiscoveryAgent::new(
        vec![
            record("c0", EndpointStatus::Serving),
            record("c1", EndpointStatus::Serving),
        ],
        300 * MS,
    );
    let actions = request(&mut agent, 0, 0, "/api/targets");
    assert!(has_list_with(&actions[0], "\"snapshot\":true"));
    assert_eq!(actions.len(), 3, "the balancer is notified of both hosts");
    agent
}

fn request(
    agent: &mut DiscoveryAgent,
    now: Micros,
    sequence: u64,
    target: &str,
) -> Vec<discovery_agent::Action> {
    let mut actions = Vec::new();
    agent.handle_request(now, slot(sequence), target, &mut actions);
    actions
}

fn has_list_with(action: &discovery_agent::Action, text: &str) -> bool {
    matches!(action, discovery_agent::Action::Answer(_, list) if list.contains(text))
}

#[test]
fn a_held_request_is_answered_once_the_agent_learns_of_a_change() {
    let mut agent = agent();
    let mut actions = request(&mut agent, 0, 1, "/api/targets?from=1&hold_ms=50000");
    agent.change(SECOND, record("c1", EndpointStatus::Draining));
    agent.advance(SECOND, &mut actions);
    assert!(actions.is_empty(), "not before its lag has passed");
    assert_eq!(agent.next_due(), Some(1300 * MS));
    agent.advance(1300 * MS, &mut actions);
    let notified = discovery_agent::Action::Notified {
        name: "c1".to_string(),
        status: EndpointStatus::Draining,
    };
    assert!(actions.len() == 2 && actions[1] == notified, "{actions:?}");
}

#[test]
fn a_silent_or_frozen_agent_reports_missed_changes_afterwards() {
    let mut agent = agent();
    let mut actions = Vec::new();
    agent.change(SECOND, record("c1", EndpointStatus::Draining));
    agent.advance(1300 * MS, &mut actions);
    // A request during the silence is answered at its end, with the changes of the meantime.
    agent.set_silent(2 * SECOND, true, &mut actions);
    actions.extend(request(
        &mut agent,
        2 * SECOND,
        2,
        "/api/targets?from=2&hold_ms=0",
    ));
    agent.change(2 * SECOND, record("c0", EndpointStatus::Removed));
    agent.advance(4 * SECOND, &mut actions);
    assert!(
        actions.is_empty() && agent.next_due().is_none(),
        "{actions:?}"
    );
    agent.set_silent(5 * SECOND, false, &mut actions);
    assert!(has_list_with(&actions[0], "DELETED"), "{actions:?}");
    actions.clear();
    // A frozen list answers with its old content.
    agent.set_frozen(6 * SECOND, true, &mut actions);
    agent.change(6 * SECOND, record("c1", EndpointStatus::Serving));
    actions.extend(request(&mut agent, 7 * SECOND, 3, "/api/targets"));
    assert!(has_list_with(&actions[0], "DRAINING"));
    // A version that the agent never had gets the whole list, and an unknown path an error.
    actions.extend(request(&mut agent, 7 * SECOND, 4, "/api/targets?from=900"));
    actions.extend(request(&mut agent, 7 * SECOND, 5, "/other"));
    let snapshots = actions
        .iter()
        .filter(|action| has_list_with(action, "true"));
    assert_eq!(snapshots.count(), 2);
    assert_eq!(
        actions.last(),
        Some(&discovery_agent::Action::NotFound(slot(5)))
    );
}

proptest! {
    /// Each command ends once, with a reply or with its connection, and nothing waits forever.
    #[test]
    fn each_command_ends_once(
        steps in prop::collection::vec((0..40_u8, 0..30_i64, 0..5_u64), 1..200),
        reset in 0.0..0.3_f64,
        lost in 0.0..0.3_f64,
        fetches in any::<bool>(),
    ) {
        let fetch = fetches.then(|| ServiceTime::fixed(25.0));
        let mut host = CacheHost::new(CacheSettings { fetch, max_keys: 3, ..settings() }, 7, "c", IdempotencyStore::shared());
        host.set_faults(ServerFaults { reset_chance: reset, drop_chance: lost, slowdown: 2.0, ..ServerFaults::default() });
        let (mut now, mut actions) = (0, Vec::new());
        let mut ended: HashMap<ReplySlot, bool> = HashMap::new();
        host.open(0, ConnectionId(1));
        for (number, (kind, wait, key)) in steps.into_iter().enumerate() {
            now += wait * MS;
            host.advance(now, &mut actions);
            match kind {
                0 => host.invalidate_fraction(0.5),
                1 => host.stall(5 * MS),
                2 => host.drain(key == 0),
                _ => {
                    ended.insert(slot(number as u64), false);
                    let command = command(&format!("k{key}"), &format!("id{number}"), kind == 3);
                    host.handle_command(now, slot(number as u64), command, &mut actions);
                }
            }
        }
        host.advance(now + 3600 * SECOND, &mut actions);
        let mut closed = 0;
        for action in actions {
            match action {
                Action::Reply(slot, _) => prop_assert_eq!(ended.insert(slot, true), Some(false), "{:?} twice", slot),
                Action::Close(_) => closed += 1,
                _ => {}
            }
        }
        prop_assert_eq!(ended.values().filter(|is_ended| !**is_ended).count(), closed);
        prop_assert!(host.next_due().is_none());
    }
}
