//! Cache hosts, an origin and clients that move many bytes, slowly or at once, and record what they see.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

use super::{command, ms};

/// Largest part of a value that a stand-in server writes at once.
const SERVER_CHUNK_BYTES: usize = 64 * 1024;

/// What servers and clients have seen.
#[derive(Default)]
pub struct Witness {
    /// How often each id was begun at a server.
    pub begun: RefCell<HashMap<String, u32>>,
    /// Requests answered with a value.
    pub served: Cell<u64>,
    /// Requests that were refused.
    pub refused: Cell<u64>,
    /// Requests that have failed.
    pub failed: Cell<u64>,
    /// Requests whose final answers came too late, by how much; and the number of requests that got none.
    pub late: RefCell<Vec<(String, Duration)>>,
    /// Requests without an answer.
    pub unanswered: Cell<u64>,
}

impl Witness {
    fn note_begun(&self, id: &str) {
        *self.begun.borrow_mut().entry(id.to_string()).or_default() += 1;
    }

    /// How often servers have begun a request.
    pub fn times_begun(&self, id: &str) -> u32 {
        self.begun.borrow().get(id).copied().unwrap_or_default()
    }

    /// Records the answer to a request that was written as a whole at this time.
    pub fn note_answer(
        &self,
        id: &str,
        answer: Option<Answer>,
        written_at: Instant,
        patience: Duration,
    ) {
        let late = written_at.elapsed().saturating_sub(patience);
        match answer {
            Some(Answer::Value) => self.served.set(self.served.get() + 1),
            Some(Answer::Busy) => self.refused.set(self.refused.get() + 1),
            Some(Answer::Error) => self.failed.set(self.failed.get() + 1),
            None => return self.unanswered.set(self.unanswered.get() + 1),
        }
        if late > LATE_SLACK {
            self.late.borrow_mut().push((id.to_string(), late));
        }
    }
}

/// An answer so long after its request's time is lost.
const LATE_SLACK: Duration = Duration::from_millis(500);

/// How servers behave.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerBehaviour {
    /// Time for which a request that has come waits before it is begun.
    pub queue_ms: u64,
    /// Time that a request takes.
    pub work_ms: u64,
    /// Pause between two reads of up to 64 KiB of a request's body.
    pub read_pause_ms: u64,
    /// Pause between two writes of up to 64 KiB of an answer.
    pub write_pause_ms: u64,
}

/// Starts a server for each connection of which `serve` runs.
async fn listen<F: std::future::Future<Output = std::io::Result<()>> + 'static>(
    serve: impl Fn(TcpStream) -> F + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            socket.set_nodelay(true).unwrap();
            let serving = serve(socket);
            // A connection that the balancer ends is no fault.
            spawn_local(async move { drop(serving.await) });
        }
    });
    address
}

/// Starts a cache host that has every key. The first digits of a key are the length of its value in bytes.
pub async fn start_cache(behaviour: ServerBehaviour, witness: &Rc<Witness>) -> SocketAddr {
    let witness = Rc::clone(witness);
    listen(move |socket| serve_cache(socket, behaviour, Rc::clone(&witness))).await
}

async fn serve_cache(
    socket: TcpStream,
    behaviour: ServerBehaviour,
    witness: Rc<Witness>,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(socket);
    while let Some(words) = read_words(&mut stream).await? {
        if !words[0].starts_with("C.") {
            stream.write_all(b"+OK\r\n").await?;
            continue;
        }
        sleep(ms(behaviour.queue_ms)).await;
        witness.note_begun(&words[2]);
        sleep(ms(behaviour.work_ms)).await;
        let length = value_length(&words[1]);
        stream
            .write_all(format!("*3\r\n${length}\r\n").as_bytes())
            .await?;
        write_value(&mut stream, length, behaviour).await?;
        stream.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n").await?;
    }
    Ok(())
}

/// Starts an origin that takes every write.
pub async fn start_origin(behaviour: ServerBehaviour, witness: &Rc<Witness>) -> SocketAddr {
    let witness = Rc::clone(witness);
    listen(move |socket| serve_origin(socket, behaviour, Rc::clone(&witness))).await
}

async fn serve_origin(
    socket: TcpStream,
    behaviour: ServerBehaviour,
    witness: Rc<Witness>,
) -> std::io::Result<()> {
    let mut stream = BufReader::new(socket);
    loop {
        let (mut id, mut length, mut target) = (String::new(), 0, String::new());
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).await? == 0 {
                return Ok(());
            }
            let line = line.trim_end();
            if line.is_empty() {
                break;
            }
            if target.is_empty() {
                target = line.to_string();
            }
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.parse().unwrap();
            }
            if let Some(value) = line.strip_prefix("Request-Id: ") {
                id = value.to_string();
            }
        }
        discard(&mut stream, length, behaviour).await?;
        witness.note_begun(&id);
        sleep(ms(behaviour.work_ms)).await;
        let answer = if target.starts_with("PUT") {
            7
        } else {
            value_length(&target["GET /".len()..])
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {answer}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        write_value(&mut stream, answer, behaviour).await?;
    }
}

