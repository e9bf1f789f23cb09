//! Small fakes at the interfaces of a gate.

#![allow(dead_code, reason = "each test file uses a part of the fakes")]

pub(crate) mod engine;
pub(crate) mod keeper;
pub(crate) mod site;
