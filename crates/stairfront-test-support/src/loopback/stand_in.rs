//! Stand-ins for servers: what each of them says to a command is told by the test.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

/// Events at the stand-ins, in their order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// A connection to the stand-in of this name has begun.
    Opened(&'static str),
    /// A command has come as a whole, with its words.
    Command(&'static str, Vec<String>),
    /// A connection has ended.
    Ended(&'static str),
}

/// What the stand-ins of one test have seen.
pub type Log = Rc<RefCell<Vec<Seen>>>;

/// The commands that a stand-in has seen.
pub fn commands(log: &Log, name: &str) -> Vec<Vec<String>> {
    let of = |seen: &Seen| match seen {
        Seen::Command(at, words) if *at == name => Some(words.clone()),
        _ => None,
    };
    log.borrow().iter().filter_map(of).collect()
}

/// How often an event was seen.
pub fn count(log: &Log, wanted: &Seen) -> usize {
    log.borrow().iter().filter(|seen| *seen == wanted).count()
}

/// The reaction of a stand-in to one command.
#[derive(Clone)]
pub enum Step {
    /// Sends this.
    Say(Vec<u8>),
    /// Sends this after a while; the end of the connection is noticed meanwhile.
    After(Duration, Vec<u8>),
    /// Sends this once the gate is open.
    Gated(watch::Receiver<bool>, Vec<u8>),
    /// Sends one thing, and after a while another.
    Twice(Vec<u8>, Duration, Vec<u8>),
    /// Keeps the connection and sends nothing.
    Silence,
    /// Ends the connection without an answer.
    End,
    /// Sends a part of an answer and ends the connection.
    Cut(Vec<u8>),
    /// The same with a reset.
    Broken(Vec<u8>),
    /// The same with a reset after a while.
    BrokenAfter(Vec<u8>, Duration),
    /// Sends something in so many pieces, with a pause before each.
    Pieces(Vec<u8>, usize, Duration),
}

/// A hit with this value.
pub fn hit(value: &str) -> Step {
    Step::Say(format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).into_bytes())
}

/// A hit on the key that was asked for, once the gate is open.
pub fn gated_echo(gate: &watch::Receiver<bool>, words: &[String]) -> Step {
    match hit(&words[1]) {
        Step::Say(bytes) => Step::Gated(gate.clone(), bytes),
        step => step,
    }
}

/// A miss.
pub fn miss() -> Step {
    Step::Say(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n".to_vec())
}

/// An answer over HTTP; each of the headers ends with a line break.
pub fn http(status: u16, headers: &str, body: &str) -> Step {
    Step::Say(
        format!(
            "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes(),
    )
}

/// The reaction to a command, by how many came before it and by its words.
pub type Script = Rc<dyn Fn(usize, &[String]) -> Step>;

/// Removes one whole message from the front of a buffer.
type Cut = fn(&mut Vec<u8>) -> Option<Vec<String>>;

/// Takes a whole command from the front of a buffer: its words.
///
/// # Panics
///
/// If it is no command.
pub fn cut_resp(buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    fn line(buffer: &[u8], at: &mut usize) -> Option<String> {
        let end = buffer[*at..].windows(2).position(|w| w == b"\r\n")? + *at;
        let text = String::from_utf8(buffer[*at..end].to_vec()).unwrap();
        *at = end + 2;
        Some(text)
    }
    let mut at = 0;
    let count: usize = line(buffer, &mut at)?
        .strip_prefix('*')
        .unwrap()
        .parse()
        .unwrap();
    let mut words = Vec::new();
    for _ in 0..count {
        let length: usize = line(buffer, &mut at)?
            .strip_prefix('$')
            .unwrap()
            .parse()
            .unwrap();
        let word = buffer.get(at..at + length)?;
        words.push(String::from_utf8(word.to_vec()).unwrap());
        buffer.get(at + length..at + length + 2)?;
        at += length + 2;
    }
    buffer.drain(..at);
    Some(words)
}

/// The same of a message over HTTP: the lines of the head, then the body.
///
/// # Panics
///
/// If it is no such message.
pub fn cut_http(buffer: &mut Vec<u8>) -> Option<Vec<String>> {
    let end = buffer.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = String::from_utf8(buffer[..end - 4].to_vec()).unwrap();
    let mut words: Vec<String> = head.split("\r\n").map(str::to_string).collect();
    let length = words
        .iter()
        .find_map(|l| l.strip_prefix("Content-Length: "))
        .map_or(0, |l| l.parse().unwrap());
    let body = buffer.get(end..end + length)?.to_vec();
    words.push(String::from_utf8(body).unwrap());
    buffer.drain(..end + length);
    Some(words)
}

async fn talk(mut socket: TcpStream, name: &'static str, cut: Cut, log: Log, script: Script) {
    log.borrow_mut().push(Seen::Opened(name));
    let mut buffer = Vec::new();
    let mut chunk = [0; 4096];
    let mut silent = false;
    'connection: loop {
        while let Some(words) = cut(&mut buffer) {
            if words[0] == "SELECT" {
                // Replies come in order: behind a command without one there are none.
                if silent {
                    continue;
                }
                socket.write_all(b"+OK\r\n").await.unwrap_or_default();
                continue;
            }
            let n = commands(&log, name).len();
            log.borrow_mut().push(Seen::Command(name, words.clone()));
            match script(n, &words) {
                Step::After(wait, bytes) => {
                    let due = Instant::now() + wait;
                    // The end of the connection is noticed meanwhile, as by a server.
                    while let Ok(read) = timeout_at(due, socket.read(&mut chunk)).await {
                        match read {
                            Ok(0) | Err(_) => break 'connection,
                            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
                        }
                    }
                    socket.write_all(&bytes).await.unwrap_or_default();
                }
                Step::Silence => silent = true,
                step => {
                    if !goes_on_after(&mut socket, step).await {
                        break 'connection;
                    }
                }
            }
        }
        match socket.read(&mut chunk).await {
            Ok(0) | Err(_) => break,
            Ok(n) => buffer.extend_from_slice(&chunk[..n]),
        }
    }
    log.borrow_mut().push(Seen::Ended(name));
}

/// Carries out a step during which nothing is read; whether the connection goes on.
async fn goes_on_after(socket: &mut TcpStream, step: Step) -> bool {
    let goes_on = !matches!(
        step,
        Step::End | Step::Cut(_) | Step::Broken(_) | Step::BrokenAfter(..)
    );
    let is_reset = matches!(step, Step::Broken(_) | Step::BrokenAfter(..));
    match step {
        Step::Say(bytes) | Step::After(_, bytes) | Step::Cut(bytes) | Step::Broken(bytes) => {
            socket.write_all(&bytes).await.unwrap_or_default();
        }
        Step::Gated(mut gate, bytes) => {
            gate.wait_for(|open| *open).await.unwrap();
            socket.write_all(&bytes).await.unwrap_or_default();
        }
        Step::Twice(first, wait, second) => {
            socket.write_all(&first).await.unwrap_or_default();
            sleep(wait).await;
            socket.write_all(&second).await.unwrap_or_default();
        }
        Step::BrokenAfter(bytes, wait) => {
            socket.write_all(&bytes).await.unwrap_or_default();
            sleep(wait).await;
        }
        Step::Pieces(bytes, count, pause) => {
            for piece in bytes.chunks(bytes.len().div_ceil(count)) {
                sleep(pause).await;
                socket.write_all(piece).await.unwrap_or_default();
            }
        }
        Step::Silence | Step::End => {}
    }
    if is_reset {
        socket.set_zero_linger().unwrap();
    }
    goes_on
}

async fn stand_in(
    name: &'static str,
    cut: Cut,
    log: &Log,
    script: impl Fn(usize, &[String]) -> Step + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (log, script): (Log, Script) = (Rc::clone(log), Rc::new(script));
    spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            spawn_local(talk(socket, name, cut, Rc::clone(&log), Rc::clone(&script)));
        }
    });
    address
}

