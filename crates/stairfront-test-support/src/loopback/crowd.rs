//! Many clients of one balancer that go on through its upgrades.
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

use super::{get, Client};

/// What a client of a crowd waits for an answer.
pub const PATIENCE_MS: u64 = 1500;
/// A request is lost if it has no answer so long after it was sent: for half a second after its time one only earns nothing.
pub const LOST_AFTER: Duration = Duration::from_millis(PATIENCE_MS + 550);
/// A client's pause between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(200);
/// Time between two clients that come.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(10);

/// Clients that each keep a connection and send one request after another.
pub struct Crowd {
    address: SocketAddr,
    shared: Rc<CrowdState>,
    tasks: Vec<JoinHandle<()>>,
}

/// What the clients of a crowd have seen.
#[derive(Default)]
pub struct CrowdState {
    /// Requests that got no answer.
    pub lost: RefCell<Vec<String>>,
    /// Requests that got one, refusals left out.
    pub answered: Cell<usize>,
    /// Requests that were refused.
    pub refused: Cell<usize>,
    is_stopped: Cell<bool>,
}

impl Crowd {
    /// A crowd at this address, in which nobody is yet.
    pub fn new(address: SocketAddr) -> Self {
        Crowd {
            address,
            shared: Rc::default(),
            tasks: Vec::new(),
        }
    }

    /// Has so many more clients come, one after another.
    pub async fn add(&mut self, count: usize) {
        for _ in 0..count {
            let (index, address) = (self.tasks.len(), self.address);
            let shared = Rc::clone(&self.shared);
            self.tasks
                .push(spawn_local(run_client(index, address, shared)));
            sleep(ARRIVAL_INTERVAL).await;
        }
    }

    /// Has all clients leave; what they have seen.
    ///
    /// # Panics
    ///
    /// If a client has.
    pub async fn stop(self) -> Rc<CrowdState> {
        self.shared.is_stopped.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.shared
    }
}

async fn run_client(index: usize, address: SocketAddr, shared: Rc<CrowdState>) {
    let mut connection = None;
    for request in 0.. {
        if shared.is_stopped.get() {
            return;
        }
        let id = format!("r{index}-{request}");
        match ask(address, &mut connection, index, &id).await {
            Some(answer) if answer.starts_with("-BUSY") => {
                shared.refused.set(shared.refused.get() + 1);
            }
            Some(_) => shared.answered.set(shared.answered.get() + 1),
            None => shared.lost.borrow_mut().push(id),
        }
        sleep(PAUSE).await;
    }
}

/// Sends a request and waits for its answer. One that crosses the end of a connection is sent once more on a new one.
async fn ask(
    address: SocketAddr,
    connection: &mut Option<Client>,
    index: usize,
    id: &str,
) -> Option<String> {
    for _ in 0..2 {
        let mut client = match connection.take() {
            Some(client) => client,
            None => Client::connect(address).await.ok()?,
        };
        let command = get(&format!("k{}", index % 60), id, PATIENCE_MS);
        if client.try_send(&command).await.is_err() {
            continue;
        }
        match timeout(LOST_AFTER, client.answer()).await {
            Ok(Some(answer)) => {
                *connection = Some(client);
                return Some(answer);
            }
            Ok(None) => {}
            Err(_) => return None,
        }
    }
    None
}
