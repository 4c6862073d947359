//! Balancers in the process of a test, and in-process stand-ins on loopback for cache hosts, the origin, discovery and clients.
mod balancer;
mod client;
pub mod crowd;
mod group;
mod load_clients;
pub mod peers;
mod process;
mod stand_in;

use std::future::Future;
use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

pub use balancer::{config, line, settings, Balancer};
pub use client::{bulk, command, get, say, Client};
pub use group::{names, AdminAnswer, BalancerGroup, HostRequests};
pub use load_clients::LoadClients;
pub use process::{unused_address, BalancerProcess};
pub use stand_in::{
    cache, commands, count, cut_http, cut_resp, dead_address, gated_echo, hit, http, listing_agent,
    miss, origin, quiet_agent, Log, Script, Seen, Step,
};

/// No test waits longer: a hang is a failure.
const LIMIT: Duration = Duration::from_secs(20);

/// Runs a test on a runtime of one thread.
///
/// # Panics
///
/// If the test takes longer than 20 s.
pub fn run<F: Future>(test: F) -> F::Output {
    run_within(LIMIT, test)
}

/// The same with another limit, for a test with many long steps.
///
/// # Panics
///
/// If the test takes longer.
pub fn run_within<F: Future>(limit: Duration, test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(
        LocalSet::new().run_until(async { timeout(limit, test).await.expect("test hangs") }),
    )
}

/// A directory in memory where the machine has one, as in service. On a disk the replacing of a file can block the loop, and
/// the balancer would shed load for being behind.
///
/// # Panics
///
/// If no directory can be made.
pub fn memory_folder() -> tempfile::TempDir {
    tempfile::tempdir_in("/dev/shm")
        .or_else(|_| tempfile::tempdir())
        .unwrap()
}

/// So many milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Waits until a condition holds, however slow the machine is; `run` fails when it never does.
pub async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        sleep(ms(2)).await;
    }
}
