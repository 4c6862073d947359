//! The upstream side: how attempts end, and when connections to servers are reused or closed.

use std::net::SocketAddr;

use stairfront_test_support::loopback::{
    bulk, cache, command, commands, count, dead_address, get, hit, http, line, miss, ms, origin,
    until, Client,
};
use stairfront_test_support::loopback::{quiet_agent, run, Balancer, Log, Seen, Step};
use tokio::time::sleep;

async fn balancer_with(log: &Log, lines: &[(&str, SocketAddr, &str)]) -> Balancer {
    let agent = quiet_agent(log).await;
    let lines: Vec<_> = lines
        .iter()
        .map(|(name, address, kind)| line(name, *address, kind))
        .collect();
    Balancer::start(agent, &lines).await
}

async fn assert_counter(balancer: &Balancer, wanted: &str) {
    let info = balancer.client().await.ask(&["INFO"]).await;
    assert!(
        info.contains(&format!("{wanted}\r\n")),
        "{wanted} in {info}"
    );
}

#[test]
fn a_miss_is_fetched_from_the_origin_with_the_requests_key_and_headers() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, _| miss()).await;
        let source = origin("origin", &log, |_, _| {
            http(200, "Server-Load: throughput=3\r\n", "fresh")
        })
        .await;
        let balancer = balancer_with(&log, &[("c", host, "box"), ("o", source, "origin")]).await;
        let mut client = balancer.client().await;
        client
            .send(&command(&[
                "C.GET",
                "a/b?c",
                "id7",
                "c=read,t=acme,d=900,size=12",
            ]))
            .await;
        assert_eq!(client.answer().await.unwrap(), bulk("fresh"));
        let words = &commands(&log, "origin")[0];
        assert_eq!(words[0], "GET /a%2Fb%3Fc HTTP/1.1");
        assert!(words.contains(&"Request-Id: id7".to_string()), "{words:?}");
        let info = words
            .iter()
            .find_map(|w| w.strip_prefix("Request-Info: "))
            .unwrap();
        let (start, rest) = info.split_once(",d=").unwrap();
        let (left, end) = rest.split_once(',').unwrap();
        assert_eq!((start, end), ("c=read,t=acme", "size=12"));
        assert!((1..900).contains(&left.parse::<u64>().unwrap()), "{info}");
    });
}

#[test]
fn a_write_goes_to_the_origin_with_its_value_as_the_body() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, _| miss()).await;
        let source = origin("origin", &log, |_, _| http(200, "", "receipt")).await;
        let balancer = balancer_with(&log, &[("c", host, "box"), ("o", source, "origin")]).await;
        let mut client = balancer.client().await;
        client
            .send(&command(&["C.SET", "k", "1", "c=read,d=900", "the value"]))
            .await;
        assert_eq!(client.answer().await.unwrap(), bulk("receipt"));
        let words = &commands(&log, "origin")[0];
        assert_eq!(
            (words[0].as_str(), words.last().unwrap().as_str()),
            ("PUT /k HTTP/1.1", "the value")
        );
        assert_eq!(commands(&log, "cache").len(), 0);
    });
}

#[test]
fn statuses_of_the_origin_are_distinguished() {
    run(async {
        for (status, headers, counter) in [
            (500, "", "attempts_errored:1"),
            (503, "Not-Started: 1\r\n", "attempts_full:1"),
            (504, "Not-Started: 1\r\n", "attempts_full:1"),
            (503, "", "attempts_errored:1"),
        ] {
            let log = Log::default();
            let host = cache("cache", &log, |_, _| miss()).await;
            let source = origin("origin", &log, move |n, _| match n {
                0 => http(status, headers, ""),
                _ => http(200, "", "later"),
            });
            let source = source.await;
            let balancer =
                balancer_with(&log, &[("c", host, "box"), ("o", source, "origin")]).await;
            balancer.client().await.get("k", "1", 900).await;
            assert_counter(&balancer, counter).await;
        }
    });
}

#[test]
fn a_refused_connection_counts_as_never_sent_and_the_other_cache_serves() {
    run(async {
        let log = Log::default();
        let live = cache("live", &log, |_, _| hit("v")).await;
        let balancer = balancer_with(
            &log,
            &[("c1", dead_address().await, "box"), ("c2", live, "box")],
        )
        .await;
        let mut client = balancer.client().await;
        for i in 0..8 {
            assert_eq!(client.get(&format!("key{i}"), "1", 900).await, bulk("v"));
        }
        let info = client.ask(&["INFO"]).await;
        assert!(!info.contains("attempts_connect_failed:0\r\n"), "{info}");
        assert!(info.contains("attempts_reset:0\r\n"), "{info}");
    });
}

