//! Small stand-ins for the cases of the review: cache hosts, discovery's agent, clients, and a balancer as a process.
//! Standard library only, loopback addresses only, the real clock.
#![allow(dead_code)] // Each case uses a part of this.
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Whether the disruption is played; `TROUBLE=0` plays the same without it.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let line = format!("{at:10.1} {}\n", text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A loopback address that is free now. Each call takes another host part, so that nothing else is given the port.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = [
        127,
        128 + high % 64,
        low,
        NEXT.fetch_add(1, Ordering::Relaxed),
    ];
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("a loopback address");
    listener.local_addr().expect("an address")
}

/// Ends a run: what it started has ended, the verdict goes to the record and to the exit code.
pub struct Case {
    pub record: Record,
    pub dir: PathBuf,
    pub root: PathBuf,
}

impl Case {
    /// A case whose folder is the first argument; the repository's root is the second.
    pub fn open() -> Case {
        let mut arguments = std::env::args_os().skip(1).map(PathBuf::from);
        let (Some(folder), Some(root)) = (arguments.next(), arguments.next()) else {
            eprintln!("usage: CASE FOLDER ROOT");
            std::process::exit(COULD_NOT_RUN);
        };
        let dir = std::env::temp_dir().join(format!("stairfront-review-{}", std::process::id()));
        let made =
            std::fs::create_dir_all(&dir).and_then(|()| Record::create(&folder.join("record.txt")));
        let Ok(record) = made else {
            eprintln!("no folder for the run");
            std::process::exit(COULD_NOT_RUN);
        };
        record.note(if trouble() {
            "run with the disruption"
        } else {
            "run without the disruption (TROUBLE=0)"
        });
        Case { record, dir, root }
    }

    pub fn finish(&self, code: i32, text: &str) -> ! {
        let word = match code {
            HELD => "HELD",
            BROKEN => "BROKEN",
            _ => "COULD NOT RUN",
        };
        self.record.note(format!("{word}: {text}"));
        println!("{word}: {text}");
        let _ = std::fs::remove_dir_all(&self.dir);
        std::process::exit(code);
    }
}

/// One balancer process, started by the `run` command of the deploy file.
pub struct Balancer {
    child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    pub log: PathBuf,
    record: Record,
    label: String,
}

fn run_command(root: &Path) -> Option<String> {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).ok()?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))?;
    let (_, value) = line.split_once('=')?;
    Some(value.trim().trim_matches('"').to_string())
}

impl Balancer {
    pub fn start(
        case: &Case,
        label: &str,
        listen: SocketAddr,
        config: &str,
        more: &[(&str, &str)],
    ) -> io::Result<Balancer> {
        let path = case.dir.join(format!("{label}.json"));
        std::fs::write(&path, config)?;
        let tmp = case.dir.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        let log = case.dir.join(format!("{label}.log"));
        let command = run_command(&case.root).ok_or(io::ErrorKind::NotFound)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(&case.root)
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &tmp)
            .envs(more.iter().copied())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        case.record
            .note(format!("{label}: balancer started, clients at {listen}"));
        Ok(Balancer {
            child,
            listen,
            config: path,
            log,
            record: case.record.clone(),
            label: label.to_string(),
        })
    }

    /// Waits until it answers `PING` with `+PONG`.
    pub fn wait_ready(&mut self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut client) = Client::connect(self.listen) {
                if client.send(&[b"PING"]).is_ok() {
                    if let Ok(Reply::Simple(text)) = client.read(ms(500)) {
                        if text == "PONG" {
                            self.record.note(format!("{}: ready", self.label));
                            return true;
                        }
                    }
                }
            }
            if self.has_ended() {
                return false;
            }
            thread::sleep(ms(20));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        self.record.note(format!("{}: SIG{name}", self.label));
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.child.id())])
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Copies the lines of its log that hold one of these words to the record.
    pub fn note_log(&self, words: &[&str]) {
        for line in self
            .log_text()
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)))
        {
            self.record
                .note(format!("{} log: {}", self.label, strip_colour(line)));
        }
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn strip_colour(line: &str) -> String {
    let mut out = String::new();
    let mut chars = line.chars();
    while let Some(c) = chars.next() {
        if c == '\u{1b}' {
            for c in chars.by_ref() {
                if c == 'm' {
                    break;
                }
            }
        } else {
            out.push(c);
        }
    }
    out
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A reply in RESP2.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Simple(String),
    Error(String),
    Bulk(Vec<u8>),
    Null,
    Array(Vec<Reply>),
}

