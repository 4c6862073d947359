//! Clients, and the form of their commands.
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::ms;

/// Sends a text on a new connection and reads until its end; the status, 0 where there was none, and the text.
///
/// # Panics
///
/// If nobody accepts, or the answer is no text.
pub async fn say(to: SocketAddr, text: &str) -> (u16, String) {
    let mut socket = TcpStream::connect(to).await.unwrap();
    socket.write_all(text.as_bytes()).await.unwrap();
    let mut heard = Vec::new();
    let _ = socket.read_to_end(&mut heard).await;
    let heard = String::from_utf8(heard).unwrap();
    let status = heard.split(' ').nth(1).and_then(|word| word.parse().ok());
    (status.unwrap_or(0), heard)
}

/// A command of these words.
pub fn command(words: &[&str]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
    }
    bytes
}

/// A read of the class and the tenant of [`settings`](super::settings).
pub fn get(key: &str, id: &str, wait_ms: u64) -> Vec<u8> {
    command(&["C.GET", key, id, &format!("c=read,t=acme,d={wait_ms}")])
}

/// A client's connection.
pub struct Client {
    /// Its socket.
    pub socket: TcpStream,
    buffer: Vec<u8>,
}

impl From<TcpStream> for Client {
    fn from(socket: TcpStream) -> Self {
        Client {
            socket,
            buffer: Vec::new(),
        }
    }
}

impl Client {
    /// Connects.
    ///
    /// # Errors
    ///
    /// If nobody accepts.
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect(address).await.map(Client::from)
    }

    /// Sends bytes.
    ///
    /// # Panics
    ///
    /// If the connection has ended.
    pub async fn send(&mut self, bytes: &[u8]) {
        self.try_send(bytes).await.unwrap();
    }

    /// Sends on a connection that may have ended.
    ///
    /// # Errors
    ///
    /// If it has.
    pub async fn try_send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.socket.write_all(bytes).await
    }

    /// Sends a command and waits for its answer.
    ///
    /// # Panics
    ///
    /// If the connection ends before.
    pub async fn ask(&mut self, words: &[&str]) -> String {
        self.send(&command(words)).await;
        self.answer().await.expect("connection ended")
    }

    /// Repeats a request while the balancer sheds it for being behind: on a busy machine it does so rightly, and tests of
    /// other things would fail by it.
    ///
    /// # Panics
    ///
    /// If the connection ends before.
    pub async fn get(&mut self, key: &str, id: &str, wait_ms: u64) -> String {
        loop {
            self.send(&get(key, id, wait_ms)).await;
            let answer = self.answer().await.expect("connection ended");
            if !is_shed(&answer) {
                return answer;
            }
            sleep(ms(20)).await;
        }
    }

    /// The next answer as it stands on the wire; none at the end of the connection.
    ///
    /// # Panics
    ///
    /// If it is no text.
    pub async fn answer(&mut self) -> Option<String> {
        let mut chunk = [0; 4096];
        loop {
            if let Some(end) = answer_end(&self.buffer) {
                let answer: Vec<u8> = self.buffer.drain(..end).collect();
                return Some(String::from_utf8(answer).unwrap());
            }
            match self.socket.read(&mut chunk).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
            }
        }
    }
}

/// Only a balancer that is behind spreads its Retry-After; that of the decision module is the settings' 1500 ms, or none.
fn is_shed(answer: &str) -> bool {
    let advice = answer
        .strip_prefix("-BUSY ")
        .and_then(|ms| ms.trim_end().parse::<u64>().ok());
    advice.is_some_and(|ms| ms < 1500)
}

fn answer_end(buffer: &[u8]) -> Option<usize> {
    let line = buffer.windows(2).position(|w| w == b"\r\n")? + 2;
    if buffer[0] != b'$' {
        return Some(line);
    }
    let length: usize = std::str::from_utf8(&buffer[1..line - 2])
        .unwrap()
        .parse()
        .unwrap();
    (buffer.len() >= line + length + 2).then_some(line + length + 2)
}

/// An answer with this value.
pub fn bulk(value: &str) -> String {
    format!("${}\r\n{value}\r\n", value.len())
}
