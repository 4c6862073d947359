//! The admin API under load, and cordons that neither discovery nor a new process lifts.

use std::time::Instant;

use serde_json::json;
use stairfront_balancer::configuration::config::Config;
use stairfront_test_support::loopback::{
    bulk, cache, commands, config, dead_address, hit, http, line, memory_folder, ms, origin,
    quiet_agent, run, say, Balancer, Client, Log, Step,
};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

#[test]
fn calls_are_answered_with_a_status_that_says_why() {
    run(async {
        let log = Log::default();
        let host = cache("c", &log, |_, _| hit("v")).await;
        let origin = origin("db", &log, |_, _| http(200, "", "v")).await;
        let agent = quiet_agent(&log).await;
        let lines = [line("s-1", host, "box"), line("db", origin, "origin")];
        let balancer = Balancer::start(agent, &lines).await;
        let calls = [
            ("GET", "/admin/health", 200),
            ("POST", "/admin/health", 405),
            ("GET", "/admin/cordon/s-1", 405),
            ("POST", "/admin/cordon/s-2", 404),
            ("POST", "/admin/uncordon/s-2", 404),
            ("POST", "/admin/cordon/db", 404),
            ("POST", "/admin/cordon/", 400),
            ("POST", "/admin/cordon/s%0a1", 400),
            ("GET", "/admin", 404),
            ("POST", "/admin/cordon/s%2D1", 200),
            ("POST", "/admin/cordon/s-1", 200),
            ("POST", "/admin/uncordon/s-1", 200),
            ("POST", "/admin/uncordon/s-1", 200),
        ];
        for (method, path, status) in calls {
            let (said, whole) = balancer.call(method, path).await;
            assert_eq!(said, status, "{method} {path}: {whole}");
            assert!(
                whole.to_ascii_lowercase().contains("connection: close"),
                "{whole}"
            );
        }
        for broken in [
            "rubbish\r\n\r\n",
            &format!("GET /{} HTTP/1.1\r\n", "x".repeat(40_000)),
        ] {
            assert_eq!(say(balancer.admin, broken).await.0, 400, "{broken:.20}");
        }
    });
}

#[test]
fn health_fails_without_an_endpoint_list() {
    run(async {
        let dead = dead_address().await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let text = config(listener.local_addr().unwrap(), dead, &[], 1024).to_string();
        let balancer =
            Balancer::begin(None, listener, Config::from_text("test", &text).unwrap()).await;
        assert_eq!(balancer.call("GET", "/admin/health").await.0, 503);
    });
}

#[test]
fn silent_callers_do_not_keep_others_out() {
    run(async {
        let log = Log::default();
        let host = cache("c", &log, |_, _| hit("v")).await;
        let balancer = Balancer::start(quiet_agent(&log).await, &[line("s-1", host, "box")]).await;
        let mut mute = Vec::new();
        for i in 0..60 {
            let mut caller = TcpStream::connect(balancer.admin).await.unwrap();
            if i % 2 == 0 {
                caller
                    .write_all(b"POST /admin/cordon/s-1 HT")
                    .await
                    .unwrap();
            }
            mute.push(caller);
        }
        let asked = Instant::now();
        assert_eq!(balancer.call("GET", "/admin/health").await.0, 200);
        assert!(asked.elapsed() < ms(1000), "{:?}", asked.elapsed());
    });
}

/// Asks for many keys, so that every open cache gets some.
async fn ask_for_keys(client: &mut Client, round: &str) {
    for i in 0..40 {
        assert_eq!(
            client
                .get(&format!("k{i}"), &format!("{round}-{i}"), 900)
                .await,
            bulk("v"),
            "{round} {i}"
        );
    }
}