async fn discard(
    stream: &mut BufReader<TcpStream>,
    length: usize,
    behaviour: ServerBehaviour,
) -> std::io::Result<()> {
    let mut chunk = vec![0; SERVER_CHUNK_BYTES];
    let mut left = length;
    while left > 0 {
        let space = left.min(chunk.len());
        let read = stream.read(&mut chunk[..space]).await?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        left -= read;
        if behaviour.read_pause_ms > 0 {
            sleep(ms(behaviour.read_pause_ms)).await;
        }
    }
    Ok(())
}

async fn write_value(
    stream: &mut BufReader<TcpStream>,
    length: usize,
    behaviour: ServerBehaviour,
) -> std::io::Result<()> {
    let value = vec![b'v'; SERVER_CHUNK_BYTES.min(length)];
    let mut left = length;
    while left > 0 {
        let next = left.min(value.len());
        stream.write_all(&value[..next]).await?;
        left -= next;
        if behaviour.write_pause_ms > 0 {
            sleep(ms(behaviour.write_pause_ms)).await;
        }
    }
    Ok(())
}

/// The length of the value of a key.
fn value_length(key: &str) -> usize {
    let digits: String = key.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(8)
}

async fn read_line(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<String>> {
    let mut line = String::new();
    Ok((stream.read_line(&mut line).await? > 0).then_some(line))
}

/// The words of the next command.
async fn read_words(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<String>>> {
    let Some(line) = read_line(stream).await? else {
        return Ok(None);
    };
    let count: usize = line[1..].trim_end().parse().unwrap();
    let mut words = Vec::new();
    for _ in 0..count {
        let Some(line) = read_line(stream).await? else {
            return Ok(None);
        };
        let length: usize = line[1..].trim_end().parse().unwrap();
        let mut word = vec![0; length + 2];
        stream.read_exact(&mut word).await?;
        word.truncate(length);
        words.push(String::from_utf8(word).unwrap());
    }
    Ok(Some(words))
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value.
    Value,
    /// A refusal.
    Busy,
    /// An error.
    Error,
}

/// A client's connection.
pub struct PeerClient(pub BufReader<TcpStream>);

impl PeerClient {
    /// Connects.
    ///
    /// # Errors
    ///
    /// If nobody accepts.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect(address).await?;
        socket.set_nodelay(true)?;
        Ok(PeerClient(BufReader::with_capacity(4096, socket)))
    }

    /// Sends bytes.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub async fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.0.write_all(bytes).await
    }

    /// The next answer; `None` at the end of the connection, or after a time that no answer takes.
    pub async fn answer(&mut self) -> Option<Answer> {
        timeout(ms(15_000), self.read_answer())
            .await
            .ok()?
            .ok()
            .flatten()
    }

    async fn read_answer(&mut self) -> std::io::Result<Option<Answer>> {
        let Some(line) = read_line(&mut self.0).await? else {
            return Ok(None);
        };
        if let Some(length) = line.strip_prefix('$') {
            let length: u64 = length.trim_end().parse().unwrap();
            let copied =
                tokio::io::copy(&mut (&mut self.0).take(length + 2), &mut tokio::io::sink())
                    .await?;
            return Ok((copied == length + 2).then_some(Answer::Value));
        }
        Ok(Some(if line.starts_with("-BUSY") {
            Answer::Busy
        } else if line.starts_with('-') {
            Answer::Error
        } else {
            Answer::Value
        }))
    }
}

/// A read of a value of so many bytes.
pub fn read_of(length: usize, id: &str, wait_ms: u64) -> Vec<u8> {
    read_as("read", length, id, wait_ms)
}

/// A read of a class.
pub fn read_as(class: &str, length: usize, id: &str, wait_ms: u64) -> Vec<u8> {
    let list = format!("c={class},t=acme,d={wait_ms}");
    command(&["C.GET", &format!("{length}-{id}"), id, &list])
}

/// A write of a value of so many bytes, of a class.
pub fn write_of(length: usize, id: &str, class: &str, wait_ms: u64) -> Vec<u8> {
    let value = "w".repeat(length);
    let list = format!("c={class},t=acme,d={wait_ms}");
    command(&["C.SET", "k", id, &list, &value])
}