#[test]
fn a_connection_that_ends_after_the_request_was_written_is_a_reset() {
    run(async {
        let log = Log::default();
        let script = |n: usize, _: &[String]| if n == 0 { Step::End } else { hit("v") };
        let (one, two) = (
            cache("one", &log, script).await,
            cache("two", &log, script).await,
        );
        let balancer = balancer_with(&log, &[("c1", one, "box"), ("c2", two, "box")]).await;
        // It may have run; it is idempotent, and is retried at the other cache.
        assert_eq!(balancer.client().await.get("k", "1", 900).await, bulk("v"));
        assert_counter(&balancer, "attempts_reset:1").await;
    });
}

#[test]
fn replies_of_a_cache_are_distinguished() {
    run(async {
        for (reply, counter) in [
            ("-BUSY\r\n", "attempts_full:1"),
            ("-BUSY throughput=4\r\n", "attempts_full:1"),
            ("-ERR failed throughput=4\r\n", "attempts_errored:1"),
            (
                "*3\r\n$-1\r\n$7\r\npending\r\n$12\r\nthroughput=4\r\n",
                "attempts_missed:1",
            ),
            ("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n", "attempts_served:1"),
            // A malformed load report does not invalidate the answer.
            (
                "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$14\r\nthroughput=NaN\r\n",
                "attempts_served:1",
            ),
            ("-BUSY throughput=NaN\r\n", "attempts_full:1"),
            // All else is malformed: unknown sizes, types and words, and lines that only resemble known ones.
            ("*1\r\n$1\r\nv\r\n", "attempts_spoilt:3"),
            ("*2\r\n$1\r\nv\r\n$3\r\nhit\r\n", "attempts_spoilt:3"),
            (
                "*4\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n$-1\r\n",
                "attempts_spoilt:3",
            ),
            ("*3\r\n:1\r\n$3\r\nhit\r\n$-1\r\n", "attempts_spoilt:3"),
            ("*3\r\n$1\r\nv\r\n$3\r\nh=t\r\n$-1\r\n", "attempts_spoilt:3"),
            (
                "*3\r\n$+1\r\nv\r\n$3\r\nhit\r\n$-1\r\n",
                "attempts_spoilt:3",
            ),
            ("$1\r\nv\r\n", "attempts_spoilt:3"),
            ("+OK\r\n", "attempts_spoilt:3"),
            ("?\r\n", "attempts_spoilt:3"),
            ("-BUSYBODY\r\n", "attempts_spoilt:3"),
            ("-BUSY body\r\n", "attempts_spoilt:3"),
            ("-BUSY \r\n", "attempts_spoilt:3"),
            ("-ERR bad request\r\n", "attempts_spoilt:3"),
            ("*3\r\n$3221225472\r\nxxxx", "attempts_spoilt:3"),
        ] {
            let log = Log::default();
            let host = cache("cache", &log, |_, _| Step::Say(reply.as_bytes().to_vec())).await;
            let balancer = balancer_with(&log, &[("c", host, "box")]).await;
            balancer.client().await.get("k", "1", 900).await;
            assert_counter(&balancer, counter).await;
        }
    });
}

#[test]
fn a_timed_out_attempt_closes_its_connection_and_late_bytes_reach_no_request() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |n, words| match (n, hit(&words[2])) {
            (0, Step::Say(late)) => Step::After(ms(250), late),
            (_, step) => step,
        });
        let balancer = balancer_with(&log, &[("c", host.await, "box")]).await;
        let mut client = balancer.client().await;
        assert!(client.get("k", "first", 150).await.starts_with("-BUSY"));
        // The attempt has timed out and must have ended at the cache: the next request uses a new connection.
        sleep(ms(50)).await;
        assert_eq!(client.get("k", "second", 900).await, bulk("second"));
        sleep(ms(200)).await;
        assert_eq!(client.get("k", "third", 900).await, bulk("third"));
        let seen = log.borrow().clone();
        let at = |wanted: &dyn Fn(&Seen) -> bool| seen.iter().position(wanted);
        let ended = at(&|seen| *seen == Seen::Ended("cache")).unwrap();
        let second =
            at(&|seen| matches!(seen, Seen::Command("cache", words) if words[2] == "second"))
                .unwrap();
        assert!(ended < second, "{seen:?}");
        assert_eq!(count(&log, &Seen::Opened("cache")), 2);
        assert_eq!(count(&log, &Seen::Ended("cache")), 1);
        assert_counter(&balancer, "attempts_timed_out:1").await;
    });
}

