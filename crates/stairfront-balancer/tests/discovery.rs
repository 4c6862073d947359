//! Discovery: the list at the start, the watch, malformed lists, and an agent that is silent or has ended.

use std::rc::Rc;

use serde_json::{json, Value};
use stairfront_balancer::arrival::PollClock;
use stairfront_balancer::control::discovery::{DiscoverySettings, DiscoveryWatch};
use stairfront_balancer::control::server_list::{cache_id, RawList};
use stairfront_balancer::lifecycle::handover::OtherProcess;
use stairfront_balancer::messages::{EngineEvent, ReceivedList};
use stairfront_balancer::transport::Tcp;
use stairfront_policy::interface::{Cell, EndpointState, Kind, Zone};
use stairfront_settings::Names;
use stairfront_test_support::loopback::{
    bulk, cache, commands, count, dead_address, hit, http, line, ms, origin, run, until, Balancer,
    Log, Seen, Step,
};
use tokio::sync::{mpsc, watch, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

fn targets(log: &Log) -> Vec<String> {
    commands(log, "agent")
        .iter()
        .map(|words| words[0].clone())
        .collect()
}

fn list(index: u64, snapshot: bool, endpoints: &[Value]) -> Step {
    http(
        200,
        "",
        &json!({"index": index, "snapshot": snapshot, "endpoints": endpoints}).to_string(),
    )
}

#[test]
fn the_watch_continues_from_the_version_in_hand() {
    run(async {
        let log = Log::default();
        let (old, new) = (
            cache("old", &log, |_, _| hit("old")).await,
            cache("new", &log, |_, _| hit("new")).await,
        );
        let mut removed = line("c1", old, "box");
        removed["status"] = "DELETED".into();
        let agent = origin("agent", &log, move |n, _| match n {
            0 => list(5, false, &[removed.clone(), line("c2", new, "box")]),
            _ => Step::Silence,
        });
        let agent = agent.await;
        let balancer = Balancer::start(agent, &[line("c1", old, "box")]).await;
        // It polls for the next list once it has passed this one on.
        until(|| targets(&log).len() > 1).await;
        assert_eq!(
            balancer.client().await.get("k", "1", 900).await,
            bulk("new")
        );
        assert_eq!(commands(&log, "old").len(), 0);
        let targets = targets(&log);
        assert!(
            targets[0].starts_with("GET /api/targets?from=1&"),
            "{targets:?}"
        );
        assert!(
            targets[1].starts_with("GET /api/targets?from=5&hold_ms="),
            "{targets:?}"
        );
    });
}

#[test]
fn a_host_missing_from_a_full_list_gets_no_new_requests_and_an_address_may_change() {
    run(async {
        let log = Log::default();
        let (one, two) = (
            cache("one", &log, |_, _| hit("one")).await,
            cache("two", &log, |_, _| hit("two")).await,
        );
        let agent = origin("agent", &log, move |n, _| match n {
            0 => list(1, false, &[]),
            1 => match list(2, true, &[line("c1", two, "box")]) {
                Step::Say(bytes) => Step::After(ms(150), bytes),
                step => step,
            },
            _ => Step::Silence,
        });
        let balancer = Balancer::start(
            agent.await,
            &[line("c1", one, "box"), line("c2", one, "box")],
        )
        .await;
        let mut client = balancer.client().await;
        assert_eq!(client.get("k", "1", 900).await, bulk("one"));
        until(|| targets(&log).len() > 2).await;
        for i in 0..6 {
            assert_eq!(client.get(&format!("k{i}"), "2", 900).await, bulk("two"));
        }
    });
}

#[test]
fn a_malformed_list_is_dropped_and_the_full_list_polled() {
    run(async {
        for bad in [
            http(
                200,
                "",
                r#"{"index":2,"snapshot":true,"endpoints":[{"name":"c1"}]}"#,
            ),
            http(
                200,
                "",
                r#"{"index":2,"snapshot":true,"endpoints":[{"name":"c1","address":"nowhere","status":"SERVING"}]}"#,
            ),
            http(
                200,
                "",
                r#"{"index":2,"snapshot":true,"endpoints":[{"name":"c1","address":"127.0.0.1:1","status":"ODD"}]}"#,
            ),
            http(200, "", "not a list"),
            http(500, "", ""),
        ] {
            let log = Log::default();
            let host = cache("cache", &log, |_, _| hit("v")).await;
            let agent = origin("agent", &log, move |n, _| match n {
                0 => bad.clone(),
                1 => list(9, true, &[line("c1", host, "box")]),
                _ => Step::Silence,
            });
            let balancer = Balancer::start(agent.await, &[line("c1", host, "box")]).await;
            assert_eq!(balancer.client().await.get("k", "1", 900).await, bulk("v"));
            sleep(ms(700)).await;
            let targets = targets(&log);
            assert_eq!(targets[1], "GET /api/targets HTTP/1.1", "{targets:?}");
            assert!(
                targets[2].starts_with("GET /api/targets?from=9&"),
                "{targets:?}"
            );
        }
    });
}

#[test]
fn an_agent_that_refuses_or_ends_polls_does_not_keep_the_balancer_from_serving() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, _| hit("v")).await;
        let ends = origin("agent", &log, |_, _| Step::End).await;
        let mut balancers = Vec::new();
        for agent in [dead_address().await, ends] {
            let balancer = Balancer::start(agent, &[line("c1", host, "box")]).await;
            assert_eq!(balancer.client().await.get("k", "1", 900).await, bulk("v"));
            balancers.push(balancer);
        }
        sleep(ms(350)).await;
        // The watch continues only if the next poll comes within 200 ms.
        assert!(targets(&log).len() >= 3, "{:?}", targets(&log));
    });
}

