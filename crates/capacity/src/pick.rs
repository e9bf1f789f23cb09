//! The choice of a gate that has no leader.

use std::time::Duration;

/// Chooses one of two endpoints that were drawn at random, by cost. Many gates with the same outdated load would all choose
/// the minimum at once; of two random ones, each gets at most twice its share. `draw` returns a random index below its
/// argument.
pub fn pick_of_two<T>(
    candidates: &[T],
    mut draw: impl FnMut(usize) -> usize,
    cost: impl Fn(&T) -> f64,
) -> Option<&T> {
    let first = candidates.get(draw(candidates.len().max(1)))?;
    if candidates.len() == 1 {
        return Some(first);
    }
    let index = draw(candidates.len() - 1);
    // An index among the others, so that the two differ.
    let others = candidates.iter().filter(|other| !std::ptr::eq(*other, first));
    let second = others.into_iter().nth(index)?;
    Some(if cost(second) < cost(first) { second } else { first })
}

/// Returns the time in ms as a cost.
pub(crate) fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
