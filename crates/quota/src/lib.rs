//! The quotas of tenants over all gates: the leader's ledger, from which gates reserve, and a gate's account of what it
//! has reserved and spent. Pure: no I/O, and times are arguments.

mod absence;
mod account;
mod ledger;
mod promise;
mod share;
mod totals;
mod window;

use std::time::Duration;

use fleet::tenant::Quota;

pub use crate::account::Account;
pub use crate::account::Charge;
pub use crate::account::Need;
pub use crate::account::Source;
pub use crate::ledger::Answer;
pub use crate::ledger::Ledger;
pub use crate::ledger::Total;
pub use crate::totals::Totals;
pub use crate::window::SLICE;
pub use crate::window::Window;

/// The longest time between the charge of a request and its arrival at an endpoint that the ledger's window covers.
const MAX_HOLD: Duration = Duration::from_secs(1);
/// The same where more than the limit may be used. A shorter time loses less of the limit, and it still covers credit.
const MAX_HOLD_WITH_OVERAGE: Duration = Duration::from_millis(600);
/// The share of the overage that compensates for the longer window; the rest is for requests that reach their endpoints
/// later than that.
const OVERAGE_SHARE: f64 = 0.5;

/// The time for which the ledger counts a unit after the end of its slice. It is longer than the guaranteed window by as
/// much as the burst covers at the sustained rate, since requests reach their endpoints some time after they are charged.
pub fn span(quota: &Quota) -> Duration {
    quota.window + hold(quota).saturating_sub(SLICE)
}

/// The units that the ledger grants in its window. Where the overage allows it, the longer window has more units, so that
/// a tenant at its limit in each window of the promise is not refused.
pub fn allowance(quota: &Quota) -> u64 {
    let limit = quota.limit();
    let more =
        (quota.rate * hold(quota).as_secs_f64()).min(limit as f64 * quota.overage * OVERAGE_SHARE);
    limit + more as u64
}

fn hold(quota: &Quota) -> Duration {
    let most = if quota.overage > 0.0 { MAX_HOLD_WITH_OVERAGE } else { MAX_HOLD };
    let hold = (quota.burst / quota.rate).min(most.as_secs_f64());
    Duration::try_from_secs_f64(hold).unwrap_or_default()
}
