//! Races on a client's connection: it disconnects, or is closed, while input is unread, an answer is unwritten or a request
//! is in flight. Each race is forced by gates and by the order of bytes.

use std::cell::Cell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Instant;

use serde_json::Value;
use stairfront_balancer::lifecycle::shutdown::Phase;
use stairfront_test_support::loopback::{
    bulk, cache, command, commands, gated_echo, get, line, miss, ms, origin, quiet_agent, run,
    run_within, until, Balancer, Log, Step,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The value of a counter in `INFO`.
async fn counter(balancer: &Balancer, name: &str) -> u64 {
    let info = balancer.client().await.ask(&["INFO"]).await;
    let line = info
        .lines()
        .find_map(|line| line.strip_prefix(&format!("{name}:")));
    line.and_then(|figure| figure.parse().ok()).unwrap()
}

fn ids(log: &Log, begin: &str) -> usize {
    commands(log, "cache")
        .iter()
        .filter(|words| words[2].starts_with(begin))
        .count()
}

/// A balancer with four names for one stand-in, so that no concurrency limit applies, and eight connections to servers.
async fn crowded(log: &Log, script: impl Fn(usize, &[String]) -> Step + 'static) -> Balancer {
    let (agent, host) = (quiet_agent(log).await, cache("cache", log, script).await);
    let lines: Vec<Value> = (0..4)
        .map(|i| line(&format!("c{i}"), host, "box"))
        .collect();
    let few = |text: &mut Value| {
        text["limits"]["sockets"] = 50.into();
        text["settings"]["caps"]["connect_timeout"] = 5000.0.into();
        // Requests that the gate delays do not time out before their client gives up.
        text["settings"]["profiles"][0]["aim"] = 1400.0.into();
    };
    Balancer::start_with(agent, &lines, few).await
}

/// At the maximum of open commands nothing is read from a connection, and its end is behind unread bytes. Its attempts that
/// still wait, here for a socket, would be sent without a client.
#[test]
fn attempts_waiting_for_a_socket_are_not_sent_for_a_client_that_has_disconnected() {
    for reset in [false, true] {
        run(async {
            let (open, gate) = watch::channel(false);
            let log = Log::default();
            let balancer = crowded(&log, move |_, words| gated_echo(&gate, words)).await;
            let mut busy = balancer.client().await;
            for i in 0..8 {
                busy.send(&get(&format!("busy{i}"), &format!("busy{i}"), 1400))
                    .await;
            }
            until(|| ids(&log, "busy") == 8).await;
            let mut leaver = balancer.client().await;
            let many = (0..40).flat_map(|i| get(&format!("gone{i}"), &format!("gone{i}"), 1400));
            leaver.send(&many.collect::<Vec<u8>>()).await;
            while counter(&balancer, "taken_in").await < 24 {
                sleep(ms(2)).await;
            }
            if reset {
                leaver.socket.set_zero_linger().unwrap();
            }
            drop(leaver);
            sleep(ms(200)).await;
            open.send_replace(true);
            for i in 0..8 {
                assert_eq!(busy.answer().await.unwrap(), bulk(&format!("busy{i}")));
            }
            // All that had waited would have been sent by now.
            let mut after = balancer.client().await;
            assert_eq!(after.get("after", "after", 1400).await, bulk("after"));
            assert_eq!(ids(&log, "gone"), 0, "with a reset: {reset}");
            assert_eq!(counter(&balancer, "client_gone").await, 16);
        });
    }
}

/// In the middle of a large value that its client does not read, nothing is read from the client. If its disconnect were not
/// noticed, the server's connection, the permit and its other requests would be held for the whole read timeout.
#[test]
fn a_client_that_disconnects_before_a_large_value_is_written_is_noticed_at_once() {
    run(async {
        let log = Log::default();
        let large = format!(
            "*3\r\n$4000000\r\n{}\r\n$3\r\nhit\r\n$-1\r\n",
            "x".repeat(4_000_000)
        );
        let script = move |_: usize, _: &[String]| Step::Say(large.clone().into_bytes());
        let (agent, host) = (quiet_agent(&log).await, cache("cache", &log, script).await);
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let socket = tokio::net::TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut client = socket.connect(balancer.address).await.unwrap();
        // As many as fill the buffers in between.
        for i in 0..4 {
            client
                .write_all(&get("k", &i.to_string(), 1400))
                .await
                .unwrap();
        }
        while counter(&balancer, "streams").await < 1 {
            sleep(ms(2)).await;
        }
        sleep(ms(100)).await;
        client.shutdown().await.unwrap();
        let left = Instant::now();
        // The connection that asks is one of them.
        while counter(&balancer, "client_connections_open").await > 1 {
            assert!(left.elapsed() < ms(2000), "still there");
            sleep(ms(5)).await;
        }
    });
}

async fn next(socket: &mut TcpStream) -> Result<usize, ErrorKind> {
    socket
        .read(&mut [0; 1024])
        .await
        .map_err(|problem| problem.kind())
}

/// In the last phase of a shutdown nothing is read any more. A connection closed over an unread request is reset, and the
/// answer that its client has not read yet would be lost.
#[test]
fn the_last_answer_of_a_shutdown_is_not_lost_by_a_reset_over_unread_requests() {
    run(async {
        let (open, gate) = watch::channel(false);
        let log = Log::default();
        let script = move |_: usize, words: &[String]| gated_echo(&gate, words);
        let (agent, host) = (quiet_agent(&log).await, cache("cache", &log, script).await);
        let balancer = Balancer::start(agent, &[line("c", host, "box")]).await;
        let mut client = balancer.client().await;
        loop {
            client.send(&get("first", "first", 20_000)).await;
            tokio::select! {
                () = until(|| ids(&log, "first") == 1) => break,
                // A busy machine makes the balancer shed load, rightly.
                answer = client.answer() => assert!(answer.unwrap().starts_with("-BUSY")),
            }
        }
        for phase in [Phase::Draining, Phase::Closing, Phase::Last] {
            balancer.phase.send_replace(phase);
            // The connection has been notified once the loop has come round.
            sleep(ms(5)).await;
        }
        client.send(&get("second", "second", 1400)).await;
        sleep(ms(5)).await;
        open.send_replace(true);
        assert_eq!(client.answer().await.unwrap(), bulk("first"));
        // More is sent while the close is under way.
        client.send(&get("third", "third", 1400)).await;
        assert_eq!(next(&mut client.socket).await, Ok(0), "a proper end");
        drop(client);
        balancer.done.await.unwrap();
        assert_eq!(
            commands(&log, "cache").len(),
            1,
            "nothing that came later was sent on"
        );
    });
}

/// A successor that has just ended cannot get the connection. Requests that were read from it have to be answered here.
#[test]
fn requests_read_from_a_connection_that_cannot_be_handed_over_are_answered() {
    run(async {
        let (open, gate) = watch::channel(false);
        let log = Log::default();
        let balancer = crowded(&log, move |_, words| gated_echo(&gate, words)).await;
        let mut client = balancer.client().await;
        // One command more than are handled at once: it is in the read buffer, behind the others.
        let many = (0..17).flat_map(|i| get(&format!("k{i}"), &format!("k{i}"), 1400));
        client.send(&many.collect::<Vec<u8>>()).await;
        let mut half = balancer.client().await;
        half.send(&get("half", "half", 1400)[..20]).await;
        until(|| ids(&log, "k") == 8).await;
        balancer.phase.send_replace(Phase::HandingOver);
        sleep(ms(5)).await;
        open.send_replace(true);
        for i in 0..17 {
            assert_eq!(
                client.answer().await.expect("taken and not answered"),
                bulk(&format!("k{i}"))
            );
        }
        assert_eq!(next(&mut client.socket).await, Ok(0), "a proper end");
        // A partial command does not delay the end.
        drop(client);
        assert_eq!(half.answer().await, None);
        balancer.done.await.unwrap();
    });
}

/// A balancer that is told to end may be killed 3.7 s later. A request whose client waits longer would end with it,
/// unanswered.
#[test]
fn a_request_with_a_deadline_beyond_the_process_lifetime_is_answered_before_the_end() {
    run(async {
        let log = Log::default();
        let (agent, host) = (
            quiet_agent(&log).await,
            cache("cache", &log, |_, _| Step::Silence).await,
        );
        let long = |text: &mut Value| {
            text["settings"]["profiles"][0]["aim"] = 6000.0.into();
            text["settings"]["profiles"][0]["deadline"] = 6000.0.into();
        };
        let balancer = Balancer::start_with(agent, &[line("c", host, "box")], long).await;
        let (mut before, mut after) = (balancer.client().await, balancer.client().await);
        assert_eq!(after.ask(&["PING"]).await, "+PONG\r\n");
        before.send(&get("k", "before", 6000)).await;
        until(|| ids(&log, "before") == 1).await;
        let told = Instant::now();
        after.send(&get("l", "after", 6000)).await;
        balancer.phase.send_replace(Phase::Draining);
        for client in [&mut before, &mut after] {
            assert!(client.answer().await.unwrap().starts_with("-BUSY"));
            assert!(
                (ms(3000)..ms(3700)).contains(&told.elapsed()),
                "{:?}",
                told.elapsed()
            );
        }
    });
}

/// A large command without memory waits unread. If the balancer read on while an answer is pending on the connection, all
/// that the client goes on to send would be held in memory.
#[test]
fn input_behind_a_command_that_waits_for_memory_stays_unread_while_an_answer_is_pending() {
    // Megabytes take long on a busy machine.
    run_within(ms(60_000), async {
        let (open, gate) = watch::channel(false);
        let (log, large) = (Log::default(), "v".repeat(2 << 20));
        let (agent, host) = (
            quiet_agent(&log).await,
            cache("cache", &log, move |_, words| gated_echo(&gate, words)).await,
        );
        // Memory for one large command.
        let little = |text: &mut Value| {
            text["limits"]["memory_mb"] = 24.into();
            text["settings"]["profiles"][0]["aim"] = 20_000.0.into();
            text["settings"]["profiles"][0]["deadline"] = 20_000.0.into();
        };
        let balancer = Balancer::start_with(agent, &[line("c", host, "box")], little).await;
        // The second command waits for as long as the test lasts.
        let set = |id: &str| command(&["C.SET", "k", id, "c=read,t=acme,d=20000", &large]);
        let mut holder = balancer.client().await;
        holder.send(&set("holder")[..1 << 20]).await;
        let mut client = balancer.client().await;
        client.send(&get("first", "first", 1400)).await;
        until(|| ids(&log, "first") == 1).await;
        let (mut rest, mut flood) = client.socket.into_split();
        let sent = Rc::new(Cell::new(0));
        let sending = {
            let (sent, many) = (Rc::clone(&sent), set("second").repeat(20));
            spawn_local(async move {
                for piece in many.chunks(64 * 1024) {
                    if flood.write_all(piece).await.is_err() {
                        return;
                    }
                    sent.set(sent.get() + piece.len());
                }
            })
        };
        // Only as much is sent as the kernel holds on both sides: nothing more is read in ten checks for memory.
        let mut before = usize::MAX;
        while before != sent.get() {
            before = sent.get();
            sleep(ms(200)).await;
        }
        assert!(
            !sending.is_finished() && before < 32 << 20,
            "{before} bytes were taken"
        );
        open.send_replace(true);
        let mut answer = [0; 11];
        rest.read_exact(&mut answer).await.unwrap();
        assert_eq!(std::str::from_utf8(&answer).unwrap(), bulk("first"));
        // With memory again the next command is read to its end and answered.
        drop(holder);
        assert!(matches!(rest.read(&mut answer).await, Ok(1..)));
        sending.abort();
    });
}

/// An answer whose end is the end of its connection must not be forwarded if a reset truncates it, nor be lost if it is
/// complete.
#[test]
fn an_answer_without_a_length_is_complete_at_an_orderly_close_and_never_at_a_reset() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, _| miss()).await;
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes();
        let db = origin("db", &log, move |n, words| {
            match (n, words[0].starts_with("GET /whole ")) {
                (_, true) => Step::Cut(answer("all of it")),
                (_, _) if words[0].starts_with("GET /endless ") => Step::Say(answer("so far")),
                (1, _) => Step::Broken(answer("half of")),
                (_, _) => Step::Cut(answer("half of it and the rest")),
            }
        })
        .await;
        let lines = [line("c", host, "box"), line("db", db, "origin")];
        let balancer = Balancer::start(quiet_agent(&log).await, &lines).await;
        let mut client = balancer.client().await;
        assert_eq!(client.get("whole", "a", 1400).await, bulk("all of it"));
        assert_eq!(
            client.get("broken", "b", 1400).await,
            bulk("half of it and the rest")
        );
        assert_eq!(
            commands(&log, "db").len(),
            3,
            "one answer, one reset, one more"
        );
        // A response that never ends is no answer, and the request is answered by its deadline.
        let asked = Instant::now();
        let answer = client.get("endless", "c", 500).await;
        assert!(
            answer.starts_with("-BUSY") && asked.elapsed() < ms(1000),
            "{answer} {:?}",
            asked.elapsed()
        );
    });
}
