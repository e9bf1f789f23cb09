//! What refused requests were told about when they may come back.

use std::collections::VecDeque;
use std::time::Duration;

/// The requests that were refused and may come back, in the order of their refusals.
#[derive(Clone, Debug, Default)]
pub(crate) struct Promises {
    /// When each one may come back, and its units.
    due: VecDeque<(Duration, u64)>,
    /// Invariant: the sum of the units of `due`.
    units: u64,
}

impl Promises {
    /// Returns the units of the requests that have not come back, at most `limit`: callers of a flood rarely all come
    /// back, and the time that is named to others must not grow without bound.
    pub(crate) fn units(&mut self, limit: u64, now: Duration) -> u64 {
        while let Some((_, units)) = self.due.pop_front_if(|(due, _)| *due <= now) {
            self.units -= units;
        }
        self.units.min(limit)
    }

    /// Records a refusal, unless so many units wait already that [`Promises::units`] would not count it.
    pub(crate) fn push(&mut self, due: Duration, units: u64, limit: u64) {
        if self.units < limit {
            let at = self.due.partition_point(|(other, _)| *other <= due);
            self.due.insert(at, (due, units));
            self.units += units;
        }
    }
}
