//! Cache hosts, an origin, discovery's agent and clients that record in a [`Witness`] what they see and when.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};
use stairfront_common::random::SeededRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

use super::witness::{BegunAttempt, SentRequest, Witness};
use stairfront_test_support::loopback::{command, cut_http, cut_resp, ms, Client};

/// The value of one name in a list of names and values; 0 where it is not there.
fn told_ms(list: &str) -> u64 {
    let told = list.split(',').find_map(|pair| pair.strip_prefix("d="));
    told.map_or(0, |ms| ms.parse().unwrap())
}

/// Reads into a buffer until the connection ends.
async fn read_more(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut chunk = [0; 4096];
    match socket.read(&mut chunk).await {
        Ok(0) | Err(_) => false,
        Ok(n) => {
            buffer.extend_from_slice(&chunk[..n]);
            true
        }
    }
}

/// How a cache host works.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheBehaviour {
    /// Time that a request takes.
    pub work_ms: u64,
    /// Part of the commands that end in each of three other ways: refused, begun and never answered, begun and reset.
    pub faulty: f64,
    pub seed: u64,
}

struct CacheHost {
    name: String,
    behaviour: CacheBehaviour,
    random: RefCell<SeededRng>,
    witness: Rc<Witness>,
}

/// Starts a cache host that has every value but those of keys that begin with `miss`.
pub async fn start_cache(
    number: usize,
    behaviour: CacheBehaviour,
    witness: &Rc<Witness>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let host = Rc::new(CacheHost {
        name: format!("c{number}"),
        behaviour,
        random: RefCell::new(SeededRng::for_part(behaviour.seed, "cache host")),
        witness: Rc::clone(witness),
    });
    spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            socket.set_nodelay(true).unwrap();
            spawn_local(Rc::clone(&host).serve(socket));
        }
    });
    address
}

impl CacheHost {
    fn draws(&self, part: f64) -> bool {
        self.random.borrow_mut().happens(part)
    }

    async fn serve(self: Rc<Self>, mut socket: TcpStream) {
        let mut buffer = Vec::new();
        while read_more(&mut socket, &mut buffer).await {
            let begun_at = Instant::now();
            while let Some(words) = cut_resp(&mut buffer) {
                let Some(answer) = self.answer(&words, begun_at).await else {
                    let _ = socket.set_zero_linger();
                    return;
                };
                let _ = socket.write_all(answer).await;
            }
        }
    }

    /// The answer to a command; `None` where the connection is reset.
    async fn answer(&self, words: &[String], begun_at: Instant) -> Option<&'static [u8]> {
        if !words[0].starts_with("C.") {
            return Some(b"+OK\r\n");
        }
        if words[1].starts_with("miss") {
            return Some(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
        }
        if self.draws(self.behaviour.faulty) {
            return Some(b"-BUSY\r\n");
        }
        self.witness.attempts.borrow_mut().push(BegunAttempt {
            id: words[2].clone(),
            server: self.name.clone(),
            begun_at,
            told_ms: told_ms(&words[3]),
        });
        if self.draws(self.behaviour.faulty) {
            std::future::pending::<()>().await;
        }
        sleep(ms(self.behaviour.work_ms)).await;
        if self.draws(self.behaviour.faulty) {
            return None;
        }
        Some(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")
    }
}

/// The origin, which has every value.
pub async fn start_origin(work_ms: u64, witness: &Rc<Witness>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let witness = Rc::clone(witness);
    spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            socket.set_nodelay(true).unwrap();
            spawn_local(serve_origin(socket, work_ms, Rc::clone(&witness)));
        }
    });
    address
}

async fn serve_origin(mut socket: TcpStream, work_ms: u64, witness: Rc<Witness>) {
    let mut buffer = Vec::new();
    while read_more(&mut socket, &mut buffer).await {
        let begun_at = Instant::now();
        while let Some(lines) = cut_http(&mut buffer) {
            let header = |name: &str| {
                lines
                    .iter()
                    .find_map(|line| line.strip_prefix(name))
                    .unwrap()
                    .to_string()
            };
            let id = header("Request-Id: ");
            witness.attempts.borrow_mut().push(BegunAttempt {
                id: id.clone(),
                server: "origin".to_string(),
                begun_at,
                told_ms: told_ms(&header("Request-Info: ")),
            });
            sleep(ms(work_ms)).await;
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
                id.len()
            );
            let _ = socket.write_all(answer.as_bytes()).await;
        }
    }
}

