//! The log writer never blocks, whatever its reader does.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use base::LogWriter;

/// An output that blocks until the test ends.
struct Blocked(mpsc::Receiver<()>);

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns when the test drops the sender.
        self.0.recv().ok();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that records everything.
#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<u8>>>);

impl Write for Recorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Recorder {
    /// Waits until the output contains a text, and returns the output.
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
fn a_blocked_output_does_not_block_the_writer() {
    let (_sender, receiver) = mpsc::channel();
    let mut lines = LogWriter::start(Blocked(receiver));
    let start = Instant::now();
    for _ in 0..20_000 {
        lines.write_all(b"{\"event\":200}\n").expect("never fails");
    }
    assert!(start.elapsed() < Duration::from_secs(2), "{:?}", start.elapsed());
    assert!(lines.dropped() >= 10_000, "{} dropped", lines.dropped());
}

#[test]
fn lines_above_the_maximum_rate_are_dropped_and_counted() {
    let recorder = Recorder::default();
    let mut lines = LogWriter::start(recorder.clone());
    let line = [b'x'; 1_023];
    for _ in 0..1_000 {
        lines.write_all(&line).expect("never fails");
        lines.write_all(b"\n").expect("never fails");
    }
    let written = recorder.wait_for("LinesDropped");
    assert!(written.len() < 600 << 10, "{} bytes", written.len());
}

// Guards against a process that ends before its last lines are written.
#[test]
fn draining_waits_until_the_lines_are_written() {
    let recorder = Recorder::default();
    let mut writer = LogWriter::start(recorder.clone());
    for number in 0..100 {
        writeln!(writer, "line {number}").expect("writing does not fail");
        writer.drain(Duration::from_secs(10));
        let written = recorder.0.lock().expect("not poisoned").clone();
        assert!(written.ends_with(format!("line {number}\n").as_bytes()), "{number}");
    }
}

#[test]
fn draining_ends_although_the_output_is_blocked() {
    let (_sender, receiver) = mpsc::channel();
    let mut writer = LogWriter::start(Blocked(receiver));
    writeln!(writer, "a line").expect("writing does not fail");
    writer.drain(Duration::from_millis(50));
}
