//! The journal ensures that non-idempotent requests run at most once.

mod common;

use base::Code;
use base::Name;
use common::*;
use state::Command;
use state::Machine;
use state::Outcome;

const G1: (&str, u64) = ("g1", 1);
const G2: (&str, u64) = ("g2", 1);

/// Creates a state with two gates, in which the first has claimed key `k` for request `r1` at 100 ms with
/// number 1.
fn claimed() -> Machine {
    let mut machine = machine();
    apply(&mut machine, join("g1", 1));
    apply(&mut machine, join("g2", 1));
    assert_eq!(apply(&mut machine, claim("k", "r1", G1, 100)), Outcome::Claimed { claim: 1 });
    machine
}

fn claim_created_at(text: &str, request: &str, created_ms: u64, now_ms: u64) -> Command {
    let Command::Claim { mut claim, now_ms } = claim(text, request, G1, now_ms) else { panic!() };
    claim.created_ms = Some(created_ms);
    Command::Claim { claim, now_ms }
}

#[test]
fn a_second_request_with_the_key_does_not_run() {
    let mut machine = claimed();
    assert_eq!(refuse(&mut machine, claim("k", "r2", G2, 101)), Code::KeyInProgress);
    assert_eq!(refuse(&mut machine, claim("k", "r2", G1, 101)), Code::KeyInProgress);
    apply(&mut machine, finish("k", 1, 200));
    let recorded = Outcome::Recorded { answer: answer(b"done") };
    assert_eq!(apply(&mut machine, claim("k", "r2", G2, 201)), recorded);
}

#[test]
fn a_repeated_claim_returns_the_same_number() {
    let mut machine = claimed();
    assert_eq!(apply(&mut machine, claim("k", "r1", G1, 101)), Outcome::Claimed { claim: 1 });
}

#[test]
fn a_different_body_is_refused_at_each_stage() {
    let mut machine = claimed();
    let Command::Claim { claim: mut other, .. } = claim("k", "r2", G2, 0) else { panic!() };
    other.digest = 8;
    let other = Command::Claim { claim: other, now_ms: 0 };
    assert_eq!(refuse(&mut machine, other.clone()), Code::KeyReused);
    apply(&mut machine, finish("k", 1, 200));
    assert_eq!(refuse(&mut machine, other), Code::KeyReused);
}

#[test]
fn the_outcome_is_unknown_after_the_claimant_is_lost_until_it_reports() {
    let mut machine = claimed();
    apply(&mut machine, expire("g1", 1));
    assert_eq!(refuse(&mut machine, claim("k", "r2", G2, 101)), Code::OutcomeUnknown);
    assert_eq!(refuse(&mut machine, claim("new", "r3", G1, 101)), Code::StaleLease);
    apply(&mut machine, finish("k", 1, 200));
    let recorded = Outcome::Recorded { answer: answer(b"done") };
    assert_eq!(apply(&mut machine, claim("k", "r2", G2, 201)), recorded);
}

#[test]
fn only_the_current_claim_can_finish_or_release() {
    let mut machine = claimed();
    assert_eq!(refuse(&mut machine, finish("k", 2, 200)), Code::StaleFence);
    let release = Command::Release { key: key("k"), claim: 1 };
    apply(&mut machine, release.clone());
    assert_eq!(refuse(&mut machine, release.clone()), Code::UnknownObject);
    assert_eq!(apply(&mut machine, claim("k", "r2", G2, 201)), Outcome::Claimed { claim: 2 });
    assert_eq!(refuse(&mut machine, release), Code::StaleFence);
    assert_eq!(refuse(&mut machine, finish("k", 1, 202)), Code::StaleFence);
    apply(&mut machine, finish("k", 2, 203));
    apply(&mut machine, finish("k", 2, 204));
}

#[test]
fn a_key_without_a_creation_time_stays_refused_after_its_retention() {
    let mut machine = claimed();
    apply(&mut machine, finish("k", 1, 200));
    assert_eq!(refuse(&mut machine, claim("k", "r2", G2, 1_200)), Code::KeyExpired);
    assert_eq!(refuse(&mut machine, claim("k", "r3", G2, 1_000_000)), Code::KeyExpired);
    assert_eq!((machine.journal_keys(), machine.journal_bytes()), (1, 0));
}

#[test]
fn a_key_with_a_creation_time_is_removed_and_refused_by_that_time() {
    let mut machine = claimed();
    apply(&mut machine, claim_created_at("t", "r1", 150, 150));
    apply(&mut machine, finish("t", 2, 300));
    assert_eq!(refuse(&mut machine, claim_created_at("t", "r2", 150, 1_300)), Code::KeyExpired);
    apply(&mut machine, claim_created_at("u", "r3", 1_299, 1_300));
    assert_eq!(refuse(&mut machine, claim_created_at("old", "r4", 100, 1_300)), Code::KeyExpired);
}

#[test]
fn a_key_created_in_the_future_is_kept_until_its_own_retention_ends() {
    let mut machine = claimed();
    let early = |request, now_ms| claim_created_at("t", request, 2_000, now_ms);
    apply(&mut machine, early("r1", 150));
    apply(&mut machine, finish("t", 2, 300));
    assert!(matches!(apply(&mut machine, early("r2", 1_500)), Outcome::Recorded { .. }));
    assert_eq!(refuse(&mut machine, early("r3", 3_000)), Code::KeyExpired);
}

#[test]
fn time_does_not_go_backwards_after_a_leader_change() {
    let mut machine = claimed();
    apply(&mut machine, claim_created_at("t", "r1", 150, 150));
    apply(&mut machine, finish("t", 2, 200));
    apply(&mut machine, claim("other", "r2", G2, 5_000));
    assert_eq!(refuse(&mut machine, claim_created_at("t", "r3", 150, 300)), Code::KeyExpired);
}

#[test]
fn a_request_in_progress_is_kept_beyond_the_retention() {
    let mut machine = claimed();
    assert_eq!(refuse(&mut machine, claim("k", "r2", G2, 5_000)), Code::KeyInProgress);
    apply(&mut machine, finish("k", 1, 5_001));
}

#[test]
fn a_full_journal_refuses_new_keys_only() {
    let mut machine = claimed();
    for text in ["k2", "k3", "k4"] {
        apply(&mut machine, claim(text, "r", G1, 100));
    }
    assert_eq!(refuse(&mut machine, claim("k5", "r", G1, 100)), Code::JournalFull);
    assert_eq!(refuse(&mut machine, claim("k", "r9", G1, 100)), Code::KeyInProgress);
}

#[test]
fn a_large_answer_is_recorded_without_its_body() {
    let mut machine = claimed();
    let large = answer(b"more than sixteen bytes");
    let finish = Command::Finish { key: key("k"), claim: 1, answer: large, now_ms: 200 };
    apply(&mut machine, finish);
    let Outcome::Recorded { answer } = apply(&mut machine, claim("k", "r2", G2, 201)) else {
        panic!()
    };
    assert_eq!(
        (answer.status, answer.body, answer.content_type),
        (200, None, Name::from("text/plain"))
    );
}

#[test]
fn a_long_key_is_refused() {
    let mut machine = claimed();
    let long = "k".repeat(257);
    assert_eq!(refuse(&mut machine, claim(&long, "r", G1, 100)), Code::Invalid);
}
