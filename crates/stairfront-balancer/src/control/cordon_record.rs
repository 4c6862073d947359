//! The file that keeps cordons from one process to the next. It is replaced as a whole, so that no reader finds half of
//! it.
use std::io::{self, ErrorKind, Write as _};
use std::path::{Path, PathBuf};

use stairfront_admin_api::cordon_record;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// Path of the record; none where an install has no directory for it.
#[derive(Clone, Debug)]
pub struct CordonRecord(Option<PathBuf>);

impl CordonRecord {
    /// The record in this directory, under a file name that belongs to the balancer called `balancer` alone.
    pub fn within(directory: Option<&Path>, balancer: &str) -> Self {
        let file = format!(
            "stairfront-cordons-{:016x}.json",
            xxh3_64(balancer.as_bytes())
        );
        CordonRecord(directory.map(|directory| directory.join(file)))
    }

    /// The names on record. A torn or foreign file counts as empty, since it must not keep a balancer from starting.
    pub fn read(&self) -> Vec<String> {
        let Some(path) = &self.0 else {
            return Vec::new();
        };
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == ErrorKind::NotFound => return Vec::new(),
            Err(error) => {
                warn!(path = %path.display(), %error, "cordon record not read");
                return Vec::new();
            }
        };
        cordon_record::read(&text).unwrap_or_else(|error| {
            warn!(path = %path.display(), %error, "cordon record not read");
            Vec::new()
        })
    }

    /// Replaces the record by these names.
    ///
    /// # Errors
    ///
    /// If the file cannot be written or put in place; the old record then stays.
    pub fn write<'a>(&self, names: impl Iterator<Item = &'a str>) -> io::Result<()> {
        let Some(path) = &self.0 else { return Ok(()) };
        let directory = path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(directory)?;
        file.write_all(cordon_record::write(names).as_bytes())?;
        file.persist(path)?;
        Ok(())
    }
}
