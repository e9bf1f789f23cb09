//! The log's writer never blocks, whatever its reader does.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use base::LogWriter;

/// A reader that has stopped reading.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Ends with the test, which drops the sender.
        self.0.recv().ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A reader that keeps everything.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Kept {
    /// Waits until a text was written.
    fn wait_for(&self, text: &str) -> String {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let written =
                String::from_utf8_lossy(&self.0.lock().expect("not poisoned")).into_owned();
            if written.contains(text) {
                return written;
            }
            assert!(Instant::now() < deadline, "'{text}' is not written");
            std::thread::yield_now();
        }
    }
}

#[test]
fn a_reader_that_stops_reading_holds_nobody_up() {
    let (_held, reads) = mpsc::channel();
    let mut lines = LogWriter::start(Stuck(reads));
    let start = Instant::now();
    for _ in 0..20_000 {
        lines.write_all(b"{\"event\":200}\n").expect("never fails");
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert!(lines.dropped() >= 10_000, "{} dropped", lines.dropped());
}

#[test]
fn what_is_beyond_the_budget_is_counted() {
    let kept = Kept::default();
    let mut lines = LogWriter::start(kept.clone());
    let line = [b'x'; 1_023];
    for _ in 0..1_000 {
        lines.write_all(&line).expect("never fails");
        lines.write_all(b"\n").expect("never fails");
    }
    let written = kept.wait_for("LinesDropped");
    assert!(written.len() < 600 << 10, "{} bytes", written.len());
}
