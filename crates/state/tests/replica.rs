//! Replicas that apply the same commands have equal state, also after snapshots and through deltas.

mod common;

use base::Map;
use base::Name;
use base::Set;
use common::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use state::Change;
use state::Command;
use state::Machine;
use state::Outcome;
use state::View;
use state::journal::Key;

/// The number of seeds to run, unless the environment variable `SEEDS` sets another one.
const DEFAULT_SEEDS: u64 = 50;
const STEPS: usize = 400;

fn seeds() -> u64 {
    std::env::var("SEEDS").map_or(DEFAULT_SEEDS, |text| text.parse().unwrap())
}

/// Creates a random command over a small set of names, so that commands affect the same objects.
fn random_command(random: &mut StdRng, now_ms: u64) -> Command {
    let gate = format!("g{}", random.random_range(0..4));
    let incarnation = random.random_range(0..5);
    let endpoint = format!("e{}", random.random_range(0..6));
    let text = format!("k{}", random.random_range(0..8));
    let number = random.random_range(1..40);
    let fingerprint = random.random_range(0..4);
    match random.random_range(0..13) {
        0 => join(&gate, incarnation),
        1 => expire(&gate, incarnation),
        2 => Command::Register { endpoint: engine(&endpoint, incarnation) },
        3 => Command::Forget { endpoint: Name::from(endpoint.as_str()) },
        4 => Command::Assign {
            endpoint: Name::from(endpoint.as_str()),
            fence: number,
            gate: Name::from(gate.as_str()),
        },
        5 | 6 => claim(&text, &format!("r{number}"), (&gate, incarnation), now_ms),
        7 => finish(&text, number, now_ms),
        8 => Command::Release { key: key(&text), claim: number },
        9 => implicate(&endpoint, incarnation, &[fingerprint, fingerprint / 2]),
        10 => Command::Withdraw { endpoint: Name::from(endpoint.as_str()), fence: number },
        11 => create(&format!("c{number}"), &text),
        _ => {
            let change =
                Change::Drain { host: Name::from(gate.as_str()), draining: incarnation % 2 == 0 };
            configure(&format!("d{number}"), None, change)
        }
    }
}

#[test]
fn replicas_have_equal_state() {
    for seed in 0..seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let mut reference = machine();
        let mut restarted = machine();
        let mut replica = View::default();
        for step in 0..STEPS {
            let command = random_command(&mut random, step as u64 * 10);
            let before = reference.view().revision;
            let (outcome, deltas) = reference.apply(command.clone());
            assert_eq!(restarted.apply(command), (outcome, deltas.clone()), "seed {seed}");
            for delta in &deltas {
                assert!(replica.apply(delta), "seed {seed}");
                assert!(!replica.apply(delta), "seed {seed}: applied twice");
            }
            assert!(reference.view().revision >= before);
            if step % 37 == 0 {
                restarted = Machine::restore(LIMITS, &restarted.snapshot()).unwrap();
            }
        }
        assert_eq!(reference.digest(), restarted.digest(), "seed {seed}");
        assert_eq!(&replica, reference.view(), "seed {seed}");
    }
}

#[test]
fn a_key_is_claimed_once_unless_it_was_released() {
    let mut total = 0;
    for seed in 0..seeds() {
        let mut random = StdRng::seed_from_u64(seed);
        let mut machine = machine();
        let mut claims: Map<Key, (u64, Name)> = Map::default();
        let mut numbers = Set::default();
        for step in 0..STEPS {
            let command = random_command(&mut random, step as u64);
            match (machine.apply(command.clone()).0, command) {
                (Outcome::Claimed { claim: number }, Command::Claim { claim, .. }) => {
                    let now = (number, claim.request);
                    let before = claims.entry(claim.key).or_insert_with(|| {
                        assert!(
                            numbers.insert(number),
                            "seed {seed}: claim number {number} was issued twice"
                        );
                        now.clone()
                    });
                    assert_eq!(*before, now, "seed {seed}, step {step}");
                }
                (Outcome::Done { .. }, Command::Release { key, .. }) => drop(claims.remove(&key)),
                _ => {}
            }
        }
        total += numbers.len() as u64;
    }
    assert!(total >= seeds(), "only {total} claims in all seeds");
}

#[test]
fn a_corrupt_snapshot_is_refused() {
    let snapshot = machine().snapshot();
    assert!(Machine::restore(LIMITS, &[]).is_err());
    assert!(Machine::restore(LIMITS, &[9, 9, 9]).is_err());
    assert!(Machine::restore(LIMITS, &snapshot[..snapshot.len() - 1]).is_err());
}
