//! What was sent, answered and run, with times since the start.

use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self { start: Instant::now(), lines: Mutex::default() }
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn add(&self, line: &str) {
        let now = self.now();
        self.lines.lock().unwrap().push((now, line.to_owned()));
    }

    pub fn write(&self, file: &Path) -> std::io::Result<()> {
        let mut lines = self.lines.lock().unwrap();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.3} s  {line}\n", at.as_secs_f64()))
            .collect();
        std::fs::write(file, text)
    }
}
