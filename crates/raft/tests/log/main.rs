//! Tests of the replicated log in one process: single rules, and random fault schedules.

mod basics;
mod schedules;
mod sim;
mod transfers;
mod voters;
