//! Log events of committed commands, written only by the leader.

use base::Event;
use state::Command;
use state::Delta;
use state::Outcome;
use state::command::Configure;
use state::view::Patch;

/// Logs an applied command.
pub(crate) fn command(command: &Command, outcome: &Outcome) {
    match command {
        Command::Configure(command) => configure(command, outcome),
        Command::Claim { claim, .. } => {
            let (key, request) = (&claim.key.key, &claim.request);
            base::event!(DEBUG, Event::KeyClaimed, %key, %request, outcome = outcome_label(outcome));
        }
        Command::Finish { key, claim, .. } => {
            let key = &key.key;
            base::event!(DEBUG, Event::KeyFinished, %key, claim, outcome = outcome_label(outcome));
        }
        Command::Release { key, claim } => {
            let key = &key.key;
            base::event!(DEBUG, Event::KeyReleased, %key, claim, outcome = outcome_label(outcome));
        }
        Command::Implicate { endpoint, generation, fingerprints, .. } => {
            let requests = fingerprints.len();
            base::event!(WARN, Event::Implicated, %endpoint, generation, requests);
        }
        _ => {}
    }
}

/// Logs the changes of the view that operators need to see: newly quarantined requests.
pub(crate) fn deltas(deltas: &[Delta]) {
    for delta in deltas {
        if let Patch::Quarantine(fingerprint, Some(_)) = delta.patch {
            let fingerprint = format!("{fingerprint:016x}");
            base::event!(WARN, Event::RequestQuarantined, fingerprint);
        }
    }
}

fn configure(command: &Configure, outcome: &Outcome) {
    let (id, author) = (&command.id, &command.author);
    let change = &command.change;
    base::event!(INFO, Event::Commanded, %id, %author, ?change, outcome = outcome_label(outcome));
}

/// Returns the label of an outcome for the log.
fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Done { .. } => "done",
        Outcome::Claimed { .. } => "claimed",
        Outcome::Recorded { .. } => "recorded",
        Outcome::Refused { code, .. } => code.name(),
    }
}
