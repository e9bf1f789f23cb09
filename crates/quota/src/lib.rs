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

/// The time for which the ledger counts a unit after the end of its slice. It is longer than the guaranteed window by as
/// much as the burst covers at the sustained rate, since requests reach their endpoints some time after they are charged.
pub fn span(quota: &Quota) -> Duration {
    let hold = (quota.burst / quota.rate).min(MAX_HOLD.as_secs_f64());
    let hold = Duration::try_from_secs_f64(hold).unwrap_or_default();
    quota.window + hold.saturating_sub(SLICE)
}
