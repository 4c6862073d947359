//! A stand-in server on loopback sockets: listeners, connections with answers in the order of their commands, and the
//! one timer that a model needs. What is answered, and when, is the model's affair.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rustc_hash::FxHashMap;
use socket2::{Domain, SockRef, Socket, Type};
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{ConnectionId, ReplySlot};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep_until;
use tokio_util::codec::Decoder;

use crate::clock::RunClock;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
const READ_BUFFER: usize = 8 * 1024;

/// What a model says is to be sent.
pub enum Post {
    /// The answer to a command.
    Answer(ReplySlot, Vec<u8>),
    /// None will come, and those behind it need not wait.
    Skip(ReplySlot),
    /// The connection is reset.
    Reset(ConnectionId),
}

/// A model behind sockets. `balancer` says by which of the station's addresses a connection came.
pub trait Service: 'static {
    type Codec: Decoder;
    fn codec(&self) -> Self::Codec;
    /// False turns the connection away.
    fn opened(&mut self, now: Micros, connection: ConnectionId) -> bool;
    fn received(
        &mut self,
        now: Micros,
        ticket: ReplySlot,
        balancer: u16,
        item: <Self::Codec as Decoder>::Item,
        posts: &mut Vec<Post>,
    );
    fn closed(&mut self, now: Micros, connection: ConnectionId);
    fn advance(&mut self, now: Micros, posts: &mut Vec<Post>);
    fn next_due(&self) -> Option<Micros>;
    /// Nothing was done for so long.
    fn held_up(&mut self, by: Micros);
}

/// An address that is kept for as long as this lives, whether or not anybody listens. Danger: the port of a dead
/// stand-in would be given to another socket of this machine, and its return would fail.
pub struct Address {
    place: Socket,
    at: SocketAddr,
}

impl Address {
    pub fn reserve() -> io::Result<Self> {
        Self::reserve_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }

    pub fn reserve_at(wanted: SocketAddr) -> io::Result<Self> {
        let place = bound(wanted)?;
        let at = place
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::Unsupported)?;
        Ok(Address { place, at })
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    fn listen(&self) -> io::Result<TcpListener> {
        // The reserved socket is not a listener itself, so that a dead stand-in refuses connections.
        debug_assert!(!self.place.is_listener().unwrap_or(false));
        let socket = bound(self.at)?;
        socket.set_nonblocking(true)?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    }
}

fn bound(at: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.bind(&at.into())?;
    Ok(socket)
}

/// Answers of one connection, in the order of its commands.
#[derive(Default)]
struct Lane {
    out: RefCell<BytesMut>,
    /// Answers that others go before, from command `first` on.
    waiting: RefCell<VecDeque<Option<Vec<u8>>>>,
    first: Cell<u64>,
    reset: Cell<bool>,
    bell: Notify,
}

impl Lane {
    async fn is_reset(&self) {
        while !self.reset.get() {
            self.bell.notified().await;
        }
    }

    fn put(&self, number: u64, answer: Vec<u8>) {
        let (mut waiting, mut out) = (self.waiting.borrow_mut(), self.out.borrow_mut());
        let Some(i) = number.checked_sub(self.first.get()).map(|i| i as usize) else {
            return;
        };
        if i > 0 || !waiting.is_empty() {
            if waiting.len() <= i {
                waiting.resize(i + 1, None);
            }
            waiting[i] = Some(answer);
            while let Some(Some(ready)) = waiting.front() {
                out.extend_from_slice(ready);
                waiting.pop_front();
                self.first.set(self.first.get() + 1);
            }
        } else {
            out.extend_from_slice(&answer);
            self.first.set(number + 1);
        }
    }
}

struct Inner<S> {
    service: S,
    lanes: FxHashMap<ConnectionId, Rc<Lane>>,
    posts: Vec<Post>,
}

impl<S: Service> Inner<S> {
    /// Puts what the model says where it is to be sent from, and wakes those who send it.
    fn post(&mut self) {
        for post in self.posts.drain(..) {
            let connection = match &post {
                Post::Answer(ticket, _) | Post::Skip(ticket) => ticket.connection,
                Post::Reset(connection) => *connection,
            };
            let Some(lane) = self.lanes.get(&connection) else {
                continue;
            };
            match post {
                Post::Answer(ticket, answer) => lane.put(ticket.sequence, answer),
                Post::Skip(ticket) => lane.put(ticket.sequence, Vec::new()),
                Post::Reset(_) => lane.reset.set(true),
            }
            lane.bell.notify_one();
        }
    }
}

/// One stand-in with its addresses, one for each balancer that may know it.
pub struct Station<S: Service> {
    clock: RunClock,
    inner: Rc<RefCell<Inner<S>>>,
    addresses: Vec<Address>,
    listeners: RefCell<Vec<JoinHandle<()>>>,
    timer: Rc<Notify>,
    next: Rc<Cell<u64>>,
    /// Since when nothing is read or written.
    held: Rc<Cell<Option<Micros>>>,
    released: Rc<Notify>,
}

impl<S: Service> Station<S> {
    /// Does not listen yet. Connections are numbered from `first` on.
    pub fn new(clock: RunClock, service: S, addresses: Vec<Address>, first: u64) -> Rc<Self> {
        let inner = Inner {
            service,
            lanes: FxHashMap::default(),
            posts: Vec::new(),
        };
        let station = Rc::new(Station {
            clock,
            inner: Rc::new(RefCell::new(inner)),
            addresses,
            listeners: RefCell::default(),
            timer: Rc::default(),
            next: Rc::new(Cell::new(first)),
            held: Rc::default(),
            released: Rc::default(),
        });
        spawn_local(Rc::clone(&station).keep_time());
        station
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(Address::at).collect()
    }

