//! The table of all settings.

/// A setting as the documentation shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Setting {
    /// The path, such as `timing.lease_ms`; `entries[].host` stands for each entry.
    pub path: String,
    /// The default as JSON.
    pub default: String,
    /// What it means, with its unit.
    pub doc: String,
}

/// Defines a section of the settings: the type, its defaults, and its rows of the table.
macro_rules! section {
    (
        $(#[doc = $about:literal])+
        $name:ident {
            $($(#[doc = $doc:literal])+ $field:ident: $kind:ty = $default:expr,)*
        }
    ) => {
        $(#[doc = $about])+
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: $kind,)*
        }

        impl Default for $name {
            fn default() -> $name {
                $name { $($field: $default,)* }
            }
        }

        impl $name {
            /// Returns the rows of the table of settings for this section.
            pub(crate) fn rows(prefix: &str) -> Vec<$crate::table::Setting> {
                let section = $name::default();
                vec![$($crate::table::row(
                    prefix,
                    stringify!($field),
                    &section.$field,
                    concat!($($doc),+),
                ),)*]
            }
        }
    };
}

pub(crate) use section;

/// Makes one row of the table.
pub(crate) fn row(
    prefix: &str,
    field: &str,
    default: &impl serde::Serialize,
    doc: &str,
) -> Setting {
    let default = serde_json::to_string(default).unwrap_or_default();
    Setting { path: format!("{prefix}{field}"), default, doc: doc.trim().to_owned() }
}

/// Returns all settings in the order of the file.
pub fn table() -> Vec<Setting> {
    use crate::config;

    let mut rows = vec![row("", "site", &"", config::SITE)];
    rows.extend(config::Entry::rows("entries[]."));
    rows.extend(config::Tokens::rows("tokens."));
    rows.extend(config::Timing::rows("timing."));
    rows.extend(config::Store::rows("store."));
    rows.extend(config::Limits::rows("limits."));
    rows.extend(config::Journal::rows("journal."));
    rows.extend(config::Placement::rows("placement."));
    rows.extend(config::Tls::rows("tls."));
    rows.extend(config::Log::rows("log."));
    rows
}

/// Renders the table as the page `docs/SETTINGS.md`.
pub fn markdown() -> String {
    let mut page = String::from(HEAD);
    for setting in table() {
        let Setting { path, default, doc } = setting;
        page.push_str(&format!("| `{path}` | `{default}` | {doc} |\n"));
    }
    page
}

/// The start of the page.
const HEAD: &str = "\
# Settings

One file in JSON with comments serves all programs of a site. All settings have defaults but those
of `entries`; `radishctl check FILE` says what contradicts what, with file, line and column. This
page is made by `cargo run -p conf --example settings > docs/SETTINGS.md`, and a test keeps it in
step with the code.

| setting | default | meaning |
|---|---|---|
";