/// Starts a stand-in for a cache host.
///
/// # Panics
///
/// If there is no address for it.
pub async fn cache(
    name: &'static str,
    log: &Log,
    script: impl Fn(usize, &[String]) -> Step + 'static,
) -> SocketAddr {
    stand_in(name, cut_resp, log, script).await
}

/// Starts a stand-in for an origin, or for another server over HTTP.
///
/// # Panics
///
/// If there is no address for it.
pub async fn origin(
    name: &'static str,
    log: &Log,
    script: impl Fn(usize, &[String]) -> Step + 'static,
) -> SocketAddr {
    stand_in(name, cut_http, log, script).await
}

/// An agent without changes: the first poll is answered, later ones are held.
pub async fn quiet_agent(log: &Log) -> SocketAddr {
    origin("agent", log, |n, _| match n {
        0 => http(200, "", r#"{"index":1,"snapshot":false,"endpoints":[]}"#),
        _ => Step::Silence,
    })
    .await
}

/// An agent that answers each poll without a hold with this list, and holds the others.
pub async fn listing_agent(
    name: &'static str,
    log: &Log,
    index: u64,
    endpoints: Vec<Value>,
) -> SocketAddr {
    let list = json!({"index": index, "snapshot": true, "endpoints": endpoints}).to_string();
    origin(name, log, move |_, words| {
        match words[0].contains("hold_ms=50000") {
            true => Step::Silence,
            false => http(200, "", &list),
        }
    })
    .await
}

/// An address that refuses connections.
///
/// # Panics
///
/// If there is none.
pub async fn dead_address() -> SocketAddr {
    // A port freed on the common loopback address may be given to a listener of another test at once.
    TcpListener::bind("127.0.65.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap()
}
