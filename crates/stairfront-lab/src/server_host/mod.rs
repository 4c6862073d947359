//! A stand-in server on loopback sockets: listeners, connections with answers in the order of their commands, and the
//! one timer that a model needs. The model decides what is answered, and when.
mod answer_queue;
mod reserved_address;

pub use reserved_address::ReservedAddress;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use rustc_hash::FxHashMap;
use socket2::SockRef;
use stairfront_common::time::Micros;
use stairfront_emulator::cache_host::{ConnectionId, ReplySlot};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep_until;
use tokio_util::codec::Decoder;

use crate::clock::RunClock;
use answer_queue::AnswerQueue;

const READ_BUFFER_BYTES: usize = 8 * 1024;
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Something that a model wants sent.
pub enum ServerOutput {
    /// The answer to a command.
    Answer(ReplySlot, Vec<u8>),
    /// The command gets no answer, and those behind it need not wait.
    Skip(ReplySlot),
    /// The connection is reset.
    Reset(ConnectionId),
}

/// A model behind sockets. `balancer` is the index of the address by which a connection came.
pub trait Service: 'static {
    /// Reads the commands of a connection.
    type Codec: Decoder;
    /// A codec for a new connection.
    fn codec(&self) -> Self::Codec;
    /// A connection was opened; false rejects it.
    fn connection_opened(&mut self, now: Micros, connection: ConnectionId) -> bool;
    /// Handles a command.
    fn received(
        &mut self,
        now: Micros,
        slot: ReplySlot,
        balancer: u16,
        item: <Self::Codec as Decoder>::Item,
        outputs: &mut Vec<ServerOutput>,
    );
    /// A connection was closed.
    fn connection_closed(&mut self, now: Micros, connection: ConnectionId);
    /// Does what is due.
    fn advance(&mut self, now: Micros, outputs: &mut Vec<ServerOutput>);
    /// When something is due next.
    fn next_due(&self) -> Option<Micros>;
    /// Nothing was done for this long.
    fn resumed_after(&mut self, pause: Micros);
}

struct Inner<S> {
    service: S,
    connections: FxHashMap<ConnectionId, Rc<AnswerQueue>>,
    outputs: Vec<ServerOutput>,
}

impl<S: Service> Inner<S> {
    /// Puts the model's outputs into the queues of their connections.
    fn send_outputs(&mut self) {
        for output in self.outputs.drain(..) {
            let connection = match &output {
                ServerOutput::Answer(slot, _) | ServerOutput::Skip(slot) => slot.connection,
                ServerOutput::Reset(connection) => *connection,
            };
            let Some(answers) = self.connections.get(&connection) else {
                continue;
            };
            match output {
                ServerOutput::Answer(slot, answer) => answers.push(slot.sequence, answer),
                ServerOutput::Skip(slot) => answers.push(slot.sequence, Vec::new()),
                ServerOutput::Reset(_) => answers.reset(),
            }
        }
    }
}

/// One stand-in with its addresses, one for each balancer that may connect.
pub struct ServerHost<S: Service> {
    clock: RunClock,
    inner: Rc<RefCell<Inner<S>>>,
    addresses: Vec<ReservedAddress>,
    listeners: RefCell<Vec<JoinHandle<()>>>,
    timer: Rc<Notify>,
    next_connection: Cell<u64>,
    /// Since when nothing is read or written.
    paused_since: Cell<Option<Micros>>,
    resumed: Notify,
}

/// A connection and the commands read from it.
struct Connection<C> {
    id: ConnectionId,
    balancer: u16,
    codec: C,
    input: BytesMut,
    commands: u64,
}

/// How a connection ends.
#[derive(PartialEq, Eq)]
enum ConnectionEnd {
    Closed,
    Reset,
}

impl<S: Service> ServerHost<S> {
    /// A stand-in that does not listen yet. Its connections are numbered from `first_connection` on.
    pub fn new(
        clock: RunClock,
        service: S,
        addresses: Vec<ReservedAddress>,
        first_connection: u64,
    ) -> Rc<Self> {
        let inner = Inner {
            service,
            connections: FxHashMap::default(),
            outputs: Vec::new(),
        };
        let host = Rc::new(ServerHost {
            clock,
            inner: Rc::new(RefCell::new(inner)),
            addresses,
            listeners: RefCell::default(),
            timer: Rc::default(),
            next_connection: Cell::new(first_connection),
            paused_since: Cell::default(),
            resumed: Notify::new(),
        });
        spawn_local(Rc::clone(&host).run_timer());
        host
    }

