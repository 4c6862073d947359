//! The thread that opens and writes a voter's store, so that a slow disk blocks nothing else.
use std::io;
use std::panic::catch_unwind;
use std::path::{Path, PathBuf};
use std::sync::mpsc as blocking;

use stairfront_raft::{Ready, Recovered, Voter};
use tokio::sync::{mpsc, oneshot};

use crate::store::{Corruption, Store, StoreError};

/// A store that was opened.
pub(crate) struct OpenedStore {
    pub(crate) thread: StoreThread,
    /// The identity of the voter, with the incarnation of the store.
    pub(crate) voter: Voter,
    pub(crate) recovered: Recovered,
}

/// Why no thread with an open store could be started.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StoreThreadError {
    #[error("cannot start a thread")]
    Spawn(#[source] io::Error),
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The thread of an open store. It ends when this is dropped, or with the first error.
pub(crate) struct StoreThread {
    path: PathBuf,
    requests: blocking::SyncSender<StoreRequest>,
    responses: mpsc::Receiver<StoreResponse>,
}

/// A batch to be saved.
struct StoreRequest(Ready);

/// The number of a batch that is saved, or why it is not.
type StoreResponse = Result<u64, StoreError>;

impl StoreThread {
    /// Starts a thread that opens the store of this voter, and waits until it is open.
    pub(crate) async fn start(
        path: &Path,
        group: &str,
        new_voter: Voter,
    ) -> Result<OpenedStore, StoreThreadError> {
        let (requests, received_requests) = blocking::sync_channel(1);
        let (response_sender, responses) = mpsc::channel(1);
        let (open_sender, opened) = oneshot::channel();
        let store_path = path.to_path_buf();
        let group = group.to_string();
        let work = move || match open(&store_path, &group, new_voter) {
            Ok((store, recovered)) => {
                let voter = store.voter().clone();
                if open_sender.send(Ok((voter, recovered))).is_ok() {
                    save_requests(&store, &received_requests, &response_sender);
                }
            }
            // Nobody waits for it any more, if it cannot be sent.
            Err(error) => drop(open_sender.send(Err(error))),
        };
        std::thread::Builder::new()
            .name("agreement".to_string())
            .spawn(work)
            .map_err(StoreThreadError::Spawn)?;
        let path = path.to_path_buf();
        let (voter, recovered) = match opened.await {
            Ok(opened) => opened?,
            Err(_) => return Err(thread_ended(&path).into()),
        };
        Ok(OpenedStore {
            thread: StoreThread {
                path,
                requests,
                responses,
            },
            voter,
            recovered,
        })
    }

    /// Has a batch saved. The batch before it must have been reported by
    /// [`StoreThread::next_saved`].
    pub(crate) fn save(&self, ready: Ready) {
        // The thread takes one request at a time and has none; one that has ended is reported by
        // `next_saved`.
        let _ = self.requests.try_send(StoreRequest(ready));
    }

    /// Returns the number of the next batch that is saved.
    pub(crate) async fn next_saved(&mut self) -> Result<u64, StoreError> {
        match self.responses.recv().await {
            Some(response) => response,
            None => Err(thread_ended(&self.path)),
        }
    }
}

fn thread_ended(path: &Path) -> StoreError {
    StoreError::ThreadEnded {
        path: path.display().to_string(),
    }
}

/// Opens the store. The database may panic on a damaged file, which would end the thread without a
/// report.
fn open(path: &Path, group: &str, new_voter: Voter) -> Result<(Store, Recovered), StoreError> {
    catch_unwind(|| Store::open(path, group, new_voter)).unwrap_or_else(|_| {
        Err(StoreError::Corrupt {
            path: path.display().to_string(),
            corruption: Corruption::Unreadable,
        })
    })
}

/// Saves what is requested until the other side ends or a batch cannot be saved.
fn save_requests(
    store: &Store,
    requests: &blocking::Receiver<StoreRequest>,
    responses: &mpsc::Sender<StoreResponse>,
) {
    while let Ok(StoreRequest(ready)) = requests.recv() {
        let response = store.save(&ready).map(|()| ready.number);
        let has_failed = response.is_err();
        if responses.blocking_send(response).is_err() || has_failed {
            return;
        }
    }
}
