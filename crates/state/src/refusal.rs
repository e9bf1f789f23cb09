//! Why a command changed nothing.

use base::Code;

/// Why a command changed nothing.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Refusal {
    /// The reason.
    pub(crate) code: Code,
    /// What exactly, for people.
    pub(crate) detail: String,
}

impl Refusal {
    /// Makes a refusal.
    pub(crate) fn new(code: Code, detail: impl Into<String>) -> Refusal {
        Refusal { code, detail: detail.into() }
    }

    /// Makes a refusal of a command that names a missing object.
    pub(crate) fn unknown(kind: &str, name: impl std::fmt::Display) -> Refusal {
        Refusal::new(Code::UnknownObject, format!("no {kind} '{name}'"))
    }
}
