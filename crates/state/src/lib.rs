//! The replicated state: commands, their outcomes, and the view that gates keep of it.
//!
//! [`Machine`] is deterministic: replicas that apply the same commands in the same order are equal.

pub mod command;
pub mod journal;
pub mod view;

mod configure;
mod crash;
mod draft;
mod limits;
mod machine;
mod memory;
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
