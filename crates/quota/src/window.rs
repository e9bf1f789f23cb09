//! Sliding windows in slices.

use std::collections::VecDeque;
use std::time::Duration;

use fleet::message::Spending;

/// The length of a slice. A unit is counted up to this much longer than the span of its window.
pub const SLICE: Duration = Duration::from_millis(100);
/// The age of most units that are given back: the lifetime of unused credit and the interval at which it is returned.
pub(crate) const USUAL_AGE: Duration = Duration::from_millis(600);

/// The units used in a sliding window, by slice.
#[derive(Clone, Debug)]
pub struct Window {
    span: Duration,
    /// The end and the units of each slice, by ascending end. Invariant: no slice is empty.
    slices: VecDeque<(Duration, u64)>,
    /// Invariant: the sum of the units of all slices.
    total: u64,
}

impl Window {
    /// Creates an empty window. It counts a unit for `span` after the end of the slice in which it was used.
    pub fn new(span: Duration) -> Window {
        Window { span, slices: VecDeque::new(), total: 0 }
    }

    /// Returns the span.
    pub fn span(&self) -> Duration {
        self.span
    }

    /// Changes the span.
    pub fn set_span(&mut self, span: Duration) {
        self.span = span;
    }

    /// Records units that are used now.
    pub fn spend(&mut self, units: u64, now: Duration) {
        let index = now.as_millis() / SLICE.as_millis() + 1;
        self.add(SLICE * index as u32, units);
        self.expire(now);
    }

    /// Records units that were used in the slice with this end.
    pub fn add(&mut self, end: Duration, units: u64) {
        if units == 0 {
            return;
        }
        self.total += units;
        let at = self.slices.partition_point(|(other, _)| *other < end);
        match self.slices.get_mut(at) {
            Some((other, known)) if *other == end => *known += units,
            _ => self.slices.insert(at, (end, units)),
        }
    }

    /// Takes units back that were not used after all; returns those that the window had, the others are no longer
    /// counted. The slices of the usual age come first, then newer ones: a unit that stays is rather counted for too long.
    pub fn give_back(&mut self, units: u64, now: Duration) -> u64 {
        self.expire(now);
        let oldest = now.saturating_sub(USUAL_AGE);
        let split = self.slices.partition_point(|(end, _)| *end < oldest);
        let mut left = units;
        for at in (split..self.slices.len()).chain((0..split).rev()) {
            let taken = left.min(self.slices[at].1);
            self.slices[at].1 -= taken;
            left -= taken;
        }
        self.slices.retain(|(_, units)| *units > 0);
        self.total -= units - left;
        units - left
    }

    /// Returns the units used in the window.
    pub fn used(&mut self, now: Duration) -> u64 {
        self.expire(now);
        self.total
    }

    /// Returns the units in the slices that end after `from`.
    pub fn used_since(&self, from: Duration) -> u64 {
        self.slices.iter().rev().take_while(|(end, _)| *end > from).map(|(_, units)| units).sum()
    }

    /// Returns the units that will still be counted at a later time.
    pub fn used_at(&self, at: Duration) -> u64 {
        let counted = self.slices.iter().rev().take_while(|(end, _)| *end + self.span > at);
        counted.map(|(_, units)| units).sum()
    }

    /// Returns the times at which units cease to be counted, in ascending order.
    pub fn expiries(&self) -> impl Iterator<Item = Duration> {
        self.slices.iter().map(|(end, _)| *end + self.span)
    }

    /// Returns the time until `units` more fit into `limit`; `None` if they never will.
    pub fn wait(&mut self, units: u64, limit: u64, now: Duration) -> Option<Duration> {
        let room = limit.checked_sub(units)?;
        if self.used(now) <= room {
            return Some(Duration::ZERO);
        }
        let free = self.expiries().find(|at| self.used_at(*at) <= room)?;
        Some(free.saturating_sub(now))
    }

    /// Removes the slices that end after `from`.
    pub fn truncate(&mut self, from: Duration) {
        while let Some((_, units)) = self.slices.pop_back_if(|(end, _)| *end > from) {
            self.total -= units;
        }
    }

    /// Removes the slices that end until `at`.
    pub fn remove_until(&mut self, at: Duration) {
        while let Some((_, units)) = self.slices.pop_front_if(|(end, _)| *end <= at) {
            self.total -= units;
        }
    }

    /// Returns the slices that end after `from` and have ended, with the ages of their ends.
    pub fn slices(&self, from: Duration, now: Duration) -> Vec<(u32, u64)> {
        let recent = self.slices.iter().filter(|(end, _)| *end > from && *end <= now);
        let age = |end: Duration| now.saturating_sub(end).as_millis() as u32;
        recent.map(|(end, units)| (age(*end), *units)).collect()
    }

    /// Returns all slices with the ages of their ends; that of the slice in progress is 0.
    pub fn all_slices(&self, now: Duration) -> Vec<(u32, u64)> {
        let age = |end: Duration| now.saturating_sub(end).as_millis() as u32;
        self.slices.iter().map(|(end, units)| (age(*end), *units)).collect()
    }

    /// Returns whether nothing is counted.
    pub fn is_empty(&mut self, now: Duration) -> bool {
        self.used(now) == 0
    }

    /// Adds all slices of another window.
    pub fn merge(&mut self, other: &Window) {
        for (end, units) in &other.slices {
            self.add(*end, *units);
        }
    }

    fn expire(&mut self, now: Duration) {
        while let Some((_, units)) = self.slices.pop_front_if(|(end, _)| *end + self.span <= now) {
            self.total -= units;
        }
    }
}

/// Returns the end and the units of each slice that another node reports.
pub(crate) fn decode(spending: &Spending, now: Duration) -> impl Iterator<Item = (Duration, u64)> {
    let slices = spending.slices.iter();
    slices.map(move |(age_ms, units)| {
        (now.saturating_sub(Duration::from_millis(u64::from(*age_ms))), *units)
    })
}