    /// Has the model do something and sends what it says.
    pub fn with<R>(&self, act: impl FnOnce(&mut S, Micros, &mut Vec<Post>) -> R) -> R {
        let mut inner = self.inner.borrow_mut();
        let Inner { service, posts, .. } = &mut *inner;
        let done = act(service, self.clock.now(), posts);
        inner.post();
        self.timer.notify_one();
        done
    }

    pub fn listen(self: &Rc<Self>) -> io::Result<()> {
        for (balancer, address) in self.addresses.iter().enumerate() {
            let listener = address.listen()?;
            let accepting = Rc::clone(self).accept(listener, balancer as u16);
            self.listeners.borrow_mut().push(spawn_local(accepting));
        }
        Ok(())
    }

    /// New connections are refused from now on; those that are open stay.
    pub fn stop_listening(&self) {
        self.listeners
            .borrow_mut()
            .drain(..)
            .for_each(|listener| listener.abort());
    }

    /// As when a process dies: connections are reset, new ones refused.
    pub fn die(&self) {
        self.stop_listening();
        self.reset_all();
        self.release();
    }

    /// Resets all connections.
    pub fn reset_all(&self) {
        for lane in self.inner.borrow().lanes.values() {
            lane.reset.set(true);
            lane.bell.notify_one();
        }
    }

    /// From now on nothing is read or written. The kernel goes on taking connections and bytes.
    pub fn hold(&self) {
        if self.held.get().is_none() {
            self.held.set(Some(self.clock.now()));
        }
    }

    pub fn release(&self) {
        if let Some(since) = self.held.take() {
            self.inner
                .borrow_mut()
                .service
                .held_up(self.clock.now() - since);
            self.released.notify_waiters();
            self.timer.notify_one();
        }
    }

    async fn while_held(&self) {
        while self.held.get().is_some() {
            self.released.notified().await;
        }
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            self.while_held().await;
            let due = self.inner.borrow().service.next_due();
            let due = async {
                match due {
                    Some(at) => sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {
                    if self.held.get().is_none() {
                        self.with(|service, now, posts| service.advance(now, posts));
                    }
                }
                () = self.timer.notified() => {}
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, balancer: u16) {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // Out of descriptors: the next one may be closed soon.
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            };
            self.while_held().await;
            let id = ConnectionId(self.next.get());
            self.next.set(id.0 + 1);
            let lane = Rc::new(Lane::default());
            let taken = {
                let mut inner = self.inner.borrow_mut();
                let taken = inner.service.opened(self.clock.now(), id);
                if taken {
                    inner.lanes.insert(id, Rc::clone(&lane));
                }
                taken
            };
            if taken {
                spawn_local(Rc::clone(&self).serve(socket, id, lane, balancer));
            } else {
                reset(&socket);
            }
        }
    }

    async fn serve(
        self: Rc<Self>,
        mut socket: TcpStream,
        id: ConnectionId,
        lane: Rc<Lane>,
        balancer: u16,
    ) {
        // Without it answers only come later.
        let _ = socket.set_nodelay(true);
        if self.talk(&mut socket, id, &lane, balancer).await == Ending::Reset {
            reset(&socket);
        }
        drop(socket);
        let mut inner = self.inner.borrow_mut();
        inner.lanes.remove(&id);
        inner.service.closed(self.clock.now(), id);
    }

    async fn talk(
        &self,
        socket: &mut TcpStream,
        id: ConnectionId,
        lane: &Lane,
        balancer: u16,
    ) -> Ending {
        let mut codec = self.inner.borrow().service.codec();
        let mut input = BytesMut::with_capacity(READ_BUFFER);
        let mut number = 0;
        loop {
            self.while_held().await;
            if lane.reset.get() {
                return Ending::Reset;
            }
            let out = lane.out.borrow_mut().split();
            if !out.is_empty() {
                let written = tokio::select! {
                    written = socket.write_all(&out) => written,
                    // A peer that reads nothing must not outlive its stand-in.
                    () = lane.is_reset() => return Ending::Reset,
                };
                if written.is_err() {
                    return Ending::Gone;
                }
            }
            input.reserve(READ_BUFFER);
            tokio::select! {
                biased;
                () = lane.bell.notified() => continue,
                read = socket.read_buf(&mut input) => match read {
                    Ok(0) | Err(_) => return Ending::Gone,
                    Ok(_) => {}
                },
            }
            self.while_held().await;
            if !self.take_in(&mut codec, &mut input, id, &mut number, balancer) {
                // What cannot be read ends the connection, whatever else waits on it.
                return Ending::Reset;
            }
        }
    }

    /// Hands all whole commands to the model; false if the rest cannot be read.
    fn take_in(
        &self,
        codec: &mut S::Codec,
        input: &mut BytesMut,
        id: ConnectionId,
        number: &mut u64,
        balancer: u16,
    ) -> bool {
        let mut inner = self.inner.borrow_mut();
        let Inner { service, posts, .. } = &mut *inner;
        let before = service.next_due();
        let readable = loop {
            match codec.decode(input) {
                Ok(Some(item)) => {
                    let ticket = ReplySlot {
                        connection: id,
                        sequence: *number,
                    };
                    *number += 1;
                    service.received(self.clock.now(), ticket, balancer, item, posts);
                }
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let sooner = service.next_due() != before;
        inner.post();
        if sooner {
            self.timer.notify_one();
        }
        readable
    }
}

#[derive(PartialEq, Eq)]
enum Ending {
    Gone,
    Reset,
}

/// The close that follows is a reset, as of a process that dies.
fn reset(socket: &TcpStream) {
    // On a socket that is gone already there is nothing left to reset.
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}
