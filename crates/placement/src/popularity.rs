//! How often adapters are asked for, with the past counting less and less.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use wire::endpoint::Model;

/// The hottest adapters that are kept in order.
const TOP: usize = 1_024;
/// The adapters that woke last.
const WOKEN: usize = 64;
/// The idle half-lives after which a request wakes an adapter.
const IDLE_HALF_LIVES: f64 = 1.0;

/// Decayed counters of requests by adapter.
///
/// Each counter is kept as the logarithm of its value at time 0, which decay does not change: only a
/// request changes the order of two adapters, so the order is kept without touching idle ones.
#[derive(Clone, Debug)]
pub struct Popularity {
    half_life: f64,
    capacity: usize,
    scores: Map<Model, Score>,
    /// The hottest adapters.
    ///
    /// Invariant: at most `TOP`, and none that is not here has a higher score.
    top: BTreeSet<(Score, Reverse<Model>)>,
    /// The adapters that woke last and when.
    woken: VecDeque<(Model, Duration)>,
}

/// The binary logarithm of a counter as of time 0.
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
    /// Creates counters that halve every `half_life`, for at most `capacity` adapters.
    pub fn new(half_life: Duration, capacity: usize) -> Popularity {
        Popularity {
            half_life: half_life.as_secs_f64().max(f64::MIN_POSITIVE),
            capacity: capacity.max(4 * TOP),
            scores: Map::default(),
            top: BTreeSet::new(),
            woken: VecDeque::new(),
        }
    }

    /// Counts a request.
    pub fn hit(&mut self, model: &Model, now: Duration) {
        let one = now.as_secs_f64() / self.half_life;
        let old = self.scores.get(model).copied();
        let score = old.map_or(Score(one), |old| Score(add(old.0, one)));
        if old.is_none_or(|old| one - old.0 > IDLE_HALF_LIVES) {
            self.wake(model, now);
        }
        self.scores.insert(model.clone(), score);
        self.promote(model, old, score);
        if self.scores.len() > self.capacity {
            self.shrink();
        }
    }

    /// Returns the decayed number of requests; 0 for an adapter that is not known.
    pub fn value(&self, model: &Model, now: Duration) -> f64 {
        let now = now.as_secs_f64() / self.half_life;
        self.scores.get(model).map_or(0.0, |score| (score.0 - now).exp2())
    }

    /// Returns a number that orders adapters by popularity whatever the time.
    pub fn score(&self, model: &Model) -> f64 {
        self.scores.get(model).map_or(f64::NEG_INFINITY, |score| score.0)
    }

    /// Returns the requests a second that a decayed number of requests stands for.
    pub fn rate(&self, value: f64) -> f64 {
        value * std::f64::consts::LN_2 / self.half_life
    }

    /// Iterates over the hottest adapters, the hottest first; at most 1,024.
    pub fn hottest(&self) -> impl Iterator<Item = &Model> {
        self.top.iter().rev().map(|(_, model)| &model.0)
    }

    /// Iterates over the adapters that woke after `since`, the latest first; at most 64.
    pub fn woken(&self, since: Duration) -> impl Iterator<Item = &Model> {
        let recent = self.woken.iter().rev().take_while(move |(_, at)| *at >= since);
        recent.map(|(model, _)| model)
    }

    /// Returns the number of adapters counted.
    pub fn len(&self) -> usize {
        self.scores.len()
    }

    /// Returns whether no adapter is counted.
    pub fn is_empty(&self) -> bool {
        self.scores.is_empty()
    }

    fn wake(&mut self, model: &Model, now: Duration) {
        if self.woken.len() == WOKEN {
            self.woken.pop_front();
        }
        self.woken.push_back((model.clone(), now));
    }

    fn promote(&mut self, model: &Model, old: Option<Score>, score: Score) {
        if let Some(old) = old {
            self.top.remove(&(old, Reverse(model.clone())));
        }
        self.top.insert((score, Reverse(model.clone())));
        if self.top.len() > TOP {
            self.top.pop_first();
        }
    }

    /// Forgets the colder half.
    fn shrink(&mut self) {
        let mut scores: Vec<Score> = self.scores.values().copied().collect();
        let middle = scores.len() / 2;
        let (_, median, _) = scores.select_nth_unstable(middle);
        let median = *median;
        self.scores.retain(|_, score| *score >= median);
    }
}

/// Returns the binary logarithm of the sum of two numbers given by theirs.
fn add(left: f64, right: f64) -> f64 {
    let (low, high) = if left < right { (left, right) } else { (right, left) };
    high + (low - high).exp2().ln_1p() / std::f64::consts::LN_2
}
