//! Setup of the structured log.
//!
//! Lines are written to standard output by a separate thread behind a bounded queue, so that a slow or
//! missing reader never delays a request. Lines that do not fit are dropped, and their number is logged.
//! Each class of lines has its own bounds, so that many lines about requests do not displace the few about
//! changes of state.

mod clock;
mod json;
mod queue;
mod writer;

use std::io;
use std::io::Write;
use std::str::FromStr;
use std::time::Duration;

use tracing::Dispatch;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::util::SubscriberInitExt;

use crate::log::json::Json;
pub use crate::log::writer::Writer;

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

/// The longest time for which a process waits for its last lines to be written.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// The log of a process. Dropping it waits a bounded time until the last lines are written.
#[derive(Debug)]
#[must_use = "the last lines are lost unless the log is dropped at the end of the process"]
pub struct Guard(Writer);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.drain(DRAIN_TIMEOUT);
    }
}

/// Starts the log on standard output; `filter` has the syntax of `RUST_LOG`, and an invalid one is
/// replaced by `info`.
pub fn start(format: Format, filter: &str) -> Guard {
    let lines = Writer::start(io::stdout());
    // Fails if a log is already started, which then stays in use.
    subscriber(format, filter, lines.clone()).try_init().ok();
    Guard(lines)
}

/// Builds a log that writes to `output`, without making it the log of the process.
pub fn build(format: Format, filter: &str, output: impl Write + Send + 'static) -> Dispatch {
    subscriber(format, filter, Writer::start(output))
}

fn subscriber(format: Format, filter: &str, lines: Writer) -> Dispatch {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(lines);
    match format {
        Format::Json => {
            let builder = builder.json().flatten_event(true).with_ansi(false);
            builder.map_event_format(|general| Json { general }).into()
        }
        Format::Text => builder.with_ansi(false).into(),
    }
}
