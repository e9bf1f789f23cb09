//! The replicated state: its commands and their outcomes, and the view of it that gates replicate.
//!
//! [`Machine`] is deterministic: replicas that apply the same commands in the same order have equal state.

pub mod command;
pub mod journal;
pub mod view;

mod configure;
mod crash;
mod editor;
mod history;
mod limits;
mod machine;
mod owner;
mod patch;
mod record;
mod refusal;

pub use crate::command::Change;
pub use crate::command::Command;
pub use crate::command::Outcome;
pub use crate::limits::Limits;
pub use crate::machine::Corrupt;
pub use crate::machine::Machine;
pub use crate::view::Delta;
pub use crate::view::View;
