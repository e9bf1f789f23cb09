//! A plain service as the leader sees it.

use std::time::Duration;

use fleet::message::Placement;

use crate::queue::Queue;
use crate::site::Site;
use crate::site::is_equal;

/// The share by which a call may take longer than the mean and still is on time; of work that varies by half, three calls in
/// four.
pub(crate) const MARGIN: f64 = 1.3;
/// The shortest retry delay.
const MIN_RETRY: Duration = Duration::from_millis(50);
/// The retry delay if nothing is known of the endpoints.
pub(crate) const DEFAULT_RETRY: Duration = Duration::from_millis(400);
/// The longest retry delay.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// The endpoints of a plain service and the calls that wait for them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Service {
    pub(crate) sites: Vec<Site>,
    pub(crate) queue: Queue,
    /// The refused calls that were told to come back and may not have, and when they were counted.
    pub(crate) returning: (f64, Duration),
}

impl Service {
    /// Returns the mean time of a call that does not wait, in ms; `None` without any run.
    pub(crate) fn work_ms(&self, now: Duration) -> Option<f64> {
        let (mut sum, mut known) = (0.0, 0.0);
        for work in self.sites.iter().filter_map(|site| site.estimate.work_ms(now)) {
            sum += work;
            known += 1.0;
        }
        (known > 0.0).then(|| sum / known)
    }

    /// Returns the calls per ms that the endpoints which may take a call complete; `None` without any run.
    pub(crate) fn rate(&self, placement: &Placement, now: Duration) -> Option<f64> {
        let sites = self.sites.iter().filter(|site| site.admits(placement));
        let rate: f64 = sites.filter_map(|site| site.rate(now)).sum();
        (rate > 0.0).then_some(rate)
    }

    /// Returns the time in ms within which a call is in time: its target, or its deadline if the target has passed or is too
    /// short for any endpoint.
    pub(crate) fn goal_ms(
        &self,
        placement: &Placement,
        work_ms: f64,
        waited: Duration,
        now: Duration,
    ) -> f64 {
        let waited_ms = waited.as_secs_f64() * 1e3;
        let left = f64::from(placement.left_ms) - waited_ms;
        let target = f64::from(placement.target_ms) - waited_ms;
        let sites = self.sites.iter().filter(|site| site.admits(placement));
        let alone = sites.map(|site| site.estimate.work_ms(now).unwrap_or(work_ms));
        let shortest = alone.fold(f64::INFINITY, f64::min);
        if placement.target_ms > 0 && shortest * MARGIN <= f64::from(placement.target_ms) {
            target.min(left)
        } else {
            left
        }
    }

    /// Returns the endpoint for a call now; `None` if it had better wait. With `at_once` it is `None` only if no endpoint has
    /// room.
    pub(crate) fn choose(
        &self,
        placement: &Placement,
        domain: &str,
        goal_ms: f64,
        at_once: bool,
        now: Duration,
    ) -> Option<usize> {
        // Without any run the endpoints are compared by their used slots and paces alone.
        let work_ms = self.work_ms(now).unwrap_or(1.0);
        let admitted = self.sites.iter().enumerate().filter(|(_, site)| site.admits(placement));
        let mut room: Option<(usize, f64)> = None;
        for (index, site) in admitted {
            if placement.excluded.is_empty()
                && site.is_due(work_ms, f64::from(placement.left_ms), now)
            {
                return Some(index);
            }
            let cost = site.cost(work_ms, domain, now);
            let better = |(best, least): (usize, f64)| match is_equal(cost, least) {
                true => site.placed < self.sites[best].placed,
                false => cost < least,
            };
            if site.has_room(now) && room.is_none_or(better) {
                room = Some((index, cost));
            }
        }
        let (index, _) = room?;
        let site = &self.sites[index];
        let in_time = site.expected_ms(work_ms, now) * MARGIN <= goal_ms;
        (at_once || in_time || site.is_free(now)).then_some(index)
    }

    /// Returns the delay after which a refused call may be served, and counts it among those that come back.
    pub(crate) fn retry_after(
        &mut self,
        excess_ms: f64,
        rate: Option<f64>,
        now: Duration,
    ) -> Duration {
        let Some(rate) = rate else { return DEFAULT_RETRY };
        let (count, at) = self.returning;
        let drained = now.saturating_sub(at).as_secs_f64() * 1e3 * rate;
        let before = (count - drained).max(0.0);
        self.returning = (before + 1.0, now);
        let ms = excess_ms.max(0.0) + before / rate;
        Duration::from_secs_f64(ms / 1e3).clamp(MIN_RETRY, MAX_RETRY)
    }
}
