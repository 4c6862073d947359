//! The pool of connections to servers: attempts that must not be sent any more, and connections that must not be reused.
mod fixture;
mod send_gate;
mod shares;
mod unsent;

use std::rc::Rc;

use bytes::Bytes;
use fixture::{end, ends, job, pool, pool_on, pool_with, Late, CACHE};
use stairfront_balancer::counters::Counters;
use stairfront_balancer::messages::{AttemptEnd, BodyChunk, EngineEvent, PoolEvent, Verb};
use stairfront_balancer::transport::Tcp;
use stairfront_balancer::upstream::upstream_pool::UpstreamPool;
use stairfront_policy::interface::Outcome;
use stairfront_test_support::loopback::{cache, commands, count, hit, ms, run, Log, Seen, Step};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A connection that is made, or becomes idle, just as its request is answered or its attempt cancelled would carry the
/// request to a server after its final answer.
#[test]
fn an_attempt_of_a_finished_request_is_not_sent() {
    run(async {
        let log = Log::default();
        let address = cache("cache", &log, |_, _| hit("v")).await;
        let (mut pool, mut events) = pool(address, 1);
        // The connection is still being made as the request is answered; the connection stays.
        let (first, _kept) = job(1);
        let liveness = Rc::clone(&first.liveness);
        assert!(pool.dispatch(first).is_none());
        liveness.finish();
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::NeverSent
        );
        // The second is queued at the idle connection's task and cancelled; the others wait for the socket meanwhile.
        let ((second, cancel), (third, _kept), (fourth, _kept_too)) = (job(2), job(3), job(4));
        let liveness = Rc::clone(&third.liveness);
        for job in [second, third, fourth] {
            assert!(pool.dispatch(job).is_none());
        }
        cancel.send(()).unwrap();
        liveness.finish();
        let ended = ends(&mut pool, &mut events).await;
        assert_eq!(
            ended
                .iter()
                .map(|end| end.result.outcome)
                .collect::<Vec<_>>(),
            [Outcome::NeverSent; 2]
        );
        assert_eq!(commands(&log, "cache").len(), 0, "nothing was asked for");
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::Served
        );
        assert_eq!(
            count(&log, &Seen::Opened("cache")),
            1,
            "one connection was enough"
        );
    });
}

#[test]
fn an_attempt_at_a_barred_server_is_not_sent() {
    run(async {
        let log = Log::default();
        let address = cache("cache", &log, |_, _| hit("v")).await;
        let (mut pool, mut events) = pool(address, 4);
        // The connection is still being made.
        let (first, _kept) = job(1);
        assert!(pool.dispatch(first).is_none());
        pool.set_barred(CACHE, true);
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::NeverSent
        );
        // No longer barred, it is served, and its connection becomes idle.
        pool.set_barred(CACHE, false);
        let (second, _kept) = job(2);
        assert!(pool.dispatch(second).is_none());
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::Served
        );
        // The job is queued at the idle connection's task, which has not read it yet.
        let (third, _kept) = job(3);
        assert!(pool.dispatch(third).is_none());
        pool.set_barred(CACHE, true);
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::NeverSent
        );
        assert_eq!(
            commands(&log, "cache").len(),
            1,
            "only the one that was allowed"
        );
        tokio::time::sleep(ms(20)).await;
        assert_eq!(
            count(&log, &Seen::Ended("cache")),
            count(&log, &Seen::Opened("cache"))
        );
        // An attempt in flight when the server is barred goes on to its end.
        pool.set_barred(CACHE, false);
        let (fourth, _kept) = job(4);
        assert!(pool.dispatch(fourth).is_none());
        while commands(&log, "cache").len() < 2 {
            tokio::task::yield_now().await;
        }
        pool.set_barred(CACHE, true);
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::Served
        );
    });
}

