//! A cache host, or an origin, that answers some requests a second time: after a drawn delay, behind or before the answers of later
//! requests. It answers each command in order, begins the requests of a connection one after the other, and counts how
//! often each was begun.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;

use stairfront_common::random::SeededRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use stairfront_test_support::loopback::{cut_http, cut_resp, ms};

const MISS: &[u8] = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";

/// What comes the second time.
#[derive(Clone, Copy, Debug)]
pub enum Repeat {
    /// The answer itself.
    Copy,
    /// A refusal, which claims that the request never ran.
    Busy,
    /// The answer with that of the command behind it, as where a part of the stream is sent twice.
    WithNext,
}

/// How often and how late answers are repeated.
#[derive(Clone, Debug)]
pub struct Faults {
    pub repeat: Repeat,
    /// One answer in so many.
    pub one_in: u64,
    /// Delay of the second answer.
    pub delay_ms: RangeInclusive<u64>,
    /// Part of the reads that a cache host lacks, so that the origin is asked.
    pub missing: f64,
    /// Time that a request takes.
    pub work_ms: RangeInclusive<u64>,
}

/// What all cache hosts of a test have seen.
#[derive(Default)]
pub struct HostLog {
    /// How often each request was begun, by id.
    pub begun: RefCell<HashMap<String, u32>>,
    pub repeated: Cell<u64>,
    pub connections: Cell<u64>,
}

/// How a stand-in is spoken to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Cache,
    Origin,
}

impl Role {
    /// Removes one whole message from the front of a buffer.
    fn cut(self, buffer: &mut Vec<u8>) -> Option<Vec<String>> {
        match self {
            Role::Cache => cut_resp(buffer),
            Role::Origin => cut_http(buffer),
        }
    }

    /// The id of a request; none for a command that is no request.
    fn request_id(self, words: &[String]) -> Option<String> {
        match self {
            Role::Cache if words[0].starts_with("C.") => Some(words[2].clone()),
            Role::Cache => None,
            Role::Origin => words
                .iter()
                .find_map(|word| word.strip_prefix("Request-Id: "))
                .map(str::to_string),
        }
    }

    fn answer(self, value: &str) -> Vec<u8> {
        let length = value.len();
        let answer = match self {
            Role::Cache => format!("*3\r\n${length}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n"),
            Role::Origin => format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{value}"),
        };
        answer.into_bytes()
    }

    /// A refusal, which says that the request never ran.
    fn refusal(self) -> &'static [u8] {
        match self {
            Role::Cache => b"-BUSY\r\n",
            Role::Origin => b"HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n",
        }
    }
}

struct Host {
    role: Role,
    faults: Faults,
    random: RefCell<SeededRng>,
    log: Rc<HostLog>,
}

/// The value that a host answers for a request; no other request has the same.
pub fn value_of(id: &str) -> String {
    format!("value-of-{id}")
}

/// Starts a stand-in; its address.
pub async fn start(role: Role, faults: Faults, seed: u64, log: &Rc<HostLog>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let random = RefCell::new(SeededRng::for_part(seed, "repeating host"));
    let host = Rc::new(Host {
        role,
        faults,
        random,
        log: Rc::clone(log),
    });
    spawn_local(async move {
        while let Ok((socket, _)) = listener.accept().await {
            host.log.connections.set(host.log.connections.get() + 1);
            socket.set_nodelay(true).unwrap();
            spawn_local(Rc::clone(&host).serve(socket));
        }
    });
    address
}

impl Host {
    fn draw(&self, range: &RangeInclusive<u64>) -> u64 {
        range.start()
            + self
                .random
                .borrow_mut()
                .below(range.end() - range.start() + 1)
    }

    async fn serve(self: Rc<Self>, socket: TcpStream) {
        let (mut input, mut output) = socket.into_split();
        let (answers, mut to_write) = mpsc::unbounded_channel::<Vec<u8>>();
        spawn_local(async move {
            while let Some(bytes) = to_write.recv().await {
                if output.write_all(&bytes).await.is_err() {
                    return;
                }
            }
        });
        let (commands, queue) = mpsc::unbounded_channel();
        spawn_local(Rc::clone(&self).answer_in_order(queue, answers));
        let mut buffer = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            match input.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(n) => buffer.extend_from_slice(&chunk[..n]),
            }
            while let Some(words) = self.role.cut(&mut buffer) {
                let _ = commands.send(words);
            }
        }
    }

    async fn answer_in_order(
        self: Rc<Self>,
        mut commands: mpsc::UnboundedReceiver<Vec<String>>,
        answers: mpsc::UnboundedSender<Vec<u8>>,
    ) {
        // An answer that comes again together with the one behind it.
        let mut repeated_with_next = None;
        while let Some(words) = commands.recv().await {
            let Some(id) = self.role.request_id(&words) else {
                let answer = b"+OK\r\n";
                let _ = answers.send(answer.to_vec());
                if let Some(first) = repeated_with_next.take() {
                    self.repeat_late([first, answer.to_vec()].concat(), &answers);
                }
                continue;
            };
            let is_missing =
                self.role == Role::Cache && self.random.borrow_mut().happens(self.faults.missing);
            if !is_missing {
                *self.log.begun.borrow_mut().entry(id.clone()).or_default() += 1;
            }
            sleep(ms(self.draw(&self.faults.work_ms))).await;
            let answer = if is_missing {
                MISS.to_vec()
            } else {
                self.role.answer(&value_of(&id))
            };
            let _ = answers.send(answer.clone());
            if self.draw(&(1..=self.faults.one_in)) > 1 {
                continue;
            }
            match self.faults.repeat {
                Repeat::Copy => self.repeat_late(answer, &answers),
                Repeat::Busy => self.repeat_late(self.role.refusal().to_vec(), &answers),
                Repeat::WithNext => repeated_with_next = Some(answer),
            }
        }
    }

    fn repeat_late(&self, answer: Vec<u8>, answers: &mpsc::UnboundedSender<Vec<u8>>) {
        let delay = ms(self.draw(&self.faults.delay_ms));
        let answers = answers.clone();
        self.log.repeated.set(self.log.repeated.get() + 1);
        spawn_local(async move {
            sleep(delay).await;
            let _ = answers.send(answer);
        });
    }
}
