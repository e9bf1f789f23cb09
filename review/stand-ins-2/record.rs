//! `record.txt`: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Writes a line with the time since the start.
    pub fn write(&self, line: &str) {
        let at = self.start.elapsed().as_secs_f64();
        writeln!(self.file.lock().unwrap(), "{at:9.3} s  {line}").ok();
    }

    /// Writes a line, and prints it.
    pub fn say(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}
