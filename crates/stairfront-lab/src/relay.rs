//! What stands between the processes of a group: each advertises an address of the relay, which passes on what comes to
//! it. It knows nothing of what it carries. Whose a packet is it tells by its source, since each process has a loopback
//! address of its own; what happens to it the links' model says (`stairfront_emulator::links`).
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc as std_mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stairfront_common::random::SeededRng;
use stairfront_emulator::links::{Delivery, LinkFault, Links, StreamDelivery};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use crate::clock::RunClock;

/// Where processes listen, and where the relay stands for each of them, on the process's own address.
const OWN_PORT: u16 = 7946;
const RELAY_PORT: u16 = 7947;
const CLIENT_PORTS: [u16; 2] = [6379, 19000];
/// What a silent link's bytes wait before they are looked at again, and until the stream is given up.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
const GIVE_UP: u32 = 200;
const LARGEST: usize = 65_536;
/// Rows of addresses tried until one is free.
const MOST_TRIES: usize = 50;

#[derive(Clone, Debug)]
enum Word {
    Lay {
        number: u64,
        pairs: Vec<(usize, usize)>,
        fault: LinkFault,
    },
    Lift {
        number: u64,
    },
    End,
}

/// What has gone over the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Carried {
    pub datagrams: u64,
    pub bytes: u64,
    pub streams: u64,
}

/// A relay on a thread of its own.
pub struct Relay {
    ips: Vec<Ipv4Addr>,
    words: mpsc::UnboundedSender<Word>,
    thread: Option<JoinHandle<Carried>>,
}

/// A row of loopback addresses by chance. Another run on this machine may have it, which the relay's own sockets tell:
/// all addresses of a run are taken by them first.
fn addresses(count: usize, dice: &mut SeededRng) -> Vec<Ipv4Addr> {
    let (second, third) = (64 + dice.below(180_u64) as u8, dice.below(250_u64) as u8);
    let one = |i: usize| {
        Ipv4Addr::new(
            127,
            second,
            third.wrapping_add((i / 200) as u8),
            1 + (i % 200) as u8,
        )
    };
    (0..count).map(one).collect()
}

impl Relay {
    /// For so many processes, each with a second address for a second process of its name, or one that moves; the seed is
    /// that of the links' chance. What befalls a link befalls it from either address.
    pub fn start(members: usize, seed: u64, clock: RunClock) -> io::Result<Relay> {
        let count = members * 2;
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let mut dice = SeededRng::for_part(u64::from(std::process::id()) << 20 ^ run, "loopback");
        let mut tried = Self::start_at(addresses(count, &mut dice), seed, clock);
        for _ in 0..MOST_TRIES {
            match tried {
                Err(problem) if problem.kind() == io::ErrorKind::AddrInUse => {
                    tried = Self::start_at(addresses(count, &mut dice), seed, clock);
                }
                done => return done,
            }
        }
        tried
    }

    fn start_at(ips: Vec<Ipv4Addr>, seed: u64, clock: RunClock) -> io::Result<Relay> {
        let (words, heard) = mpsc::unbounded_channel();
        let (ready, is_ready) = std_mpsc::channel();
        let own = ips.clone();
        let thread = std::thread::spawn(move || {
            let runtime = match tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            {
                Ok(runtime) => runtime,
                Err(problem) => {
                    let _ = ready.send(Err(problem));
                    return Carried::default();
                }
            };
            runtime.block_on(LocalSet::new().run_until(carry(own, seed, clock, heard, ready)))
        });
        let relay = Relay {
            ips,
            words,
            thread: Some(thread),
        };
        is_ready
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the relay ended")))?;
        Ok(relay)
    }

    /// Where a process listens.
    pub fn own(&self, who: usize) -> SocketAddr {
        SocketAddr::from((self.ips[who], OWN_PORT))
    }

    /// Where clients come to it, and operators: addresses that no other run has, also while the process is down.
    pub fn doors(&self, who: usize) -> [SocketAddr; 2] {
        CLIENT_PORTS.map(|port| SocketAddr::from((self.ips[who], port)))
    }

    /// Where others reach it.
    pub fn advertised(&self, who: usize) -> SocketAddr {
        SocketAddr::from((self.ips[who], RELAY_PORT))
    }

    pub fn lay(&self, number: u64, pairs: Vec<(usize, usize)>, fault: LinkFault) {
        let _ = self.words.send(Word::Lay {
            number,
            pairs,
            fault,
        });
    }

    pub fn lift(&self, number: u64) {
        let _ = self.words.send(Word::Lift { number });
    }

    pub fn end(mut self) -> Carried {
        let _ = self.words.send(Word::End);
        self.thread
            .take()
            .and_then(|thread| thread.join().ok())
            .unwrap_or_default()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.words.send(Word::End);
    }
}

struct Hub {
    members: usize,
    links: RefCell<Links>,
    clock: RunClock,
    ips: Vec<Ipv4Addr>,
    by_ip: FxHashMap<IpAddr, usize>,
    sockets: Vec<UdpSocket>,
    carried: RefCell<Carried>,
}

