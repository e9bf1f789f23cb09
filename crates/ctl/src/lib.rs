//! The command line tool for operators: changes of the configuration, status and explanations of routing
//! decisions.

mod cli;
mod client;
mod error;
mod run;
mod table;

pub use crate::cli::Command;
pub use crate::cli::HELP;
pub use crate::cli::Options;
pub use crate::cli::parse;
pub use crate::client::Client;
pub use crate::error::Error;
pub use crate::run::run;
pub use crate::table::Table;
