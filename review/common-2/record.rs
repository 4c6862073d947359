//! The record of a run: one line an event, with the time since the start in milliseconds.
use std::fs::File;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Record {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let ms = self.now().as_secs_f64() * 1000.0;
        let _ = writeln!(file, "{ms:10.1} {text}");
    }
}
