//! End-to-end tests of a whole site with real processes on loopback: entry hosts, stubs and callers.

pub mod address;
pub mod client;
pub mod folder;
pub mod network;
pub mod process;
pub mod session;
pub mod settings;
pub mod site;
pub mod wait;

pub use crate::client::Answer;
pub use crate::client::Client;
pub use crate::process::Process;
pub use crate::site::Options;
pub use crate::site::Site;