impl Reply {
    pub fn text(&self) -> String {
        match self {
            Reply::Simple(text) => format!("+{text}"),
            Reply::Error(text) => format!("-{text}"),
            Reply::Bulk(bytes) => format!("value of {} bytes", bytes.len()),
            Reply::Null => "null".to_string(),
            Reply::Array(items) => format!("array of {}", items.len()),
        }
    }
}

pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// A client's connection.
pub struct Client {
    pub writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(to: SocketAddr) -> io::Result<Client> {
        let writer = TcpStream::connect_timeout(&to, ms(1000))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Client { writer, reader })
    }

    pub fn send(&mut self, words: &[&[u8]]) -> io::Result<()> {
        self.writer.write_all(&command(words))
    }

    /// The next reply; an error at the end of the connection or after the time.
    pub fn read(&mut self, limit: Duration) -> io::Result<Reply> {
        self.reader
            .get_ref()
            .set_read_timeout(Some(limit.max(ms(1))))?;
        read_reply(&mut self.reader)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.pop();
    Ok(String::from_utf8_lossy(&line).into_owned())
}

pub fn read_reply(reader: &mut impl BufRead) -> io::Result<Reply> {
    let line = read_line(reader)?;
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let (kind, rest) = line.split_at(line.len().min(1));
    match kind {
        "+" => Ok(Reply::Simple(rest.to_string())),
        "-" => Ok(Reply::Error(rest.to_string())),
        "$" => match rest.parse::<i64>().map_err(|_| invalid())? {
            -1 => Ok(Reply::Null),
            length => {
                let mut bytes = vec![0; usize::try_from(length).map_err(|_| invalid())? + 2];
                reader.read_exact(&mut bytes)?;
                bytes.truncate(bytes.len() - 2);
                Ok(Reply::Bulk(bytes))
            }
        },
        "*" => match rest.parse::<i64>().map_err(|_| invalid())? {
            -1 => Ok(Reply::Null),
            count => (0..count)
                .map(|_| read_reply(reader))
                .collect::<io::Result<_>>()
                .map(Reply::Array),
        },
        _ => Err(invalid()),
    }
}

/// A command that a cache host has got.
#[derive(Clone, Debug)]
pub struct Got {
    pub host: String,
    pub verb: String,
    pub key: String,
    pub id: String,
    pub info: String,
    pub value_bytes: usize,
    /// When its first byte and its last byte were read.
    pub first_at: Instant,
    pub at: Instant,
}

/// What a cache host does with a command.
pub enum Act {
    /// Runs it and answers with its value after this time.
    Serve(Duration),
    /// Lacks the key.
    Miss,
    /// Runs it and answers with an error.
    Fail,
    /// Runs it, and its connection ends with no answer.
    End,
    /// Hangs: takes it and never answers.
    Hang,
}

/// A cache host, or several that share what they have got.
#[derive(Clone)]
pub struct Hosts {
    record: Record,
    pub got: Arc<Mutex<Vec<Got>>>,
    act: Arc<dyn Fn(&Got) -> Act + Send + Sync>,
}

impl Hosts {
    pub fn new(record: &Record, act: impl Fn(&Got) -> Act + Send + Sync + 'static) -> Hosts {
        Hosts {
            record: record.clone(),
            got: Arc::default(),
            act: Arc::new(act),
        }
    }

