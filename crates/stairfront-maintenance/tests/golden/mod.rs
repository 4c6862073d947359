//! Golden files: forms as they were when the files were written. They are written anew only with UPDATE_GOLDEN=1 in the
//! environment, and the test that writes one fails.
use std::fmt::Debug;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde::Serialize;

const LINE: usize = 64;

pub fn path(file: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file)
}

pub fn updates() -> bool {
    std::env::var("UPDATE_GOLDEN").is_ok_and(|value| value == "1")
}

/// The content of a golden file; in an update it is written first, and the test fails.
pub fn read(file: &str, now: &[u8]) -> Vec<u8> {
    let path = path(file);
    if updates() {
        std::fs::write(&path, now).unwrap();
        panic!("UPDATE_GOLDEN=1: {file} was written anew and nothing was checked; run again without it");
    }
    std::fs::read(&path).unwrap_or_else(|problem| panic!("{}: {problem}", path.display()))
}

/// A line `# label` for each case, then its bytes in hexadecimal.
pub fn to_hex(cases: &[(String, Vec<u8>)]) -> String {
    let mut text = String::new();
    for (label, bytes) in cases {
        text += &format!("# {label}\n");
        let digits: Vec<String> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        for line in digits.chunks(LINE / 2) {
            text += &format!("{}\n", line.concat());
        }
    }
    text
}

pub fn from_hex(text: &str) -> Vec<(String, Vec<u8>)> {
    let mut cases: Vec<(String, Vec<u8>)> = Vec::new();
    for line in text.lines() {
        match line.strip_prefix("# ") {
            Some(label) => cases.push((label.to_string(), Vec::new())),
            None => {
                let (_, bytes) = cases.last_mut().expect("a label stands first");
                assert!(line.len() % 2 == 0, "{line:?} is cut");
                bytes.extend(
                    (0..line.len())
                        .step_by(2)
                        .map(|at| u8::from_str_radix(&line[at..at + 2], 16).unwrap()),
                );
            }
        }
    }
    cases
}

/// Each case is read from the file as it was and written to the same bytes.
pub fn postcard<T>(file: &str, cases: &[(&str, T)])
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let now: Vec<(String, Vec<u8>)> = cases
        .iter()
        .map(|(label, value)| (label.to_string(), postcard::to_stdvec(value).unwrap()))
        .collect();
    let text = String::from_utf8(read(file, to_hex(&now).as_bytes())).unwrap();
    let golden = from_hex(&text);
    let labels = |of: &[(String, Vec<u8>)]| {
        of.iter()
            .map(|(label, _)| label.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(labels(&golden), labels(&now), "{file}: other cases");
    for (((label, value), (_, bytes)), (_, old)) in cases.iter().zip(&now).zip(&golden) {
        let found = postcard::take_from_bytes::<T>(old);
        let (found, rest) =
            found.unwrap_or_else(|problem| panic!("{file}, {label}: not read: {problem}"));
        assert_eq!(&found, value, "{file}, {label}: read as something else");
        assert!(
            rest.is_empty(),
            "{file}, {label}: {} bytes not read",
            rest.len()
        );
        assert_eq!(bytes, old, "{file}, {label}: written otherwise");
    }
}

/// The value is read from the file as it was and written to the same text.
pub fn json<T>(file: &str, value: &T)
where
    T: Serialize + DeserializeOwned + PartialEq + Debug,
{
    let now = serde_json::to_string(value).unwrap() + "\n";
    let old = String::from_utf8(read(file, now.as_bytes())).unwrap();
    let found = serde_json::from_str::<T>(&old);
    let found = found.unwrap_or_else(|problem| panic!("{file}: not read: {problem}"));
    assert_eq!(&found, value, "{file}: read as something else");
    assert_eq!(now, old, "{file}: written otherwise");
}
