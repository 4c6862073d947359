//! Discovery's agent on the balancer's machine. It answers with what it has been sent, at once or slowly.
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::servers::{serve, Reader};

struct State {
    /// The version, and each server's entry with the version of its last change.
    index: u64,
    entries: Vec<(String, String, u64)>,
    /// Time that each answer takes.
    takes: Duration,
}

/// One agent.
#[derive(Clone)]
pub struct Agent {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Arc<Record>,
    pub address: SocketAddr,
}

impl Agent {
    /// An agent with version 1 of a list, given as names and entries.
    pub fn start(record: &Arc<Record>, entries: &[(String, String)]) -> io::Result<Self> {
        let entries = entries
            .iter()
            .map(|(name, entry)| (name.clone(), entry.clone(), 1));
        let state = State {
            index: 1,
            entries: entries.collect(),
            takes: Duration::ZERO,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        let (shared, log) = (Arc::clone(&state), Arc::clone(record));
        let address = serve(move |socket| {
            let _ = answer_calls(socket, &shared, &log);
        })?;
        Ok(Agent {
            state,
            record: Arc::clone(record),
            address,
        })
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
    }

    /// Discovery tells that an entry has changed.
    pub fn tell(&self, name: &str, entry: &str) {
        self.record.note(&format!("agent: has {entry}"));
        self.change(|state| {
            state.index += 1;
            let index = state.index;
            for known in state.entries.iter_mut().filter(|known| known.0 == name) {
                (known.1, known.2) = (entry.to_string(), index);
            }
        });
    }

    /// Each answer takes so long from now on.
    pub fn set_slow(&self, takes: Duration) {
        self.record
            .note(&format!("agent: answers take {} ms", takes.as_millis()));
        self.change(|state| state.takes = takes);
    }
}

fn answer_calls(
    socket: TcpStream,
    shared: &(Mutex<State>, Condvar),
    record: &Record,
) -> io::Result<()> {
    let mut reader = Reader::new(socket);
    while let Some(request) = reader.line()? {
        while reader.line()?.is_some_and(|line| !line.is_empty()) {}
        let target = request.split(' ').nth(1).unwrap_or("").to_string();
        record.note(&format!("agent: asked {target}"));
        let parameter = |name: &str| {
            let (_, query) = target.split_once('?')?;
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse::<u64>().ok()
        };
        let from = parameter("from");
        let until = Instant::now() + Duration::from_millis(parameter("hold_ms").unwrap_or(0));
        let (body, takes) = wait_for_list(shared, from, until);
        sleep(takes);
        reader.socket.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .as_bytes(),
        )?;
        record.note(&format!("agent: told {body}"));
    }
    Ok(())
}

/// The list that answers a call, once there is something newer or its time is over.
fn wait_for_list(
    shared: &(Mutex<State>, Condvar),
    from: Option<u64>,
    until: Instant,
) -> (String, Duration) {
    let (state, changed) = shared;
    let mut state = state.lock().unwrap();
    loop {
        let is_newer = from.is_none_or(|from| from != state.index);
        if is_newer || Instant::now() >= until {
            break;
        }
        state = changed
            .wait_timeout(state, Duration::from_millis(5))
            .unwrap()
            .0;
    }
    let full = from.is_none_or(|from| from > state.index);
    let entries: Vec<&str> = state
        .entries
        .iter()
        .filter(|(_, _, changed)| full || from.is_some_and(|from| *changed > from))
        .map(|(_, entry, _)| entry.as_str())
        .collect();
    let body = format!(
        r#"{{"index":{},"snapshot":{full},"endpoints":[{}]}}"#,
        state.index,
        entries.join(",")
    );
    (body, state.takes)
}
