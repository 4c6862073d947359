//! A few clients that ask without a pause, and check each answer.
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep;

use super::{bulk, get, ms, Client};

const CLIENTS: usize = 8;
/// Every third client sends each command in two parts.
const SPLIT_EVERY: usize = 3;

/// Clients that send one request after another, each on one connection.
pub struct LoadClients {
    answered: Rc<Cell<usize>>,
    stopped: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl LoadClients {
    /// Has them come.
    ///
    /// # Panics
    ///
    /// If nobody accepts.
    pub async fn start(address: SocketAddr) -> Self {
        let (answered, stopped) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(false)));
        let mut tasks = Vec::new();
        for index in 0..CLIENTS {
            let client = LoadClient {
                index,
                connection: Client::connect(address).await.unwrap(),
                answered: Rc::clone(&answered),
                stopped: Rc::clone(&stopped),
            };
            tasks.push(spawn_local(client.run()));
        }
        LoadClients {
            answered,
            stopped,
            tasks,
        }
    }

    /// Waits until so many more requests are answered.
    ///
    /// # Panics
    ///
    /// If a client has got another answer than that of its request, or none.
    pub async fn wait_for_answers(&self, count: usize) {
        let wanted = self.answered.get() + count;
        while self.answered.get() < wanted {
            assert!(
                !self.tasks.iter().any(JoinHandle::is_finished),
                "a client has stopped"
            );
            sleep(ms(5)).await;
        }
    }

    /// Has them leave, each behind an answer.
    ///
    /// # Panics
    ///
    /// If a client has got another answer than that of its request, or none.
    pub async fn stop(self) {
        self.stopped.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
    }
}

struct LoadClient {
    index: usize,
    connection: Client,
    answered: Rc<Cell<usize>>,
    stopped: Rc<Cell<bool>>,
}

impl LoadClient {
    async fn run(mut self) {
        let index = self.index;
        let key = format!("k{index}");
        for n in 0.. {
            if self.stopped.get() {
                return;
            }
            self.send(&get(&key, &format!("{index}-{n}"), 1400)).await;
            let answer = self.connection.answer().await;
            let answer = answer.expect("the connection ended");
            assert_eq!(answer, bulk(&key), "client {index}, request {n}");
            self.answered.set(self.answered.get() + 1);
        }
    }

    async fn send(&mut self, command: &[u8]) {
        if !self.index.is_multiple_of(SPLIT_EVERY) {
            return self.connection.send(command).await;
        }
        let (first, rest) = command.split_at(command.len() / 2);
        self.connection.send(first).await;
        sleep(ms(15)).await;
        self.connection.send(rest).await;
    }
}
