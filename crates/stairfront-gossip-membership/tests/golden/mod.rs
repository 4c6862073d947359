//! Golden files: forms as the code wrote them when they were pinned. They change only with `UPDATE_GOLDEN=1`.
use std::path::PathBuf;

fn updates() -> bool {
    std::env::var_os("UPDATE_GOLDEN").is_some_and(|value| value == "1")
}

/// The golden files of one test. Where it has written some, the test fails at its end: it has compared nothing.
#[derive(Default)]
pub struct Golden {
    written: Vec<String>,
}

impl Golden {
    /// The text of a golden file, after it was replaced by `now` where that is asked for.
    pub fn text(&mut self, name: &str, now: &str) -> String {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(name);
        if updates() {
            std::fs::write(&path, now).unwrap();
            self.written.push(name.to_string());
        }
        std::fs::read_to_string(&path).unwrap_or_else(|problem| panic!("{name}: {problem}"))
    }

    /// The same for bytes, which a file keeps as hexadecimal digits, 64 to a line.
    pub fn bytes(&mut self, name: &str, now: &[u8]) -> Vec<u8> {
        let lines = now.chunks(32).map(|line| {
            line.iter()
                .map(|byte| format!("{byte:02x}"))
                .collect::<String>()
        });
        let text = self.text(name, &lines.map(|line| line + "\n").collect::<String>());
        let digits: Vec<u8> = text
            .bytes()
            .filter(|byte| !byte.is_ascii_whitespace())
            .collect();
        assert!(digits.len().is_multiple_of(2), "{name}: half a byte");
        let byte = |two: &[u8]| u8::from_str_radix(std::str::from_utf8(two).unwrap(), 16).unwrap();
        digits.chunks(2).map(byte).collect()
    }
}

impl Drop for Golden {
    fn drop(&mut self) {
        if !self.written.is_empty() && !std::thread::panicking() {
            panic!(
                "UPDATE_GOLDEN=1: written, not compared: {:?}; run again without it",
                self.written
            );
        }
    }
}
