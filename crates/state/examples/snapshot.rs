//! Measures the cost of the journal by its number of keys:
//! `cargo run --release -p state --example snapshot -- ANSWER_BYTES KEYS…`.
//!
//! Prints the time to apply a claim with its answer, the size of a snapshot, and the time to encode and to
//! decode it.

use std::time::Duration;
use std::time::Instant;

use base::Name;
use state::Command;
use state::Limits;
use state::Machine;
use state::Outcome;
use state::journal::Answer;
use state::journal::Claim;
use state::journal::Key;
use state::view::Gate;

type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    let numbers: Result<Vec<usize>, _> =
        std::env::args().skip(1).map(|text| text.parse()).collect();
    let numbers = numbers?;
    let (answer_bytes, sizes) = numbers.split_first().ok_or("expected ANSWER_BYTES KEYS…")?;
    for keys in sizes {
        measure(*keys, *answer_bytes)?;
    }
    Ok(())
}

fn measure(keys: usize, answer_bytes: usize) -> Result<(), Error> {
    let limits = Limits { keys, total_bytes: usize::MAX, ..Limits::default() };
    let mut machine = Machine::new(limits);
    machine.apply(Command::Join { gate: gate() });
    let start = Instant::now();
    for number in 0..keys {
        record(&mut machine, number, answer_bytes)?;
    }
    let applied = start.elapsed();
    let start = Instant::now();
    let snapshot = machine.snapshot();
    let encoded = start.elapsed();
    let start = Instant::now();
    Machine::restore(limits, &snapshot)?;
    let decoded = start.elapsed();
    let ms = |time: Duration| time.as_secs_f64() * 1e3;
    println!(
        "{keys} keys: {:.2} us per request, snapshot {} bytes ({:.0} per key), encoded in {:.1} ms, decoded in {:.1} ms",
        ms(applied) * 1e3 / keys as f64,
        snapshot.len(),
        snapshot.len() as f64 / keys as f64,
        ms(encoded),
        ms(decoded)
    );
    Ok(())
}

fn record(machine: &mut Machine, number: usize, answer_bytes: usize) -> Result<(), Error> {
    let key = Key {
        scope: Name::from("ledger"),
        key: Name::from(format!("01890a5d-ac96-774b-bcce-{number:012}")),
    };
    let claim = Claim {
        key: key.clone(),
        digest: number as u64,
        request: Name::from(format!("{number:016}")),
        gate: Name::from("g"),
        incarnation: 1,
        created_ms: Some(1),
    };
    let (outcome, _) = machine.apply(Command::Claim { claim, now_ms: 1 });
    let Outcome::Claimed { claim } = outcome else { return Err(format!("{outcome:?}").into()) };
    let body = (answer_bytes > 0).then(|| vec![0; answer_bytes].into());
    let answer = Answer { status: 200, content_type: Name::from("application/json"), body };
    machine.apply(Command::Finish { key, claim, answer, now_ms: 1 });
    Ok(())
}

fn gate() -> Gate {
    Gate {
        name: Name::from("g"),
        incarnation: 1,
        domain: Name::default(),
        address: Name::default(),
        peer: Name::default(),
        relay: Name::default(),
    }
}