#[test]
fn idle_connections_are_reused_once_and_closed_before_the_hosts_idle_timeout() {
    run(async {
        let log = Log::default();
        let (agent, host) = (
            quiet_agent(&log).await,
            cache("cache", &log, |_, _| hit("v")).await,
        );
        let short =
            |text: &mut serde_json::Value| text["settings"]["caps"]["keepalive"] = 200.0.into();
        let balancer = Balancer::start_with(agent, &[line("c", host, "box")], short).await;
        let mut client = balancer.client().await;
        // There are two proofs that an answer is a request's own, so a connection carries two requests.
        for (i, opened) in [1, 1, 2, 2, 3].into_iter().enumerate() {
            assert_eq!(client.get("k", &i.to_string(), 900).await, bulk("v"));
            assert_eq!(count(&log, &Seen::Opened("cache")), opened);
        }
        sleep(ms(190)).await;
        assert_eq!(
            count(&log, &Seen::Ended("cache")),
            3,
            "closed at four fifths of the limit"
        );
        assert_eq!(client.get("k", "6", 900).await, bulk("v"));
        assert_eq!(count(&log, &Seen::Opened("cache")), 4);
    });
}

/// A response of the origin names no request, and nothing cheap can be asked behind one that would prove it.
#[test]
fn a_connection_to_the_origin_carries_no_second_request() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, _| miss()).await;
        let source = origin("origin", &log, |_, words| {
            let id = words
                .iter()
                .find_map(|word| word.strip_prefix("Request-Id: "));
            let Step::Say(answer) = http(200, "", id.unwrap()) else {
                unreachable!();
            };
            Step::Twice(answer.clone(), ms(20), answer)
        });
        let source = source.await;
        let balancer = balancer_with(&log, &[("c", host, "box"), ("o", source, "origin")]).await;
        let mut client = balancer.client().await;
        for i in 0..6 {
            let id = format!("id-{i}");
            assert_eq!(client.get(&id, &id, 900).await, bulk(&id));
            assert_eq!(count(&log, &Seen::Opened("origin")), i + 1);
        }
        until(|| count(&log, &Seen::Ended("origin")) == 6).await;
    });
}

#[test]
fn a_connection_closed_by_the_host_is_not_reused() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, words| match hit(&words[1]) {
            // It answers and then ends: a second command on the connection would never be answered.
            Step::Say(bytes) => Step::Say([&bytes[..], b"-ERR going away\r\n"].concat()),
            step => step,
        });
        let balancer = balancer_with(&log, &[("c", host.await, "box")]).await;
        let mut client = balancer.client().await;
        for i in 0..4 {
            let key = format!("k{i}");
            assert_eq!(client.get(&key, "1", 900).await, bulk(&key));
            sleep(ms(10)).await;
        }
        assert_eq!(count(&log, &Seen::Opened("cache")), 4);
        assert_counter(&balancer, "attempts_reset:0").await;
    });
}

#[test]
fn bytes_behind_a_reply_never_answer_the_next_request() {
    run(async {
        for (late, surplus) in [
            (false, "*3\r\n$4\r\nlies\r\n$3\r\nhit\r\n$-1\r\n"),
            (false, "noise"),
            // It comes while the connection is idle, or has just been chosen.
            (true, "*3\r\n$4\r\nlies\r\n$3\r\nhit\r\n$-1\r\n"),
        ] {
            let log = Log::default();
            let host = cache("cache", &log, move |_, words| match hit(&words[2]) {
                Step::Say(bytes) if late => Step::Twice(bytes, ms(20), surplus.into()),
                Step::Say(bytes) => Step::Say([&bytes[..], surplus.as_bytes()].concat()),
                step => step,
            });
            let balancer = balancer_with(&log, &[("c", host.await, "box")]).await;
            let mut client = balancer.client().await;
            for id in ["one", "two", "three"] {
                // The value itself is well-formed, and counts.
                assert_eq!(client.get("k", id, 900).await, bulk(id), "{surplus:?}");
                if late {
                    sleep(ms(40)).await;
                }
            }
            assert_eq!(count(&log, &Seen::Opened("cache")), 3, "none is used again");
            let info = balancer.client().await.ask(&["INFO"]).await;
            assert!(info.contains("attempts_served:3\r\n"), "{info}");
            assert!(!info.contains("server_connections_surplus:0\r\n"), "{info}");
        }
    });
}

#[test]
fn malformed_responses_of_the_origin_are_no_answers() {
    run(async {
        for spoilt in [
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 2\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\nwhole",
            "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nwhole",
            "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
            "HTTP/1.1 302 X\r\nContent-Length: 5\r\n\r\nwhole",
            "ICY 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        ] {
            let log = Log::default();
            let host = cache("cache", &log, |_, _| miss()).await;
            let source = origin("origin", &log, move |n, _| match n {
                0 => Step::Say(spoilt.into()),
                _ => Step::Say(
                    b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"
                        .into(),
                ),
            });
            let balancer =
                balancer_with(&log, &[("c", host, "box"), ("o", source.await, "origin")]).await;
            assert_eq!(
                balancer.client().await.get("k", "1", 900).await,
                bulk("right"),
                "{spoilt}"
            );
            assert_counter(&balancer, "attempts_spoilt:1").await;
            // The connection is not reused.
            assert_eq!(count(&log, &Seen::Opened("origin")), 2, "{spoilt}");
        }
    });
}

