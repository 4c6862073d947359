//! A new configuration for a running balancer: on SIGHUP the file is read again by the same code as at the start. The
//! address of discovery and the settings take effect at once, as a whole or not at all; keys that take a restart are
//! named in the log.
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use stairfront_settings::LoadedSettings;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

use crate::configuration::config::Config;
use crate::configuration::error::ConfigError;
use crate::control::server_list::ServerList;
use crate::counters::Counters;
use crate::messages::{EngineEvent, ReceivedList};

/// Catches SIGHUP from now on, also while the balancer stops. A SIGHUP that is not caught ends the process.
///
/// # Errors
///
/// If the signal cannot be caught.
pub fn catch_hangups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// Forwards hangups. One that waits stands for all that come meanwhile: the file is read after the last of them.
pub async fn forward_hangups(mut hangups: Signal, to: mpsc::Sender<()>) {
    while hangups.recv().await.is_some() {
        let _ = to.try_send(());
    }
}

/// Takes over what can change in the configuration of a running balancer.
pub struct ConfigReloader {
    /// The configuration that this process was started with, but for the address of discovery, which is the one in use, and
    /// the text of the last file that was accepted.
    current: Config,
    /// The settings in use.
    in_use: LoadedSettings,
    /// Positions of the classes in use that the file has no more.
    retired: Vec<usize>,
    /// Gives the discovery watch the address of the agent.
    agent: watch::Sender<Option<SocketAddr>>,
    /// Takes new settings, and the list of a file that names no agent.
    events: mpsc::Sender<EngineEvent>,
    counters: Rc<Counters>,
}

impl ConfigReloader {
    /// A reloader of the file that `current` was read from.
    pub fn new(
        current: Config,
        agent: watch::Sender<Option<SocketAddr>>,
        events: mpsc::Sender<EngineEvent>,
        counters: Rc<Counters>,
    ) -> Self {
        let in_use = current.start.clone();
        ConfigReloader {
            current,
            in_use,
            retired: Vec::new(),
            agent,
            events,
            counters,
        }
    }

    /// Reads the file again at each hangup.
    pub async fn run(mut self, mut hangups: mpsc::Receiver<()>) {
        while hangups.recv().await.is_some() {
            self.reload().await;
        }
        // The discovery watch ends when the sender of the agent's address is dropped.
        self.agent.closed().await;
    }

    /// Takes a new file over. One with an error changes nothing, since a file that is half written or has a slip in it
    /// must not take a serving balancer down.
    async fn reload(&mut self) {
        let new = match self.read_file() {
            Ok(new) => new,
            Err(error) => {
                warn!(%error, "configuration not reloaded, the old one stays in use");
                return self.counters.reloads_faulty.add();
            }
        };
        self.counters.reloads.add();
        info!(path = %new.path, discovery = ?new.discovery, "configuration reloaded");
        let restart_keys = self.current.needs_restart(&new);
        if !restart_keys.is_empty() {
            warn!(
                keys = restart_keys.join(", "),
                "changed keys take effect at a restart only"
            );
        }
        self.retune(&new).await;
        self.agent
            .send_if_modified(|agent| std::mem::replace(agent, new.discovery) != new.discovery);
        if new.discovery.is_none() {
            let list = ServerList {
                full: true,
                ..new.known.clone()
            };
            let received = ReceivedList {
                list,
                in_transit: None,
            };
            // The engine ends only with the whole balancer.
            let _ = self.events.send(EngineEvent::EndpointList(received)).await;
        }
        // The other keys stay those of the start, so that a key that is changed back is not named.
        self.current.note_accepted(new);
    }

    fn read_file(&self) -> Result<Config, ConfigError> {
        let new = Config::from_file(&self.current.path)?;
        self.current.accept_successor(new)
    }

    async fn retune(&mut self, new: &Config) {
        let retuned = new.start.clone().replacing(&self.in_use, &self.retired);
        if retuned.loaded == self.in_use && retuned.retired_classes == self.retired {
            return;
        }
        let names = &retuned.loaded.names.classes;
        let retired: Vec<&str> = retuned
            .retired_classes
            .iter()
            .map(|i| names[*i].as_str())
            .collect();
        info!(
            classes = names.len(),
            retired = retired.join(", "),
            "new settings are in use"
        );
        self.in_use = retuned.loaded.clone();
        self.retired = retuned.retired_classes.clone();
        // The engine ends only with the whole balancer.
        let _ = self
            .events
            .send(EngineEvent::Retune(Box::new(retuned)))
            .await;
    }
}
