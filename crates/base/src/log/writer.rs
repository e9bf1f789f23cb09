//! The thread that writes the lines, and the handles that give it lines.

use std::io;
use std::io::Write;
use std::mem;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use tracing::Level;
use tracing::Metadata;
use tracing_subscriber::fmt::MakeWriter;

use crate::event::Class;
use crate::event::Event;
use crate::log::queue::Queue;

/// The maximum output rate of each class in bytes per second. Together with the reports on dropped lines
/// they stay below 256 KiB, a fraction of the bandwidth of a small host's disk or network.
const STATE_BYTES_PER_S: usize = 64 << 10;
const REQUEST_BYTES_PER_S: usize = 188 << 10;
/// The interval between writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// A log writer that never blocks; it drops lines when the queue of their class is full.
#[derive(Clone, Debug)]
pub struct Writer {
    sender: Arc<Sender>,
    class: Class,
}

impl Writer {
    /// Starts a thread that writes the lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Writer {
        let shared = Arc::new(Shared::default());
        let receiver = shared.clone();
        thread::spawn(move || receiver.write_lines(output));
        Writer { sender: Arc::new(Sender(shared)), class: Class::Request }
    }

    /// Returns the number of dropped lines that were not yet reported in the log.
    pub fn dropped(&self) -> u64 {
        let queues = self.sender.0.lock();
        queues.state.dropped() + queues.request.dropped()
    }

    /// Waits until all lines so far are written, or until `timeout` has passed.
    pub fn drain(&self, timeout: Duration) {
        self.sender.0.drain(timeout);
    }
}

impl Write for Writer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.sender.0.push(self.class, line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Writer {
    type Writer = Writer;

    fn make_writer(&'a self) -> Writer {
        self.clone()
    }

    fn make_writer_for(&'a self, metadata: &Metadata<'_>) -> Writer {
        Writer { sender: self.sender.clone(), class: class(metadata) }
    }
}

/// Returns the class of a line: that of its event, or for lines of libraries one by their level.
fn class(metadata: &Metadata<'_>) -> Class {
    let warns = *metadata.level() <= Level::WARN;
    Class::of(metadata).unwrap_or(if warns { Class::State } else { Class::Request })
}

/// Ends the thread after the last line when the last writer is gone.
#[derive(Debug)]
struct Sender(Arc<Shared>);

impl Drop for Sender {
    fn drop(&mut self) {
        self.0.lock().closed = true;
        self.0.filled.notify_one();
    }
}

#[derive(Debug, Default)]
struct Shared {
    /// Locked for the copy of a line or the exchange of a buffer, never while the output is written.
    queues: Mutex<Queues>,
    filled: Condvar,
    /// Notified after each batch.
    written: Condvar,
}

#[derive(Debug)]
struct Queues {
    state: Queue,
    request: Queue,
    /// Whether the thread waits for a line.
    idle: bool,
    /// Whether the thread writes a batch.
    writing: bool,
    /// Whether lines are to be written without waiting for more.
    draining: bool,
    closed: bool,
}

impl Default for Queues {
    fn default() -> Queues {
        Queues {
            state: Queue::new(STATE_BYTES_PER_S),
            request: Queue::new(REQUEST_BYTES_PER_S),
            idle: false,
            writing: false,
            draining: false,
            closed: false,
        }
    }
}

impl Queues {
    fn is_empty(&self) -> bool {
        self.state.is_empty() && self.request.is_empty()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Queues> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, class: Class, line: &[u8]) {
        let now = Instant::now();
        let mut queues = self.lock();
        match class {
            Class::Request => queues.request.push(line, now),
            Class::State => queues.state.push(line, now),
        }
        let wake = mem::take(&mut queues.idle);
        drop(queues);
        if wake {
            self.filled.notify_one();
        }
    }

    /// Writes the lines in batches, those about state first, until the last writer is gone.
    fn write_lines(&self, mut output: impl Write) {
        let (mut state, mut request) = (Vec::new(), Vec::new());
        while self.wait() {
            self.pause();
            let mut queues = self.lock();
            queues.writing = true;
            let lost_states = queues.state.take(&mut state);
            let lost_requests = queues.request.take(&mut request);
            drop(queues);
            state.append(&mut request);
            report(&mut state, Class::State, lost_states);
            report(&mut state, Class::Request, lost_requests);
            // A failed write means that the reader is gone, so the error cannot be reported.
            output.write_all(&state).and_then(|()| output.flush()).ok();
            state.clear();
            self.lock().writing = false;
            self.written.notify_all();
        }
    }

    /// Waits for more lines of the same batch.
    fn pause(&self) {
        let collecting = |queues: &mut Queues| !queues.draining && !queues.closed;
        drop(self.filled.wait_timeout_while(self.lock(), WRITE_INTERVAL, collecting));
    }

    fn drain(&self, timeout: Duration) {
        let mut queues = self.lock();
        queues.draining = true;
        self.filled.notify_one();
        let unwritten = |queues: &mut Queues| queues.writing || !queues.is_empty();
        let waited = self.written.wait_timeout_while(queues, timeout, unwritten);
        waited.unwrap_or_else(PoisonError::into_inner).0.draining = false;
    }

    /// Waits for a line; returns `false` when none will come.
    fn wait(&self) -> bool {
        let mut queues = self.lock();
        while queues.is_empty() && !queues.closed {
            queues.idle = true;
            queues = self.filled.wait(queues).unwrap_or_else(PoisonError::into_inner);
        }
        queues.idle = false;
        !queues.is_empty()
    }
}

/// Appends a line on the dropped lines of a class.
fn report(batch: &mut Vec<u8>, class: Class, lines: u64) {
    if lines == 0 {
        return;
    }
    let (event, name) = (Event::LinesDropped.number(), Event::LinesDropped.name());
    let class = class.name();
    let line = format!(
        "{{\"event\":{event},\"name\":\"{name}\",\"class\":\"{class}\",\"lines\":{lines}}}\n"
    );
    batch.extend(line.into_bytes());
}