#[test]
fn values_above_the_protocols_limit_are_forwarded() {
    run(async {
        let log = Log::default();
        let large = "x".repeat(400_000);
        let (value, body) = (large.clone(), large.clone());
        let host = cache("cache", &log, move |_, words| {
            if words[1] == "hit" {
                hit(&value)
            } else {
                miss()
            }
        });
        let source = origin("origin", &log, move |_, _| http(200, "", &body)).await;
        let balancer =
            balancer_with(&log, &[("c", host.await, "box"), ("o", source, "origin")]).await;
        let mut client = balancer.client().await;
        for key in ["hit", "miss", "hit"] {
            assert_eq!(client.get(key, key, 1400).await, bulk(&large));
        }
        assert_counter(&balancer, "attempts_spoilt:0").await;
    });
}

#[test]
fn values_up_to_the_protocols_limit_are_read_and_written() {
    run(async {
        let log = Log::default();
        let large = "x".repeat(64 * 1024);
        let (value, body) = (large.clone(), large.clone());
        let host = cache("cache", &log, move |_, _| hit(&value)).await;
        let source = origin("origin", &log, move |_, words| {
            http(200, "", words.last().unwrap())
        })
        .await;
        let balancer = balancer_with(&log, &[("c", host, "box"), ("o", source, "origin")]).await;
        let mut client = balancer.client().await;
        assert_eq!(client.get("k", "1", 900).await, bulk(&large));
        client
            .send(&command(&["C.SET", "k", "2", "c=read,d=900", &body]))
            .await;
        assert_eq!(client.answer().await.unwrap(), bulk(&large));
    });
}

/// Starts twelve attempts at two silent caches with eight sockets.
async fn exhaust_sockets(agent: SocketAddr, log: &Log) -> (Balancer, Client) {
    let (one, two) = (
        cache("one", log, |_, _| Step::Silence).await,
        cache("two", log, |_, _| Step::Silence).await,
    );
    let few = |text: &mut serde_json::Value| text["limits"]["sockets"] = 50.into();
    let lines = [line("c1", one, "box"), line("c2", two, "box")];
    let balancer = Balancer::start_with(agent, &lines, few).await;
    let mut client = balancer.client().await;
    for i in 0..12 {
        client
            .send(&get(&format!("k{i}"), &i.to_string(), 1400))
            .await;
    }
    sleep(ms(50)).await;
    (balancer, client)
}

#[test]
fn an_attempt_waits_for_a_socket_no_longer_than_the_connect_timeout() {
    run(async {
        let log = Log::default();
        let agent = quiet_agent(&log).await;
        let (balancer, _client) = exhaust_sockets(agent, &log).await;
        assert_counter(&balancer, "server_connections_open:8").await;
        assert_counter(&balancer, "attempts_moot:0").await;
        sleep(ms(300)).await;
        let info = balancer.client().await.ask(&["INFO"]).await;
        let moot = info
            .lines()
            .find_map(|l| l.strip_prefix("attempts_moot:"))
            .unwrap();
        assert!(moot.parse::<u32>().unwrap() >= 4, "{info}");
        // A lack of sockets at the balancer is no failure of a server.
        assert!(info.contains("attempts_connect_failed:0\r\n"), "{info}");
        assert!(info.contains("server_connections_open:8\r\n"), "{info}");
    });
}

#[test]
fn an_attempt_that_waits_for_a_socket_is_not_sent_to_a_cache_that_begins_to_drain() {
    run(async {
        let log = Log::default();
        let agent = origin("agent", &log, |n, _| match n {
            0 => http(200, "", r#"{"index":1,"snapshot":false,"endpoints":[]}"#),
            1 => match http(200, "", r#"{"index":2,"snapshot":true,"endpoints":[]}"#) {
                Step::Say(bytes) => Step::After(ms(150), bytes),
                step => step,
            },
            _ => Step::Silence,
        });
        let agent = agent.await;
        let (balancer, _client) = exhaust_sockets(agent, &log).await;
        sleep(ms(120)).await;
        // The list comes before the connect timeout of 250 ms, so the attempts that waited end by it.
        let info = balancer.client().await.ask(&["INFO"]).await;
        let moot = info
            .lines()
            .find_map(|l| l.strip_prefix("attempts_moot:"))
            .unwrap();
        assert!(moot.parse::<u32>().unwrap() >= 4, "{info}");
        let sent = commands(&log, "one").len() + commands(&log, "two").len();
        assert_eq!(sent, 8);
    });
}