#[test]
fn a_refused_poll_keeps_the_list_and_is_retried_with_jittered_backoff() {
    run(async {
        let mut rows = Vec::new();
        for seed in ["1", "2"] {
            let log = Log::default();
            let host = cache("cache", &log, |_, _| hit("v")).await;
            let began = std::time::Instant::now();
            let calls = std::rc::Rc::new(std::cell::RefCell::new(Vec::new()));
            let times = calls.clone();
            let agent = origin("agent", &log, move |n, _| {
                times.borrow_mut().push(began.elapsed());
                if n < 4 {
                    http(503, "", "")
                } else {
                    Step::Silence
                }
            });
            let lines = [line("c1", host, "box")];
            let seeded = |text: &mut serde_json::Value| text["seed"] = seed.into();
            let balancer = Balancer::start_with(agent.await, &lines, seeded).await;
            let mut client = balancer.client().await;
            while calls.borrow().len() < 5 {
                // The list in hand stays in use meanwhile.
                assert_eq!(
                    client
                        .get("k", &format!("{:?}", began.elapsed()), 900)
                        .await,
                    bulk("v")
                );
                sleep(ms(50)).await;
            }
            let targets = targets(&log);
            assert!(
                targets
                    .iter()
                    .all(|t| t.starts_with("GET /api/targets?from=1&")),
                "{targets:?}"
            );
            let calls = calls.borrow();
            rows.push(calls.windows(2).map(|w| w[1] - w[0]).collect::<Vec<_>>());
        }
        for gaps in &rows {
            assert!(gaps[3] > gaps[0] && gaps[3] < ms(1700), "{gaps:?}");
        }
        let apart = |(a, b): (&std::time::Duration, &std::time::Duration)| a.abs_diff(*b) > ms(10);
        assert!(
            rows[0].iter().zip(&rows[1]).any(apart),
            "two balancers call in step: {rows:?}"
        );
    });
}

#[test]
fn list_entries_are_read_as_the_protocol_defines() {
    let names = Names {
        zones: vec!["a".into(), "b".into()],
        kinds: vec!["m1".into(), "m2".into()],
        ..Names::default()
    };
    let text = r#"{"index":41,"snapshot":true,"endpoints":[
        {"name":"s-1","address":"10.1.0.18:6379","zone":"b","type":"m2","group":3,"status":"DRAINING",
         "weight":2.0,"since_ms":1700000000123,"more":1},
        {"name":"s-2","address":"10.1.0.19:6379","zone":"unheard","type":"unheard","status":"SERVING"}]}"#;
    let list = serde_json::from_str::<RawList>(text)
        .unwrap()
        .read(&names)
        .unwrap();
    assert_eq!((list.index, list.full), (41, true));
    let (one, two) = (list.entries[0].endpoint, list.entries[1].endpoint);
    assert_eq!(one.id, cache_id("s-1"));
    assert_eq!((one.zone, one.kind, one.cell), (Zone(1), Kind(1), Cell(3)));
    assert_eq!(
        (one.state, one.incarnation, one.size),
        (EndpointState::Draining, 1_700_000_000_123_000, 2.0)
    );
    assert_eq!((two.state, two.incarnation), (EndpointState::Ready, 0));
    assert_ne!(two.id, one.id);
    assert_eq!((two.zone, two.kind), (Zone(u8::MAX), Kind(u16::MAX)));
}

#[test]
fn cache_ids_are_the_same_at_every_balancer() {
    // Keys keep their hosts over restarts and versions only while this holds.
    assert_eq!(
        cache_id("s-5be2a07c").0,
        xxhash_rust::xxh3::xxh3_64(b"s-5be2a07c")
    );
}

