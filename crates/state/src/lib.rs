//! The replicated state: commands, their outcomes, and the view that gates keep of it.

pub mod command;
pub mod journal;
pub mod view;

pub use crate::command::Change;
pub use crate::command::Command;
pub use crate::command::Outcome;
pub use crate::view::Delta;
pub use crate::view::View;
