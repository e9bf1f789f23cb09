//! Reads and checks a settings file.

use std::fs;
use std::path::Path;

use jsonc_parser::errors::ParseError;

use crate::Config;
use crate::Error;
use crate::check;
use crate::error::Diagnostic;
use crate::error::Position;
use crate::source;
use crate::source::Source;

/// Reads and checks a settings file.
///
/// # Errors
///
/// [`Error::Read`] if the file cannot be read, [`Error::Invalid`] if its content is not valid.
pub fn read(path: &Path) -> Result<Config, Error> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    parse(&text, path)
}

/// Parses and checks the text of a settings file; `path` appears in error messages only.
///
/// # Errors
///
/// [`Error::Invalid`] if the text is not valid.
pub fn parse(text: &str, path: &Path) -> Result<Config, Error> {
    parse_and_check(text).map_err(|mut diagnostics| {
        diagnostics.sort_by_key(|fault| fault.position);
        Error::Invalid { path: path.to_owned(), diagnostics }
    })
}

fn parse_and_check(text: &str) -> Result<Config, Vec<Diagnostic>> {
    let source = Source::new(text).map_err(|error| vec![syntax_error(&error)])?;
    let unknown = source.diagnostics(text);
    if !unknown.is_empty() {
        return Err(unknown);
    }
    let config = jsonc_parser::parse_to_serde_value::<Config>(text, &source::options())
        .map_err(|error| vec![type_error(&source, &error)])?;
    let mut diagnostics = check::check(&config);
    if diagnostics.is_empty() {
        return Ok(config);
    }
    for fault in &mut diagnostics {
        fault.position = source.position(text, &fault.setting);
    }
    Err(diagnostics)
}

/// Converts a syntax error.
fn syntax_error(error: &ParseError) -> Diagnostic {
    let message = error.kind().to_string();
    Diagnostic { position: Some(position(error)), setting: String::new(), message }
}

/// Converts the error of a value with the wrong type.
fn type_error(source: &Source, error: &ParseError) -> Diagnostic {
    let setting = source.path_at(error.range().start).to_owned();
    Diagnostic { position: Some(position(error)), setting, message: error.kind().to_string() }
}

fn position(error: &ParseError) -> Position {
    Position { line: error.line_display(), column: error.column_display() }
}
