//! Golden files: stored and exchanged forms, byte for byte as they were when they were pinned.
//!
//! A test compares what the code writes now with the file, and reads the file back. The files are written anew only with
//! `UPDATE_GOLDEN=1` in the environment, and a test that writes one fails, so that no test passes in that mode.
use std::fmt::Debug;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Bytes of a binary form on one line of hexadecimal digits.
const BYTES_PER_LINE: usize = 32;
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

/// The golden files of one crate, in its folder `tests/golden`.
#[derive(Clone, Debug)]
pub struct GoldenFiles {
    directory: PathBuf,
}

impl GoldenFiles {
    /// The golden files of the crate in this folder, `env!("CARGO_MANIFEST_DIR")` at the caller.
    #[must_use]
    pub fn of_crate(manifest_dir: &str) -> Self {
        GoldenFiles {
            directory: Path::new(manifest_dir).join("tests/golden"),
        }
    }

    /// The content of a file.
    ///
    /// # Panics
    ///
    /// If the file cannot be read, and, after writing `current` to it, where an update is asked for.
    #[must_use]
    pub fn read(&self, name: &str, current: &[u8]) -> Vec<u8> {
        let path = self.directory.join(name);
        if std::env::var_os(UPDATE_VARIABLE).is_some_and(|value| value == "1") {
            std::fs::write(&path, current).unwrap_or_else(|error| panic!("{name}: {error}"));
            panic!("{name} was written because {UPDATE_VARIABLE}=1; nothing was compared, run again without it");
        }
        std::fs::read(&path).unwrap_or_else(|error| panic!("{name}: {error}"))
    }

    /// Asserts that a text or other bytes are those of the file, and returns the file's.
    ///
    /// # Panics
    ///
    /// If they differ.
    pub fn assert_bytes(&self, name: &str, current: &[u8]) -> Vec<u8> {
        let pinned = self.read(name, current);
        // As text first, which a person can compare.
        assert_eq!(
            String::from_utf8_lossy(current),
            String::from_utf8_lossy(&pinned),
            "{name}"
        );
        assert_eq!(current, pinned, "{name}");
        pinned
    }

    /// Asserts that binary forms, each with a label, are those of the file, and returns the file's.
    ///
    /// # Panics
    ///
    /// If they differ.
    pub fn assert_hex(&self, name: &str, cases: &[(String, Vec<u8>)]) -> Vec<(String, Vec<u8>)> {
        let pinned = self.read(name, to_hex(cases).as_bytes());
        let text = String::from_utf8(pinned).unwrap_or_else(|error| panic!("{name}: {error}"));
        let pinned = from_hex(&text);
        let labels = |of: &[(String, Vec<u8>)]| {
            of.iter()
                .map(|(label, _)| label.clone())
                .collect::<Vec<_>>()
        };
        assert_eq!(labels(cases), labels(&pinned), "{name}: other cases");
        for ((label, current), (_, old)) in cases.iter().zip(&pinned) {
            assert_eq!(current, old, "{name}, {label}: written differently");
        }
        pinned
    }

    /// Asserts that values are written by postcard to the bytes of the file and read from them as the same values.
    ///
    /// # Panics
    ///
    /// If they differ.
    pub fn assert_postcard<T>(&self, name: &str, cases: &[(&str, T)])
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let encode = |value: &T| {
            postcard::to_stdvec(value).unwrap_or_else(|error| panic!("{name}: {error}"))
        };
        let current: Vec<(String, Vec<u8>)> = cases
            .iter()
            .map(|(label, value)| (label.to_string(), encode(value)))
            .collect();
        let pinned = self.assert_hex(name, &current);
        for ((label, value), (_, bytes)) in cases.iter().zip(&pinned) {
            let (found, rest) = postcard::take_from_bytes::<T>(bytes)
                .unwrap_or_else(|error| panic!("{name}, {label}: not read: {error}"));
            assert_eq!(&found, value, "{name}, {label}: read as another value");
            assert!(
                rest.is_empty(),
                "{name}, {label}: {} bytes not read",
                rest.len()
            );
        }
    }

    /// Asserts that a value is written as the JSON of the file (with a line break behind it) and read from it as the same.
    ///
    /// # Panics
    ///
    /// If they differ.
    pub fn assert_json<T>(&self, name: &str, value: &T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let current =
            serde_json::to_string(value).unwrap_or_else(|error| panic!("{name}: {error}")) + "\n";
        let pinned = self.assert_bytes(name, current.as_bytes());
        let found: T = serde_json::from_slice(&pinned)
            .unwrap_or_else(|error| panic!("{name}: not read: {error}"));
        assert_eq!(&found, value, "{name}: read as another value");
    }
}

/// A line `# label` for each case, then its bytes in hexadecimal digits.
#[must_use]
pub fn to_hex(cases: &[(String, Vec<u8>)]) -> String {
    let mut text = String::new();
    for (label, bytes) in cases {
        text += &format!("# {label}\n");
        for line in bytes.chunks(BYTES_PER_LINE) {
            text.extend(line.iter().map(|byte| format!("{byte:02x}")));
            text.push('\n');
        }
    }
    text
}

/// The cases of a text written by [`to_hex`].
///
/// # Panics
///
/// If the text is not of that form.
#[must_use]
pub fn from_hex(text: &str) -> Vec<(String, Vec<u8>)> {
    let mut cases: Vec<(String, Vec<u8>)> = Vec::new();
    for line in text.lines() {
        if let Some(label) = line.strip_prefix("# ") {
            cases.push((label.to_string(), Vec::new()));
            continue;
        }
        let (_, bytes) = cases.last_mut().expect("a label comes first");
        bytes.extend(line_bytes(line));
    }
    cases
}

fn line_bytes(line: &str) -> Vec<u8> {
    assert!(line.len().is_multiple_of(2), "{line:?} is cut");
    let digits = (0..line.len()).step_by(2).map(|at| &line[at..at + 2]);
    digits
        .map(|pair| u8::from_str_radix(pair, 16).expect("hexadecimal digits"))
        .collect()
}