/// A retry that is decided within its window, and whose connection is made late, would reach a server that has forgotten the
/// first attempt, and take effect twice.
#[test]
fn a_retry_whose_window_closes_before_its_connection_is_made_is_not_sent() {
    run(async {
        let log = Log::default();
        let address = cache("cache", &log, |_, _| hit("v")).await;
        let (open, gate) = watch::channel(false);
        let (mut pool, mut events) = pool_on(Late(gate), address, 1, ms(10_000));
        // The connection is not made in time at all.
        let (mut never, _kept) = job(0);
        never.window_end = Some(Instant::now() + ms(50));
        assert!(pool.dispatch(never).is_none());
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(
            ended.result.outcome,
            Outcome::NeverSent,
            "no fault of the server's"
        );
        let (mut first, _kept) = job(1);
        first.window_end = Some(Instant::now() + ms(100));
        let second = job(2);
        assert!(pool.dispatch(first).is_none());
        // The connection is made in the same turn of the loop in which the window has closed.
        std::thread::sleep(ms(120));
        open.send_replace(true);
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::NeverSent);
        assert_eq!(commands(&log, "cache").len(), 0);
        // The same for a job queued at an idle connection, and for one that waits for a socket.
        let (mut third, _kept) = job(3);
        assert!(pool.dispatch(second.0).is_none());
        third.window_end = Some(Instant::now() + ms(30));
        assert!(pool.dispatch(third).is_none());
        std::thread::sleep(ms(40));
        let mut outcomes = Vec::new();
        while outcomes.len() < 2 {
            outcomes.extend(
                ends(&mut pool, &mut events)
                    .await
                    .iter()
                    .map(|end| end.result.outcome),
            );
        }
        assert!(outcomes.contains(&Outcome::NeverSent), "{outcomes:?}");
        assert_eq!(
            commands(&log, "cache").len(),
            1,
            "only the one without a window"
        );
    });
}

/// A server that stops reading could take the rest of a long command after the window has closed.
#[test]
fn a_retry_not_written_as_a_whole_within_its_window_is_aborted() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (mut pool, mut events) = pool(listener.local_addr().unwrap(), 1);
        let (mut long, _kept) = job(1);
        long.command.verb = Verb::Set;
        long.command.value = Some(Bytes::from(vec![b'x'; 64 * 1024 * 1024]));
        // The window begins once the value is made, which can take longer than the window on a busy machine.
        long.window_end = Some(Instant::now() + ms(200));
        long.give_up_at = Instant::now() + ms(10_000);
        assert!(pool.dispatch(long).is_none());
        let (unread, _) = listener.accept().await.unwrap();
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(
            ended.result.outcome,
            Outcome::ConnectFailed,
            "its last byte was never written"
        );
        assert!(
            ended.started_at.elapsed() < ms(2000),
            "{:?}",
            ended.started_at.elapsed()
        );
        drop(unread);
    });
}

/// After a stalled loop or a late answer, a connection can look fresh that its server is just closing: a request written to
/// it may have run.
#[test]
fn a_connection_past_its_idle_timeout_is_not_reused_after_a_stalled_loop() {
    run(async {
        let log = Log::default();
        let address = cache("cache", &log, |_, _| hit("v")).await;
        let (mut pool, mut events) = pool_on(Tcp, address, 4, ms(100));
        let (first, _kept) = job(1);
        assert!(pool.dispatch(first).is_none());
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::Served
        );
        // The task has begun to wait; then nothing runs for longer than the timeout.
        tokio::time::sleep(ms(10)).await;
        std::thread::sleep(ms(100));
        let (second, _kept) = job(2);
        assert!(pool.dispatch(second).is_none());
        assert_eq!(
            end(&mut pool, &mut events).await.result.outcome,
            Outcome::Served
        );
        assert_eq!(count(&log, &Seen::Opened("cache")), 2);
    });
}

