//! The client side: order of answers, malformed input, clients that disconnect, and the limit on connections.

use std::rc::Rc;
use std::time::Instant;

use stairfront_test_support::loopback::{
    bulk, cache, command, commands, config, count, get, hit, http, line, ms, origin, quiet_agent,
    run, Balancer, Client,
};
use stairfront_test_support::loopback::{Log, Seen, Step};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A cache whose value is the key, slow for keys that begin with `slow`.
fn echo(_: usize, words: &[String]) -> Step {
    let value = words[1].clone();
    match hit(&value) {
        Step::Say(bytes) if value.starts_with("slow") => Step::After(ms(150), bytes),
        step => step,
    }
}

async fn echoing(log: &Log) -> Balancer {
    let (agent, host) = (quiet_agent(log).await, cache("cache", log, echo).await);
    Balancer::start(agent, &[line("c", host, "box")]).await
}

#[test]
fn a_command_split_at_every_byte_is_served() {
    run(async {
        let log = Log::default();
        let balancer = echoing(&log).await;
        let mut client = balancer.client().await;
        for byte in get("k", "1", 1000) {
            client.send(&[byte]).await;
            tokio::task::yield_now().await;
        }
        assert_eq!(client.answer().await.unwrap(), bulk("k"));
        let sent = &commands(&log, "cache")[0];
        assert_eq!(sent[..3], ["C.GET", "k", "1"]);
        assert!(sent[3].starts_with("c=read,t=acme,d="), "{sent:?}");
    });
}

#[test]
fn pipelined_answers_come_in_the_order_of_their_commands() {
    run(async {
        let balancer = echoing(&Log::default()).await;
        let mut client = balancer.client().await;
        let mut batch = get("slow", "1", 1000);
        batch.extend(get("quick", "2", 1000));
        batch.extend(command(&["PING"]));
        batch.extend(command(&["NONSENSE"]));
        client.send(&batch).await;
        for wanted in [
            bulk("slow"),
            bulk("quick"),
            "+PONG\r\n".into(),
            "-ERR unknown command\r\n".into(),
        ] {
            assert_eq!(client.answer().await.unwrap(), wanted);
        }
    });
}

#[test]
fn malformed_input_ends_its_connection_alone_after_the_earlier_answers() {
    run(async {
        let balancer = echoing(&Log::default()).await;
        let mut other = balancer.client().await;
        let too_long = format!("*4\r\n${}\r\n", 64 * 1024 + 1);
        let endless = vec![b'*'; 4096];
        for broken in [
            &b"GET / HTTP/1.1\r\n\r\n"[..],
            b"*1\r\n+x\r\n",
            b"*99\r\n",
            too_long.as_bytes(),
            &endless,
        ] {
            let mut client = balancer.client().await;
            client.send(&get("slow", "1", 1000)).await;
            client.send(broken).await;
            assert_eq!(client.answer().await.unwrap(), bulk("slow"));
            assert_eq!(client.answer().await.unwrap(), "-ERR Protocol error\r\n");
            assert_eq!(client.answer().await, None);
            assert_eq!(other.get("k", "2", 1000).await, bulk("k"));
        }
    });
}

#[test]
fn invalid_arguments_get_an_error_and_the_connection_stays_open() {
    run(async {
        let log = Log::default();
        let balancer = echoing(&log).await;
        let mut client = balancer.client().await;
        let unfit: [&[&str]; 14] = [
            &["C.GET", "k"],
            &["C.GET", "k", "1", "c=unheard,d=100"],
            &["C.GET", "k", "1", "c=read,d=soon"],
            &["C.GET", "k\r\nX: y", "1", "c=read,d=100"],
            &["C.GET", "k", "1", "c=read\r\nX: y,d=100"],
            &["C.SET", "k", "1", "c=read,d=100"],
            &["C.GET", "k", "", "c=read,d=100"],
            &["C.GET", "k", "1", "c=read,d=NaN"],
            &["C.GET", "k", "1", "c=read,d=inf"],
            &["C.GET", "k", "1", "c=read,d=1e999"],
            &["C.GET", "k", "1", "c=read,d=-5"],
            &["C.GET", "k", "1", "c=read,d="],
            &["C.GET", "k", "1", "c=read,c=unheard,d=100"],
            &["C.GET", "k", "1", "c=read,d=100,d=soon"],
        ];
        for words in unfit {
            assert!(client.ask(words).await.starts_with("-ERR "), "{words:?}");
        }
        assert_eq!(commands(&log, "cache").len(), 0);
        assert_eq!(client.get("k", "1", 1000).await, bulk("k"));
    });
}

