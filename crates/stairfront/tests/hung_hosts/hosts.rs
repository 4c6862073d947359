//! Cache hosts that hang with a part of a command read. They look every few milliseconds how much has come, so that it is
//! known when the last byte of a command came, whenever the command is read.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use stairfront_balancer::transport::Stream;
use stairfront_common::random::SeededRng;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

use super::script::HostScript;
use stairfront_test_support::loopback::ms;

/// How long a host hangs through the rest of a run.
const SILENCE: Duration = Duration::from_secs(4);
const LOOK_INTERVAL: Duration = Duration::from_millis(4);
/// How late an event may be known here: these stand-ins, the clients and the balancer share the processors.
const SLACK: Duration = Duration::from_millis(50);
/// An attempt may begin so long after its client has left.
const DEPARTURE_GRACE: Duration = Duration::from_millis(100);

/// What hosts and clients have seen.
pub struct Witness {
    key_ttl: Duration,
    /// When a keyed request, or one that must not run twice, ran first.
    ran_at: RefCell<HashMap<String, Instant>>,
    /// When a client left, or had its answer.
    finished_at: RefCell<HashMap<String, (Instant, Duration)>>,
    breaches: RefCell<Vec<String>>,
    pub commands: Cell<u64>,
    pub repeats: Cell<u64>,
    pub hangs: Cell<u64>,
    pub answers: Cell<u64>,
    pub departures: Cell<u64>,
}

impl Witness {
    pub fn new(key_ttl_ms: u64) -> Self {
        Witness {
            key_ttl: ms(key_ttl_ms),
            ran_at: RefCell::default(),
            finished_at: RefCell::default(),
            breaches: RefCell::default(),
            commands: Cell::default(),
            repeats: Cell::default(),
            hangs: Cell::default(),
            answers: Cell::default(),
            departures: Cell::default(),
        }
    }

    pub fn note_breach(&self, breach: String) {
        self.breaches.borrow_mut().push(breach);
    }

    pub fn note_answer(&self, id: &str) {
        add(&self.answers);
        let finished = (Instant::now(), Duration::ZERO);
        self.finished_at
            .borrow_mut()
            .insert(id.to_string(), finished);
    }

    pub fn note_departure(&self, id: &str) {
        add(&self.departures);
        let finished = (Instant::now(), DEPARTURE_GRACE);
        self.finished_at
            .borrow_mut()
            .insert(id.to_string(), finished);
    }

    /// Records a command whose last byte came between these times.
    fn note_command(&self, id: &str, class: &str, came: Arrival) {
        add(&self.commands);
        if let Some((at, grace)) = self.finished_at.borrow().get(id) {
            let late = came.earliest.saturating_duration_since(*at);
            if late > *grace + SLACK {
                self.note_breach(format!("{class} {id} came {late:?} after it was finished"));
            }
        }
        let mut ran_at = self.ran_at.borrow_mut();
        let Some(first) = ran_at.get(id) else {
            ran_at.insert(id.to_string(), came.latest);
            return;
        };
        let age = came.earliest.saturating_duration_since(*first);
        add(&self.repeats);
        if class == super::ONCE_CLASS {
            self.note_breach(format!("{class} {id} ran twice"));
        }
        if class == super::PUT_CLASS && age > self.key_ttl {
            self.note_breach(format!("{class} {id} came again after {age:?}"));
        }
    }

    pub fn report(&self) -> Vec<String> {
        println!(
            "commands {}, repeats {}, hangs {}, answers {}, clients that left {}",
            self.commands.get(),
            self.repeats.get(),
            self.hangs.get(),
            self.answers.get(),
            self.departures.get()
        );
        self.breaches.borrow().clone()
    }
}

