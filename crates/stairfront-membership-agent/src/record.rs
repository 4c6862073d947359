//! The file that keeps the group's cordons from one process to the next. It is replaced whole.
use std::io::{self, ErrorKind, Write as _};
use std::path::{Path, PathBuf};

use stairfront_gossip_membership::cordons::{read_record, write_record};
use stairfront_gossip_membership::{CordonEntry, CordonSet};
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// None where an install has no folder for it.
#[derive(Clone, Debug)]
pub struct CordonSetFile(Option<PathBuf>);

impl CordonSetFile {
    pub fn within(folder: Option<&Path>, group: &str, me: &str) -> Self {
        let file = format!(
            "stairfront-group-{:016x}.json",
            xxh3_64(format!("{group}\0{me}").as_bytes())
        );
        CordonSetFile(folder.map(|folder| folder.join(file)))
    }

    /// Danger: a torn or foreign file must not keep a balancer from starting; it asks the others in any case.
    pub fn read(&self) -> Vec<CordonEntry> {
        let Some(path) = &self.0 else {
            return Vec::new();
        };
        let told = |problem: &dyn std::fmt::Display| {
            warn!(
                "{}: the group's cordons not read: {problem}",
                path.display()
            );
            Vec::new()
        };
        match std::fs::read_to_string(path) {
            Ok(text) => read_record(&text).unwrap_or_else(|problem| told(&problem)),
            Err(problem) if problem.kind() == ErrorKind::NotFound => Vec::new(),
            Err(problem) => told(&problem),
        }
    }

    pub fn write(&self, ledger: &CordonSet) -> io::Result<()> {
        let Some(path) = &self.0 else { return Ok(()) };
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(folder)?;
        file.write_all(write_record(ledger).as_bytes())?;
        file.persist(path)?;
        Ok(())
    }
}
