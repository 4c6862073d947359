//! Clients that hold connections idle, or read slowly.
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use stairfront_codec::resp::{put_bulk, put_number};
use stairfront_common::time::{Micros, SECOND};
use stairfront_emulator::client::ClassSettings;
use stairfront_emulator::rules::Observation;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::client_thread::ClientThread;

/// Time between the end of a connection and the next one.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two commands, and two reads, of a client that reads slowly.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(20);
const SLOW_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
const SLOW_READ_BYTES: usize = 16;
const SLOW_READER_KEYS: u64 = 64;
/// Time beyond the end of a run, for a deadline that never passes.
const NEVER: Micros = 3_600 * SECOND;

/// Numbers the requests of one slow reader, apart from those of all other clients.
struct SlowReaderIds {
    base: u64,
    last: u64,
}

impl SlowReaderIds {
    fn new(thread: usize, reader: usize) -> Self {
        SlowReaderIds {
            base: (0xfe << 56) | ((thread as u64) << 48) | ((reader as u64) << 32),
            last: 0,
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.base | self.last
    }
}

impl ClientThread {
    /// Holds a connection on which nothing is sent, and opens it again some time after the balancer has closed it.
    pub(super) async fn hold_idle_connection(self: Rc<Self>, i: usize) {
        while self.clock.now() < self.plan.end {
            let Some(target) = self.balancers.get(i % self.balancers.len().max(1)) else {
                return;
            };
            if let Ok(mut socket) = TcpStream::connect(target.endpoint.address).await {
                let _ = socket.read(&mut [0; 64]).await;
            }
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    /// Requests values on and on over a connection, and reads a few bytes at a time.
    pub(super) async fn read_slowly(self: Rc<Self>, i: usize, thread: usize) {
        let Some(class) = self.plan.classes.first() else {
            return;
        };
        let mut ids = SlowReaderIds::new(thread, i);
        let balancer = i % self.balancers.len().max(1);
        while self.clock.now() < self.plan.end {
            let Some(target) = self.balancers.get(balancer) else {
                return;
            };
            if let Ok(socket) = TcpStream::connect(target.endpoint.address).await {
                let sent = self
                    .exchange_slowly(socket, balancer, class, &mut ids)
                    .await;
                let now = self.clock.now();
                sent.into_iter()
                    .for_each(|id| self.record(now, Observation::ClientClosed { id }));
            }
            sleep(RECONNECT_INTERVAL).await;
        }
    }

    /// Runs one connection of a slow reader; gives the ids of its requests.
    async fn exchange_slowly(
        &self,
        mut socket: TcpStream,
        balancer: usize,
        class: &ClassSettings,
        ids: &mut SlowReaderIds,
    ) -> Vec<u64> {
        let mut buffer = [0; SLOW_READ_BYTES];
        let mut sent = Vec::new();
        while self.clock.now() < self.plan.end {
            let id = ids.next_id();
            let out = slow_request(id, ids.last, class);
            let written = timeout(SLOW_WRITE_TIMEOUT, socket.write_all(&out)).await;
            if !matches!(written, Ok(Ok(()))) {
                break;
            }
            // Its own slowness is no breach, so its deadline never passes.
            self.record(
                self.clock.now(),
                Observation::RequestSent {
                    id,
                    class: 0,
                    balancer: balancer as u16,
                    deadline: self.plan.end + NEVER,
                },
            );
            sent.push(id);
            let read = timeout(SLOW_READ_INTERVAL, socket.read(&mut buffer)).await;
            if !matches!(read, Ok(Ok(1..)) | Err(_)) {
                break;
            }
            sleep(SLOW_READ_INTERVAL).await;
        }
        sent
    }
}

fn slow_request(id: u64, number: u64, class: &ClassSettings) -> BytesMut {
    let key = format!("{:016x}", number % SLOW_READER_KEYS);
    let info = format!("c={},t=,d={}", class.name, class.deadline_ms);
    let mut out = BytesMut::new();
    put_number(&mut out, b'*', 4);
    put_bulk(&mut out, b"C.GET");
    put_bulk(&mut out, key.as_bytes());
    put_bulk(&mut out, format!("{id:016x}").as_bytes());
    put_bulk(&mut out, info.as_bytes());
    out
}
