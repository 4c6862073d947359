//! A new configuration while the balancer runs: on SIGHUP the file is read again, by the same way as at the start.
//! The address of discovery and the settings take effect at once, whole or not at all; what takes a restart is named in
//! the log.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use stairfront_settings::Start;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use crate::configuration::config::Config;
use crate::control::server_list::ServerList;
use crate::counters::Counters;
use crate::messages::EngineEvent;

/// Catches SIGHUP from now on. Danger: uncaught it ends the process, and once caught it never does again, also while
/// the balancer stops.
pub fn catch_hangups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Passes hangups on. One that waits stands for all that come meanwhile: the file is read after the last of them.
pub async fn pass_on(mut hangups: Signal, to: mpsc::Sender<()>) {
    while hangups.recv().await.is_some() {
        let _ = to.try_send(());
    }
}

/// What of the configuration can change under way.
pub struct ConfigReloader {
    /// What this process was started with, and the address of discovery in use.
    current: Config,
    /// The settings in use, and the classes among them that the file has no more.
    in_use: Start,
    retired: Vec<usize>,
    /// Tells the watch on discovery where the agent is.
    agent: watch::Sender<Option<SocketAddr>>,
    /// Takes new settings, and the list of a file that names no agent.
    inbox: mpsc::Sender<EngineEvent>,
    counters: Rc<Counters>,
}

impl ConfigReloader {
    pub fn new(
        current: Config,
        agent: watch::Sender<Option<SocketAddr>>,
        inbox: mpsc::Sender<EngineEvent>,
        counters: Rc<Counters>,
    ) -> Self {
        let in_use = current.start.clone();
        ConfigReloader {
            current,
            in_use,
            retired: Vec::new(),
            agent,
            inbox,
            counters,
        }
    }

    pub async fn run(mut self, mut hangups: mpsc::Receiver<()>) {
        while hangups.recv().await.is_some() {
            self.reload().await;
        }
        // The agent's address must stay known to the watch.
        self.agent.closed().await;
    }

    /// Danger: half a file, or one with a slip in it, would take a serving balancer down. It keeps what it has.
    async fn reload(&mut self) {
        let read =
            Config::from_file(&self.current.path).and_then(|new| self.current.is_followed_by(new));
        let new = match read {
            Ok(new) => new,
            Err(problem) => {
                warn!("told to read the configuration again, the old one stays: {problem}");
                return self.counters.reloads_faulty.add();
            }
        };
        self.counters.reloads.add();
        let agent = new.discovery.map_or("no discovery".to_string(), |at| {
            format!("discovery at {at}")
        });
        info!("configuration read again from {}, {agent}", new.path);
        let waiting = self.current.needs_restart(&new);
        if !waiting.is_empty() {
            warn!(
                "changed, but taken over only at a restart: {}",
                waiting.join(", ")
            );
        }
        self.retune(&new).await;
        self.agent
            .send_if_modified(|agent| std::mem::replace(agent, new.discovery) != new.discovery);
        if new.discovery.is_none() {
            // The engine is gone only when the whole balancer ends.
            let _ = self
                .inbox
                .send(EngineEvent::List(ServerList {
                    full: true,
                    ..new.known
                }))
                .await;
        }
        // Compared with what this process was started with, so that a key changed back is not named.
        self.current.discovery = new.discovery;
    }

    async fn retune(&mut self, new: &Config) {
        let retuned = new.start.clone().following(&self.in_use, &self.retired);
        if retuned.start == self.in_use && retuned.retired == self.retired {
            return;
        }
        let names = &retuned.start.names.classes;
        let dropped: Vec<&str> = retuned.retired.iter().map(|i| names[*i].as_str()).collect();
        match dropped.is_empty() {
            true => info!("new settings are in use, {} classes", names.len()),
            false => info!(
                "new settings are in use, {} classes, dropped of these: {}",
                names.len(),
                dropped.join(", ")
            ),
        }
        (self.in_use, self.retired) = (retuned.start.clone(), retuned.retired.clone());
        let _ = self
            .inbox
            .send(EngineEvent::Retune(Box::new(retuned)))
            .await;
    }
}
