//! The file that keeps cordons from one process to the next. It is replaced whole, so that nobody reads half of it.
use std::io::{self, ErrorKind, Write as _};
use std::path::{Path, PathBuf};

use stairfront_admin_api::cordon_record;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

/// Where the record is; none where an install has no folder for it.
#[derive(Clone, Debug)]
pub struct CordonRecord(Option<PathBuf>);

impl CordonRecord {
    /// In this folder, under a name that belongs to the balancer called `balancer` alone.
    pub fn within(folder: Option<&Path>, balancer: &str) -> Self {
        let file = format!(
            "stairfront-cordons-{:016x}.json",
            xxh3_64(balancer.as_bytes())
        );
        CordonRecord(folder.map(|folder| folder.join(file)))
    }

    /// The names on record. Danger: a torn or foreign file must not keep a balancer from starting.
    pub fn read(&self) -> Vec<String> {
        let Some(path) = &self.0 else {
            return Vec::new();
        };
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(problem) if problem.kind() == ErrorKind::NotFound => return Vec::new(),
            Err(problem) => {
                warn!("{}: cordons not read: {problem}", path.display());
                return Vec::new();
            }
        };
        cordon_record::read(&text).unwrap_or_else(|problem| {
            warn!("{}: cordons not read: {problem}", path.display());
            Vec::new()
        })
    }

    pub fn write<'a>(&self, names: impl Iterator<Item = &'a str>) -> io::Result<()> {
        let Some(path) = &self.0 else { return Ok(()) };
        let folder = path.parent().unwrap_or(Path::new("."));
        let mut file = tempfile::NamedTempFile::new_in(folder)?;
        file.write_all(cordon_record::write(names).as_bytes())?;
        file.persist(path)?;
        Ok(())
    }
}
