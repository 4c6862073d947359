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
use stairfront_emulator::dice::Dice;
use stairfront_emulator::links::{LinkFault, Links, Passage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use crate::clock::RunClock;

/// Where processes listen, and where the relay stands for each of them, on the process's own address.
const PROCESS_PORT: u16 = 7946;
const RELAY_PORT: u16 = 7947;
const CLIENT_AND_ADMIN_PORTS: [u16; 2] = [6379, 19000];
/// What a silent link's bytes wait before they are looked at again, and until the stream is given up.
const SILENT_LINK_POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_SILENT_POLLS: u32 = 200;
const MAX_DATAGRAM_BYTES: usize = 65_536;
/// Rows of addresses tried until one is free.
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

/// What has gone over the relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayTraffic {
    pub datagrams: u64,
    pub bytes: u64,
    pub streams: u64,
}

/// A relay on a thread of its own.
pub struct Relay {
    ips: Vec<Ipv4Addr>,
    commands: mpsc::UnboundedSender<RelayCommand>,
    thread: Option<JoinHandle<RelayTraffic>>,
}

/// A row of loopback addresses by chance. Another run on this machine may have it, which the relay's own sockets tell:
/// all addresses of a run are taken by them first.
fn addresses(count: usize, rng: &mut Dice) -> Vec<Ipv4Addr> {
    let (second, third) = (64 + rng.below(180) as u8, rng.below(250) as u8);
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
        let mut rng = Dice::new(u64::from(std::process::id()) << 20 ^ run, "loopback");
        let mut started = Self::start_at(addresses(count, &mut rng), seed, clock);
        for _ in 0..MAX_ADDRESS_ATTEMPTS {
            match started {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => {
                    started = Self::start_at(addresses(count, &mut rng), seed, clock);
                }
                done => return done,
            }
        }
        started
    }

    fn start_at(ips: Vec<Ipv4Addr>, seed: u64, clock: RunClock) -> io::Result<Relay> {
        let (commands, received) = mpsc::unbounded_channel();
        let (ready, ready_result) = std_mpsc::channel();
        let relay_ips = ips.clone();
        let thread = std::thread::spawn(move || {
            let runtime = match tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
            {
                Ok(runtime) => runtime,
                Err(error) => {
                    let _ = ready.send(Err(error));
                    return RelayTraffic::default();
                }
            };
            runtime.block_on(
                LocalSet::new().run_until(run_relay(relay_ips, seed, clock, received, ready)),
            )
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

    /// Where a process listens.
    pub fn process_address(&self, who: usize) -> SocketAddr {
        SocketAddr::from((self.ips[who], PROCESS_PORT))
    }

    /// Where clients come to it, and operators: addresses that no other run has, also while the process is down.
    pub fn client_and_admin_addresses(&self, who: usize) -> [SocketAddr; 2] {
        CLIENT_AND_ADMIN_PORTS.map(|port| SocketAddr::from((self.ips[who], port)))
    }

    /// Where others reach it.
    pub fn advertised(&self, who: usize) -> SocketAddr {
        SocketAddr::from((self.ips[who], RELAY_PORT))
    }

    pub fn add_fault(&self, number: u64, pairs: Vec<(usize, usize)>, fault: LinkFault) {
        let _ = self.commands.send(RelayCommand::AddFault {
            number,
            pairs,
            fault,
        });
    }

    pub fn remove_fault(&self, number: u64) {
        let _ = self.commands.send(RelayCommand::RemoveFault { number });
    }

    pub fn finish(mut self) -> RelayTraffic {
        let _ = self.commands.send(RelayCommand::End);
        self.thread
            .take()
            .and_then(|thread| thread.join().ok())
            .unwrap_or_default()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.commands.send(RelayCommand::End);
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

async fn run_relay(
    ips: Vec<Ipv4Addr>,
    seed: u64,
    clock: RunClock,
    mut commands: mpsc::UnboundedReceiver<RelayCommand>,
    ready: std_mpsc::Sender<io::Result<()>>,
) -> RelayTraffic {
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
        Err(error) => {
            let _ = ready.send(Err(error));
            return RelayTraffic::default();
        }
    };
    let by_ip = ips
        .iter()
        .enumerate()
        .map(|(i, ip)| (IpAddr::V4(*ip), i))
        .collect();
    let members = ips.len() / 2;
    let links = RefCell::new(Links::new(members, seed));
    let hub = Rc::new(RelayHub {
        members,
        links,
        clock,
        ips,
        by_ip,
        sockets,
        traffic: RefCell::default(),
    });
    for (to, listener) in listeners.into_iter().enumerate() {
        spawn_local(Rc::clone(&hub).relay_datagrams(to));
        spawn_local(Rc::clone(&hub).accept_streams(to, listener));
    }
    let _ = ready.send(Ok(()));
    while let Some(command) = commands.recv().await {
        let now = hub.clock.now();
        match command {
            RelayCommand::AddFault {
                number,
                pairs,
                fault,
            } => hub.links.borrow_mut().lay(now, number, &pairs, fault),
            RelayCommand::RemoveFault { number } => hub.links.borrow_mut().lift(number),
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
            // An error is an earlier datagram's, whose process was not there.
            let Ok((length, from)) = self.sockets[to].recv_from(&mut buffer).await else {
                continue;
            };
            let Some(from) = self.by_ip.get(&from.ip()).copied() else {
                continue;
            };
            {
                let mut traffic = self.traffic.borrow_mut();
                traffic.datagrams += 1;
                traffic.bytes += length as u64;
            }
            let (link_from, link_to) = (from % self.members, to % self.members);
            let now = self.clock.now();
            let arrivals =
                self.links
                    .borrow_mut()
                    .datagram(now, link_from, link_to, &buffer[..length]);
            for (after, bytes) in arrivals {
                let hub = Rc::clone(&self);
                spawn_local(async move {
                    sleep(Duration::from_micros(after.max(0) as u64)).await;
                    // It comes from where its sender is reached, as behind address translation.
                    let _ = hub.sockets[from]
                        .send_to(&bytes, (hub.ips[to], PROCESS_PORT))
                        .await;
                });
            }
        }
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
        // A link that is silent lets no connection come up; this one is open at one end.
        if !self.wait_for_link(from, to, 0).await {
            return;
        }
        let Ok(far) = self.connect(from, to).await else {
            return;
        };
        let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
        tokio::join!(
            self.copy_stream(from, to, near_in, far_out),
            self.copy_stream(to, from, far_in, near_out)
        );
    }

    async fn connect(&self, from: usize, to: usize) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((self.ips[from], 0)))?;
        socket
            .connect(SocketAddr::from((self.ips[to], PROCESS_PORT)))
            .await
    }

    /// Waits for as long as bytes take; false if they never come.
    async fn wait_for_link(&self, from: usize, to: usize, bytes: usize) -> bool {
        for _ in 0..MAX_SILENT_POLLS {
            let (link_from, link_to) = (from % self.members, to % self.members);
            let passage =
                self.links
                    .borrow_mut()
                    .stream(self.clock.now(), link_from, link_to, bytes);
            match passage {
                Passage::After(after) => {
                    sleep(Duration::from_micros(after.max(0) as u64)).await;
                    return true;
                }
                Passage::Silent => sleep(SILENT_LINK_POLL_INTERVAL).await,
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
        let mut buffer = vec![0; 16 * 1024];
        loop {
            let length = match source.read(&mut buffer).await {
                Ok(0) | Err(_) => break,
                Ok(length) => length,
            };
            self.traffic.borrow_mut().bytes += length as u64;
            if !self.wait_for_link(from, to, length).await
                || sink.write_all(&buffer[..length]).await.is_err()
            {
                break;
            }
        }
        if self.wait_for_link(from, to, 0).await {
            let _ = sink.shutdown().await;
        }
    }
}