    /// Starts one host; its address.
    pub fn start(&self, name: &str) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        self.record.note(format!("{name}: cache host at {address}"));
        let (hosts, name) = (self.clone(), name.to_string());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let (hosts, name) = (hosts.clone(), name.clone());
                thread::spawn(move || {
                    let _ = hosts.serve(&name, socket);
                });
            }
        });
        address
    }

    fn serve(&self, name: &str, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut writer = socket.try_clone()?;
        let mut reader = BufReader::new(socket);
        loop {
            if reader.fill_buf()?.is_empty() {
                return Ok(());
            }
            let first_at = Instant::now();
            let Reply::Array(items) = read_reply(&mut reader)? else {
                return Ok(());
            };
            let words: Vec<Vec<u8>> = items
                .into_iter()
                .map(|item| match item {
                    Reply::Bulk(bytes) => bytes,
                    _ => Vec::new(),
                })
                .collect();
            let text = |i: usize| {
                words.get(i).map_or(String::new(), |word| {
                    String::from_utf8_lossy(word).into_owned()
                })
            };
            let verb = text(0).to_ascii_uppercase();
            if !matches!((verb.as_str(), words.len()), ("C.GET", 4) | ("C.SET", 5)) {
                let answer: &[u8] = match verb.as_str() {
                    "SELECT" | "CLIENT" => b"+OK\r\n",
                    "PING" => b"+PONG\r\n",
                    _ => b"-ERR unknown command\r\n",
                };
                writer.write_all(answer)?;
                continue;
            }
            let got = Got {
                host: name.to_string(),
                verb,
                key: text(1),
                id: text(2),
                info: text(3),
                value_bytes: words.get(4).map_or(0, Vec::len),
                first_at,
                at: Instant::now(),
            };
            self.record.note(format!(
                "{name}: got {} {} {} {}",
                got.verb, got.key, got.id, got.info
            ));
            self.got.lock().unwrap().push(got.clone());
            match (self.act)(&got) {
                Act::Serve(time) => {
                    thread::sleep(time);
                    self.record.note(format!("{name}: served {}", got.id));
                    let value = format!("{name}:{}:{}", got.key, got.id);
                    let answer = format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
                    writer.write_all(answer.as_bytes())?;
                }
                Act::Miss => writer.write_all(b"*3\r\n$-1\r\n$-1\r\n$-1\r\n")?,
                Act::Fail => {
                    self.record
                        .note(format!("{name}: ran {}, answers with an error", got.id));
                    writer.write_all(b"-ERR failed\r\n")?;
                }
                Act::End => {
                    self.record
                        .note(format!("{name}: ran {}, its connection ends", got.id));
                    let _ = writer.shutdown(std::net::Shutdown::Both);
                    return Ok(());
                }
                Act::Hang => {
                    // Until the balancer gives the attempt up by closing.
                    let _ = reader.fill_buf();
                    return Ok(());
                }
            }
        }
    }

    pub fn all(&self) -> Vec<Got> {
        self.got.lock().unwrap().clone()
    }
}

/// The slow origin, HTTP/1.1: it answers each request with a value or a receipt.
pub fn start_origin(record: &Record) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("an address");
    record.note(format!("origin at {address}"));
    let record = record.clone();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let _ = serve_origin(&record, socket);
            });
        }
    });
    address
}

fn serve_origin(record: &Record, socket: TcpStream) -> io::Result<()> {
    let mut writer = socket.try_clone()?;
    let mut reader = BufReader::new(socket);
    loop {
        let request = read_line(&mut reader)?;
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let line = read_line(&mut reader)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            match name.to_ascii_lowercase().as_str() {
                "request-id" => id = value.trim().to_string(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        reader.read_exact(&mut vec![0; length])?;
        record.note(format!("origin: got {request} {id}"));
        thread::sleep(ms(40));
        let value = format!("origin:{id}");
        writer.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}",
                value.len()
            )
            .as_bytes(),
        )?;
    }
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub group: u16,
    pub status: String,
    pub since_ms: u64,
}

impl Endpoint {
    pub fn serving(name: &str, address: SocketAddr) -> Endpoint {
        Endpoint {
            name: name.to_string(),
            address,
            zone: "a".to_string(),
            kind: "std".to_string(),
            group: 0,
            status: "SERVING".to_string(),
            since_ms: 0,
        }
    }

    /// The origin in the list.
    pub fn origin(name: &str, address: SocketAddr) -> Endpoint {
        Endpoint {
            kind: "origin".to_string(),
            ..Endpoint::serving(name, address)
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":{},\"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.zone, self.kind, self.group, self.status, self.since_ms
        )
    }
}

