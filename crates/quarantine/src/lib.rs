//! Decides which requests crash the endpoints that run them, from what gates report. Pure: no I/O, and times are
//! arguments.

mod detector;

pub use crate::detector::Detector;
