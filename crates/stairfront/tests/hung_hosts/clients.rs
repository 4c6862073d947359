//! Clients that write one value after the other, and clients that send many commands at once.
use std::net::SocketAddr;
use std::rc::Rc;

use stairfront_common::random::SeededRng;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use super::hosts::Witness;
use super::script::{Pipeline, DEADLINE_MS, ONCE_CLASS, PUT_CLASS, READ_CLASS};
use stairfront_test_support::loopback::{command, ms, Client};

const VALUE_BYTES: [usize; 7] = [20, 900, 5_000, 60_000, 150_000, 400_000, 2_000_000];
/// Later than this after its time an answer is lost.
const LATE_SLACK_MS: u64 = 500;
/// How long a connection may take for the answers to all commands of a pipeline, each of which waits for those before it.
const PIPELINE_TIMEOUT_MS: u64 = 20_000;

#[derive(Clone)]
pub struct ClientSettings {
    pub address: SocketAddr,
    pub seed: u64,
    pub began: Instant,
    pub end_ms: u64,
    /// Part of the writes whose client leaves.
    pub leaving: f64,
}

fn info(class: &str) -> String {
    format!("c={class},t=acme,d={DEADLINE_MS}")
}

/// Writes until the process is told to end.
pub async fn run_writer(number: usize, settings: ClientSettings, witness: Rc<Witness>) {
    let mut random = SeededRng::for_part(settings.seed, &format!("writer {number}"));
    let end = settings.began + ms(settings.end_ms);
    let mut connection = None;
    for n in 0.. {
        if Instant::now() >= end {
            return;
        }
        let mut client = match connection.take() {
            Some(client) => client,
            None => match Client::connect(settings.address).await {
                Ok(client) => client,
                Err(_) => return,
            },
        };
        let id = format!("w{number}-{n}");
        let class = [PUT_CLASS, PUT_CLASS, ONCE_CLASS][random.below(3_usize)];
        let value = "x".repeat(VALUE_BYTES[random.below(VALUE_BYTES.len())]);
        let key = format!("{:016x}", random.number());
        let bytes = command(&["C.SET", &key, &id, &info(class), &value]);
        if client.try_send(&bytes).await.is_err() {
            continue;
        }
        if random.happens(settings.leaving) {
            sleep(ms(random.below(DEADLINE_MS))).await;
            drop(client);
            witness.note_departure(&id);
            continue;
        }
        match timeout(ms(DEADLINE_MS + LATE_SLACK_MS + 100), client.answer()).await {
            Ok(Some(_)) => {
                witness.note_answer(&id);
                connection = Some(client);
            }
            // The connection crossed the end of the process, or of its time between requests.
            Ok(None) if Instant::now() >= end => return,
            Ok(None) => witness.note_breach(format!("{id}: its connection has ended")),
            Err(_) => witness.note_breach(format!("{id}: no answer in time")),
        }
    }
}

/// Sends all commands at once and reads all answers.
pub async fn run_pipeline(
    number: usize,
    pipeline: Pipeline,
    settings: ClientSettings,
    witness: Rc<Witness>,
) {
    sleep_until(settings.began + ms(pipeline.at_ms).saturating_sub(ms(100))).await;
    let Ok(mut client) = Client::connect(settings.address).await else {
        return;
    };
    // The connection is in use, so that it does not end between the accept and the first command.
    if client.try_send(&command(&["PING"])).await.is_err() || client.answer().await.is_none() {
        return;
    }
    sleep_until(settings.began + ms(pipeline.at_ms)).await;
    let mut bytes = Vec::new();
    for i in 0..pipeline.commands {
        let is_ping = pipeline.ping_every > 0 && i % pipeline.ping_every == 0;
        if is_ping {
            bytes.extend(command(&["PING"]));
        } else {
            let (key, id) = (format!("{number:08x}{i:08x}"), format!("p{number}-{i}"));
            bytes.extend(command(&["C.GET", &key, &id, &info(READ_CLASS)]));
        }
    }
    let was_written_in_time = Instant::now() < settings.began + ms(settings.end_ms);
    if client.socket.write_all(&bytes).await.is_err() || !was_written_in_time {
        return;
    }
    for i in 0..pipeline.commands {
        let answer = timeout(ms(PIPELINE_TIMEOUT_MS), client.answer()).await;
        if !matches!(answer, Ok(Some(_))) {
            let of = pipeline.commands;
            return witness.note_breach(format!("pipeline {number}: {i} of {of} answers"));
        }
    }
}
