//! Recent decisions on requests, for `explain`.

use std::collections::VecDeque;

use base::Event;
use base::Name;
use parking_lot::Mutex;

/// The maximum number of lines kept; the oldest are dropped.
const MAX_LINES: usize = 20_000;

/// The most recent decisions on requests, in order.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    lines: Mutex<VecDeque<(Name, String)>>,
}

impl Trace {
    /// Records and logs a line.
    pub(crate) fn record(&self, request: &Name, event: Event, line: impl Into<String>) {
        let line = line.into();
        base::event!(INFO, event, request = %request, "{line}");
        let mut lines = self.lines.lock();
        if lines.len() == MAX_LINES {
            lines.pop_front();
        }
        lines.push_back((request.clone(), format!("{} {}: {line}", event.number(), event.name())));
    }

    /// Returns the lines of a request, in order.
    pub(crate) fn find(&self, request: &str) -> Vec<String> {
        let lines = self.lines.lock();
        let matching = lines.iter().filter(|(id, _)| id.as_str() == request);
        matching.map(|(_, line)| line.clone()).collect()
    }
}
