//! Detects that a replica's task runs late, which delays its heartbeats and votes.

use std::time::Duration;

use base::Event;
use prometheus::HistogramVec;
use tokio::time::Instant;

use crate::settings::HEARTBEAT_INTERVAL;
use crate::settings::TICK_INTERVAL;

/// The delays of a replica's task.
#[derive(Debug)]
pub(crate) struct Delay {
    metrics: HistogramVec,
    /// The end of the previous turn.
    turn_ended: Instant,
}

impl Delay {
    pub(crate) fn new(metrics: HistogramVec) -> Delay {
        Delay { metrics, turn_ended: Instant::now() }
    }

    /// Records the start of a turn. Turns are at most a tick apart unless the task had to wait.
    pub(crate) fn turn_started(&mut self) {
        let late = self.turn_ended.elapsed().saturating_sub(TICK_INTERVAL);
        self.record("turn", late);
    }

    /// Records the end of a turn.
    pub(crate) fn turn_ended(&mut self) {
        self.turn_ended = Instant::now();
    }

    /// Records the duration of a write.
    pub(crate) fn written(&self, took: Duration) {
        self.record("write", took);
    }

    fn record(&self, wait: &str, took: Duration) {
        self.metrics.with_label_values(&[wait]).observe(took.as_secs_f64());
        if took >= HEARTBEAT_INTERVAL {
            let ms = took.as_millis() as u64;
            base::event!(WARN, Event::ReplicaDelayed, wait, ms);
        }
    }
}
