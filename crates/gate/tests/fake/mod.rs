//! Fakes of the processes that a gate communicates with.

#![allow(dead_code, reason = "each test file uses a part of the fakes")]

pub(crate) mod engine;
pub(crate) mod keeper;
pub(crate) mod site;
