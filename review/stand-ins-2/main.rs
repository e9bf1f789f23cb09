//! Stand-ins for the scripts of the second review: clients, servers and the platform beside the project's own programs.
//!
//! `stand-ins-2 CASE FOLDER` plays a case and writes `record.txt` to the folder. It exits with 1 if the rule was broken, 0 if
//! it held and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod adapters;
mod config;
mod http;
mod late_bytes;
mod model;
mod moved;
mod record;
mod same_id;
mod server;
mod site;
mod slow_reader;
mod streams;

use std::panic;
use std::path::PathBuf;
use std::process::ExitCode;

use record::Record;

/// Ends a case that can't run. The processes that it started are ended while the stack unwinds.
pub fn cannot_run(reason: &str) -> ! {
    panic!("the case can't run: {reason}");
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play: fn(&Record, bool) -> bool = match case.as_str() {
        "adapters" => adapters::play,
        "same-id" => same_id::play,
        "slow-reader" => slow_reader::play,
        "late-bytes" => late_bytes::play,
        "moved" => moved::play,
        _ => {
            eprintln!("no case '{case}'");
            return ExitCode::from(2);
        }
    };
    let record = Record::create(&folder);
    record.write(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    match panic::catch_unwind(|| play(&record, trouble)) {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(_) => {
            record.say("the case couldn't run");
            ExitCode::from(2)
        }
    }
}
