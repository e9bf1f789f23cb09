//! Setup of the structured log.
//!
//! Lines are written to standard output by a separate thread behind a bounded queue, so that a slow or
//! missing reader never delays a request. Lines that do not fit are dropped, and their number is logged.

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

use tracing::Dispatch;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::util::SubscriberInitExt;

use crate::event::Event;

/// The capacity of the queue, in lines.
const QUEUE_LINES: usize = 2_048;
/// The maximum output rate in bytes per second, a fraction of the bandwidth of a small host's disk or
/// network.
const MAX_BYTES_PER_S: u64 = 256 << 10;
/// The interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// The format of the log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text.
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

/// A log writer that never blocks; it drops lines when its queue is full.
#[derive(Clone, Debug)]
pub struct Writer {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    /// Starts a thread that writes the lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Writer {
        let (queue, lines) = mpsc::sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::spawn(move || write_lines(output, &lines, &counter));
        Writer { queue, dropped }
    }

    /// Returns the number of dropped lines that were not yet reported in the log.
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

/// Writes the lines in batches and drops those above the maximum rate.
fn write_lines(mut output: impl Write, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut window_start = Instant::now();
    let mut written = 0;
    while let Ok(first) = lines.recv() {
        thread::sleep(WRITE_INTERVAL);
        if window_start.elapsed() >= Duration::from_secs(1) {
            window_start = Instant::now();
            written = 0;
        }
        let mut batch = Vec::new();
        for line in std::iter::once(first).chain(lines.try_iter()) {
            if written + (line.len() as u64) > MAX_BYTES_PER_S {
                dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            written += line.len() as u64;
            batch.extend(line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let (event, name) = (Event::LinesDropped.number(), Event::LinesDropped.name());
            let report = format!("{{\"event\":{event},\"name\":\"{name}\",\"lines\":{lost}}}\n");
            batch.extend(report.into_bytes());
        }
        // A failed write means that the reader is gone, so the error cannot be reported.
        output.write_all(&batch).and_then(|()| output.flush()).ok();
    }
}

/// Starts the log on standard output; `filter` has the syntax of `RUST_LOG`, and an invalid one is
/// replaced by `info`.
pub fn start(format: Format, filter: &str) {
    // Fails if a log is already started, which then stays in use.
    build(format, filter, io::stdout()).try_init().ok();
}

/// Builds a log that writes to `output`, without making it the log of the process.
pub fn build(format: Format, filter: &str, output: impl Write + Send + 'static) -> Dispatch {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let lines = Writer::start(output);
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(lines);
    match format {
        Format::Json => builder.json().flatten_event(true).with_ansi(false).into(),
        Format::Text => builder.with_ansi(false).into(),
    }
}