/// The answer to one request comes again as the next one on its connection is out: a copy, a refusal that claims that the
/// request never ran, or a large value. It proves nothing of that request, which may have run.
#[test]
fn a_second_answer_that_comes_while_the_next_request_is_out_is_no_answer_to_it() {
    run(async {
        let large = format!(
            "*3\r\n$100000\r\n{}\r\n$3\r\nhit\r\n$-1\r\n",
            "l".repeat(100_000)
        );
        for stray in [
            "*3\r\n$5\r\nfirst\r\n$3\r\nhit\r\n$-1\r\n",
            "-BUSY\r\n",
            "-ERR failed\r\n",
            &large,
        ] {
            let log = Log::default();
            let stray = stray.to_string();
            let host = move |n: usize, _: &[String]| match (n, hit(["first", "second"][n.min(1)])) {
                // It stands in front of the answer, which comes soon after.
                (1, Step::Say(answer)) => Step::Twice(stray.clone().into(), ms(10), answer),
                (_, step) => step,
            };
            let address = cache("cache", &log, host).await;
            let counters = Rc::new(Counters::default());
            let (mut pool, mut events) = pool_with(Tcp, address, 4, Rc::clone(&counters));
            for id in 1..=2 {
                let (job, _kept) = job(id);
                assert!(pool.dispatch(job).is_none());
                let ended = end(&mut pool, &mut events).await;
                match (id, ended.body) {
                    (1, _) => assert_eq!(ended.result.outcome, Outcome::Served),
                    (_, None) => assert_eq!(ended.result.outcome, Outcome::Malformed),
                    // A large one is passed on as it comes, but never to its end.
                    (_, Some(mut body)) => {
                        let mut length = 0;
                        while let Some(chunk) = body.chunks.recv().await {
                            match chunk {
                                BodyChunk::Bytes(bytes) => length += bytes.len(),
                                BodyChunk::End => {
                                    panic!("the value of another request is complete")
                                }
                            }
                        }
                        assert!(length < body.length, "the client can tell that it is cut");
                    }
                }
            }
            assert_eq!(
                count(&log, &Seen::Opened("cache")),
                1,
                "it was the same connection"
            );
        }
    });
}

/// Where answers come twice, a request on a connection that was used before may fail for a second answer to the one before,
/// which comes some milliseconds late.
#[test]
fn connections_rest_between_attempts_after_a_surplus_reply() {
    run(async {
        let log = Log::default();
        let twice = |n: usize, _: &[String]| match hit("v") {
            Step::Say(bytes) if n == 2 => Step::Twice(bytes.clone(), ms(1), bytes),
            step => step,
        };
        let address = cache("cache", &log, twice).await;
        let (mut pool, mut events) = pool(address, 4);
        let opened = |log: &Log| count(log, &Seen::Opened("cache"));
        let serve =
            async |pool: &mut UpstreamPool<Tcp>, events: &mut mpsc::Receiver<EngineEvent>, id| {
                let (job, _kept) = job(id);
                assert!(pool.dispatch(job).is_none());
                assert_eq!(end(pool, events).await.result.outcome, Outcome::Served);
            };
        // No surplus was seen yet, and the second request ends the first connection.
        for (id, connections) in [(1, 1), (2, 1), (3, 2)] {
            serve(&mut pool, &mut events, id).await;
            assert_eq!(opened(&log), connections);
        }
        // The second reply to the third ends its connection, and is reported.
        loop {
            let Some(EngineEvent::Pool(event)) = events.recv().await else {
                panic!("nothing else is reported");
            };
            let surplus = matches!(event, PoolEvent::Closed { surplus: true, .. });
            pool.handle(event, &mut Vec::new());
            if surplus {
                break;
            }
        }
        let mut at_once = false;
        for id in 4.. {
            let (before, began) = (opened(&log), Instant::now());
            serve(&mut pool, &mut events, id).await;
            if at_once && began.elapsed() < ms(20) {
                assert_eq!(opened(&log), before + 1, "the other one rests");
                break;
            }
            at_once = true;
        }
        // After the rest they are reused.
        tokio::time::sleep(ms(60)).await;
        let before = opened(&log);
        serve(&mut pool, &mut events, 100).await;
        assert_eq!(opened(&log), before);
    });
}

