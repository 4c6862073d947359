//! Golden files: the bytes that a stored or exchanged form had when it was pinned. They are written anew only when
//! `UPDATE_GOLDEN=1` is set, and a test that writes one fails, so that it cannot pass in that mode.
#![allow(dead_code)]
use std::path::PathBuf;

fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// The bytes of a golden file, which `now` is written into first where it is to be renewed.
pub fn pinned(name: &str, now: &[u8]) -> Vec<u8> {
    if std::env::var_os("UPDATE_GOLDEN").is_some_and(|value| value == "1") {
        std::fs::write(path(name), now).unwrap();
        panic!("{name} was written anew since UPDATE_GOLDEN=1 is set; look at the change and run without it");
    }
    std::fs::read(path(name)).unwrap_or_else(|problem| panic!("{name}: {problem}"))
}

/// Asserts that what is written now is what was pinned, byte for byte; gives the pinned bytes to be read.
pub fn same(name: &str, now: &[u8]) -> Vec<u8> {
    let pinned = pinned(name, now);
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    assert_eq!(text(now), text(&pinned), "{name}");
    assert_eq!(now, pinned, "{name}");
    pinned
}