/// Discovery's agent: holds each watch until there is a change, and records when the change is written.
pub struct ListAgent {
    changes: RefCell<Vec<(String, Value)>>,
    changed: Notify,
    held: Cell<usize>,
    witness: Rc<Witness>,
    addresses: RefCell<Vec<Value>>,
}

/// The first version that the agent tells.
const FIRST_INDEX: usize = 1;

impl ListAgent {
    /// Starts one without changes; it and its address.
    pub async fn start(witness: &Rc<Witness>) -> (Rc<ListAgent>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let agent = Rc::new(ListAgent {
            changes: RefCell::default(),
            changed: Notify::new(),
            held: Cell::new(0),
            witness: Rc::clone(witness),
            addresses: RefCell::default(),
        });
        let serving = Rc::clone(&agent);
        spawn_local(async move {
            while let Ok((socket, _)) = listener.accept().await {
                socket.set_nodelay(true).unwrap();
                spawn_local(Rc::clone(&serving).serve(socket));
            }
        });
        (agent, address)
    }

    /// Tells the entries of the list, whose addresses are those of drained hosts.
    pub fn know(&self, lines: &[Value]) {
        *self.addresses.borrow_mut() = lines.to_vec();
    }

    /// Whether a watch is open.
    pub fn is_held(&self) -> bool {
        self.held.get() > 0
    }

    /// Has a host drain.
    pub fn drain(&self, host: usize) {
        self.change(host, "status", json!("DRAINING"));
    }

    /// Has a host start anew, and so cold.
    pub fn restart(&self, host: usize) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        self.change(host, "since_ms", json!(now.as_millis() as u64));
    }

    fn change(&self, host: usize, key: &str, value: Value) {
        let mut entry = self.addresses.borrow()[host].clone();
        entry[key] = value;
        self.changes.borrow_mut().push((format!("c{host}"), entry));
        self.changed.notify_waiters();
    }

    async fn serve(self: Rc<Self>, mut socket: TcpStream) {
        let mut buffer = Vec::new();
        while read_more(&mut socket, &mut buffer).await {
            while let Some(lines) = cut_http(&mut buffer) {
                if self.answer(&mut socket, &lines[0]).await.is_none() {
                    return;
                }
            }
        }
    }

    async fn answer(&self, socket: &mut TcpStream, target: &str) -> Option<()> {
        let from = parameter(target, "from=").unwrap_or(0) as usize;
        let due = Instant::now() + ms(parameter(target, "hold_ms=").unwrap_or(0));
        self.held.set(self.held.get() + 1);
        let told = loop {
            let changed = self.changed.notified();
            let known = FIRST_INDEX + self.changes.borrow().len();
            if known > from || Instant::now() >= due {
                break known;
            }
            let mut byte = [0];
            tokio::select! {
                () = changed => {}
                _ = timeout_at(due, std::future::pending::<()>()) => {}
                // The balancer has dropped the watch.
                _ = socket.peek(&mut byte) => break known,
            }
        };
        self.held.set(self.held.get() - 1);
        let body = self.tell(from, told);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(answer.as_bytes()).await.ok()
    }

    /// The changes since a version, which are recorded as told.
    fn tell(&self, from: usize, told: usize) -> String {
        let changes = self.changes.borrow();
        let new = &changes[from.saturating_sub(FIRST_INDEX).min(changes.len())..];
        let now = Instant::now();
        let drains = |(_, entry): &&(String, Value)| entry["status"] == "DRAINING";
        for (host, _) in new.iter().filter(drains) {
            let mut drained_at = self.witness.drained_at.borrow_mut();
            drained_at.entry(host.clone()).or_insert(now);
        }
        let entries: Vec<Value> = new.iter().map(|(_, entry)| entry.clone()).collect();
        json!({"index": told, "snapshot": false, "endpoints": entries}).to_string()
    }
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let value = target.split(name).nth(1)?;
    let digits: String = value.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// What a client sends, and how long it stays.