async fn carry(
    ips: Vec<Ipv4Addr>,
    seed: u64,
    clock: RunClock,
    mut words: mpsc::UnboundedReceiver<Word>,
    ready: std_mpsc::Sender<io::Result<()>>,
) -> Carried {
    let opened = async {
        let (mut sockets, mut listeners) = (Vec::new(), Vec::new());
        for ip in &ips {
            sockets.push(UdpSocket::bind((*ip, RELAY_PORT)).await?);
            listeners.push(TcpListener::bind((*ip, RELAY_PORT)).await?);
        }
        Ok::<_, io::Error>((sockets, listeners))
    };
    let (sockets, listeners) = match opened.await {
        Ok(opened) => opened,
        Err(problem) => {
            let _ = ready.send(Err(problem));
            return Carried::default();
        }
    };
    let by_ip = ips
        .iter()
        .enumerate()
        .map(|(i, ip)| (IpAddr::V4(*ip), i))
        .collect();
    let members = ips.len() / 2;
    let links = RefCell::new(Links::new(members, seed));
    let hub = Rc::new(Hub {
        members,
        links,
        clock,
        ips,
        by_ip,
        sockets,
        carried: RefCell::default(),
    });
    for (to, listener) in listeners.into_iter().enumerate() {
        spawn_local(Rc::clone(&hub).datagrams(to));
        spawn_local(Rc::clone(&hub).streams(to, listener));
    }
    let _ = ready.send(Ok(()));
    while let Some(word) = words.recv().await {
        let now = hub.clock.now();
        match word {
            Word::Lay {
                number,
                pairs,
                fault,
            } => hub.links.borrow_mut().add_fault(now, number, &pairs, fault),
            Word::Lift { number } => hub.links.borrow_mut().remove_fault(number),
            Word::End => break,
        }
    }
    let carried = *hub.carried.borrow();
    carried
}

impl Hub {
    async fn datagrams(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0; LARGEST];
        loop {
            // An error is an earlier datagram's, whose process was not there.
            let Ok((length, from)) = self.sockets[to].recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.by_ip.get(&from.ip()).copied() else {
                continue;
            };
            {
                let mut carried = self.carried.borrow_mut();
                carried.datagrams += 1;
                carried.bytes += length as u64;
            }
            let (link_from, link_to) = (from % self.members, to % self.members);
            let now = self.clock.now();
            let arrivals =
                self.links
                    .borrow_mut()
                    .send_datagram(now, link_from, link_to, &buffer[..length]);
            for Delivery {
                delay: after,
                bytes,
            } in arrivals
            {
                let hub = Rc::clone(&self);
                spawn_local(async move {
                    sleep(Duration::from_micros(after.max(0) as u64)).await;
                    // It comes from where its sender is reached, as behind address translation.
                    let _ = hub.sockets[from]
                        .send_to(&bytes, (hub.ips[to], OWN_PORT))
                        .await;
                });
            }
        }
    }

    async fn streams(self: Rc<Self>, to: usize, listener: TcpListener) {
        loop {
            let Ok((socket, from)) = listener.accept().await else {
                sleep(LOOK_AGAIN).await;
                continue;
            };
            let Some(from) = self.by_ip.get(&from.ip()).copied() else {
                continue;
            };
            self.carried.borrow_mut().streams += 1;
            spawn_local(Rc::clone(&self).stream(from, to, socket));
        }
    }

    async fn stream(self: Rc<Self>, from: usize, to: usize, near: TcpStream) {
        // A link that is silent lets no connection come up; this one is open at one end.
        if !self.passes(from, to, 0).await {
            return;
        }
        let Ok(far) = self.connect(from, to).await else {
            return;
        };
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        tokio::join!(
            self.pass(from, to, near_in, far_out),
            self.pass(to, from, far_in, near_out)
        );
    }

    async fn connect(&self, from: usize, to: usize) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.ips[from], 0)))?;
        socket
            .connect(SocketAddr::from((self.ips[to], OWN_PORT)))
            .await
    }

    /// Waits for as long as bytes take; false if they never come.
    async fn passes(&self, from: usize, to: usize, bytes: usize) -> bool {
        for _ in 0..GIVE_UP {
            let (link_from, link_to) = (from % self.members, to % self.members);
            let passage =
                self.links
                    .borrow_mut()
                    .send_stream(self.clock.now(), link_from, link_to, bytes);
            match passage {
                StreamDelivery::Delayed(after) => {
                    sleep(Duration::from_micros(after.max(0) as u64)).await;
                    return true;
                }
                StreamDelivery::Blocked => sleep(LOOK_AGAIN).await,
            }
        }
        false
    }

    async fn pass(
        &self,
        from: usize,
        to: usize,
        mut source: OwnedReadHalf,
        mut sink: OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let length = match source.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(length) => length,
            };
            self.carried.borrow_mut().bytes += length as u64;
            if !self.passes(from, to, length).await
                || sink.write_all(&buffer[..length]).await.is_err()
            {
                break;
            }
        }
        if self.passes(from, to, 0).await {
            let _ = sink.shutdown().await;
        }
    }
}
