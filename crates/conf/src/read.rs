//! Reads and checks a file of settings.

use std::fs;
use std::path::Path;

use jsonc_parser::errors::ParseError;

use crate::Config;
use crate::Error;
use crate::check;
use crate::error::Fault;
use crate::error::Position;
use crate::source;
use crate::source::Source;

/// Reads a file of settings and checks it.
pub fn read(path: &Path) -> Result<Config, Error> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    parse(&text, path)
}

/// Parses the text of a file of settings and checks it; `path` is for messages.
pub fn parse(text: &str, path: &Path) -> Result<Config, Error> {
    config(text).map_err(|mut faults| {
        faults.sort_by_key(|fault| fault.position);
        Error::Faults { path: path.to_owned(), faults }
    })
}

fn config(text: &str) -> Result<Config, Vec<Fault>> {
    let source = Source::new(text).map_err(|error| vec![syntax(&error)])?;
    let unknown = source.faults(text);
    if !unknown.is_empty() {
        return Err(unknown);
    }
    let config = jsonc_parser::parse_to_serde_value::<Config>(text, &source::options())
        .map_err(|error| vec![mistyped(&source, &error)])?;
    let mut faults = check::check(&config);
    if faults.is_empty() {
        return Ok(config);
    }
    for fault in &mut faults {
        fault.position = source.position(text, &fault.setting);
    }
    Err(faults)
}

/// The text is no JSON with comments.
fn syntax(error: &ParseError) -> Fault {
    let message = error.kind().to_string();
    Fault { position: Some(position(error)), setting: String::new(), message }
}

/// A setting has a value of another type.
fn mistyped(source: &Source, error: &ParseError) -> Fault {
    let setting = source.path_at(error.range().start).to_owned();
    Fault { position: Some(position(error)), setting, message: error.kind().to_string() }
}

fn position(error: &ParseError) -> Position {
    Position { line: error.line_display(), column: error.column_display() }
}
