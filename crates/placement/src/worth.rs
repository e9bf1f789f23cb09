//! The worth of a load: its priority against other loads.

use std::time::Duration;

use crate::demand::DEFAULT_WEIGHT;
use crate::demand::Demand;
use crate::policy::Order;
use crate::policy::Policy;

/// The wait after which the worth has doubled.
const AGE_SCALE: Duration = Duration::from_secs(2);
/// The unit of worth: one waiting request of the default priority.
pub(crate) const UNIT: f64 = 100.0;

/// Returns the worth of loading the adapter for the requests that wait for it.
pub(crate) fn demanded(policy: &Policy, demand: &Demand, now: Duration) -> f64 {
    let age = now.saturating_sub(demand.oldest_arrival).as_secs_f64() / AGE_SCALE.as_secs_f64();
    let requests = f64::from(demand.weight) / f64::from(DEFAULT_WEIGHT);
    match policy.order {
        Order::Oldest => age * UNIT,
        Order::Worth if policy.aging => requests * (1.0 + age * age) * UNIT,
        Order::Worth => requests * UNIT,
    }
}

/// Returns the worth as an integer, in which form gates' loads are compared.
pub(crate) fn round(worth: f64) -> u32 {
    worth.clamp(0.0, f64::from(u32::MAX)) as u32
}
