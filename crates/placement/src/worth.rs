//! What a load is worth.

use std::time::Duration;

use crate::policy::Order;
use crate::policy::Policy;
use crate::waiting::MIDDLE_WEIGHT;
use crate::waiting::Waiting;

/// The wait after which a request counts twice.
const AGE_SCALE: Duration = Duration::from_secs(2);
/// The unit of worth: a waiting request of middle priority.
pub(crate) const UNIT: f64 = 100.0;

/// Returns the worth of loading the adapter that requests wait for.
pub(crate) fn waiting(policy: &Policy, waiting: &Waiting, now: Duration) -> f64 {
    let age = now.saturating_sub(waiting.oldest).as_secs_f64() / AGE_SCALE.as_secs_f64();
    let requests = f64::from(waiting.weight) / f64::from(MIDDLE_WEIGHT);
    match policy.order {
        Order::Oldest => age * UNIT,
        Order::Worth if policy.aging => requests * (1.0 + age * age) * UNIT,
        Order::Worth => requests * UNIT,
    }
}

/// Returns the worth as it is compared between gates.
pub(crate) fn round(worth: f64) -> u32 {
    worth.clamp(0.0, f64::from(u32::MAX)) as u32
}