#[test]
fn a_client_that_disconnects_leaves_the_connections_to_the_cache_usable() {
    run(async {
        let log = Log::default();
        let balancer = echoing(&log).await;
        let mut half_closed = balancer.client().await;
        half_closed.send(&get("slow", "1", 1000)).await;
        sleep(ms(30)).await;
        half_closed.socket.shutdown().await.unwrap();
        let mut closed = balancer.client().await;
        closed.send(&get("slow2", "2", 1000)).await;
        sleep(ms(30)).await;
        drop(closed);
        sleep(ms(200)).await;
        let mut client = balancer.client().await;
        let info = client.ask(&["INFO"]).await;
        for wanted in [
            "taken_in:2\r\n",
            "client_gone:2\r\n",
            "served:0\r\n",
            "client_connections_open:1\r\n",
        ] {
            assert!(info.contains(wanted), "{wanted:?} in {info}");
        }
        // Both attempts ended as usual, and their connections are reused.
        assert!(info.contains("attempts_served:2\r\n"), "{info}");
        assert_eq!(client.get("k", "3", 1000).await, bulk("k"));
        assert_eq!(count(&log, &Seen::Opened("cache")), 2);
    });
}

#[test]
fn a_request_that_no_server_answers_is_answered_by_the_clients_deadline() {
    run(async {
        let log = Log::default();
        let (agent, host) = (
            quiet_agent(&log).await,
            cache("cache", &log, |_, _| Step::Silence).await,
        );
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let mut client = balancer.client().await;
        let start = Instant::now();
        assert_eq!(client.get("k", "1", 300).await, "-BUSY 1500\r\n");
        assert!(start.elapsed() < ms(300), "{:?}", start.elapsed());
    });
}

#[test]
fn more_clients_than_permits_are_all_served_as_idle_connections_close() {
    run(async {
        let log = Log::default();
        let (agent, host) = (quiet_agent(&log).await, cache("cache", &log, echo).await);
        let few = |text: &mut serde_json::Value| text["limits"]["sockets"] = 50.into();
        let balancer = Balancer::start_with(agent, &[line("c", host, "box")], few).await;
        let mut idle = Vec::new();
        for i in 0..60 {
            let mut client = balancer.client().await;
            assert_eq!(client.get("k", &i.to_string(), 1000).await, bulk("k"));
            idle.push(client);
        }
        let info = balancer.client().await.ask(&["INFO"]).await;
        let open = info
            .lines()
            .find_map(|l| l.strip_prefix("client_connections_open:"))
            .unwrap();
        // One is closed in advance while less than a quarter of the permits is free.
        assert!((6..=8).contains(&open.parse::<u32>().unwrap()), "{info}");
    });
}

#[test]
fn more_requests_than_sockets_wait_and_are_served() {
    run(async {
        let log = Log::default();
        let agent = quiet_agent(&log).await;
        let (one, two) = (
            cache("one", &log, echo).await,
            cache("two", &log, echo).await,
        );
        let few = |text: &mut serde_json::Value| text["limits"]["sockets"] = 50.into();
        let lines = [line("c1", one, "box"), line("c2", two, "box")];
        let balancer = Rc::new(Balancer::start_with(agent, &lines, few).await);
        let mut tasks = Vec::new();
        for i in 0..6 {
            let mut client = balancer.client().await;
            tasks.push(tokio::task::spawn_local(async move {
                // Two at a time to each of many keys: eight sockets serve twelve requests.
                let keys = [format!("slow{i}a"), format!("slow{i}b")];
                for key in &keys {
                    client.send(&get(key, key, 1400)).await;
                }
                for key in &keys {
                    assert_eq!(client.answer().await.unwrap(), bulk(key));
                }
            }));
        }
        sleep(ms(75)).await;
        let info = balancer.client().await.ask(&["INFO"]).await;
        assert!(info.contains("server_connections_open:8\r\n"), "{info}");
        for task in tasks {
            task.await.unwrap();
        }
        let info = balancer.client().await.ask(&["INFO"]).await;
        assert!(info.contains("served:12\r\n"), "{info}");
    });
}

/// A balancer that may not be ready yet, and a client.
async fn just_started(
    agent: std::net::SocketAddr,
    lines: &[serde_json::Value],
) -> (Balancer, Client) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let text = config(listener.local_addr().unwrap(), agent, lines, 1024).to_string();
    let config =
        stairfront_balancer::configuration::config::Config::from_text("test", &text).unwrap();
    let balancer = Balancer::begin(None, listener, config).await;
    let client = balancer.client().await;
    (balancer, client)
}

