//! Messages between processes: calls between radishbank's own, HTTP bodies and headers for others.

pub mod admin;
pub mod endpoint;

pub mod gate;
pub mod header;
pub mod http;
pub mod keeper;
pub mod transport;