/// A list that waits for the engine's queue is dropped with its poll when another event comes. If its version had been
/// recorded before, its changes would never be polled again, and a draining host would get requests for good.
#[test]
fn a_list_dropped_before_it_reaches_the_engine_is_polled_again() {
    run(async {
        let log = Log::default();
        let host = dead_address().await;
        let agent = origin("agent", &log, move |_, words| {
            match words[0].contains("from=1&") {
                true => list(5, false, &[line("c5", host, "box")]),
                false => Step::Silence,
            }
        });
        let (_agents, at) = watch::channel(Some(agent.await));
        let (event_sender, mut events) = mpsc::channel(1);
        // The queue is full: the engine is behind.
        event_sender
            .send(EngineEvent::PeerEnded(OtherProcess::Successor))
            .await
            .unwrap_or_else(|_| panic!("closed"));
        let poll_now = Rc::new(Notify::new());
        let settings = DiscoverySettings {
            agent: at,
            names: Names::default(),
            known_index: 1,
            seed: 0,
            poll_now: Rc::clone(&poll_now),
            lists: Rc::default(),
            polls: Rc::new(PollClock::start()),
        };
        let watch = DiscoveryWatch::new(Tcp, settings, event_sender, Rc::default());
        let watching = spawn_local(watch.run());
        until(|| !targets(&log).is_empty()).await;
        // The answer has been read, and its list waits for the queue.
        sleep(ms(50)).await;
        poll_now.notify_one();
        until(|| targets(&log).len() > 1).await;
        assert!(
            targets(&log)[1].starts_with("GET /api/targets?from=1&"),
            "{:?}",
            targets(&log)
        );
        assert!(matches!(
            events.recv().await,
            Some(EngineEvent::PeerEnded(OtherProcess::Successor))
        ));
        match events.recv().await {
            Some(EngineEvent::EndpointList(ReceivedList { list, .. })) => {
                assert_eq!((list.index, list.entries.len()), (5, 1))
            }
            _ => panic!("the list is lost"),
        }
        watching.abort();
    });
}

/// An agent that was restarted counts its versions from the beginning. Its changes say nothing about the list in hand, and
/// the next poll would be held until its version has caught up.
#[test]
fn changes_of_an_older_version_have_the_full_list_polled() {
    run(async {
        let log = Log::default();
        let (old, new) = (
            cache("old", &log, |_, _| hit("old")).await,
            cache("new", &log, |_, _| hit("new")).await,
        );
        let mut removed = line("c1", old, "box");
        removed["status"] = "DELETED".into();
        let agent = origin("agent", &log, move |n, words| match n {
            0 => list(41, true, &[line("c1", old, "box")]),
            1 => list(3, false, &[removed.clone()]),
            _ if words[0].contains("from=") => Step::Silence,
            _ => list(4, true, &[line("c2", new, "box")]),
        });
        let balancer = Balancer::start(agent.await, &[line("c1", old, "box")]).await;
        until(|| targets(&log).len() > 3).await;
        assert_eq!(
            balancer.client().await.get("k", "1", 900).await,
            bulk("new")
        );
        let targets = targets(&log);
        assert_eq!(targets[2], "GET /api/targets HTTP/1.1", "{targets:?}");
        assert!(
            targets[3].starts_with("GET /api/targets?from=4&"),
            "{targets:?}"
        );
    });
}

/// An agent, or something on the path, may send an answer a second time. A list names its version, not the poll that it
/// answers: the first list again, taken for news, would bring a host that drains by the one in hand back into service.
#[test]
fn a_second_answer_to_an_earlier_poll_brings_no_older_list_back() {
    run(async {
        let log = Log::default();
        let (old, new) = (
            cache("old", &log, |_, _| hit("old")).await,
            cache("new", &log, |_, _| hit("new")).await,
        );
        let first = move || list(41, true, &[line("c1", old, "box")]);
        let mut drains = line("c1", old, "box");
        drains["status"] = "DRAINING".into();
        let lines = [drains, line("c2", new, "box")];
        let agent = origin("agent", &log, move |n, words| match (n, first()) {
            (0, step) => step,
            (1, Step::Say(again)) => match list(43, false, &lines) {
                Step::Say(news) => Step::Twice(news, ms(50), again),
                step => step,
            },
            _ if words[0].contains("from=") => Step::Silence,
            _ => list(43, true, &lines),
        });
        let balancer = Balancer::start(agent.await, &[line("c1", old, "box")]).await;
        // The copy is a list that is not newer, so the whole one is asked for on a new connection.
        until(|| count(&log, &Seen::Opened("agent")) > 1 && targets(&log).len() > 4).await;
        for i in 0..8 {
            let key = format!("k{i}");
            assert_eq!(
                balancer.client().await.get(&key, &key, 900).await,
                bulk("new")
            );
        }
        assert!(
            targets(&log)[4].starts_with("GET /api/targets?from=43&"),
            "{:?}",
            targets(&log)
        );
    });
}

