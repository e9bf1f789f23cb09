//! Decides which requests and which parts of prompts crash the endpoints that run them, from what gates report. Pure: no I/O, and times are
//! arguments.

mod detector;

pub use crate::detector::Cause;
pub use crate::detector::Detector;
pub use crate::detector::SURVIVAL_TIME;
