//! Requests that crash endpoints are quarantined; requests that only ran at the same time are not.

mod common;

use base::Name;
use base::Set;
use common::*;
use state::Change;
use state::Command;
use state::Machine;

const POISON: u64 = 1;
const HARMLESS: u64 = 2;
const NONE: [u64; 0] = [];

fn quarantined(machine: &Machine) -> Vec<u64> {
    let mut list: Vec<u64> = machine.view().quarantine.keys().copied().collect();
    list.sort_unstable();
    list
}

fn suspects(machine: &Machine) -> Set<u64> {
    machine.view().suspects.clone()
}

#[test]
fn a_request_that_crashed_two_endpoints_is_quarantined() {
    let mut machine = machine();
    apply(&mut machine, implicate("e1", 1, &[POISON, HARMLESS]));
    assert_eq!(suspects(&machine), [POISON, HARMLESS].into_iter().collect());
    assert_eq!(quarantined(&machine), NONE);
    apply(&mut machine, implicate("e2", 1, &[POISON]));
    assert_eq!(quarantined(&machine), [POISON]);
    assert_eq!(suspects(&machine), Set::default());
}

#[test]
fn a_request_that_crashed_two_endpoints_is_quarantined_in_whichever_order_they_are_reported() {
    let mut machine = machine();
    apply(&mut machine, implicate("e2", 1, &[POISON]));
    assert_eq!(quarantined(&machine), NONE);
    apply(&mut machine, implicate("e1", 1, &[POISON, HARMLESS]));
    assert_eq!(quarantined(&machine), [POISON]);
    assert_eq!(suspects(&machine), Set::default());
}

#[test]
fn the_same_crash_counts_once() {
    let mut machine = machine();
    apply(&mut machine, implicate("e1", 1, &[POISON]));
    apply(&mut machine, implicate("e1", 1, &[POISON]));
    assert_eq!(quarantined(&machine), NONE);
    apply(&mut machine, implicate("e1", 2, &[POISON]));
    assert_eq!(quarantined(&machine), [POISON]);
}

#[test]
fn a_request_is_never_quarantined_for_crashes_with_other_requests_in_progress() {
    let mut machine = machine();
    for generation in 1..4 {
        apply(&mut machine, implicate("e1", generation, &[POISON, HARMLESS]));
    }
    assert_eq!(quarantined(&machine), NONE);
    apply(&mut machine, implicate("e2", 1, &[POISON]));
    assert_eq!(quarantined(&machine), [POISON]);
    assert_eq!(suspects(&machine), Set::default());
    apply(&mut machine, implicate("e3", 1, &[HARMLESS]));
    assert_eq!(quarantined(&machine), [POISON]);
}

#[test]
fn a_late_report_of_further_requests_shows_that_a_request_did_not_run_alone() {
    let mut machine = machine();
    apply(&mut machine, implicate("e1", 1, &[HARMLESS]));
    apply(&mut machine, implicate("e1", 1, &[POISON]));
    apply(&mut machine, implicate("e2", 1, &[POISON, HARMLESS]));
    assert_eq!(quarantined(&machine), NONE);
}

#[test]
fn a_suspect_that_completed_alone_is_cleared() {
    let mut machine = machine();
    apply(&mut machine, implicate("e1", 1, &[POISON, HARMLESS]));
    apply(&mut machine, Command::Clear { fingerprints: vec![HARMLESS] });
    assert_eq!(suspects(&machine), [POISON].into_iter().collect());
    apply(&mut machine, implicate("e2", 1, &[HARMLESS]));
    assert_eq!(quarantined(&machine), NONE);
}

#[test]
fn suspicion_expires_and_a_pardon_ends_the_quarantine() {
    let mut machine = machine();
    apply(&mut machine, implicate("e1", 1, &[HARMLESS]));
    let later = |endpoint: &str, fingerprint, now_ms| Command::Implicate {
        endpoint: Name::from(endpoint),
        generation: 1,
        fingerprints: vec![fingerprint],
        now_ms,
    };
    apply(&mut machine, later("e2", POISON, LIMITS.crash_retention_ms));
    assert_eq!(suspects(&machine), [POISON].into_iter().collect());
    apply(&mut machine, later("e3", POISON, LIMITS.crash_retention_ms + 1));
    assert_eq!(quarantined(&machine), [POISON]);
    let pardon = Change::Pardon { fingerprint: POISON };
    apply(&mut machine, configure("c1", None, pardon));
    assert_eq!((quarantined(&machine), suspects(&machine)), (vec![], Set::default()));
}

#[test]
fn the_number_of_quarantined_requests_is_limited() {
    let mut machine = machine();
    for fingerprint in 1..=3 {
        apply(&mut machine, implicate("e1", 2 * fingerprint, &[fingerprint]));
        apply(&mut machine, implicate("e1", 2 * fingerprint + 1, &[fingerprint]));
    }
    assert_eq!(quarantined(&machine), [2, 3]);
}
