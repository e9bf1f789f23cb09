//! Messages between processes: RPC calls between radishbank's own processes, HTTP bodies and headers
//! for callers, operators and endpoints.

pub mod admin;
pub mod endpoint;
pub mod gate;
pub mod header;
pub mod http;
pub mod keeper;
pub mod transport;
