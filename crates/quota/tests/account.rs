//! What a gate reports and gives back when leaders change and requests end late.

use std::time::Duration;

use base::Name;
use fleet::message::Spending;
use fleet::tenant::Quota;
use fleet::tenant::Tenant;
use fleet::tenant::Unit;
use quota::Account;
use quota::Charge;
use quota::Ledger;
use quota::Source;
use quota::Totals;

const WINDOW: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn tenant() -> Name {
    Name::from("t")
}

/// Returns a quota of 8,000 units in a window.
fn quota() -> Quota {
    Quota {
        rate: 1_000.0,
        burst: 0.0,
        unit: Unit::Tokens,
        plain_tokens: 0,
        window: WINDOW,
        overage: 0.0,
    }
}

/// Spends units that the leader or deputy that the gate follows grants.
fn spend(account: &mut Account, units: u64, now: Duration) {
    let charge = account.charge(&tenant(), &quota(), units, now);
    let Charge::Reserve(need) = charge else { panic!("{charge:?}") };
    let settled = account.settle(&tenant(), &quota(), &need, (units, units), now);
    assert_eq!(settled, Source::Paid);
}

fn reported(report: &[Spending]) -> u64 {
    report.iter().flat_map(|spending| &spending.slices).map(|(_, units)| units).sum()
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

// Guards against spending that a leader counts twice after the link to a gate was lost for a moment and a deputy replaced
// the leader meanwhile.
#[test]
fn a_leader_that_is_followed_again_is_told_only_what_it_does_not_know() {
    let mut account = Account::new(ms(0));
    assert!(account.follow(1, ms(0)).is_empty());
    spend(&mut account, 1_000, ms(0));
    account.lose_leader(ms(200));
    // A deputy knows what the leader told it, which may be old.
    assert_eq!(reported(&account.follow_deputy(7, ms(200))), 1_000);
    spend(&mut account, 500, ms(300));
    account.lose_leader(ms(400));
    assert_eq!(reported(&account.follow(1, ms(500))), 500);
    spend(&mut account, 30, ms(600));
    account.lose_leader(ms(700));
    assert_eq!(reported(&account.follow_deputy(7, ms(700))), 1_530);
    account.lose_leader(ms(800));
    assert!(account.follow(1, ms(800)).is_empty());
    // Another leader knows nothing of what this gate spent.
    account.lose_leader(ms(900));
    assert_eq!(reported(&account.follow(2, ms(900))), 1_530);
}

// Guards against spending that is lost with the link to a leader which did not answer any more.
#[test]
fn a_report_that_may_be_lost_is_repeated_to_the_leader() {
    let share = (1, 0.0);
    let mut account = Account::new(ms(0));
    account.follow(1, ms(0));
    spend(&mut account, 2_000, ms(0));
    account.take_share(&tenant(), &quota(), 100, share, ms(2_000)).expect("units");
    account.counted(&tenant(), 100, ms(2_000));
    // An answer after the report shows that the leader got it.
    spend(&mut account, 1, ms(2_200));
    account.take_share(&tenant(), &quota(), 40, share, ms(3_000)).expect("units");
    account.counted(&tenant(), 40, ms(3_000));
    account.lose_leader(ms(3_500));
    account.follow_deputy(7, ms(3_500));
    account.lose_leader(ms(3_600));
    assert_eq!(reported(&account.follow(1, ms(3_600))), 40);
}

// Guards against spending that is forgotten because a plan omits a tenant or its quota for a moment.
#[test]
fn a_quota_that_is_removed_and_set_again_keeps_its_spending() {
    let tenants = [Tenant { name: tenant(), keys: Vec::new(), rank: None, quota: Some(quota()) }];
    let gate = Name::from("gate");
    let mut ledger = Ledger::new(Totals::default(), Vec::new(), 1);
    ledger.set_tenants(&tenants, ms(0));
    assert_eq!(ledger.reserve(&gate, "t", (8_000, 0), ms(1_000)).granted, 8_000);
    ledger.set_tenants(&[], ms(2_000));
    ledger.set_tenants(&tenants, ms(3_000));
    assert_eq!(ledger.reserve(&gate, "t", (1, 0), ms(3_000)).granted, 0);
    // What expired meanwhile no longer counts.
    ledger.set_tenants(&[], ms(4_000));
    ledger.take_changes(ms(12_000));
    ledger.set_tenants(&tenants, ms(12_000));
    assert_eq!(ledger.reserve(&gate, "t", (8_000, 0), ms(12_000)).granted, 8_000);
}
