//! Set-up of the structured log.
//!
//! Lines go to standard output through a bounded queue and a thread of their own, so that a reader that
//! is slow or gone never holds up a request. What does not fit is counted, and the count is logged.

use std::io;
use std::io::Write;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

use crate::event::Event;

/// The lines that may wait to be written.
const QUEUE: usize = 2_048;
/// The bytes written each second at most, a part of what a small host's disk or link takes.
const BYTES_PER_S: u64 = 256 << 10;
/// The time between two writes.
const WRITE_EVERY: Duration = Duration::from_millis(50);

/// The form of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Text,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "json" => Ok(Format::Json),
            "text" => Ok(Format::Text),
            _ => Err(format!("unknown log format '{text}', expected json or text")),
        }
    }
}

/// A writer that never blocks.
#[derive(Clone, Debug)]
pub struct Writer {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    /// Starts a thread that writes lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Writer {
        let (queue, lines) = mpsc::sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        thread::spawn(move || write_lines(output, &lines, &counted));
        Writer { queue, dropped }
    }

    /// Returns the lines that were left out and not told yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Writer;

    fn make_writer(&'a self) -> Writer {
        self.clone()
    }
}

/// Writes lines in batches and leaves out what is beyond the budget.
fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut second = Instant::now();
    let mut written = 0;
    while let Ok(first) = lines.recv() {
        thread::sleep(WRITE_EVERY);
        if second.elapsed() >= Duration::from_secs(1) {
            second = Instant::now();
            written = 0;
        }
        let mut batch = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            if written + (line.len() as u64) > BYTES_PER_S {
                dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            written += line.len() as u64;
            batch.extend(line);
        }
        let left_out = dropped.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let (event, name) = (Event::LinesDropped.number(), Event::LinesDropped.name());
            let told = format!("{{\"event\":{event},\"name\":\"{name}\",\"lines\":{left_out}}}\n");
            batch.extend(told.into_bytes());
        }
        // Without a reader there is nobody to tell.
        output.write_all(&batch).and_then(|()| output.flush()).ok();
    }
}

/// Starts the log on standard output; `filter` has the syntax of `RUST_LOG`.
pub fn start(format: Format, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = Writer::start(io::stdout());
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(lines);
    let started = match format {
        Format::Json => builder.json().flatten_event(true).with_ansi(false).try_init(),
        Format::Text => builder.with_ansi(false).try_init(),
    };
    // A program that starts its log twice keeps the first one.
    started.ok();
}
