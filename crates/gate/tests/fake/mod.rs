//! Small fakes at the interfaces of a gate.

#![allow(dead_code, reason = "each test file uses a part of the fakes")]

pub mod engine;
pub mod keeper;
pub mod site;
