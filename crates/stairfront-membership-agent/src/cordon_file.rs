//! The file that keeps the group's cordons between two processes of a balancer. It is replaced atomically.
use std::fmt::Display;
use std::io::{self, ErrorKind, Write as _};
use std::path::{Path, PathBuf};

use stairfront_gossip_membership::cordon_record::{read_record, write_record};
use stairfront_gossip_membership::{CordonEntry, CordonSet};
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// The file with the group's cordons, or none where the installation has no directory for it.
#[derive(Clone, Debug)]
pub struct CordonSetFile {
    path: Option<PathBuf>,
}

impl CordonSetFile {
    /// The file of a member of a group in a directory.
    #[must_use]
    pub fn in_directory(directory: Option<&Path>, group: &str, member: &str) -> Self {
        let id = xxh3_64(format!("{group}\0{member}").as_bytes());
        let name = format!("stairfront-group-{id:016x}.json");
        CordonSetFile {
            path: directory.map(|directory| directory.join(name)),
        }
    }

    /// The recorded entries. A torn or foreign file is logged and gives none: it must not keep a balancer from starting,
    /// which asks the other members in any case.
    #[must_use]
    pub fn read(&self) -> Vec<CordonEntry> {
        let Some(path) = &self.path else {
            return Vec::new();
        };
        match std::fs::read_to_string(path) {
            Ok(text) => read_record(&text).unwrap_or_else(|error| {
                log_unreadable(path, &error);
                Vec::new()
            }),
            Err(error) if error.kind() == ErrorKind::NotFound => Vec::new(),
            Err(error) => {
                log_unreadable(path, &error);
                Vec::new()
            }
        }
    }

    /// Replaces the file by the record of a cordon set.
    ///
    /// # Errors
    ///
    /// If the new file cannot be written or put in place; the former one stays then.
    pub fn write(&self, cordons: &CordonSet) -> io::Result<()> {
        let Some(path) = &self.path else {
            return Ok(());
        };
        let directory = path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(directory)?;
        file.write_all(write_record(cordons).as_bytes())?;
        file.persist(path)?;
        Ok(())
    }
}

fn log_unreadable(path: &Path, error: &dyn Display) {
    warn!(file = %path.display(), %error, "cordons of the group not read");
}
