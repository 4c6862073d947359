//! The network between the processes of a group: each advertises an address of the relay, which passes on what comes to
//! it, with the faults of a model (`stairfront_emulator::links`).
//!
//! The relay does not read what it carries. It knows the sender by the source address, since each process has a loopback
//! address of its own.
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
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::RunClock;
use crate::local_runtime::run_local;

/// Port at which processes listen for their group.
const PROCESS_PORT: u16 = 7946;
/// Port of the relay, on each process's own address.
const RELAY_PORT: u16 = 7947;
const CLIENT_PORT: u16 = 6379;
const ADMIN_PORT: u16 = 19000;
/// Time between two looks whether a silent link carries bytes again.
const SILENT_LINK_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Polls of a silent link until its stream is given up.
const MAX_SILENT_POLLS: u32 = 200;
const MAX_DATAGRAM_BYTES: usize = 65_536;
const STREAM_BUFFER_BYTES: usize = 16 * 1024;
/// Rows of addresses that are tried until one is free.
const MAX_ADDRESS_ATTEMPTS: usize = 50;

#[derive(Clone, Debug)]
enum RelayCommand {
    AddFault {
        number: u64,
        pairs: Vec<(usize, usize)>,
        fault: LinkFault,
    },
    RemoveFault {
        number: u64,
    },
    End,
}

/// Traffic over the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Bytes of datagrams and streams.
    pub bytes: u64,
    /// Number of streams.
    pub streams: u64,
}

/// A relay on a thread of its own.
pub struct Relay {
    ips: Vec<Ipv4Addr>,
    commands: mpsc::UnboundedSender<RelayCommand>,
    thread: Option<JoinHandle<RelayTraffic>>,
}

/// A row of loopback addresses, drawn. Another run on this machine may have it, which shows when the relay binds its
/// sockets: they take all addresses of a run first.
fn draw_addresses(count: usize, rng: &mut SeededRng) -> Vec<Ipv4Addr> {
    let second = 64 + rng.below(180_u64) as u8;
    let third = rng.below(250_u64) as u8;
    let address = |i: usize| {
        let third = third.wrapping_add((i / 200) as u8);
        Ipv4Addr::new(127, second, third, 1 + (i % 200) as u8)
    };
    (0..count).map(address).collect()
}

impl Relay {
    /// Starts a relay between `members` processes. Each has a second address, for a duplicate or for a process that
    /// moves; a link's faults hold for both. The seed is that of the faults' chance.
    ///
    /// # Errors
    ///
    /// No row of addresses was free, or a socket cannot be opened.
    pub fn start(members: usize, seed: u64, clock: RunClock) -> io::Result<Relay> {
        static RUNS: AtomicU64 = AtomicU64::new(0);
        let count = members * 2;
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let mut rng = SeededRng::for_part(u64::from(std::process::id()) << 20 ^ run, "loopback");
        let mut started = Self::start_at(draw_addresses(count, &mut rng), seed, clock);
        for _ in 0..MAX_ADDRESS_ATTEMPTS {
            match started {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                    started = Self::start_at(draw_addresses(count, &mut rng), seed, clock);
                }
                result => return result,
            }
        }
        started
    }

    fn start_at(ips: Vec<Ipv4Addr>, seed: u64, clock: RunClock) -> io::Result<Relay> {
        let (commands, received) = mpsc::unbounded_channel();
        let (ready, ready_result) = std_mpsc::channel();
        let relay_ips = ips.clone();
        let thread = std::thread::spawn(move || {
            let to_caller = ready.clone();
            let relayed = run_local(run_relay(relay_ips, seed, clock, received, ready));
            relayed.unwrap_or_else(|error| {
                let _ = to_caller.send(Err(error));
                RelayTraffic::default()
            })
        });
        let relay = Relay {
            ips,
            commands,
            thread: Some(thread),
        };
        ready_result
            .recv()
            .unwrap_or_else(|_| Err(io::Error::other("the relay ended")))?;
        Ok(relay)
    }

    /// Address at which a process listens for its group.
    pub fn process_address(&self, place: usize) -> SocketAddr {
        SocketAddr::from((self.ips[place], PROCESS_PORT))
    }

    /// Address at which a process listens for clients; no other run has it, also while the process is down.
    pub fn client_address(&self, place: usize) -> SocketAddr {
        SocketAddr::from((self.ips[place], CLIENT_PORT))
    }

    /// Address at which a process listens for operators.
    pub fn admin_address(&self, place: usize) -> SocketAddr {
        SocketAddr::from((self.ips[place], ADMIN_PORT))
    }

    /// Address at which the others reach a process.
    pub fn advertised(&self, place: usize) -> SocketAddr {
        SocketAddr::from((self.ips[place], RELAY_PORT))
    }

    /// Adds a fault to the links from the first to the second member of each pair.
    pub fn add_fault(&self, number: u64, pairs: Vec<(usize, usize)>, fault: LinkFault) {
        self.send(RelayCommand::AddFault {
            number,
            pairs,
            fault,
        });
    }

    /// Removes a fault by its number.
    pub fn remove_fault(&self, number: u64) {
        self.send(RelayCommand::RemoveFault { number });
    }

    /// Ends the relay and gives what it has carried.
    pub fn finish(mut self) -> RelayTraffic {
        self.send(RelayCommand::End);
        let thread = self.thread.take();
        thread
            .and_then(|thread| thread.join().ok())
            .unwrap_or_default()
    }

    fn send(&self, command: RelayCommand) {
        // A relay that has ended carries nothing, so no command matters to it.
        let _ = self.commands.send(command);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.send(RelayCommand::End);
    }
}

