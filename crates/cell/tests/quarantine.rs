//! How a quarantine begins and ends.

use std::time::Duration;

use base::Name;
use cell::quarantine::Quarantine;
use cell::state::Command;
use cell::state::State;
use fleet::quarantine::Fingerprint;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;

const PART: Subject = Subject::Part(7);
const GATE: u64 = 3;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn loss(endpoint: &str, request: u64) -> Loss {
    Loss {
        endpoint: Name::from(endpoint),
        born: 1,
        fingerprint: Fingerprint { request, parts: vec![7] },
        ran_ms: 100,
        answering_ms: 0,
        age_ms: 0,
    }
}

fn survival(endpoint: &str) -> Survival {
    Survival { endpoint: Name::from(endpoint), born: 1, subjects: vec![PART] }
}

/// A leader whose proposals are applied at once.
#[derive(Default)]
struct Leader {
    quarantine: Quarantine,
    state: State,
}

impl Leader {
    /// Returns a leader that quarantined [`PART`] at 4 s.
    fn with_part() -> Leader {
        let mut leader = Leader::default();
        for number in 1..=3 {
            leader.lose(&format!("engine-{number}"), number, seconds(number));
        }
        assert!(leader.quarantine.evaluate(seconds(4)));
        leader.update(seconds(4));
        assert!(leader.state.quarantine().contains(PART));
        leader.update(seconds(4));
        leader
    }

    fn lose(&mut self, endpoint: &str, request: u64, now: Duration) {
        let losses = [loss(endpoint, request)];
        self.quarantine.record_losses(&losses, self.state.quarantine(), now);
    }

    fn update(&mut self, now: Duration) -> Vec<Command> {
        let commands = self.quarantine.commands(self.state.quarantine(), now);
        for command in commands.clone() {
            self.state.apply(command);
        }
        commands
    }

    fn refuse(&mut self, now: Duration) {
        self.quarantine.record_refusal(PART, GATE, now);
    }

    fn is_quarantined(&self) -> bool {
        self.state.quarantine().contains(PART)
    }
}

#[test]
fn a_verdict_holds_before_it_is_replicated_and_is_proposed_until_then() {
    let mut leader = Leader::default();
    for number in 1..=3 {
        leader.lose(&format!("engine-{number}"), number, seconds(number));
    }
    assert!(leader.quarantine.evaluate(seconds(4)));
    assert_eq!(leader.quarantine.subjects(leader.state.quarantine()), [PART]);
    let commands =
        |leader: &mut Leader, now| leader.quarantine.commands(leader.state.quarantine(), now).len();
    assert_eq!(commands(&mut leader, seconds(4)), 1);
    assert_eq!(commands(&mut leader, seconds(4)), 0);
    assert_eq!(commands(&mut leader, seconds(6)), 1);
}

#[test]
fn a_quarantine_ends_ten_minutes_after_the_last_refusal() {
    let mut leader = Leader::with_part();
    leader.refuse(seconds(500));
    leader.update(seconds(1_099));
    assert!(leader.is_quarantined());
    leader.update(seconds(1_101));
    assert!(!leader.is_quarantined());
}

// Guards against a sound part that stays in quarantine because requests with it keep coming.
#[test]
fn a_part_that_an_engine_survives_in_a_trial_is_released() {
    let mut leader = Leader::with_part();
    leader.refuse(seconds(60));
    assert_eq!(leader.quarantine.probes(seconds(63)), []);
    assert_eq!(leader.quarantine.probes(seconds(65)), [(GATE, PART)]);
    assert_eq!(leader.quarantine.probes(seconds(65)), []);
    leader.quarantine.record_survival(&survival("engine-9"), seconds(66));
    leader.update(seconds(66));
    assert!(leader.is_quarantined());
    leader.update(seconds(67));
    assert!(!leader.is_quarantined());
}

#[test]
fn a_part_that_crashes_an_engine_in_a_trial_stays_in_quarantine() {
    let mut leader = Leader::with_part();
    leader.refuse(seconds(60));
    assert_eq!(leader.quarantine.probes(seconds(65)), [(GATE, PART)]);
    leader.quarantine.record_survival(&survival("engine-9"), seconds(66));
    leader.lose("engine-9", 9, seconds(66));
    leader.update(seconds(67));
    assert!(leader.is_quarantined());
    for now in 67..305 {
        leader.refuse(seconds(now));
        assert_eq!(leader.quarantine.probes(seconds(now)), [], "{now}");
    }
    leader.refuse(seconds(305));
    assert_eq!(leader.quarantine.probes(seconds(305)), [(GATE, PART)]);
}

#[test]
fn a_part_that_no_request_has_is_not_probed() {
    let mut leader = Leader::with_part();
    assert_eq!(leader.quarantine.probes(seconds(65)), []);
    leader.refuse(seconds(70));
    assert_eq!(leader.quarantine.probes(seconds(90)), []);
}