pub fn list_json(index: u64, snapshot: bool, entries: &[Endpoint]) -> String {
    let entries: Vec<String> = entries.iter().map(Endpoint::json).collect();
    format!(
        "{{\"index\":{index},\"snapshot\":{snapshot},\"endpoints\":[{}]}}",
        entries.join(",")
    )
}

/// Discovery's agent on the balancer's machine.
#[derive(Clone)]
pub struct Agent {
    record: Record,
    state: Arc<(Mutex<AgentState>, Condvar)>,
    /// How long each answer takes, beyond its hold.
    pub delay: Arc<Mutex<Duration>>,
    /// Discovery is down: the agent takes calls and is silent.
    pub down: Arc<AtomicBool>,
}

struct AgentState {
    index: u64,
    /// Each entry with the version of its last change.
    entries: BTreeMap<String, (u64, Endpoint)>,
}

impl Agent {
    pub fn new(record: &Record, index: u64, entries: &[Endpoint]) -> Agent {
        let entries = entries
            .iter()
            .map(|entry| (entry.name.clone(), (index, entry.clone())));
        Agent {
            record: record.clone(),
            state: Arc::new((
                Mutex::new(AgentState {
                    index,
                    entries: entries.collect(),
                }),
                Condvar::new(),
            )),
            delay: Arc::default(),
            down: Arc::default(),
        }
    }

    pub fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        self.record.note(format!("agent: discovery at {address}"));
        let agent = self.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let agent = agent.clone();
                thread::spawn(move || {
                    let _ = agent.serve(socket);
                });
            }
        });
        address
    }

    /// Changes one entry, which makes a new version; the time from which on it can be told.
    pub fn change(&self, entry: Endpoint) -> Instant {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.index += 1;
        let index = state.index;
        self.record.note(format!(
            "agent: version {index}, {} is {} at {}",
            entry.name, entry.status, entry.address
        ));
        state.entries.insert(entry.name.clone(), (index, entry));
        changed.notify_all();
        Instant::now()
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut writer = socket.try_clone()?;
        let mut reader = BufReader::new(socket);
        loop {
            let request = read_line(&mut reader)?;
            while !read_line(&mut reader)?.is_empty() {}
            let target = request.split(' ').nth(1).unwrap_or_default().to_string();
            self.record.note(format!("agent: asked for {target}"));
            let number = |name: &str| {
                let (_, query) = target.split_once('?')?;
                query.split('&').find_map(|pair| {
                    pair.strip_prefix(name)?
                        .strip_prefix('=')?
                        .parse::<u64>()
                        .ok()
                })
            };
            let body = self.list(number("from"), ms(number("hold_ms").unwrap_or(0)));
            let delay = *self.delay.lock().unwrap();
            thread::sleep(delay);
            while self.down.load(Ordering::SeqCst) {
                thread::sleep(ms(20));
            }
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            match writer.write_all(answer.as_bytes()) {
                Ok(()) => self
                    .record
                    .note(format!("agent: answered {target} with {body}")),
                Err(error) => {
                    self.record
                        .note(format!("agent: the caller of {target} is gone"));
                    return Err(error);
                }
            }
        }
    }

    fn list(&self, from: Option<u64>, hold: Duration) -> String {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let Some(from) = from else {
            let live = state
                .entries
                .values()
                .map(|(_, entry)| entry.clone())
                .filter(|entry| entry.status != "DELETED");
            return list_json(state.index, true, &live.collect::<Vec<_>>());
        };
        let until = Instant::now() + hold;
        while state.index <= from && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let newer = state
            .entries
            .values()
            .filter(|(version, _)| *version > from)
            .map(|(_, entry)| entry.clone());
        list_json(state.index, false, &newer.collect::<Vec<_>>())
    }
}

/// The configuration of a small deployment. `discovery` and `ops` are left out where they are `None`.
pub struct Deployment {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
    pub ops: Option<SocketAddr>,
    pub known: String,
    /// The classes, as the JSON of `profiles`.
    pub profiles: String,
    pub most_tries: u32,
    /// `family_info`, as JSON.
    pub family: String,
}