/// Between which times the last byte of a command came.
#[derive(Clone, Copy)]
struct Arrival {
    earliest: Instant,
    latest: Instant,
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Starts a host; the times of its script count from `began`.
pub async fn start_host(
    seed: u64,
    number: usize,
    script: HostScript,
    began: Instant,
    witness: &Rc<Witness>,
) -> SocketAddr {
    let silent_from = began.checked_add(ms(script.silent_from_ms));
    let listener = listen(script.receive_buffer);
    let address = listener.local_addr().unwrap();
    let witness = Rc::clone(witness);
    spawn_local(async move {
        let mut accepted = 0;
        while let Ok((socket, _)) = listener.accept().await {
            accepted += 1;
            let part = format!("host {number} connection {accepted}");
            let connection = HostConnection {
                socket,
                script,
                is_sound: number < script.sound_hosts,
                silent_from,
                random: SeededRng::for_part(seed, &part),
                witness: Rc::clone(&witness),
                input: Vec::new(),
                looks: Vec::new(),
                read: 0,
            };
            // A connection that the balancer ends is no fault.
            spawn_local(async move { drop(connection.serve().await) });
        }
    });
    address
}

fn listen(receive_buffer: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    if receive_buffer > 0 {
        socket.set_recv_buffer_size(receive_buffer).unwrap();
    }
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(64).unwrap()
}

struct HostConnection {
    socket: TcpStream,
    script: HostScript,
    is_sound: bool,
    silent_from: Option<Instant>,
    random: SeededRng,
    witness: Rc<Witness>,
    input: Vec<u8>,
    /// How many bytes had come in all at these times.
    looks: Vec<(Instant, u64)>,
    /// Bytes read in all.
    read: u64,
}

impl HostConnection {
    async fn serve(mut self) -> std::io::Result<()> {
        self.socket.set_nodelay(true)?;
        loop {
            let Some((words, end)) = self.next_command().await? else {
                return Ok(());
            };
            if !words[0].starts_with("C.") {
                self.socket.write_all(b"+OK\r\n").await?;
                continue;
            }
            let class = class_of(&words[3]);
            self.witness
                .note_command(&words[2], &class, self.arrival_of(end));
            sleep(ms(self.script.work_ms)).await;
            if self.happens(self.script.loses_answer) {
                return Ok(());
            }
            let answer: &[u8] = if self.happens(self.script.errs) {
                b"-ERR failed\r\n"
            } else {
                b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"
            };
            self.socket.write_all(answer).await?;
        }
    }

    /// For how long it hangs in the middle of the next command, if it does.
    fn draw_hang(&mut self) -> Option<Duration> {
        let is_silent = self.silent_from.is_some_and(|from| Instant::now() >= from);
        if is_silent && !self.is_sound {
            return Some(SILENCE);
        }
        let hangs = self.happens(self.script.hangs);
        let time = ms(50 + self.random.below(self.script.max_hang_ms));
        hangs.then_some(time)
    }

    fn happens(&mut self, probability: f64) -> bool {
        self.random.happens(probability) && !self.is_sound
    }

    fn look(&mut self) {
        let unread = Stream::unread_bytes(&self.socket).unwrap_or(0);
        self.looks.push((Instant::now(), self.read + unread));
    }

    /// When so many bytes had come.
    fn arrival_of(&self, bytes: u64) -> Arrival {
        let later = self.looks.iter().position(|(_, come)| *come >= bytes);
        let latest = later.map_or(Instant::now(), |i| self.looks[i].0);
        let earlier = later.unwrap_or(self.looks.len()).saturating_sub(1);
        Arrival {
            earliest: self.looks[earlier].0,
            latest,
        }
    }

    /// The next command and the position of its end.
    async fn next_command(&mut self) -> std::io::Result<Option<(Vec<String>, u64)>> {
        let mut may_hang = true;
        self.looks.clear();
        self.look();
        let mut chunk = vec![0; 64 * 1024];
        loop {
            if let Some((words, length)) = parse(&self.input) {
                self.input.drain(..length);
                return Ok(Some((words, self.read - self.input.len() as u64)));
            }
            self.socket.readable().await?;
            self.look();
            match self.socket.try_read(&mut chunk) {
                Ok(0) => return Ok(None),
                Ok(read) => {
                    self.read += read as u64;
                    self.input.extend_from_slice(&chunk[..read]);
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
            let hang = if may_hang { self.draw_hang() } else { None };
            may_hang = false;
            if let Some(time) = hang {
                add(&self.witness.hangs);
                let until = Instant::now() + time;
                while Instant::now() < until {
                    self.look();
                    sleep(LOOK_INTERVAL).await;
                }
                self.look();
            }
        }
    }
}

fn class_of(info: &str) -> String {
    let mut pairs = info.split(',');
    let class = pairs.find_map(|pair| pair.strip_prefix("c="));
    class.unwrap_or_default().to_string()
}

/// The first command of the input, and its length in bytes.
fn parse(input: &[u8]) -> Option<(Vec<String>, usize)> {
    let mut position = 0;
    let number = |position: &mut usize| -> Option<usize> {
        let line = input[*position..]
            .windows(2)
            .position(|end| end == b"\r\n")?;
        let text = std::str::from_utf8(&input[*position + 1..*position + line]).unwrap();
        *position += line + 2;
        Some(text.parse().unwrap())
    };
    let count = number(&mut position)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let length = number(&mut position)?;
        let word = input.get(position..position + length + 2)?;
        // Values are long, and what they are is of no interest.
        let text = &word[..length.min(1024)];
        words.push(String::from_utf8_lossy(text).into_owned());
        position += length + 2;
    }
    Some((words, position))
}
