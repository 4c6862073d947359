//! A client sends four commands at once; the connection of the first one's cache host is reset within a large answer.
use std::fs;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::agent::Agent;
use crate::balancer::{configuration, entry, free_address, Balancer};
use crate::client::{get, set, Answer, Client};
use crate::servers::{cache, origin, Begun, Reaction, Work};
use crate::{Failure, Rig, Verdict};

const LIMITS: &str = r#"{"cores":1.0,"memory_mb":192,"sockets":1024}"#;
/// What the client waits for an answer; up to half a second later one only earns nothing, and 50 ms more on sockets.
const PATIENCE: u64 = 1500;
const SLACK: u64 = 550;
/// A value of 1 MiB; the pages allow four.
const LARGE: usize = 1 << 20;
const ROUNDS: usize = 20;

pub fn run(rig: &Rig) -> Result<Verdict, Failure> {
    let work = Work::default();
    let mut known = Vec::new();
    for n in 1..=4 {
        let name = format!("s-{n}");
        let trouble = rig.trouble;
        let reactions =
            Arc::new(
                move |begun: &Begun| match (begun.key.starts_with("large"), trouble) {
                    (true, true) => Reaction::Cut {
                        length: LARGE,
                        brought: 300 * 1024,
                        after: Duration::from_millis(300),
                    },
                    (true, false) => Reaction::Value(Duration::from_millis(20), vec![b'v'; LARGE]),
                    (false, _) => {
                        Reaction::Value(Duration::from_millis(20), begun.key.clone().into_bytes())
                    }
                },
            );
        let address = cache(&rig.record, &work, &name, reactions)?;
        known.push((name.clone(), entry(&name, address, "std-box", "SERVING")));
    }
    let address = origin(&rig.record, &work, Duration::from_millis(40))?;
    known.push(("db".to_string(), entry("db", address, "origin", "SERVING")));
    let agent = Agent::start(&rig.record, &known)?;
    let (listen, ops) = (free_address(), free_address());
    let lines: Vec<String> = known.iter().map(|(_, line)| line.clone()).collect();
    let config = rig.folder.join("config.json");
    fs::write(
        &config,
        configuration(listen, agent.address, ops, LIMITS, &lines),
    )?;
    let state = rig.folder.join("state");
    fs::create_dir(&state)?;
    let balancer = Balancer::start(rig, "balancer", &config, ops, &state)?;
    balancer.wait_until_healthy(Duration::from_secs(10))?;

    let (mut lost, mut answered) = (Vec::new(), 0);
    for round in 0..ROUNDS {
        let ids: Vec<String> = ["a", "b", "c", "d"]
            .iter()
            .map(|name| format!("{name}{round}"))
            .collect();
        let batch = [
            get(&format!("large{round}"), &ids[0], PATIENCE),
            get(&format!("small{round}"), &ids[1], PATIENCE),
            set(&format!("seat{round}"), &ids[2], PATIENCE, "booked"),
            get(&format!("other{round}"), &ids[3], PATIENCE),
        ];
        let mut client = Client::connect(listen)?;
        rig.record
            .note(&format!("client: sends {} at once", ids.join(" ")));
        client.send(&batch.concat())?;
        let sent = Instant::now();
        let limit = Duration::from_millis(PATIENCE + SLACK);
        let mut ended = false;
        for id in &ids {
            let answer = if ended {
                Answer::Ended
            } else {
                client.answer(limit.saturating_sub(sent.elapsed()))
            };
            let shown = match &answer {
                Answer::Value(value) => format!("a value of {} bytes", value.len()),
                other => format!("{other:?}"),
            };
            rig.record.note(&format!("client: {id} gets {shown}"));
            ended |= matches!(
                answer,
                Answer::Ended | Answer::CutValue(_) | Answer::Nothing
            );
            match answer {
                Answer::Value(_) | Answer::Line(_) => answered += 1,
                // It has begun to be passed on, and the client can tell that it is not whole.
                Answer::CutValue(_) if *id == ids[0] => {}
                // The balancer has read it, since it has reached a server.
                _ if work.all().iter().any(|begun| begun.id == *id) => lost.push(id.clone()),
                _ => {}
            }
        }
        drop(client);
        sleep(Duration::from_millis(200));
    }
    let writes = lost.iter().filter(|id| id.starts_with('c')).count();
    let text = format!("{} requests that were sent on were never answered ({writes} of them writes that have run), {answered} answered", lost.len());
    Ok(if lost.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(format!("{text}: {}", lost.join(" ")))
    })
}