/// A server that closes its connection behind a reply has sent no surplus. If connections rested for it, every attempt would
/// need a new connection where servers close often.
#[test]
fn a_connection_closed_behind_a_reply_is_no_surplus_and_makes_none_rest() {
    run(async {
        let log = Log::default();
        let closing = |n: usize, _: &[String]| match hit("v") {
            Step::Say(bytes) if n == 0 => Step::Cut(bytes),
            step => step,
        };
        let address = cache("cache", &log, closing).await;
        let (mut pool, mut events) = pool(address, 4);
        for (id, opened) in [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3), (6, 4)] {
            let (job, _kept) = job(id);
            assert!(pool.dispatch(job).is_none());
            let mut ended: Vec<AttemptEnd> = Vec::new();
            while ended.is_empty() {
                match events.recv().await {
                    Some(EngineEvent::Pool(event)) => pool.handle(event, &mut ended),
                    _ => panic!("nothing else is told"),
                }
            }
            assert_eq!(ended[0].result.outcome, Outcome::Served);
            assert_eq!(count(&log, &Seen::Opened("cache")), opened);
            // The end of the first connection is handled before the next attempt.
            tokio::time::sleep(ms(5)).await;
        }
    });
}

/// What comes on a connection before anything was written to it answers no request, and nothing was written for it either.
#[test]
fn bytes_on_a_new_connection_answer_no_request() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (open, gate) = watch::channel(false);
        let (mut pool, mut events) =
            pool_on(Late(gate), listener.local_addr().unwrap(), 4, ms(10_000));
        let (job, _kept) = job(1);
        assert!(pool.dispatch(job).is_none());
        let (mut host, _) = listener.accept().await.unwrap();
        host.write_all(b"-BUSY\r\n").await.unwrap();
        open.send_replace(true);
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::ConnectFailed);
        let mut received = Vec::new();
        // A reset ends it too, since the line was not read.
        let _ = host.read_to_end(&mut received).await;
        assert_eq!(received, b"", "nothing was written");
    });
}

/// A refusal that comes unasked on a new connection, behind the request, claims that it never ran.
#[test]
fn an_unasked_refusal_proves_nothing_of_a_request_that_must_not_run_twice() {
    run(async {
        let log = Log::default();
        let host = |_: usize, _: &[String]| match hit("v") {
            Step::Say(answer) => Step::Twice(b"-BUSY\r\n".to_vec(), ms(10), answer),
            step => step,
        };
        let address = cache("cache", &log, host).await;
        for (idempotent, outcome) in [(false, Outcome::Malformed), (true, Outcome::Full)] {
            // One that may be repeated may be sent again after the refusal, whether it ran or not.
            let (mut pool, mut events) = pool(address, 4);
            let (mut job, _kept) = job(1);
            job.command.idempotent = idempotent;
            assert!(pool.dispatch(job).is_none());
            let ended = end(&mut pool, &mut events).await;
            assert_eq!(ended.result.outcome, outcome, "idempotent: {idempotent}");
        }
    });
}

/// A reply that breaks off in its middle is no second one: connections would rest, and an operator be warned, for each
/// server that stalls.
#[test]
fn a_reply_cut_by_a_time_out_is_no_surplus() {
    run(async {
        let log = Log::default();
        let half = |_: usize, _: &[String]| Step::Say(b"*3\r\n$5\r\nfir".to_vec());
        let address = cache("cache", &log, half).await;
        let counters = Rc::new(Counters::default());
        let (mut pool, mut events) = pool_with(Tcp, address, 4, Rc::clone(&counters));
        let (mut job, _kept) = job(1);
        job.give_up_at = Instant::now() + ms(50);
        assert!(pool.dispatch(job).is_none());
        let ended = end(&mut pool, &mut events).await;
        assert_eq!(ended.result.outcome, Outcome::TimedOut);
        assert_eq!(counters.server_connections_surplus.get(), 0);
    });
}

/// A whole value that no request on this connection has asked for comes behind the first one.
#[test]
fn an_unasked_value_on_a_new_connection_answers_no_request() {
    run(async {
        let log = Log::default();
        let host = |_: usize, _: &[String]| match (hit("unasked"), hit("v")) {
            (Step::Say(unasked), Step::Say(answer)) => Step::Twice(unasked, ms(10), answer),
            (step, _) => step,
        };
        let address = cache("cache", &log, host).await;
        let (mut pool, mut events) = pool(address, 4);
        let (job, _kept) = job(1);
        assert!(pool.dispatch(job).is_none());
        let ended = end(&mut pool, &mut events).await;
        assert_ne!(ended.result.value.as_deref(), Some(&b"unasked"[..]));
    });
}