/// An agent that was restarted counts its versions from the beginning. Its whole list, on a new connection, is believed at once:
/// a second poll would have this balancer send to hosts that drain meanwhile.
#[test]
fn an_older_list_on_a_new_connection_is_believed_at_once() {
    run(async {
        let log = Log::default();
        let (old, new) = (
            cache("old", &log, |_, _| hit("old")).await,
            cache("new", &log, |_, _| hit("new")).await,
        );
        let agent = origin("agent", &log, move |n, _| match n {
            0 => list(41, true, &[line("c1", old, "box")]),
            1 => Step::End,
            2 => list(3, true, &[line("c2", new, "box")]),
            _ => Step::Silence,
        });
        let balancer = Balancer::start(agent.await, &[line("c1", old, "box")]).await;
        until(|| targets(&log).len() > 3).await;
        let targets = targets(&log);
        assert!(targets[2].contains("from=41&"), "{targets:?}");
        assert!(targets[3].contains("from=3&"), "{targets:?}");
        assert_eq!(
            balancer.client().await.get("k", "1", 900).await,
            bulk("new")
        );
    });
}

/// A list may drop running hosts by mistake. Where the settings make removal advisory they still get requests, at their last
/// address; a draining host does not in either case.
#[test]
fn unlisted_hosts_still_get_requests_where_removal_is_advisory() {
    for stays in [true, false] {
        run(async {
            let log = Log::default();
            let (one, two) = (
                cache("one", &log, |_, _| hit("one")).await,
                cache("two", &log, |_, _| hit("two")).await,
            );
            let mut drains = line("c3", two, "box");
            drains["status"] = "DRAINING".into();
            let agent = origin("agent", &log, move |n, _| match n {
                0 => list(5, true, &[line("c1", one, "box"), drains.clone()]),
                1 => list(6, true, &[]),
                _ => Step::Silence,
            });
            let lines = [line("c1", one, "box"), line("c3", two, "box")];
            let set =
                |text: &mut Value| text["settings"]["rules"]["dropped_stay_open"] = stays.into();
            let balancer = Balancer::start_with(agent.await, &lines, set).await;
            until(|| targets(&log).len() > 2).await;
            let mut client = balancer.client().await;
            for i in 0..20 {
                let answer = client.get(&format!("k{i}"), &i.to_string(), 900).await;
                assert_eq!(answer == bulk("one"), stays, "{answer}");
            }
            assert_eq!(commands(&log, "two").len(), 0);
        });
    }
}

/// Where removal is advisory a removed host goes on at its address, unless that is another host's now.
#[test]
fn work_for_a_removed_host_goes_to_the_host_that_has_its_address_now() {
    run(async {
        let log = Log::default();
        let reused = cache("reused", &log, |_, _| hit("v")).await;
        let other = cache("other", &log, |_, _| hit("v")).await;
        let mut successor = line("c3", reused, "box");
        successor["status"] = "DRAINING".into();
        let later = json!({"index": 2, "snapshot": true,
                           "endpoints": [line("c2", other, "box"), successor]});
        let Step::Say(later) = http(200, "", &later.to_string()) else {
            unreachable!()
        };
        let (open, gate) = watch::channel(false);
        let agent = origin("agent", &log, move |n, _| match n {
            0 => list(1, false, &[]),
            1 => Step::Gated(gate.clone(), later.clone()),
            _ => Step::Silence,
        })
        .await;
        let lines = [line("c1", reused, "box"), line("c2", other, "box")];
        let advisory = |text: &mut Value| {
            text["settings"]["rules"]["dropped_stay_open"] = true.into();
        };
        let balancer = Balancer::start_with(agent, &lines, advisory).await;
        let mut client = balancer.client().await;
        for key in 0..20 {
            client
                .get(&format!("k{key}"), &format!("a{key}"), 1400)
                .await;
        }
        let before = commands(&log, "reused").len();
        assert!(before > 0);
        open.send_replace(true);
        until(|| commands(&log, "agent").len() > 2).await;
        sleep(ms(50)).await;
        for key in 0..20 {
            client
                .get(&format!("k{key}"), &format!("b{key}"), 1400)
                .await;
        }
        assert_eq!(
            commands(&log, "reused").len(),
            before,
            "sent to a draining host"
        );
    });
}
