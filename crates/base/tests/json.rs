//! Lines of events have the format of the library's JSON lines.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use base::Event;
use base::Format;
use tracing::Dispatch;
use tracing::dispatcher::with_default;

#[derive(Clone, Default)]
struct Recorder(Arc<Mutex<Vec<u8>>>);

impl Write for Recorder {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("not poisoned").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Recorder {
    /// Waits for a number of lines and returns them without their timestamps, which are checked.
    fn wait_for(&self, count: usize) -> Vec<String> {
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let text = String::from_utf8(self.0.lock().expect("not poisoned").clone());
            let text = text.expect("text");
            if text.matches('\n').count() >= count {
                return text.lines().map(without_timestamp).collect();
            }
            assert!(Instant::now() < deadline, "{text}");
            std::thread::yield_now();
        }
    }
}

fn without_timestamp(line: &str) -> String {
    let line = line.strip_prefix("{\"timestamp\":\"").expect("a timestamp");
    let (timestamp, rest) = line.split_at("2026-08-28T12:54:08.747061Z".len());
    let shape: String =
        timestamp.chars().map(|c| if c.is_ascii_digit() { '0' } else { c }).collect();
    assert_eq!(shape, "0000-00-00T00:00:00.000000Z");
    rest.to_string()
}

fn write_lines() {
    let error = io::Error::other("a \"quoted\" reason");
    let every_byte: String = (0..0x100_u32).filter_map(char::from_u32).collect();
    base::event!(INFO, Event::Routed, request = %"08a64b", urgency = 4, waited_ms = 531_u64, "text");
    base::event!(WARN, Event::LinkDown, peer = %every_byte, text = every_byte.as_str(), debug = ?every_byte);
    base::event!(ERROR, Event::Fault, error = %error, cause = &error as &dyn std::error::Error);
    base::event!(
        INFO,
        Event::Denied,
        none = None::<u64>,
        some = Some(3_u64),
        yes = true,
        no = false
    );
    base::event!(INFO, Event::Denied, small = i64::MIN, large = u64::MAX, huge = u128::MAX);
    base::event!(INFO, Event::Denied, tiny = i128::MIN, bytes = &b"\x00\"a"[..]);
    for number in [0.0, -1.5, 1e300, 1.0 / 3.0, f64::NAN, f64::INFINITY] {
        base::event!(INFO, Event::Denied, number);
    }
    base::event!(INFO, Event::Settings, "dotted.name" = 1, empty = "", "with {} arguments\n", 2);
    base::event!(INFO, Event::Stopped);
    tracing::warn!(number = 1, "of a library");
    let _span = tracing::info_span!("a span", field = 1).entered();
    base::event!(INFO, Event::LinkUp, peer = "a", "in a span");
}

#[test]
fn lines_of_events_are_those_of_the_library() {
    let (own, general) = (Recorder::default(), Recorder::default());
    let output = general.clone();
    let library = tracing_subscriber::fmt().json().flatten_event(true).with_ansi(false);
    let library = library.with_writer(move || output.clone());
    with_default(&base::build_log(Format::Json, "info", own.clone()), write_lines);
    with_default(&Dispatch::from(library), write_lines);
    let expected = general.wait_for(16);
    assert_eq!(expected.len(), 16);
    let sorted = |mut lines: Vec<String>| {
        lines.sort();
        lines
    };
    assert_eq!(sorted(own.wait_for(16)), sorted(expected));
}
