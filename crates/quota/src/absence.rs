//! What gates that are cut off from the leader may spend.

use std::time::Duration;

use base::Map;
use base::Name;

use crate::account::SHARE_TIME;
use crate::account::SPENT_PART;
use crate::window::Window;

/// The part of a limit that absent gates may spend in addition to it. It is below the tolerance of the quotas, so that
/// the loss of a single gate of many leaves the limit to the others.
const TOLERATED: f64 = 0.05;

/// A gate without a link to the leader.
#[derive(Clone, Copy, Debug)]
struct Absent {
    since: Duration,
    /// Its share of the limit.
    part: f64,
}

/// A tenant's spending by gate, and what absent gates may spend.
#[derive(Clone, Debug, Default)]
pub(crate) struct Absence {
    spent: Map<Name, Window>,
    absent: Map<Name, Absent>,
}

impl Absence {
    /// Records what a gate spent in the slice with this end.
    pub(crate) fn spend(&mut self, gate: &Name, units: u64, span: Duration, end: Duration) {
        let window = self.spent.entry(gate.clone()).or_insert_with(|| Window::new(span));
        window.add(end, units);
    }

    /// Takes back what a gate did not spend.
    pub(crate) fn give_back(&mut self, gate: &str, units: u64, now: Duration) {
        if let Some(window) = self.spent.get_mut(gate) {
            window.give_back(units, now);
        }
    }

    /// Records that one of `gates` gates is absent, of `used` units that all have spent.
    pub(crate) fn insert(&mut self, gate: &Name, gates: u32, used: u64, now: Duration) {
        let equal = 1.0 / f64::from(gates.max(1));
        let own = self.spent.get_mut(gate).map_or(0, |window| window.used(now));
        let spent = if used > 0 { (own as f64 / used as f64).min(1.0) } else { 0.0 };
        let part = (1.0 - SPENT_PART) * equal + SPENT_PART * spent;
        self.absent.insert(gate.clone(), Absent { since: now, part });
    }

    /// Records that a gate is back or was replaced.
    pub(crate) fn remove(&mut self, gate: &str) {
        self.absent.remove(gate);
    }

    /// Returns the units that absent gates may spend and that are not counted as spent.
    pub(crate) fn units(&mut self, limit: u64, now: Duration) -> u64 {
        self.absent.retain(|_, absent| now < absent.since + SHARE_TIME);
        if self.absent.is_empty() {
            return 0;
        }
        let mut units = 0.0;
        for (gate, absent) in &self.absent {
            let counted = self.spent.get_mut(gate).map_or(0, |window| window.used(now));
            units += (absent.part * limit as f64 - counted as f64).max(0.0);
        }
        (units - TOLERATED * limit as f64).max(0.0) as u64
    }

    /// Forgets gates that spent nothing in the window, and those that may spend nothing any more.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.absent.retain(|_, absent| now < absent.since + SHARE_TIME);
        self.spent.retain(|_, window| !window.is_empty(now));
    }
}
