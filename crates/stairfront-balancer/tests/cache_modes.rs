//! One build in each deployment mode: the settings alone decide which side fetches and how tail latency counts, and idle
//! connections that a middlebox drops silently are detected and not reused.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;

use serde_json::{json, Value};
use stairfront_balancer::configuration::config::Config;
use stairfront_test_support::loopback::{
    bulk, cache, commands, config, count, get, hit, http, line, miss, ms, origin, quiet_agent, run,
    Balancer, Log, Seen, Step,
};
use tokio::time::sleep;

/// Through mode: caches fetch by themselves, in one zone, and the list is polled.
fn through(text: &mut Value) {
    let set = &mut text["settings"];
    set["family_info"] = json!({"mode": "through", "origin_kind": -1});
    set["models"] = json!(["box"]);
    set["registry_mode"] = "ask".into();
    set["rules"]["ask_every"] = 6000.0.into();
    set["report"] =
        json!({"how": "inline", "fields": ["throughput", "errors_per_s", "outstanding"]});
}

#[test]
fn the_cache_mode_follows_from_the_settings_alone() {
    run(async {
        for fetches in [false, true] {
            let log = Log::default();
            let agent = quiet_agent(&log).await;
            let lacks = move |_: usize, _: &[String]| if fetches { hit("v") } else { miss() };
            let host = cache("cache", &log, lacks).await;
            let (ledger, from) = (
                origin("origin", &log, |_, _| http(200, "", "v")).await,
                line("c", host, "box"),
            );
            let balancer = match fetches {
                true => Balancer::start_with(agent, &[from], through).await,
                false => Balancer::start(agent, &[from, line("o", ledger, "origin")]).await,
            };
            let mut client = balancer.client().await;
            client.send(&get("k", "1", 1400)).await;
            assert_eq!(
                client.answer().await.unwrap(),
                bulk("v"),
                "caches fetch: {fetches}"
            );
            assert_eq!(
                commands(&log, "origin").is_empty(),
                fetches,
                "caches fetch: {fetches}"
            );
        }
    });
}

/// A middlebox may drop idle connections silently. With seconds between two requests to a host, each request would be lost on
/// one.
#[test]
fn connections_dropped_unseen_while_idle_are_not_used_again() {
    run(async {
        let (log, last) = (Log::default(), Rc::new(Cell::new((Instant::now(), 0))));
        let agent = quiet_agent(&log).await;
        let opened = {
            let log = log.clone();
            move || count(&log, &Seen::Opened("cache"))
        };
        let forgets = move |_: usize, _: &[String]| {
            let (at, on) = last.replace((Instant::now(), opened()));
            // On the connection of the last command too, after it was idle.
            if on == opened() && at.elapsed() > ms(400) {
                Step::Silence
            } else {
                hit("v")
            }
        };
        let host = cache("cache", &log, forgets).await;
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let mut client = balancer.client().await;
        let mut served = Vec::new();
        for i in 0..8 {
            client.send(&get("k", &i.to_string(), 200)).await;
            served.push(client.answer().await.unwrap() == bulk("v"));
            sleep(ms(500)).await;
        }
        let lost = served.iter().filter(|served| !**served).count();
        assert_eq!(
            (lost, &served[5..]),
            (2, &[true; 3][..]),
            "two show it, no more are lost: {served:?}"
        );
    });
}

#[test]
fn late_requests_are_refused_early_where_tail_latency_counts() {
    run(async {
        for (weight, wanted) in [(0.0, 990), (0.3, 300)] {
            let log = Log::default();
            let (agent, host) = (
                quiet_agent(&log).await,
                cache("cache", &log, |_, _| Step::Silence).await,
            );
            let balancer = Balancer::start_with(agent, &[line("c", host, "box")], |text| {
                let set = &mut text["settings"];
                set["score_parts"] = json!({"slow_end": weight, "borne_misses": weight / 10.0});
                (set["profiles"][0]["aim"], set["profiles"][0]["late_worth"]) =
                    (300.0.into(), 0.5.into());
            })
            .await;
            let mut client = balancer.client().await;
            let start = Instant::now();
            client.send(&get("k", "1", 1000)).await;
            assert!(client.answer().await.unwrap().starts_with('-'));
            let took = start.elapsed();
            assert!(
                (ms(wanted) - ms(20)..ms(wanted + 90)).contains(&took),
                "weight {weight}: {took:?}"
            );
        }
    });
}

#[test]
fn a_configuration_that_mixes_two_modes_is_rejected_by_key() {
    let here = "127.0.0.1:1".parse().unwrap();
    let mut text = config(here, here, &[], 1024);
    assert!(Config::from_text("b.json", &text.to_string()).is_ok());
    // A migration half done: caches that fetch, and the origin of the old mode.
    text["settings"]["family_info"]["mode"] = "through".into();
    let problem = Config::from_text("b.json", &text.to_string())
        .unwrap_err()
        .to_string();
    assert!(
        problem.starts_with("b.json: settings.family_info.origin_kind: "),
        "{problem}"
    );
}