impl Deployment {
    pub fn json(&self) -> String {
        let address = |key: &str, value: Option<SocketAddr>| {
            value.map_or(String::new(), |at| format!("\"{key}\":\"{at}\","))
        };
        format!(
            concat!(
                "{{\"name\":\"{}\",\"listen\":\"{}\",{}{}\"seed\":\"8c1f30d27a5be964\",",
                "\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{},",
                "\"settings\":{{\"areas\":[\"a\",\"b\"],\"models\":[\"std\",\"origin\"],\"tick\":5.0,\"registry_mode\":\"push\",",
                "\"replicas_of_me\":3,\"me\":0,\"locality\":0,\"weights\":\"rough\",\"over_share_worth\":0.2,",
                "\"family_info\":{},\"profiles\":{},",
                "\"report\":{{\"how\":\"off\",\"fields\":[]}},",
                "\"tenants\":[{{\"name\":\"acme\",\"quota_rps\":100.0,\"share\":1.0}}],",
                "\"caps\":{{\"most_tries\":{},\"connect_timeout\":250.0,\"keepalive\":60000.0,\"open_cap\":20000,",
                "\"cancel\":true,\"probes\":false,\"peer_messages\":false,\"may_duplicate\":false,",
                "\"retry_after\":true,\"max_retry_after\":1500.0}},",
                "\"rules\":{{\"answer_slack\":20.0,\"ask_every\":10000.0,\"stop_sending_within\":250.0,\"cold_from\":0.2,",
                "\"warm_up\":20000.0,\"fall_multiple\":3.0,\"fall\":3000.0}}}}}}"
            ),
            self.name,
            self.listen,
            address("discovery", self.discovery),
            address("ops", self.ops),
            self.known,
            self.family,
            self.profiles,
            self.most_tries,
        )
    }
}

/// Cache hosts fetch what they lack.
pub const THROUGH: &str = "{\"mode\":\"through\",\"origin_kind\":-1}";
/// The balancer fetches what they lack from the origin.
pub const ASIDE: &str = "{\"mode\":\"aside\",\"origin_kind\":1}";

/// Replaces a configuration file in one step.
pub fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let next = path.with_extension("next");
    std::fs::write(&next, text)?;
    std::fs::rename(&next, path)
}

/// Whether a call to the operators' door is answered with a yes.
pub fn ask_operators(door: SocketAddr, method: &str, path: &str, record: &Record) -> bool {
    let ask = || -> io::Result<String> {
        let mut socket = TcpStream::connect_timeout(&door, ms(500))?;
        socket.set_read_timeout(Some(ms(1000)))?;
        socket.write_all(
            format!("{method} {path} HTTP/1.1\r\nHost: {door}\r\nContent-Length: 0\r\n\r\n")
                .as_bytes(),
        )?;
        read_line(&mut BufReader::new(socket))
    };
    let answer = ask().unwrap_or_else(|error| format!("no answer ({:?})", error.kind()));
    record.note(format!("operators: {method} {path} at {door}: {answer}"));
    answer
        .split(' ')
        .nth(1)
        .is_some_and(|status| status.starts_with('2'))
}

/// A flag that threads look at.
pub fn flag() -> Arc<AtomicBool> {
    Arc::default()
}

/// Reads keys that are ever new on one connection, one in 20 ms, until the flag is set; how many were served.
pub fn send_reads(listen: SocketAddr, info: &str, stop: &AtomicBool, record: &Record) -> usize {
    let mut served = 0;
    let Ok(mut client) = Client::connect(listen) else {
        return 0;
    };
    let mut next = Instant::now();
    for i in 0.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let (key, id) = (format!("{i:016x}"), format!("request-{i:04}"));
        let sent = client.send(&[b"C.GET", key.as_bytes(), id.as_bytes(), info.as_bytes()]);
        match sent.and_then(|()| client.read(ms(2000))) {
            Ok(Reply::Bulk(_)) => served += 1,
            Ok(other) => record.note(format!("client: {id} answered {}", other.text())),
            Err(_) => match Client::connect(listen) {
                Ok(new) => client = new,
                Err(_) => break,
            },
        }
        next += ms(20);
        sleep_until(next);
    }
    served
}
