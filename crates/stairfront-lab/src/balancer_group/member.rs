//! The process of one member, and its duplicate where there is one.
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde_json::{json, Value};
use stairfront_common::time::Micros;

use crate::error::RunError;
use crate::process::BalancerProcess;

/// One member of a group.
pub(super) struct Member {
    pub(super) process: BalancerProcess,
    /// A second process of the same name.
    pub(super) duplicate: Option<BalancerProcess>,
    pub(super) folder: PathBuf,
    pub(super) admin_address: SocketAddr,
    pub(super) up: bool,
    pub(super) paused: bool,
    /// It is at its second address.
    pub(super) moved: bool,
    /// Number of its starts.
    pub(super) incarnation: u64,
    /// Time of its last start.
    pub(super) started_at: Micros,
}

impl Member {
    pub(super) fn new(
        process: BalancerProcess,
        folder: PathBuf,
        admin_address: SocketAddr,
    ) -> Self {
        Member {
            process,
            duplicate: None,
            folder,
            admin_address,
            up: false,
            paused: false,
            moved: false,
            incarnation: 0,
            started_at: Micros::MIN,
        }
    }

    /// Starts the process, without waiting until it is ready.
    pub(super) fn launch(&mut self, now: Micros) -> Result<(), RunError> {
        self.process.launch()?;
        self.up = true;
        self.paused = false;
        self.incarnation += 1;
        self.started_at = now;
        Ok(())
    }

    /// The configuration as it was written last.
    pub(super) fn read_config(&self) -> Result<Value, RunError> {
        let text = fs::read_to_string(self.process.config())?;
        let config = serde_json::from_str(&text).map_err(io::Error::from)?;
        Ok(config)
    }
}

/// Sets the addresses at which a process takes part in the group.
pub(super) fn set_group_addresses(config: &mut Value, listen: SocketAddr, advertise: SocketAddr) {
    config["membership"]["listen"] = json!(listen);
    config["membership"]["advertise"] = json!(advertise);
}
