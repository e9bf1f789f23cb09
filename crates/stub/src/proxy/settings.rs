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
    /// The listening address of the control API.
    pub control: Option<SocketAddr>,
    /// The links.
    pub links: Vec<Entry>,
}

/// A link in the settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The name of the link.
    pub name: Name,
    /// The listening address.
    pub listen: SocketAddr,
    /// The target.
    pub to: SocketAddr,
    /// Whether the link forwards UDP instead of TCP.
    #[serde(default)]
    pub udp: bool,
    /// The initial rules.
    #[serde(default)]
    pub rules: Rules,
}

/// Reads a settings file; the error names the file and the position.
pub fn read(path: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(&text, &options)
        .map_err(|error| format!("{}: {error}", path.display()))
}
