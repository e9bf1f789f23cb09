//! Plays the cases of the review: starts gates and keepers as processes on loopback addresses, and plays the clients, the
//! operator, the servers and the platform around them.
//!
//! Usage: `stand-ins CASE FOLDER`. Writes `record.txt` into the folder. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. With `TROUBLE=0` in the environment the disruption is left out.

mod departures;
mod endpoint;
mod http;
mod late_bytes;
mod memory;
mod model;
mod record;
mod replaced;
mod site;
mod turns;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// The longest time that a case may take.
const MAX_RUN: Duration = Duration::from_secs(115);

/// What a case found out.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

/// The result of a case; an error states why it could not run.
pub type Outcome = Result<Verdict, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN);
        eprintln!("the case took too long");
        site::kill_all();
        std::process::exit(2);
    });
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let outcome = match case.as_str() {
        "departures" => departures::run(&record, trouble),
        "late-bytes" => late_bytes::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "replaced" => replaced::run(&record, trouble),
        "turns" => turns::run(&record, trouble),
        other => Err(format!("unknown case '{other}'")),
    };
    site::kill_all();
    let (text, code) = match outcome {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