#[test]
fn a_silent_discovery_agent_does_not_keep_a_balancer_with_a_list_from_serving() {
    run(async {
        let log = Log::default();
        let agent = origin("agent", &log, |_, _| Step::Silence).await;
        let host = cache("cache", &log, echo).await;
        let (_balancer, mut client) = just_started(agent, &[line("c", host, "box")]).await;
        assert_eq!(client.ask(&["PING"]).await, "+PONG\r\n");
        assert_eq!(client.get("k", "1", 1000).await, bulk("k"));
    });
}

#[test]
fn ping_is_an_error_until_there_is_an_endpoint_list() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, echo).await;
        let agent = origin("agent", &log, move |n, _| match n {
            0 => match http(200, "", &list(host)) {
                Step::Say(bytes) => Step::After(ms(100), bytes),
                step => step,
            },
            _ => Step::Silence,
        });
        let (_balancer, mut client) = just_started(agent.await, &[]).await;
        assert!(client.ask(&["PING"]).await.starts_with("-LOADING"));
        sleep(ms(150)).await;
        assert_eq!(client.ask(&["PING"]).await, "+PONG\r\n");
        assert_eq!(client.get("k", "1", 1000).await, bulk("k"));
    });
}

fn list(host: std::net::SocketAddr) -> String {
    serde_json::json!({"index": 2, "snapshot": true, "endpoints": [line("c", host, "box")]})
        .to_string()
}

#[test]
fn with_every_permit_in_use_a_new_client_is_refused_by_its_deadline() {
    run(async {
        let log = Log::default();
        let agent = quiet_agent(&log).await;
        let host = cache("cache", &log, |_, _| Step::Silence).await;
        let few = |text: &mut serde_json::Value| text["limits"]["sockets"] = 50.into();
        let balancer = Balancer::start_with(agent, &[line("c", host, "box")], few).await;
        let mut busy = Vec::new();
        for i in 0..8 {
            let mut client = balancer.client().await;
            client
                .send(&get(&format!("k{i}"), &format!("busy{i}"), 1400))
                .await;
            busy.push(client);
        }
        sleep(ms(50)).await;
        let mut spare = Vec::new();
        for _ in 0..8 {
            let mut client = balancer.client().await;
            let start = Instant::now();
            assert_eq!(client.get("k", "2", 300).await, "-BUSY\r\n");
            assert!(start.elapsed() < ms(200), "{:?}", start.elapsed());
            // It stays open for the client's next request, but not for ever.
            assert_eq!(client.get("k", "3", 300).await, "-BUSY\r\n");
            spare.push(client);
        }
        let mut late = spare.pop().unwrap();
        drop(busy);
        sleep(ms(20)).await;
        assert!(
            late.get("k", "4", 200).await.starts_with("-BUSY 1500"),
            "with a place of its own it is served"
        );
        sleep(ms(300)).await;
        for mut client in spare {
            assert_eq!(client.answer().await, None);
        }
        assert_eq!(late.ask(&["PING"]).await, "+PONG\r\n");
    });
}

#[test]
fn a_connection_without_a_whole_command_is_closed_within_three_seconds() {
    run(async {
        let balancer = echoing(&Log::default()).await;
        let mut usual = balancer.client().await;
        assert_eq!(usual.get("k", "1", 1000).await, bulk("k"));
        let start = Instant::now();
        let mut silent = balancer.client().await;
        let mut half = balancer.client().await;
        half.send(&get("k", "2", 1000)[..20]).await;
        // A partial command that begins late has the same time.
        let mut late = balancer.client().await;
        assert_eq!(late.get("k", "3", 1000).await, bulk("k"));
        assert_eq!(silent.answer().await, None);
        assert_eq!(half.answer().await, None);
        assert!(
            (ms(2000)..ms(3000)).contains(&start.elapsed()),
            "{:?}",
            start.elapsed()
        );
        late.send(&get("k", "4", 1000)[..20]).await;
        sleep(ms(50)).await;
        late.send(&get("k", "4", 1000)[20..]).await;
        assert_eq!(late.answer().await.unwrap(), bulk("k"));
        assert_eq!(usual.get("k", "5", 1000).await, bulk("k"));
        assert!(usual
            .ask(&["INFO"])
            .await
            .contains("client_connections_idled:2\r\n"));
    });
}

