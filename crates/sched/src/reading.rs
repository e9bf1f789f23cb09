//! The prompts that an engine reads, and in which decoding steps, as far as the scheduler can tell.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of batches that are kept. At 4 prompts a second they cover the longest streams.
const MAX_BATCHES: usize = 64;

/// The prompts that an engine reads in one decoding step.
#[derive(Clone, Copy, Debug)]
struct Batch {
    /// When the first of them can have arrived at the engine.
    arrival: Duration,
    start: Duration,
    end: Duration,
    tokens: f64,
}

/// The decoding steps of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Steps {
    /// The number of steps for each event.
    pub(crate) stride: u32,
    /// The time of a step in which no prompts are read.
    pub(crate) time: Duration,
}

/// The prompts that an engine reads.
///
/// A step reads the prompts that have arrived at its start, so those that arrive meanwhile form the next batch.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reading {
    /// The batches in order; none overlap.
    batches: VecDeque<Batch>,
    /// The number of batches that were dropped.
    dropped: u64,
}

impl Reading {
    /// Adds a prompt that is sent to the engine and takes `time`; returns the number of its batch.
    pub(crate) fn add(&mut self, tokens: f64, time: Duration, now: Duration, steps: Steps) -> u64 {
        let arrival = now + steps.time;
        match self.batches.back_mut() {
            Some(last) if arrival <= last.start => {
                last.tokens += tokens;
                last.end += time;
            }
            last => {
                let start = last.map_or(arrival, |last| last.end.max(arrival));
                self.batches.push_back(Batch { arrival, start, end: start + time, tokens });
            }
        }
        if self.batches.len() > MAX_BATCHES {
            self.batches.pop_front();
            self.dropped += 1;
        }
        self.dropped + self.batches.len() as u64 - 1
    }

    /// Corrects the times of a batch whose first event has arrived, and of those after it. The batch ended at `end` if no
    /// prompts were read between it and the event.
    pub(crate) fn record_first_event(&mut self, number: u64, end: Duration, now: Duration) {
        let Some(index) = number.checked_sub(self.dropped).map(|index| index as usize) else {
            return;
        };
        let delayed = self.batches.get(index + 1).is_some_and(|next| next.start < now);
        let Some(batch) = self.batches.get_mut(index) else { return };
        if delayed && batch.end <= now {
            return;
        }
        batch.end = end.max(batch.arrival);
        batch.start = batch.start.min(batch.end);
        let mut free_from = batch.end;
        for batch in self.batches.range_mut(index + 1..) {
            let time = batch.end - batch.start;
            batch.start = batch.arrival.max(free_from);
            batch.end = batch.start + time;
            free_from = batch.end;
        }
    }

    /// Returns the prompt tokens that are to be read within the steps of one event if a prompt of `tokens` is sent `at`
    /// that time.
    pub(crate) fn window(&self, tokens: f64, at: Duration, steps: Steps) -> f64 {
        let arrival = at + steps.time;
        let Some(last) = self.batches.back() else { return tokens };
        if arrival <= last.start {
            return tokens + self.window_of(self.batches.len() - 1, 0, steps);
        }
        let idle = arrival.saturating_sub(last.end);
        let used = 1 + idle_steps(idle, steps);
        let before = if used < steps.stride {
            self.sum_before(self.batches.len(), used, 0, steps)
        } else {
            0.0
        };
        tokens + before
    }

    /// Returns the most prompt tokens within the steps of one event that a stream met from its first event, at `began`,
    /// until `now`, whose own prompt was in the batch `own`; `None` if that is not known any more.
    pub(crate) fn worst_window(
        &self,
        own: u64,
        began: Duration,
        now: Duration,
        steps: Steps,
    ) -> Option<f64> {
        let next = (own + 1).checked_sub(self.dropped)? as usize;
        let after = self.batches.iter().skip(next).take_while(|batch| batch.end <= began);
        let first = next + after.count();
        let read = (first..self.batches.len()).filter(|index| self.batches[*index].end <= now);
        let windows = read.map(|index| self.window_of(index, first, steps));
        Some(windows.fold(0.0, f64::max))
    }

    /// Returns the share of the last `period` in which prompts were read.
    pub(crate) fn utilization(&self, period: Duration, now: Duration) -> f64 {
        let from = now.saturating_sub(period);
        let batches = self.batches.iter().rev().take_while(|batch| batch.end > from);
        let read: Duration =
            batches.map(|batch| batch.end - batch.start.max(from).min(batch.end)).sum();
        read.as_secs_f64() / period.as_secs_f64()
    }

    /// Returns when a prompt can be sent that is not read within the steps of one event with those that were sent before.
    pub(crate) fn clear_at(&self, steps: Steps) -> Duration {
        self.batches.back().map_or(Duration::ZERO, |last| last.end + steps.time * steps.stride)
    }

    /// Returns the prompt tokens within the steps of one event whose last step reads the batch at `index`; those before
    /// `first` do not count.
    fn window_of(&self, index: usize, first: usize, steps: Steps) -> f64 {
        self.batches[index].tokens + self.sum_before(index, 1, first, steps)
    }

    /// Returns the prompt tokens of the batches before `index`, as far as they are read in the steps of one event of which
    /// `used` come later.
    fn sum_before(&self, index: usize, mut used: u32, first: usize, steps: Steps) -> f64 {
        let mut sum = 0.0;
        let mut next = self.batches.get(index).map(|batch| batch.start);
        for batch in self.batches.range(first.min(index)..index).rev() {
            let idle = next.map_or(0, |next| idle_steps(next.saturating_sub(batch.end), steps));
            used += idle;
            if used >= steps.stride {
                break;
            }
            sum += batch.tokens;
            used += 1;
            next = Some(batch.start);
        }
        sum
    }
}

/// Returns the number of whole steps in a time in which no prompts are read.
fn idle_steps(idle: Duration, steps: Steps) -> u32 {
    (idle.as_secs_f64() / steps.time.as_secs_f64().max(1e-4)) as u32
}
