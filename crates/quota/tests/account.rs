//! What a gate reports and gives back when leaders change and requests end late.

use std::time::Duration;

use base::Name;
use fleet::tenant::Quota;
use fleet::tenant::Unit;
use quota::Account;
use quota::Charge;
use quota::Source;

const WINDOW: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn tenant() -> Name {
    Name::from("t")
}

/// Returns a quota of 8,000 units in a window.
fn quota() -> Quota {
    Quota { rate: 1_000.0, burst: 0.0, unit: Unit::Tokens, plain_tokens: 0, window: WINDOW }
}

/// Spends units that the leader or deputy that the gate follows grants.
fn spend(account: &mut Account, units: u64, now: Duration) {
    let charge = account.charge(&tenant(), &quota(), units, now);
    let Charge::Reserve(need) = charge else { panic!("{charge:?}") };
    let settled = account.settle(&tenant(), &quota(), &need, (units, units), now);
    assert_eq!(settled, Source::Paid);
}

// Guards against a refund of units that are no longer counted, for which others would be forgotten.
#[test]
fn a_refund_after_the_window_forgets_no_other_request() {
    let mut account = Account::new(ms(0));
    account.follow(1, ms(0));
    spend(&mut account, 6_000, ms(0));
    spend(&mut account, 5_000, ms(9_000));
    assert_eq!(account.refund(&tenant(), 6_000, ms(0), ms(9_100)), 0);
    assert_eq!(account.spent("t", ms(9_100)), 5_000);
    // The leader may have counted credit earlier than the gate.
    assert_eq!(account.refund(&tenant(), 5_000, ms(9_000), ms(16_800)), 0);
    assert_eq!(account.refund(&tenant(), 5_000, ms(9_000), ms(16_000)), 5_000);
    assert_eq!(account.spent("t", ms(16_000)), 0);
}
