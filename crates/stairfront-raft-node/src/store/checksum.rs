//! Values with a checksum before them, so that a bit that a disk has changed is never taken for a
//! vote or an entry.
use serde::de::DeserializeOwned;
use serde::Serialize;
use stairfront_raft::LogIndex;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::FORMAT_VERSION;

/// Bytes of a checksum.
const CHECKSUM_LEN: usize = 8;

/// Where a value is stored. It is part of the checksum, so that no value passes for another.
#[derive(Clone, Copy)]
pub(super) struct Key(u64);

impl Key {
    /// The key of a value in the table of single values.
    pub(super) fn of_name(name: &str) -> Self {
        Key(xxh3_64_with_seed(
            name.as_bytes(),
            u64::from(FORMAT_VERSION),
        ))
    }

    /// The key of an entry.
    pub(super) fn of_entry(index: LogIndex) -> Self {
        Key(index)
    }
}

/// The stored form of a value.
pub(super) fn seal<T: Serialize>(key: Key, value: &T) -> Vec<u8> {
    // Numbers, texts and lists of them, which postcard always can write.
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut sealed = xxh3_64_with_seed(&body, key.0).to_le_bytes().to_vec();
    sealed.extend(body);
    sealed
}

/// The value of a stored form; none if the checksum does not match or it cannot be read.
pub(super) fn unseal<T: DeserializeOwned>(key: Key, sealed: &[u8]) -> Option<T> {
    let (checksum, body) = sealed.split_at_checked(CHECKSUM_LEN)?;
    if checksum != xxh3_64_with_seed(body, key.0).to_le_bytes() {
        return None;
    }
    postcard::from_bytes(body).ok()
}