#[test]
fn discovery_does_not_lift_a_cordon_and_one_call_does() {
    run(async {
        let log = Log::default();
        let one = cache("one", &log, |_, _| hit("v")).await;
        let two = cache("two", &log, |_, _| hit("v")).await;
        let (mut again, lines) = (
            line("s-1", one, "box"),
            [line("s-1", one, "box"), line("s-2", two, "box")],
        );
        again["since_ms"] = 5_000.0.into();
        // While it is cordoned it is listed as removed, and then as just started.
        let news = [
            json!({"name": "s-1", "address": one.to_string(), "status": "DELETED"}),
            again,
        ];
        let agent = origin("agent", &log, move |n, _| match n {
            0 => http(200, "", r#"{"index":1,"snapshot":false,"endpoints":[]}"#),
            1 | 2 => {
                let list = json!({"index": 1 + n, "snapshot": false, "endpoints": [news[n - 1]]})
                    .to_string();
                let Step::Say(said) = http(200, "", &list) else {
                    unreachable!()
                };
                Step::After(ms(150 * n as u64), said)
            }
            _ => Step::Silence,
        })
        .await;
        let balancer = Balancer::start(agent, &lines).await;
        let mut client = balancer.client().await;
        ask_for_keys(&mut client, "before").await;
        assert!(!commands(&log, "one").is_empty());
        assert_eq!(balancer.call("POST", "/admin/cordon/s-1").await.0, 200);
        let at_yes = commands(&log, "one").len();
        for round in 0..8 {
            ask_for_keys(&mut client, &format!("under{round}")).await;
            sleep(ms(80)).await;
        }
        assert_eq!(
            commands(&log, "one").len(),
            at_yes,
            "sent to a cordoned cache host"
        );
        assert!(client.ask(&["INFO"]).await.contains("cordoned:1\r\n"));
        assert_eq!(balancer.call("POST", "/admin/uncordon/s-1").await.0, 200);
        for round in 0..8 {
            for i in 0..40 {
                let (key, id) = (format!("new{round}-{i}"), format!("after{round}-{i}"));
                assert_eq!(client.get(&key, &id, 900).await, bulk("v"));
            }
            sleep(ms(100)).await;
        }
        assert!(
            commands(&log, "one").len() > at_yes,
            "not used after the call back"
        );
    });
}

#[test]
fn a_cordon_outlives_its_process_and_a_torn_record_does_not_prevent_a_start() {
    run(async {
        let log = Log::default();
        let one = cache("one", &log, |_, _| hit("v")).await;
        let two = cache("two", &log, |_, _| hit("v")).await;
        let agent = dead_address().await;
        let folder = memory_folder();
        let begin = || async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let lines = [line("s-1", one, "box"), line("s-2", two, "box")];
            let text = config(listener.local_addr().unwrap(), agent, &lines, 1024).to_string();
            Balancer::serve_within(
                Some(folder.path()),
                listener,
                Config::from_text("t", &text).unwrap(),
            )
            .await
        };
        let first = begin().await;
        assert_eq!(first.call("POST", "/admin/cordon/s-1").await.0, 200);
        first.done.abort();
        let second = begin().await;
        ask_for_keys(&mut second.client().await, "second").await;
        assert_eq!(commands(&log, "one").len(), 0);
        assert_eq!(second.call("POST", "/admin/uncordon/s-1").await.0, 200);
        second.done.abort();
        let files = std::fs::read_dir(folder.path())
            .unwrap()
            .map(|file| file.unwrap().path());
        let files: Vec<_> = files
            .filter(|path| path.extension().is_some_and(|e| e == "json"))
            .collect();
        assert_eq!(files.len(), 1, "{files:?}");
        assert_eq!(
            std::fs::read_to_string(&files[0]).unwrap(),
            r#"{"cordoned":[],"version":1}"#
        );
        std::fs::write(&files[0], r#"{"cordoned":["s-1"],"vers"#).unwrap();
        let third = begin().await;
        ask_for_keys(&mut third.client().await, "third").await;
        assert!(!commands(&log, "one").is_empty());
    });
}
