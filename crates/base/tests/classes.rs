//! Lines about single requests do not displace those about changes of belief, nor the other way round.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::time::Duration;
use std::time::Instant;

use base::Event;
use base::Format;
use serde_json::Value;
use tracing::Dispatch;
use tracing::dispatcher::with_default;

/// More lines than the queue and a batch of the writer hold.
const FLOOD: u64 = 20_000;
const STATES: u64 = 100;
/// The maximum volume of a second.
const MAX_BYTES: usize = 256 << 10;

/// An output that reports its first write, blocks in it until the test opens it, and records everything.
struct Gate {
    entered: Option<Sender<()>>,
    open: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gate {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(entered) = self.entered.take() {
            entered.send(()).ok();
            self.open.recv().ok();
        }
        self.written.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A log whose output is blocked.
struct Log {
    dispatch: Dispatch,
    open: Sender<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Log {
    fn blocked() -> Log {
        let (entered, has_entered) = mpsc::channel();
        let (open, is_open) = mpsc::channel();
        let written = Arc::default();
        let output = Gate { entered: Some(entered), open: is_open, written: Arc::clone(&written) };
        let log = Log { dispatch: base::build_log(Format::Json, "info", output), open, written };
        log.run(|| tracing::info!("blocks the output"));
        has_entered.recv_timeout(Duration::from_secs(10)).expect("the writer runs");
        log
    }

    fn run(&self, write: impl FnOnce()) {
        with_default(&self.dispatch, write);
    }

    fn open(&self) {
        self.open.send(()).expect("the writer runs");
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().expect("not poisoned").clone()).expect("text")
    }

    /// Waits until the output meets a condition.
    fn wait_for(&self, what: &str, met: impl Fn(&[Value]) -> bool) -> Vec<Value> {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let text = self.text();
            let complete = &text[..text.rfind('\n').map_or(0, |end| end + 1)];
            let lines = complete.lines().map(|line| serde_json::from_str(line).expect("JSON"));
            let lines: Vec<Value> = lines.collect();
            if met(&lines) {
                return lines;
            }
            assert!(Instant::now() < deadline, "{what}: not written");
            std::thread::yield_now();
        }
    }
}

fn write_requests(count: u64) {
    for number in 0..count {
        base::event!(INFO, Event::Denied, number, reason = "a refusal of a single request");
    }
}

fn write_states(count: u64) {
    for number in 0..count {
        base::event!(INFO, Event::LeaderElected, number, "a change of belief");
    }
}

/// The numbers of the written lines of an event, in their order.
fn numbers(lines: &[Value], event: Event) -> Vec<u64> {
    let lines = lines.iter().filter(|line| line["event"] == event.number());
    lines.map(|line| line["number"].as_u64().expect("a number")).collect()
}

/// The reported number of dropped lines of a class.
fn dropped(lines: &[Value], class: &str) -> u64 {
    let reports = lines.iter().filter(|line| line["event"] == Event::LinesDropped.number());
    let reports = reports.filter(|line| line["class"] == class);
    reports.map(|line| line["lines"].as_u64().expect("a number")).sum()
}

#[test]
fn a_flood_of_request_lines_does_not_displace_state_lines() {
    let log = Log::blocked();
    log.run(|| {
        write_requests(FLOOD);
        write_states(STATES);
    });
    log.open();
    let lines = log.wait_for("the report", |lines| dropped(lines, "request") > 0);
    assert_eq!(numbers(&lines, Event::LeaderElected), (0..STATES).collect::<Vec<_>>());
    let requests = numbers(&lines, Event::Denied);
    assert!(requests.is_sorted(), "out of order: {requests:?}");
    assert_eq!(requests.len() as u64 + dropped(&lines, "request"), FLOOD);
    assert_eq!(dropped(&lines, "state"), 0);
}

#[test]
fn a_flood_of_state_lines_is_bounded_and_does_not_displace_request_lines() {
    let log = Log::blocked();
    let start = Instant::now();
    log.run(|| {
        write_states(FLOOD);
        write_requests(STATES);
    });
    assert!(start.elapsed() < Duration::from_secs(5), "blocked for {:?}", start.elapsed());
    log.open();
    let lines = log.wait_for("the report", |lines| dropped(lines, "state") > 0);
    let states = numbers(&lines, Event::LeaderElected);
    assert!(states.is_sorted(), "out of order: {states:?}");
    assert_eq!(states.len() as u64 + dropped(&lines, "state"), FLOOD);
    assert!(log.text().len() < MAX_BYTES, "{} bytes", log.text().len());
    assert_eq!(numbers(&lines, Event::Denied), (0..STATES).collect::<Vec<_>>());
    assert_eq!(dropped(&lines, "request"), 0);
}

#[test]
fn lines_of_libraries_count_as_requests_unless_they_warn() {
    let log = Log::blocked();
    log.run(|| {
        for _ in 0..FLOOD {
            tracing::info!("a line of a library");
        }
        write_requests(1);
        tracing::warn!(number = 7, event = 1, "a warning of a library");
    });
    log.open();
    let lines = log.wait_for("the report", |lines| dropped(lines, "request") > 0);
    assert!(lines.iter().any(|line| line["event"] == 1), "the warning is missing");
    assert_eq!(numbers(&lines, Event::Denied), [0_u64; 0]);
    assert_eq!(dropped(&lines, "state"), 0);
}

#[test]
fn an_event_that_is_not_a_constant_has_its_class() {
    let log = Log::blocked();
    // Longer than the room that a flood of shorter lines leaves.
    let text = "x".repeat(1_000);
    log.run(|| {
        write_requests(FLOOD);
        for (number, event) in [Event::KeyFinished, Event::VoterAdded].into_iter().enumerate() {
            base::event!(INFO, event, number, text);
        }
    });
    log.open();
    let lines = log.wait_for("the report", |lines| dropped(lines, "request") > 0);
    assert_eq!(numbers(&lines, Event::VoterAdded), [1]);
    assert_eq!(numbers(&lines, Event::KeyFinished), [0_u64; 0]);
}

#[test]
fn a_class_is_written_again_after_a_flood() {
    let log = Log::blocked();
    log.run(|| write_requests(FLOOD));
    log.open();
    log.wait_for("the report", |lines| dropped(lines, "request") > 0);
    log.wait_for("a later line", |lines| {
        log.run(|| base::event!(INFO, Event::Refused, number = 1));
        !numbers(lines, Event::Refused).is_empty()
    });
}

#[test]
fn the_volume_of_both_classes_is_bounded_together() {
    let log = Log::blocked();
    log.run(|| {
        write_requests(FLOOD);
        write_states(FLOOD);
    });
    log.open();
    log.wait_for("the reports", |lines| {
        dropped(lines, "request") > 0 && dropped(lines, "state") > 0
    });
    assert!(log.text().len() < MAX_BYTES, "{} bytes", log.text().len());
}