#[derive(Clone, Copy)]
pub struct RequestShape {
    /// Commands that it sends at once.
    pub commands: usize,
    /// The time that it says it waits.
    pub wait_ms: u64,
    /// The time after which it closes its connection.
    pub patience: Duration,
}

/// A client that sends some commands at once, reads the answers, and closes its connection after its patience.
pub async fn leave_behind(
    mut client: Client,
    name: String,
    shape: RequestShape,
    witness: Rc<Witness>,
) {
    let ids: Vec<String> = (0..shape.commands)
        .map(|i| format!("{name}-{i}-read"))
        .collect();
    let list = format!("c=read,t=acme,d={}", shape.wait_ms);
    let bytes: Vec<u8> = ids
        .iter()
        .flat_map(|id| command(&["C.GET", id, id, &list]))
        .collect();
    let sent_at = Instant::now();
    if client.try_send(&bytes).await.is_err() {
        return;
    }
    for id in &ids {
        record_sent(&witness, id, shape.wait_ms);
    }
    let mut answered = 0;
    let mut is_cut_off = false;
    while answered < ids.len() {
        match timeout_at(sent_at + shape.patience, client.answer()).await {
            Ok(Some(answer)) => {
                record_answer(&witness, &ids[answered], &answer);
                answered += 1;
            }
            Ok(None) => {
                is_cut_off = true;
                break;
            }
            Err(_) => break,
        }
    }
    let ended_at = Instant::now();
    drop(client);
    for id in &ids[answered..] {
        record_end(&witness, id, ended_at, is_cut_off);
    }
}

/// A client that sends one request after the other on a connection until that ends, and again on a new one while there is
/// one to be had. Of three requests one may be repeated, one for a time, and one never.
pub async fn stay(address: SocketAddr, name: usize, witness: Rc<Witness>) {
    let mut number = 0;
    while let Ok(mut client) = Client::connect(address).await {
        loop {
            number += 1;
            let class = ["read", "hold", "keyed"][number % 3];
            let (id, wait_ms) = (
                format!("stay-{name}-{number}-{class}"),
                [1400, 700][number % 4 / 3],
            );
            let key = if number % 5 == 0 {
                format!("miss{id}")
            } else {
                id.clone()
            };
            let list = format!("c={class},t=acme,d={wait_ms}");
            if client
                .try_send(&command(&["C.GET", &key, &id, &list]))
                .await
                .is_err()
            {
                break;
            }
            record_sent(&witness, &id, wait_ms);
            match client.answer().await {
                Some(answer) => record_answer(&witness, &id, &answer),
                None => {
                    record_end(&witness, &id, Instant::now(), true);
                    break;
                }
            }
            sleep(ms(5)).await;
        }
        sleep(ms(5)).await;
    }
}

fn record_sent(witness: &Witness, id: &str, wait_ms: u64) {
    let request = SentRequest {
        sent_at: Instant::now(),
        wait_ms,
        answered_at: None,
        closed_at: None,
        cut_off_at: None,
    };
    witness
        .requests
        .borrow_mut()
        .insert(id.to_string(), request);
}

/// Records the end of a request's connection, by the balancer or by its client.
fn record_end(witness: &Witness, id: &str, at: Instant, is_cut_off: bool) {
    if let Some(request) = witness.requests.borrow_mut().get_mut(id) {
        request.cut_off_at = Some(at).filter(|_| is_cut_off);
        request.closed_at = Some(at).filter(|_| !is_cut_off);
    }
}

fn record_answer(witness: &Witness, id: &str, answer: &str) {
    if let Some(request) = witness.requests.borrow_mut().get_mut(id) {
        request.answered_at = Some(Instant::now());
    }
    let counter = if answer.starts_with('$') {
        &witness.served
    } else {
        &witness.unserved
    };
    counter.set(counter.get() + 1);
}
