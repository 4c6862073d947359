//! The servers' models under what can befall them.
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

fn host(set: CacheSettings) -> CacheHost {
    let mut host = CacheHost::new(set, 1, "c", IdempotencyStore::shared());
    assert!(host.open(0, ConnectionId(1)));
    host
}

fn ticket(number: u64) -> ReplySlot {
    ReplySlot {
        connection: ConnectionId(1),
        sequence: number,
    }
}

fn command(key: &str, id: &str, write: bool) -> Command {
    let word = |text: &str| Bytes::copy_from_slice(text.as_bytes());
    Command {
        write,
        key: word(key),
        id: word(id),
        info: word("c=read,d=9"),
        value: Bytes::new(),
    }
}

fn ask(host: &mut CacheHost, now: Micros, number: u64, key: &str) -> Vec<Action> {
    let mut actions = Vec::new();
    host.handle_command(
        now,
        ticket(number),
        command(key, &format!("id{number}"), false),
        &mut actions,
    );
    actions
}

fn until(host: &mut CacheHost, now: Micros) -> Vec<Action> {
    let mut actions = Vec::new();
    host.advance(now, &mut actions);
    actions
}

#[test]
fn a_key_is_missed_filled_kept_and_void_again() {
    let mut host = host(CacheSettings {
        ttl_ms: 100.0,
        max_keys: 2,
        ..settings()
    });
    assert!(ask(&mut host, 0, 0, "k").is_empty());
    assert_eq!(
        until(&mut host, MS),
        [Action::Reply(ticket(0), Reply::Miss { report: None })]
    );
    host.fill(2 * MS, &Bytes::from("id0"));
    ask(&mut host, 3 * MS, 1, "k");
    assert_eq!(
        host.next_due(),
        Some(13 * MS),
        "on time, whatever the driver's clock"
    );
    let served = until(&mut host, 20 * MS);
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
    // Past its time, pushed out by two others, or void: each is a miss.
    let missed = |host: &mut CacheHost, now, number| {
        ask(host, now, number, "k");
        matches!(
            until(host, now + 50 * MS)[..],
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
    // A miss that was never this host's is not stored.
    host.fill(356 * MS, &Bytes::from("elsewhere"));
    assert!(missed(&mut host, 357 * MS, 5));
}

#[test]
fn a_full_queue_turns_away_and_a_drain_too() {
    let mut host = host(CacheSettings {
        holds_all_keys: true,
        ..settings()
    });
    let replies: Vec<_> = (0..6)
        .flat_map(|number| ask(&mut host, 0, number, "k"))
        .collect();
    assert_eq!(
        replies,
        [
            Action::Reply(ticket(4), Reply::Busy),
            Action::Reply(ticket(5), Reply::Busy)
        ]
    );
    assert_eq!(
        until(&mut host, 25 * MS).len(),
        2,
        "one core, ten milliseconds each"
    );
    host.drain(true);
    assert_eq!(
        ask(&mut host, 26 * MS, 6, "k"),
        [Action::Reply(ticket(6), Reply::Busy)]
    );
    assert_eq!(until(&mut host, SECOND).len(), 2, "what it had is finished");
}

#[test]
fn a_cold_host_falls_over_under_more_than_it_bears_and_only_then() {
    let cold = |every: Micros| {
        let mut host = host(CacheSettings {
            holds_all_keys: true,
            max_queue: 100_000,
            overload_window_ms: 1000.0,
            ..settings()
        });
        host.start_cold(0);
        host.open(0, ConnectionId(1));
        let mut fell = None;
        for i in 0..3 * SECOND / every {
            let actions = ask(&mut host, i * every, i as u64, "k");
            until(&mut host, i * every);
            if actions.contains(&Action::Crashed) {
                fell = Some(i * every);
                break;
            }
        }
        (fell, host.max_cold_load_ratio(), host)
    };
    // A fifth of its capacity at first: 20 of these requests a second, and three times that is borne.
    let (fell, worst, _) = cold(SECOND / 40);
    assert!(
        fell.is_none() && (0.3..0.9).contains(&worst),
        "{fell:?} {worst}"
    );
    let (fell, worst, mut host) = cold(SECOND / 120);
    assert!(
        fell.is_some_and(|at| (SECOND..2 * SECOND).contains(&at)) && worst > 1.0,
        "{fell:?} {worst}"
    );
    assert!(!host.open(4 * SECOND, ConnectionId(2)), "it stays down");
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
fn a_keyed_write_takes_effect_once_in_its_group() {
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
        hosts[host].handle_command(now, ticket(i as u64), write, &mut actions);
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
    hosts[0].handle_command(5 * SECOND, ticket(9), write, &mut actions);
    hosts[0].advance(6 * SECOND, &mut actions);
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, Action::Effect { .. })),
        "forgotten by then"
    );
}

#[test]
fn an_origin_that_is_pushed_over_stops_and_says_what_may_have_run() {
    let set = OriginSettings {
        cores: 1,
        read: ServiceTime::fixed(10.0),
        max_queue: 10_000,
        ..OriginSettings::default()
    };
    let mut origin = Origin::new(set, 1);
    let request = |id: u64| origin::Request {
        write: id == 0,
        key: Bytes::from("k"),
        id: Bytes::from(id.to_string()),
    };
    let mut actions = Vec::new();
    let mut stopped = None;
    for id in 0..2000 {
        let now = id as Micros * 2500;
        origin.handle_request(now, ticket(id), request(id), &mut actions);
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
        Some(&origin::Action::NotStarted(ticket(stopped)))
    );
    let written = |action: &&origin::Action| matches!(action, origin::Action::Written { .. });
    assert_eq!(actions.iter().filter(written).count(), 1);
}

