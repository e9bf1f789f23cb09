//! The operators' command line: changes of the configuration, status, explanations.

mod cli;
mod client;
mod error;
mod run;
mod table;

pub use crate::cli::Action;
pub use crate::cli::HELP;
pub use crate::cli::Options;
pub use crate::cli::parse;
pub use crate::client::Client;
pub use crate::error::Error;
pub use crate::run::run;
pub use crate::table::Table;
