//! The record of a case: what was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of a case.
pub struct Record {
    file: Mutex<File>,
    began_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), began_at: Instant::now() })
    }

    /// Returns the seconds since the record was begun.
    pub fn now_s(&self) -> f64 {
        self.began_at.elapsed().as_secs_f64()
    }

    /// Adds a line with the time.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} s  {text}", self.now_s());
    }

    /// Adds a line, and prints it.
    pub fn result(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
