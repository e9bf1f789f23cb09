//! Tests of the lease of the keeper that orders the engines.

use std::time::Duration;

use cell::lease::Lease;

const LEASE: Duration = Duration::from_secs(3);
const MS: fn(u64) -> Duration = Duration::from_millis;

#[test]
fn the_first_leader_and_a_new_one_order_at_once() {
    let mut lease = Lease::new(LEASE, true, None);
    assert_eq!(lease.start(2, MS(100)), MS(100));
    let mut other = Lease::new(LEASE, true, None);
    assert_eq!(other.start(3, MS(900)), MS(900));
}

#[test]
fn a_leader_that_is_elected_again_without_another_one_in_between_orders_at_once() {
    let mut lease = Lease::new(LEASE, true, None);
    lease.start(2, MS(100));
    lease.record_order(2, MS(500));
    assert_eq!(lease.start(3, MS(900)), MS(900));
}

#[test]
fn a_leader_after_another_one_waits_for_a_lease_after_its_last_order() {
    let mut lease = Lease::new(LEASE, true, None);
    lease.start(2, MS(100));
    lease.record_order(2, MS(500));
    // An order that is answered after the term has ended may have arrived until then.
    lease.record_order(2, MS(600));
    assert_eq!(lease.start(4, MS(900)), MS(3_600));
    assert_eq!(lease.start(6, MS(5_000)), MS(3_600));
}

#[test]
fn a_wait_that_has_not_ended_goes_on_in_the_next_term() {
    let mut lease = Lease::new(LEASE, true, None);
    lease.start(2, MS(100));
    lease.record_order(2, MS(500));
    assert_eq!(lease.start(4, MS(900)), MS(3_500));
    assert_eq!(lease.start(5, MS(1_500)), MS(3_500));
}

#[test]
fn each_new_leader_waits_for_a_lease_where_engines_do_not_check_fencing_tokens() {
    let mut lease = Lease::new(LEASE, false, None);
    assert_eq!(lease.start(2, MS(100)), MS(3_100));
    assert_eq!(lease.start(3, MS(4_000)), MS(7_000));
}

#[test]
fn the_answer_to_an_order_of_an_earlier_term_postpones_the_next_one() {
    let mut lease = Lease::new(LEASE, true, None);
    lease.start(2, MS(100));
    lease.record_order(2, MS(500));
    assert_eq!(lease.start(4, MS(510)), MS(3_500));
    assert_eq!(lease.record_order(2, MS(590)), MS(3_590));
    assert_eq!(lease.record_order(4, MS(3_600)), MS(3_590));
}

// Guards against a process that orders in turn with another keeper, because it does not know what the process before it
// ordered.
#[test]
fn a_restarted_leader_after_another_one_waits_for_a_lease_after_its_start() {
    let mut lease = Lease::new(LEASE, true, Some(2));
    assert_eq!(lease.start(4, MS(900)), LEASE);
    assert!(!lease.has_ended(MS(2_999)) && lease.has_ended(LEASE));
}

#[test]
fn a_restarted_leader_without_another_one_in_between_orders_at_once() {
    let mut lease = Lease::new(LEASE, true, Some(2));
    assert_eq!(lease.start(3, MS(900)), MS(900));
}
