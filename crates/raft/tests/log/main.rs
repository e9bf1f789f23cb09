//! The replicated log in one process: single rules, and random schedules of faults.

mod basics;
mod schedules;
mod sim;