fn line(name: &str, status: EndpointStatus) -> EndpointRecord {
    let (address, zone, kind) = (
        "127.0.0.1:1".to_string(),
        "a".to_string(),
        "cache".to_string(),
    );
    EndpointRecord {
        name: name.to_string(),
        address,
        zone,
        kind,
        group: 0,
        status,
        since_ms: 0,
    }
}

#[test]
fn the_agent_lags_holds_falls_silent_and_tells_what_was_missed() {
    let mut agent = DiscoveryAgent::new(
        vec![
            line("c0", EndpointStatus::Serving),
            line("c1", EndpointStatus::Serving),
        ],
        300 * MS,
    );
    let mut actions = Vec::new();
    agent.handle_request(0, ticket(0), "/api/targets", &mut actions);
    assert!(
        matches!(&actions[0], discovery_agent::Action::Answer(_, list) if list.contains("\"snapshot\":true"))
    );
    assert_eq!(actions.len(), 3, "both hosts were told of");
    actions.clear();
    agent.handle_request(
        0,
        ticket(1),
        "/api/targets?from=1&hold_ms=50000",
        &mut actions,
    );
    agent.change(SECOND, line("c1", EndpointStatus::Draining));
    agent.advance(SECOND, &mut actions);
    assert!(actions.is_empty(), "not before its lag is over");
    assert_eq!(agent.next_due(), Some(1300 * MS));
    agent.advance(1300 * MS, &mut actions);
    let told = discovery_agent::Action::Notified {
        name: "c1".to_string(),
        status: EndpointStatus::Draining,
    };
    assert!(actions.len() == 2 && actions[1] == told, "{actions:?}");
    actions.clear();
    // A call into its silence is answered at its end, with what changed meanwhile.
    agent.set_silent(2 * SECOND, true, &mut actions);
    agent.handle_request(
        2 * SECOND,
        ticket(2),
        "/api/targets?from=2&hold_ms=0",
        &mut actions,
    );
    agent.change(2 * SECOND, line("c0", EndpointStatus::Removed));
    agent.advance(4 * SECOND, &mut actions);
    assert!(
        actions.is_empty() && agent.next_due().is_none(),
        "{actions:?}"
    );
    agent.set_silent(5 * SECOND, false, &mut actions);
    assert!(
        matches!(&actions[0], discovery_agent::Action::Answer(_, list) if list.contains("DELETED")),
        "{actions:?}"
    );
    actions.clear();
    // A list that stands still answers with what it had.
    agent.set_frozen(6 * SECOND, true, &mut actions);
    agent.change(6 * SECOND, line("c1", EndpointStatus::Serving));
    agent.handle_request(7 * SECOND, ticket(3), "/api/targets", &mut actions);
    assert!(
        matches!(&actions[0], discovery_agent::Action::Answer(_, list) if list.contains("DRAINING"))
    );
    // A version from another agent's life gets the whole list; a call that there is not, its error.
    agent.handle_request(7 * SECOND, ticket(4), "/api/targets?from=900", &mut actions);
    agent.handle_request(7 * SECOND, ticket(5), "/other", &mut actions);
    let snapshots = actions
        .iter()
        .filter(|a| matches!(a, discovery_agent::Action::Answer(_, list) if list.contains("true")));
    assert_eq!(snapshots.count(), 2);
    assert_eq!(
        actions.last(),
        Some(&discovery_agent::Action::NotFound(ticket(5)))
    );
}

proptest! {
    /// Whatever comes, each command gets one end: a reply, or the end of its connection; and nothing waits for ever.
    #[test]
    fn each_command_ends_once(
        steps in prop::collection::vec((0..40_u8, 0..30_i64, 0..5_u64), 1..200),
        reset in 0.0..0.3_f64,
        lost in 0.0..0.3_f64,
        fetch in any::<bool>(),
    ) {
        let fetch = fetch.then(|| ServiceTime::fixed(25.0));
        let mut host = CacheHost::new(CacheSettings { fetch, max_keys: 3, ..settings() }, 7, "c", IdempotencyStore::shared());
        host.set_faults(ServerFaults { reset_chance: reset, drop_chance: lost, slowdown: 2.0, ..ServerFaults::default() });
        let (mut now, mut actions) = (0, Vec::new());
        let mut owed: HashMap<ReplySlot, bool> = HashMap::new();
        host.open(0, ConnectionId(1));
        for (number, (kind, wait, key)) in steps.into_iter().enumerate() {
            now += wait * MS;
            host.advance(now, &mut actions);
            match kind {
                0 => host.invalidate_fraction(0.5),
                1 => host.stall(5 * MS),
                2 => host.drain(key == 0),
                _ => {
                    owed.insert(ticket(number as u64), false);
                    let command = command(&format!("k{key}"), &format!("id{number}"), kind == 3);
                    host.handle_command(now, ticket(number as u64), command, &mut actions);
                }
            }
        }
        host.advance(now + 3600 * SECOND, &mut actions);
        let mut closed = 0;
        for action in actions {
            match action {
                Action::Reply(ticket, _) => prop_assert_eq!(owed.insert(ticket, true), Some(false), "{:?} twice", ticket),
                Action::Close(_) => closed += 1,
                _ => {}
            }
        }
        prop_assert_eq!(owed.values().filter(|ended| !**ended).count(), closed);
        prop_assert!(host.next_due().is_none());
    }
}
