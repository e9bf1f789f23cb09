//! Refusals of commands.

use base::Code;

/// The refusal of a command, which changed nothing.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) code: Code,
    /// A human-readable explanation.
    pub(crate) detail: String,
}

impl Refusal {
    /// Creates a refusal.
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Refusal {
        Refusal { code, detail: detail.into() }
    }

    /// Creates the refusal of a command that names an object that does not exist.
    pub(crate) fn unknown(kind: &str, name: impl std::fmt::Display) -> Refusal {
        Refusal::new(Code::UnknownObject, format!("no {kind} '{name}'"))
    }
}