#[test]
fn an_error_reaches_a_client_that_goes_on_sending() {
    run(async {
        let balancer = echoing(&Log::default()).await;
        let mut client = balancer.client().await;
        client
            .send(b"*5\r\n$5\r\nC.SET\r\n$1\r\nk\r\n$1\r\n1\r\n$6\r\nc=read\r\n$60000000\r\n")
            .await;
        let start = Instant::now();
        let (mut reader, mut writer) = client.socket.into_split();
        let sending = tokio::task::spawn_local(async move {
            let mut sent = 0;
            while sent < 60_000_000 && writer.write_all(&[b'x'; 65536]).await.is_ok() {
                sent += 65536;
            }
            sent
        });
        let mut said = [0; 64];
        let n = tokio::io::AsyncReadExt::read(&mut reader, &mut said)
            .await
            .unwrap();
        assert_eq!(&said[..n], b"-ERR Protocol error\r\n");
        assert!(start.elapsed() < ms(500), "{:?}", start.elapsed());
        let sent = sending.await.unwrap();
        assert!(
            start.elapsed() < ms(3000) && sent < 60_000_000,
            "{sent} bytes taken in {:?}",
            start.elapsed()
        );
    });
}

#[test]
fn a_duplicate_id_gets_an_error_and_is_not_sent() {
    run(async {
        let log = Log::default();
        let balancer = echoing(&log).await;
        let (mut one, mut other) = (balancer.client().await, balancer.client().await);
        one.send(&get("slow", "same", 1000)).await;
        sleep(ms(30)).await;
        assert_eq!(
            other.get("k", "same", 1000).await,
            "-ERR id is open already\r\n"
        );
        assert_eq!(one.answer().await.unwrap(), bulk("slow"));
        assert_eq!(commands(&log, "cache").len(), 1);
        assert_eq!(other.get("k", "same", 1000).await, bulk("k"), "it is over");
    });
}

#[test]
fn silent_connections_close_for_new_ones_before_used_ones() {
    run(async {
        let log = Log::default();
        let (agent, host) = (quiet_agent(&log).await, cache("cache", &log, echo).await);
        let few = |text: &mut serde_json::Value| text["limits"]["sockets"] = 50.into();
        let balancer = Balancer::start_with(agent, &[line("c", host, "box")], few).await;
        let mut usual = Vec::new();
        for i in 0..4 {
            let mut client = balancer.client().await;
            assert_eq!(client.get("k", &i.to_string(), 1000).await, bulk("k"));
            usual.push(client);
        }
        let mut silent = Vec::new();
        for _ in 0..3 {
            silent.push(balancer.client().await);
        }
        sleep(ms(300)).await;
        let mut more = Vec::new();
        for i in 0..4 {
            let mut client = balancer.client().await;
            assert_eq!(client.get("k", &format!("more{i}"), 1000).await, bulk("k"));
            more.push(client);
        }
        for mut client in silent {
            assert_eq!(client.answer().await, None);
        }
        for (i, client) in usual.iter_mut().skip(1).enumerate() {
            assert_eq!(client.get("k", &format!("again{i}"), 1000).await, bulk("k"));
        }
    });
}

/// Guards against clients that lose their connection though a permit is free: the connection that is asked to make room is
/// ended by its client at that moment, and the request stayed for whoever became idle next.
#[test]
fn a_request_for_room_outlives_the_connection_that_ends_by_itself() {
    run(async {
        let log = Log::default();
        let (agent, host) = (quiet_agent(&log).await, cache("cache", &log, echo).await);
        // Eight permits, so that the last of these connections leaves less than a quarter free.
        let few = |text: &mut serde_json::Value| text["limits"]["sockets"] = 50.into();
        let balancer = Balancer::start_with(agent, &[line("c", host, "box")], few).await;
        let mut leaving = balancer.client().await;
        assert_eq!(leaving.ask(&["PING"]).await, "+PONG\r\n");
        // The balancer runs again once all have come and the first has left, and sees the new ones first.
        let mut sockets = Vec::new();
        for _ in 0..7 {
            let socket = std::net::TcpStream::connect(balancer.address).unwrap();
            socket.set_nonblocking(true).unwrap();
            sockets.push(socket);
        }
        drop(leaving);
        let adopt = |socket| Client::from(TcpStream::from_std(socket).unwrap());
        let mut clients: Vec<Client> = sockets.into_iter().map(adopt).collect();
        for round in 0..2 {
            for (index, client) in clients.iter_mut().enumerate() {
                client.send(&command(&["PING"])).await;
                let answer = client.answer().await;
                assert_eq!(
                    answer.as_deref(),
                    Some("+PONG\r\n"),
                    "{index} in round {round}"
                );
            }
        }
    });
}