    /// The addresses, by balancer.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.addresses
            .iter()
            .map(ReservedAddress::address)
            .collect()
    }

    /// Has the model do something and sends its outputs.
    pub fn with<R>(&self, act: impl FnOnce(&mut S, Micros, &mut Vec<ServerOutput>) -> R) -> R {
        let mut inner = self.inner.borrow_mut();
        let Inner {
            service, outputs, ..
        } = &mut *inner;
        let result = act(service, self.clock.now(), outputs);
        inner.send_outputs();
        self.timer.notify_one();
        result
    }

    /// Listens at all addresses.
    ///
    /// # Errors
    ///
    /// An address cannot be listened at.
    pub fn listen(self: &Rc<Self>) -> io::Result<()> {
        for (balancer, address) in self.addresses.iter().enumerate() {
            let listener = address.listen()?;
            let accepting = Rc::clone(self).accept(listener, balancer as u16);
            self.listeners.borrow_mut().push(spawn_local(accepting));
        }
        Ok(())
    }

    /// Refuses new connections from now on; those that are open stay.
    pub fn stop_listening(&self) {
        let mut listeners = self.listeners.borrow_mut();
        listeners.drain(..).for_each(|listener| listener.abort());
    }

    /// As when a process is killed: connections are reset, new ones refused.
    pub fn die(&self) {
        self.stop_listening();
        self.reset_all();
        self.resume();
    }

    /// Resets all connections.
    pub fn reset_all(&self) {
        let inner = self.inner.borrow();
        inner
            .connections
            .values()
            .for_each(|answers| answers.reset());
    }

    /// Reads and writes nothing from now on. The kernel goes on accepting connections and bytes.
    pub fn pause(&self) {
        if self.paused_since.get().is_none() {
            self.paused_since.set(Some(self.clock.now()));
        }
    }

    /// Reads and writes again.
    pub fn resume(&self) {
        if let Some(since) = self.paused_since.take() {
            let pause = self.clock.now() - since;
            self.inner.borrow_mut().service.resumed_after(pause);
            self.resumed.notify_waiters();
            self.timer.notify_one();
        }
    }

    async fn wait_while_paused(&self) {
        while self.paused_since.get().is_some() {
            self.resumed.notified().await;
        }
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            self.wait_while_paused().await;
            let due = self.inner.borrow().service.next_due();
            let due = async {
                match due {
                    Some(at) => sleep_until(self.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {
                    if self.paused_since.get().is_none() {
                        self.with(|service, now, outputs| service.advance(now, outputs));
                    }
                }
                () = self.timer.notified() => {}
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, balancer: u16) {
        loop {
            let Ok((socket, _)) = listener.accept().await else {
                // Descriptors have run out, and one may be closed soon.
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                continue;
            };
            self.wait_while_paused().await;
            let id = ConnectionId(self.next_connection.get());
            self.next_connection.set(id.0 + 1);
            let answers = Rc::new(AnswerQueue::default());
            if self.register(id, &answers) {
                spawn_local(Rc::clone(&self).serve(socket, id, answers, balancer));
            } else {
                set_reset_on_close(&socket);
            }
        }
    }

    /// Offers a new connection to the model; false if it is rejected.
    fn register(&self, id: ConnectionId, answers: &Rc<AnswerQueue>) -> bool {
        let mut inner = self.inner.borrow_mut();
        let accepted = inner.service.connection_opened(self.clock.now(), id);
        if accepted {
            inner.connections.insert(id, Rc::clone(answers));
        }
        accepted
    }

    async fn serve(
        self: Rc<Self>,
        mut socket: TcpStream,
        id: ConnectionId,
        answers: Rc<AnswerQueue>,
        balancer: u16,
    ) {
        // Without it answers are only later.
        let _ = socket.set_nodelay(true);
        let mut connection = Connection {
            id,
            balancer,
            codec: self.inner.borrow().service.codec(),
            input: BytesMut::with_capacity(READ_BUFFER_BYTES),
            commands: 0,
        };
        if self.exchange(&mut socket, &mut connection, &answers).await == ConnectionEnd::Reset {
            set_reset_on_close(&socket);
        }
        drop(socket);
        let mut inner = self.inner.borrow_mut();
        inner.connections.remove(&id);
        inner.service.connection_closed(self.clock.now(), id);
    }

    async fn exchange(
        &self,
        socket: &mut TcpStream,
        connection: &mut Connection<S::Codec>,
        answers: &AnswerQueue,
    ) -> ConnectionEnd {
        loop {
            self.wait_while_paused().await;
            if answers.is_reset() {
                return ConnectionEnd::Reset;
            }
            let out = answers.take_ready();
            if !out.is_empty() {
                let written = tokio::select! {
                    written = socket.write_all(&out) => written,
                    // A peer that reads nothing must not outlive its stand-in.
                    () = answers.wait_for_reset() => return ConnectionEnd::Reset,
                };
                if written.is_err() {
                    return ConnectionEnd::Closed;
                }
            }
            connection.input.reserve(READ_BUFFER_BYTES);
            tokio::select! {
                biased;
                () = answers.changed() => continue,
                read = socket.read_buf(&mut connection.input) => match read {
                    Ok(0) | Err(_) => return ConnectionEnd::Closed,
                    Ok(_) => {}
                },
            }
            self.wait_while_paused().await;
            if !self.accept_commands(connection) {
                // A command that cannot be read ends the connection, whatever else waits on it.
                return ConnectionEnd::Reset;
            }
        }
    }

    /// Hands all complete commands to the model; false if the rest cannot be read.
    fn accept_commands(&self, connection: &mut Connection<S::Codec>) -> bool {
        let mut inner = self.inner.borrow_mut();
        let Inner {
            service, outputs, ..
        } = &mut *inner;
        let due_before = service.next_due();
        let readable = loop {
            match connection.codec.decode(&mut connection.input) {
                Ok(Some(item)) => {
                    let slot = ReplySlot {
                        connection: connection.id,
                        sequence: connection.commands,
                    };
                    connection.commands += 1;
                    let now = self.clock.now();
                    service.received(now, slot, connection.balancer, item, outputs);
                }
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let due_changed = service.next_due() != due_before;
        inner.send_outputs();
        if due_changed {
            self.timer.notify_one();
        }
        readable
    }
}

/// Makes the close that follows a reset, as of a process that is killed.
fn set_reset_on_close(socket: &TcpStream) {
    // A socket that is closed already has nothing left to reset.
    let _ = SockRef::from(socket).set_linger(Some(Duration::ZERO));
}
