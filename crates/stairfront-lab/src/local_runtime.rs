//! The runtime that each thread of a run has: tokio's, with tasks that stay on their thread.
use std::future::Future;
use std::io;

use tokio::task::LocalSet;

/// Runs a future and the local tasks that it spawns, until the future ends.
///
/// # Errors
///
/// The runtime cannot be made.
pub fn run_local<T>(future: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    Ok(runtime.block_on(LocalSet::new().run_until(future)))
}
