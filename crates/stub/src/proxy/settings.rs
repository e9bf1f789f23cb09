//! The settings of a proxy, in JSON with comments.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use base::Name;
use serde::Deserialize;

use crate::proxy::rule::Rules;

/// The settings of a proxy.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address of the control face.
    pub control: Option<SocketAddr>,
    /// The links.
    pub links: Vec<Entry>,
}

/// A link in the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Its name.
    pub name: Name,
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// The target.
    pub to: SocketAddr,
    /// Whether it carries datagrams.
    #[serde(default)]
    pub udp: bool,
    /// The rules to begin with.
    #[serde(default)]
    pub rules: Rules,
}

/// Reads a file of settings; the error names the file and the place.
pub fn read(path: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(&text, &options)
        .map_err(|error| format!("{}: {error}", path.display()))
}
