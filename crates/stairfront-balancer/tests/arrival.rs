//! How old input counts that is read after a stall, or behind other work.

use std::rc::Rc;
use std::time::Duration;

use stairfront_balancer::arrival::{ArrivalTime, InputWatch, PollClock, TICK_INTERVAL};
use stairfront_test_support::loopback::{
    cache, commands, get, hit, line, ms, quiet_agent, run, Balancer, Log, Step,
};
use tokio::time::{advance, Instant};

/// A source that its task awaits, on an event loop that is in time.
async fn awaited_source() -> (Rc<PollClock>, InputWatch) {
    tokio::time::pause();
    let polls = Rc::new(PollClock::start());
    let source = InputWatch::new(&polls, Instant::now());
    source.note_pending();
    for _ in 0..100 {
        advance(TICK_INTERVAL).await;
        polls.tick();
    }
    (polls, source)
}

fn age(source: &InputWatch) -> Duration {
    ArrivalTime::between(source.note_input(), Instant::now())
        .counted_from()
        .elapsed()
}

#[test]
fn input_on_a_connection_that_was_long_idle_counts_as_new() {
    run(async {
        let (_, source) = awaited_source().await;
        assert_eq!(age(&source), Duration::ZERO);
    });
}

#[test]
fn input_that_is_read_after_a_stall_counts_as_old_as_the_stall() {
    run(async {
        let (_, source) = awaited_source().await;
        advance(ms(400)).await;
        assert!(age(&source) >= ms(400));
    });
}

/// The task of the ticks may run before that of the input, which came during the stall and is found by the next poll.
#[test]
fn a_tick_right_after_a_stall_makes_input_no_younger() {
    run(async {
        let (polls, source) = awaited_source().await;
        advance(ms(400)).await;
        polls.tick();
        assert!(age(&source) >= ms(400));
        // From the next tick on the loop has surely polled.
        polls.tick();
        assert_eq!(age(&source), Duration::ZERO);
    });
}

#[test]
fn input_that_was_not_awaited_counts_from_when_its_source_was_last_empty() {
    run(async {
        let (polls, source) = awaited_source().await;
        source.note_pending();
        source.resume();
        for _ in 0..30 {
            advance(TICK_INTERVAL).await;
            polls.tick();
        }
        assert!(age(&source) >= ms(300));
        source.note_empty(Instant::now());
        assert_eq!(age(&source), Duration::ZERO);
    });
}

/// A sender whose bytes have filled the receive window writes on only once they are read: the end of what has come is not the end
/// of what was written.
#[test]
fn what_a_held_up_sender_had_written_counts_from_before_it_was_held_up() {
    run(async {
        let (polls, source) = awaited_source().await;
        source.note_pending();
        source.resume();
        for _ in 0..30 {
            advance(TICK_INTERVAL).await;
            polls.tick();
        }
        source.note_bytes(60_000, 0);
        source.note_drained(Instant::now());
        assert!(age(&source) >= ms(300));
        // Once nothing more came in a whole turn, the next bytes are new.
        source.note_pending();
        source.note_drained(Instant::now());
        assert_eq!(age(&source), Duration::ZERO);
    });
}

/// The last of twenty commands are read once the first sixteen are answered, and have waited as long.
#[test]
fn commands_behind_sixteen_open_ones_tell_what_is_left_of_their_time() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, words| match hit(&words[1]) {
            Step::Say(bytes) => Step::After(ms(300), bytes),
            step => step,
        })
        .await;
        let balancer = Balancer::start(quiet_agent(&log).await, &[line("c", host, "box")]).await;
        let mut client = balancer.client().await;
        let batch: Vec<u8> = (0..40)
            .flat_map(|i| get(&format!("k{i}"), &i.to_string(), 1400))
            .collect();
        client.send(&batch).await;
        for _ in 0..40 {
            client.answer().await.unwrap();
        }
        let told = |words: &[String]| -> u64 {
            let (_, told) = words[3].split_once("d=").unwrap();
            told.parse().unwrap()
        };
        let sent = commands(&log, "cache");
        let late = sent
            .iter()
            .filter(|words| words[2].parse::<u64>().unwrap() >= 16);
        let late: Vec<u64> = late.map(|words| told(words)).collect();
        assert!(!late.is_empty());
        assert!(
            late.iter().all(|told| *told <= 1400 - 300 + 150),
            "{late:?}"
        );
    });
}

/// Such a client's connection is never seen empty while it waits; its commands are new all the same.
#[test]
fn commands_of_a_client_that_always_has_some_waiting_do_not_grow_old() {
    run(async {
        let log = Log::default();
        let host = cache("cache", &log, |_, words| match hit(&words[1]) {
            Step::Say(bytes) => Step::After(ms(20), bytes),
            step => step,
        })
        .await;
        let balancer = Balancer::start(quiet_agent(&log).await, &[line("c", host, "box")]).await;
        let mut client = balancer.client().await;
        let start = Instant::now();
        let mut sent = 0;
        let mut next = || {
            sent += 1;
            get(&format!("k{}", sent % 7), &sent.to_string(), 600)
        };
        for _ in 0..80 {
            client.send(&next()).await;
        }
        let (mut served, mut unserved) = (0, 0);
        while start.elapsed() < ms(2500) {
            if client.answer().await.unwrap().starts_with('$') {
                served += 1;
            } else {
                unserved += 1;
            }
            client.send(&next()).await;
        }
        println!("{served} served, {unserved} unserved");
        assert!(
            unserved * 20 < served,
            "{served} served, {unserved} unserved"
        );
    });
}
