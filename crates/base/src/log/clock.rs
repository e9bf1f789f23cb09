//! The timestamps of the lines.

use std::cell::RefCell;
use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time;
use tracing_subscriber::fmt::time::FormatTime;

/// The length of a timestamp up to the whole seconds, as in `2026-08-28T12:54:08`.
const SECOND_BYTES: usize = 19;

/// The text of a second.
struct Second {
    unix_s: u64,
    text: String,
}

thread_local! {
    static LAST: RefCell<Second> = const { RefCell::new(Second { unix_s: u64::MAX, text: String::new() }) };
}

/// Appends the time as the library writes it, whose calendar is needed once a second and thread only.
pub(super) fn push_now(line: &mut String) -> fmt::Result {
    LAST.with_borrow_mut(|last| {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        if last.unix_s != now.as_secs() {
            let text = general_now()?;
            if unix_s() != now.as_secs() {
                line.push_str(&text);
                return Ok(());
            }
            *last = Second { unix_s: now.as_secs(), text };
            last.text.truncate(SECOND_BYTES);
        }
        line.push_str(&last.text);
        push_micros(line, now.subsec_micros());
        Ok(())
    })
}

fn general_now() -> Result<String, fmt::Error> {
    let mut text = String::new();
    time::SystemTime.format_time(&mut Writer::new(&mut text))?;
    Ok(text)
}

fn unix_s() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn push_micros(line: &mut String, micros: u32) {
    line.push('.');
    let mut place = 100_000;
    while place > 0 {
        line.push(char::from(b'0' + (micros / place % 10) as u8));
        place /= 10;
    }
    line.push('Z');
}