struct RelayHub {
    members: usize,
    links: RefCell<Links>,
    clock: RunClock,
    ips: Vec<Ipv4Addr>,
    by_ip: FxHashMap<IpAddr, usize>,
    sockets: Vec<UdpSocket>,
    traffic: RefCell<RelayTraffic>,
}

/// Sockets of the relay, by place.
struct RelaySockets {
    datagrams: Vec<UdpSocket>,
    streams: Vec<TcpListener>,
}

async fn open_sockets(ips: &[Ipv4Addr]) -> io::Result<RelaySockets> {
    let mut sockets = RelaySockets {
        datagrams: Vec::new(),
        streams: Vec::new(),
    };
    for ip in ips {
        sockets
            .datagrams
            .push(UdpSocket::bind((*ip, RELAY_PORT)).await?);
        sockets
            .streams
            .push(TcpListener::bind((*ip, RELAY_PORT)).await?);
    }
    Ok(sockets)
}

/// Carries datagrams and streams until it is told to end.
async fn run_relay(
    ips: Vec<Ipv4Addr>,
    seed: u64,
    clock: RunClock,
    mut commands: mpsc::UnboundedReceiver<RelayCommand>,
    ready: std_mpsc::Sender<io::Result<()>>,
) -> RelayTraffic {
    let sockets = match open_sockets(&ips).await {
        Ok(sockets) => sockets,
        Err(error) => {
            let _ = ready.send(Err(error));
            return RelayTraffic::default();
        }
    };
    let places = ips.iter().enumerate();
    let by_ip = places.map(|(i, ip)| (IpAddr::V4(*ip), i)).collect();
    let members = ips.len() / 2;
    let hub = Rc::new(RelayHub {
        members,
        links: RefCell::new(Links::new(members, seed)),
        clock,
        ips,
        by_ip,
        sockets: sockets.datagrams,
        traffic: RefCell::default(),
    });
    for (to, listener) in sockets.streams.into_iter().enumerate() {
        spawn_local(Rc::clone(&hub).relay_datagrams(to));
        spawn_local(Rc::clone(&hub).accept_streams(to, listener));
    }
    let _ = ready.send(Ok(()));
    while let Some(command) = commands.recv().await {
        let now = hub.clock.now();
        let mut links = hub.links.borrow_mut();
        match command {
            RelayCommand::AddFault {
                number,
                pairs,
                fault,
            } => links.add_fault(now, number, &pairs, fault),
            RelayCommand::RemoveFault { number } => links.remove_fault(number),
            RelayCommand::End => break,
        }
    }
    let traffic = *hub.traffic.borrow();
    traffic
}

