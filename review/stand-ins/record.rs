//! The record of what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record of a case. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Arc::new(Mutex::new(File::create(path)?)), start: Instant::now() })
    }

    /// Returns the time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the time in seconds.
    pub fn line(&self, text: &str) {
        let seconds = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("no writer panics");
        // The verdict does not depend on the record.
        writeln!(file, "{seconds:9.3} {text}").ok();
    }
}
