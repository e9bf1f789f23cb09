//! Set-up of the structured log.

use std::io;
use std::str::FromStr;

use tracing_subscriber::EnvFilter;

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

/// Starts the log on standard error; `filter` has the syntax of `RUST_LOG`.
pub fn start(format: Format, filter: &str) {
    let filter = EnvFilter::try_new(filter).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr);
    let started = match format {
        Format::Json => builder.json().flatten_event(true).try_init(),
        Format::Text => builder.try_init(),
    };
    started.ok();
}
