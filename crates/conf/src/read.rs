//! Reads and checks a file of settings.

use std::fs;
use std::path::Path;

use crate::Config;
use crate::Error;

/// Reads a file of settings and checks it.
pub fn read(path: &Path) -> Result<Config, Error> {
    let text =
        fs::read_to_string(path).map_err(|source| Error::Read { path: path.to_owned(), source })?;
    parse(&text, path)
}

/// Parses the text of a file of settings and checks it; `path` is for messages.
pub fn parse(text: &str, path: &Path) -> Result<Config, Error> {
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value::<Config>(text, &options)
        .map_err(|error| Error::Parse { path: path.to_owned(), message: error.to_string() })
}