impl RelayHub {
    async fn relay_datagrams(self: Rc<Self>, to: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error is that of an earlier datagram, whose process was not present.
            let Ok((length, from)) = self.sockets[to].recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.by_ip.get(&from.ip()).copied() else {
                continue;
            };
            self.count_datagram(length);
            let (from_member, to_member) = (from % self.members, to % self.members);
            let now = self.clock.now();
            let bytes = &buffer[..length];
            let arrivals =
                self.links
                    .borrow_mut()
                    .send_datagram(now, from_member, to_member, bytes);
            for Delivery { delay, bytes } in arrivals {
                spawn_local(Rc::clone(&self).deliver(from, to, delay.max(0) as u64, bytes));
            }
        }
    }

    fn count_datagram(&self, length: usize) {
        let mut traffic = self.traffic.borrow_mut();
        traffic.datagrams += 1;
        traffic.bytes += length as u64;
    }

    /// Sends a datagram from the address at which its sender is reached, as behind address translation.
    async fn deliver(self: Rc<Self>, from: usize, to: usize, after_us: u64, bytes: Vec<u8>) {
        sleep(Duration::from_micros(after_us)).await;
        // A datagram that cannot be sent is lost, as on a network.
        let _ = self.sockets[from]
            .send_to(&bytes, (self.ips[to], PROCESS_PORT))
            .await;
    }

    async fn accept_streams(self: Rc<Self>, to: usize, listener: TcpListener) {
        loop {
            let Ok((socket, from)) = listener.accept().await else {
                sleep(SILENT_LINK_POLL_INTERVAL).await;
                continue;
            };
            let Some(from) = self.by_ip.get(&from.ip()).copied() else {
                continue;
            };
            self.traffic.borrow_mut().streams += 1;
            spawn_local(Rc::clone(&self).relay_stream(from, to, socket));
        }
    }

    async fn relay_stream(self: Rc<Self>, from: usize, to: usize, near: TcpStream) {
        // On a silent link a real connection does not come up; this one is open at the near end only.
        if !self.wait_for_link(from, to, 0).await {
            return;
        }
        let Ok(far) = self.connect(from, to).await else {
            return;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        tokio::join!(
            self.copy_stream(from, to, near_read, far_write),
            self.copy_stream(to, from, far_read, near_write)
        );
    }

    async fn connect(&self, from: usize, to: usize) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.ips[from], 0)))?;
        socket
            .connect(SocketAddr::from((self.ips[to], PROCESS_PORT)))
            .await
    }

    /// Sleeps for as long as bytes take on the link; false if they never arrive.
    async fn wait_for_link(&self, from: usize, to: usize, bytes: usize) -> bool {
        for _ in 0..MAX_SILENT_POLLS {
            let (from_member, to_member) = (from % self.members, to % self.members);
            let now = self.clock.now();
            let passage = self
                .links
                .borrow_mut()
                .send_stream(now, from_member, to_member, bytes);
            match passage {
                StreamDelivery::Delayed(after) => {
                    sleep(Duration::from_micros(after.max(0) as u64)).await;
                    return true;
                }
                StreamDelivery::Blocked => sleep(SILENT_LINK_POLL_INTERVAL).await,
            }
        }
        false
    }

    async fn copy_stream(
        &self,
        from: usize,
        to: usize,
        mut source: OwnedReadHalf,
        mut sink: OwnedWriteHalf,
    ) {
        let mut buffer = vec![0; STREAM_BUFFER_BYTES];
        loop {
            let length = match source.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(length) => length,
            };
            self.traffic.borrow_mut().bytes += length as u64;
            let arrives = self.wait_for_link(from, to, length).await;
            if !arrives || sink.write_all(&buffer[..length]).await.is_err() {
                break;
            }
        }
        if self.wait_for_link(from, to, 0).await {
            // A peer that has closed already needs no end of the stream.
            let _ = sink.shutdown().await;
        }
    }
}
