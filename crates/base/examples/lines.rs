//! Measures the processor time of log lines: `cargo run --release -p base --example lines > /dev/null`.
//!
//! The lines are those of a request at a gate and of a refusal at a keeper. The figures go to standard
//! error and include the thread that writes the lines.

use std::fs;
use std::thread;
use std::time::Duration;

use base::Event;
use base::Name;

const SECONDS: u64 = 10;
/// The lines that are written at once, and the pause after them in milliseconds.
const LOADS: [(u64, u64); 3] = [(15, 50), (35, 50), (500, 1_000)];

fn main() {
    let _log = base::start_log(base::Format::Json, "info");
    let request = Name::from("08a64b9483028203");
    let endpoint = Name::from("i-077da4bd65");
    let adapter = Name::from("a775");
    for (lines, pause_ms) in LOADS {
        measure("Routed", lines, pause_ms, |number| {
            base::event!(
                INFO, Event::Routed, request = %request, endpoint = %endpoint, adapter = %adapter,
                urgency = 4, target_ms = 799 + number, waited_ms = 531
            );
        });
        measure("Denied", lines, pause_ms, |number| {
            base::event!(
                INFO,
                Event::Denied,
                gate = 17_u64,
                request = number,
                code = 1_004_u16,
                reason = "no-time",
                retry_ms = 250_u64,
                expected_ms = Some(1_210_u64),
                backlog = Some(48_210_u64),
                running = Some(12_u64),
                held_ms = Some(310_u64),
                cold = Some(false),
                loads = Some(3_u64)
            );
        });
    }
}

fn measure(name: &str, lines: u64, pause_ms: u64, mut write: impl FnMut(u64)) {
    let pauses = SECONDS * 1_000 / pause_ms;
    let (all, caller) = (processor_ns(true), processor_ns(false));
    for pause in 0..pauses {
        (0..lines).for_each(|line| write(pause * lines + line));
        thread::sleep(Duration::from_millis(pause_ms));
    }
    let written = pauses * lines;
    let all = (processor_ns(true) - all) / written;
    let caller = (processor_ns(false) - caller) / written;
    let rate = written / SECONDS;
    eprintln!(
        "{name}: {rate} lines/s, {lines} at once, {all} ns a line, {caller} ns in the calling thread"
    );
}

/// Returns the processor time of all threads or of the first one.
fn processor_ns(all: bool) -> u64 {
    let tasks = fs::read_dir("/proc/self/task").expect("Linux");
    let own = std::process::id().to_string();
    let tasks = tasks.map(|task| task.expect("a task").path());
    let tasks = tasks.filter(|task| all || task.ends_with(&own));
    tasks.map(|task| read_ns(&fs::read_to_string(task.join("schedstat")).expect("readable"))).sum()
}

fn read_ns(schedstat: &str) -> u64 {
    schedstat.split(' ').next().expect("three fields").parse().expect("a number")
}
