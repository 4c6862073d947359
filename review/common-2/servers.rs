//! Cache hosts and the origin as the protocol page has them. What a cache host does with a request is given by the case.
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::record::Record;

/// A request that has come to a server as a whole.
#[derive(Clone, Debug)]
pub struct Begun {
    /// When its last byte came.
    pub at: Duration,
    /// The server.
    pub server: String,
    pub verb: String,
    pub key: String,
    pub id: String,
}

/// What has come to the servers, in its order.
#[derive(Clone, Default)]
pub struct Work(Arc<Mutex<Vec<Begun>>>);

impl Work {
    pub fn all(&self) -> Vec<Begun> {
        self.0.lock().unwrap().clone()
    }

    /// What has come to one server.
    pub fn at(&self, server: &str) -> Vec<Begun> {
        self.all()
            .into_iter()
            .filter(|begun| begun.server == server)
            .collect()
    }

    fn add(&self, begun: Begun) {
        self.0.lock().unwrap().push(begun);
    }
}

/// What a cache host does with a request.
pub enum Reaction {
    /// Answers with this value after a time.
    Value(Duration, Vec<u8>),
    /// Turns it away.
    Busy,
    /// Begins a value of so many bytes, brings a part of it, and its connection is reset after a time.
    Cut {
        length: usize,
        brought: usize,
        after: Duration,
    },
}

/// How a cache host reacts to requests.
pub type Reactions = Arc<dyn Fn(&Begun) -> Reaction + Send + Sync>;

/// Starts a cache host and returns its address.
pub fn cache(
    record: &Arc<Record>,
    work: &Work,
    name: &str,
    reactions: Reactions,
) -> io::Result<SocketAddr> {
    let (record, work, server) = (Arc::clone(record), work.clone(), name.to_string());
    serve(move |socket| {
        let _ = serve_cache(socket, &record, &work, &server, &reactions);
    })
}

/// Starts the origin: it has every key, and answers after a time.
pub fn origin(record: &Arc<Record>, work: &Work, takes: Duration) -> io::Result<SocketAddr> {
    let (record, work) = (Arc::clone(record), work.clone());
    serve(move |socket| {
        let _ = serve_origin(socket, &record, &work, takes);
    })
}

/// Listens at a free address and serves each connection in a thread.
pub fn serve(connection: impl Fn(TcpStream) + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(crate::balancer::free_address())?;
    let address = listener.local_addr()?;
    let connection = Arc::new(connection);
    spawn(move || {
        for socket in listener.incoming().flatten() {
            let connection = Arc::clone(&connection);
            spawn(move || {
                let _ = socket.set_nodelay(true);
                connection(socket);
            });
        }
    });
    Ok(address)
}

/// A connection that is read in messages.
pub struct Reader {
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(socket: TcpStream) -> Self {
        Reader {
            socket,
            buffer: Vec::new(),
        }
    }

    /// Reads more; false at the end.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let read = self.socket.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read > 0)
    }

    /// The next line without its end; `None` at the end of the connection.
    pub fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// So many bytes; `None` if the connection ends before.
    pub fn bytes(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// The next command: an array of bulk strings.
    fn command(&mut self) -> io::Result<Option<Vec<Vec<u8>>>> {
        let Some(head) = self.line()? else {
            return Ok(None);
        };
        let Some(count) = head.strip_prefix('*').and_then(|n| n.parse::<usize>().ok()) else {
            return Ok(None);
        };
        let mut words = Vec::new();
        for _ in 0..count {
            let Some(length) = self.line()? else {
                return Ok(None);
            };
            let Some(length) = length
                .strip_prefix('$')
                .and_then(|n| n.parse::<usize>().ok())
            else {
                return Ok(None);
            };
            let Some(mut word) = self.bytes(length + 2)? else {
                return Ok(None);
            };
            word.truncate(length);
            words.push(word);
        }
        Ok(Some(words))
    }
}

fn serve_cache(
    socket: TcpStream,
    record: &Record,
    work: &Work,
    server: &str,
    reactions: &Reactions,
) -> io::Result<()> {
    let mut reader = Reader::new(socket);
    while let Some(words) = reader.command()? {
        let word =
            |at: usize| String::from_utf8_lossy(words.get(at).map_or(&[][..], |w| w)).into_owned();
        let verb = word(0).to_ascii_uppercase();
        match verb.as_str() {
            "C.GET" | "C.SET" => {}
            "CLIENT" | "SELECT" => {
                reader.socket.write_all(b"+OK\r\n")?;
                continue;
            }
            "PING" => {
                reader.socket.write_all(b"+PONG\r\n")?;
                continue;
            }
            _ => {
                reader.socket.write_all(b"-ERR\r\n")?;
                continue;
            }
        }
        let begun = Begun {
            at: record.now(),
            server: server.to_string(),
            verb,
            key: word(1),
            id: word(2),
        };
        record.note(&format!(
            "{server}: begins {} {} {} {}",
            begun.verb,
            begun.key,
            begun.id,
            word(3)
        ));
        work.add(begun.clone());
        match reactions(&begun) {
            Reaction::Value(takes, value) => {
                sleep(takes);
                let mut answer = format!("*3\r\n${}\r\n", value.len()).into_bytes();
                answer.extend_from_slice(&value);
                answer.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
                reader.socket.write_all(&answer)?;
                record.note(&format!("{server}: answered {}", begun.id));
            }
            Reaction::Busy => {
                reader.socket.write_all(b"-BUSY\r\n")?;
                record.note(&format!("{server}: turned {} away", begun.id));
            }
            Reaction::Cut {
                length,
                brought,
                after,
            } => {
                let mut answer = format!("*3\r\n${length}\r\n").into_bytes();
                answer.extend(std::iter::repeat_n(b'v', brought));
                reader.socket.write_all(&answer)?;
                sleep(after);
                reset(&reader.socket);
                record.note(&format!(
                    "{server}: connection of {} reset within its answer",
                    begun.id
                ));
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Has the close of a connection reset it.
fn reset(socket: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const Linger, length: u32)
            -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value is as long as is said.
    unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, 8) };
}

fn serve_origin(
    socket: TcpStream,
    record: &Record,
    work: &Work,
    takes: Duration,
) -> io::Result<()> {
    let mut reader = Reader::new(socket);
    while let Some(request) = reader.line()? {
        let (mut id, mut length) = (String::new(), 0);
        while let Some(line) = reader.line()? {
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            match name.to_ascii_lowercase().as_str() {
                "request-id" => id = value.trim().to_string(),
                "content-length" => length = value.trim().parse().unwrap_or(0),
                _ => {}
            }
        }
        if reader.bytes(length)?.is_none() {
            return Ok(());
        }
        let mut words = request.split(' ');
        let begun = Begun {
            at: record.now(),
            server: "origin".to_string(),
            verb: words.next().unwrap_or("").to_string(),
            key: words
                .next()
                .unwrap_or("")
                .trim_start_matches('/')
                .to_string(),
            id,
        };
        record.note(&format!(
            "origin: begins {} {} {}",
            begun.verb, begun.key, begun.id
        ));
        work.add(begun.clone());
        sleep(takes);
        let body = if begun.verb == "PUT" {
            "receipt"
        } else {
            "value"
        };
        reader.socket.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .as_bytes(),
        )?;
        record.note(&format!("origin: answered {}", begun.id));
    }
    Ok(())
}
