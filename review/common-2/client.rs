//! Clients: they write commands and read answers.
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::servers::Reader;

/// What a client reads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A bulk string.
    Value(Vec<u8>),
    /// An error line, also that of a refusal.
    Line(String),
    /// The connection ended within a value; so many of its bytes had come.
    CutValue(usize),
    /// The connection ended, or was reset, with no byte of an answer.
    Ended,
    /// Nothing came in time.
    Nothing,
}

pub struct Client(Reader);

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        Ok(Client(Reader::new(socket)))
    }

    pub fn send(&mut self, command: &[u8]) -> io::Result<()> {
        self.0.socket.write_all(command)
    }

    /// The next answer. No read of it waits longer than `limit`.
    pub fn answer(&mut self, limit: Duration) -> Answer {
        let limit = limit.max(Duration::from_millis(1));
        let _ = self.0.socket.set_read_timeout(Some(limit));
        let line = match self.0.line() {
            Ok(Some(line)) => line,
            Ok(None) => return Answer::Ended,
            Err(error) if is_late(&error) => return Answer::Nothing,
            Err(_) => return Answer::Ended,
        };
        let length = line
            .strip_prefix('$')
            .and_then(|length| length.parse::<usize>().ok());
        let Some(length) = length else {
            return Answer::Line(line);
        };
        let mut value = Vec::new();
        while value.len() < length + 2 {
            let part = (length + 2 - value.len()).min(1024);
            match self.0.bytes(part) {
                Ok(Some(bytes)) => value.extend(bytes),
                Err(error) if is_late(&error) => return Answer::Nothing,
                Ok(None) | Err(_) => return Answer::CutValue(value.len()),
            }
        }
        value.truncate(length);
        Answer::Value(value)
    }
}

fn is_late(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// A read, whose client waits for `ms`.
pub fn get(key: &str, id: &str, ms: u64) -> Vec<u8> {
    array(&["C.GET", key, id, &format!("c=seat-lookup,t=acme,d={ms}")])
}

/// A write of the class that must not run twice.
pub fn set(key: &str, id: &str, ms: u64, value: &str) -> Vec<u8> {
    array(&[
        "C.SET",
        key,
        id,
        &format!("c=seat-book,t=acme,d={ms}"),
        value,
    ])
}

fn array(words: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", words.len());
    for word in words {
        text += &format!("${}\r\n{word}\r\n", word.len());
    }
    text.into_bytes()
}
