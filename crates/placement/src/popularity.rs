//! Request counts by adapter with exponential decay.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use wire::endpoint::Model;

/// The number of most popular adapters that are kept sorted.
const MAX_HOTTEST: usize = 1_024;
/// The number of recently reactivated adapters that are kept.
const MAX_REACTIVATED: usize = 64;
/// The idle time, in half-lives, after which a request reactivates an adapter.
const IDLE_HALF_LIVES: f64 = 1.0;

/// Exponentially decayed request counts by adapter.
///
/// Each count is stored as the logarithm of its value at time 0, which does not change with decay. The
/// order of two adapters therefore changes only with a request, and idle adapters need no update.
#[derive(Clone, Debug)]
pub struct Popularity {
    half_life_s: f64,
    capacity: usize,
    scores: Map<Model, Score>,
    /// The most popular adapters.
    ///
    /// Invariant: at most [`MAX_HOTTEST`], and no other adapter has a higher score.
    hottest: BTreeSet<(Score, Reverse<Model>)>,
    /// The adapters that were requested again after an idle period, with the time of that request.
    reactivated: VecDeque<(Model, Duration)>,
}

/// The binary logarithm of a count at time 0.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Score(f64);

impl Eq for Score {}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Score) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Popularity {
    /// Creates counts that halve every `half_life`, for at most `capacity` adapters.
    pub fn new(half_life: Duration, capacity: usize) -> Popularity {
        Popularity {
            half_life_s: half_life.as_secs_f64().max(f64::MIN_POSITIVE),
            capacity: capacity.max(4 * MAX_HOTTEST),
            scores: Map::default(),
            hottest: BTreeSet::new(),
            reactivated: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn record(&mut self, model: &Model, now: Duration) {
        let one = now.as_secs_f64() / self.half_life_s;
        let old = self.scores.get(model).copied();
        let score = old.map_or(Score(one), |old| Score(log2_sum(old.0, one)));
        if old.is_none_or(|old| one - old.0 > IDLE_HALF_LIVES) {
            self.reactivate(model, now);
        }
        self.scores.insert(model.clone(), score);
        self.promote(model, old, score);
        if self.scores.len() > self.capacity {
            self.shrink();
        }
    }

    /// Returns the decayed number of requests; 0 for an unknown adapter.
    pub fn decayed_count(&self, model: &Model, now: Duration) -> f64 {
        let now = now.as_secs_f64() / self.half_life_s;
        self.scores.get(model).map_or(0.0, |score| (score.0 - now).exp2())
    }

    /// Returns a score that orders adapters by popularity and does not depend on the current time.
    pub fn score(&self, model: &Model) -> f64 {
        self.scores.get(model).map_or(f64::NEG_INFINITY, |score| score.0)
    }

    /// Converts a decayed number of requests to a rate in requests per second.
    pub fn rate(&self, decayed_count: f64) -> f64 {
        decayed_count * std::f64::consts::LN_2 / self.half_life_s
    }

    /// Iterates over the most popular adapters in descending order; at most 1,024.
    pub fn hottest(&self) -> impl Iterator<Item = &Model> {
        self.hottest.iter().rev().map(|(_, model)| &model.0)
    }

    /// Iterates over the adapters that were requested again after an idle period, if that was not before
    /// `since`; the latest first, at most 64.
    pub fn reactivated(&self, since: Duration) -> impl Iterator<Item = &Model> {
        let recent = self.reactivated.iter().rev().take_while(move |(_, at)| *at >= since);
        recent.map(|(model, _)| model)
    }

    /// Returns the number of adapters with a count.
    pub fn len(&self) -> usize {
        self.scores.len()
    }

    /// Returns whether no adapter has a count.
    pub fn is_empty(&self) -> bool {
        self.scores.is_empty()
    }

    fn reactivate(&mut self, model: &Model, now: Duration) {
        if self.reactivated.len() == MAX_REACTIVATED {
            self.reactivated.pop_front();
        }
        self.reactivated.push_back((model.clone(), now));
    }

    fn promote(&mut self, model: &Model, old: Option<Score>, score: Score) {
        if let Some(old) = old {
            self.hottest.remove(&(old, Reverse(model.clone())));
        }
        self.hottest.insert((score, Reverse(model.clone())));
        if self.hottest.len() > MAX_HOTTEST {
            self.hottest.pop_first();
        }
    }

    /// Removes the adapters below the median score.
    fn shrink(&mut self) {
        let mut scores: Vec<Score> = self.scores.values().copied().collect();
        let middle = scores.len() / 2;
        let (_, median, _) = scores.select_nth_unstable(middle);
        let median = *median;
        self.scores.retain(|_, score| *score >= median);
    }
}

/// Returns the binary logarithm of `2^left + 2^right`.
fn log2_sum(left: f64, right: f64) -> f64 {
    let (low, high) = if left < right { (left, right) } else { (right, left) };
    high + (low - high).exp2().ln_1p() / std::f64::consts::LN_2
}
