//! The evaluation of engine records between two readings.

use base::Name;
use load::records;
use stub::record::Change;
use stub::record::Record;
use stub::record::Status;
use stub::record::Totals;
use wire::endpoint::Model;

fn record(busy_ms: f64, run_ms: f64, loads: u64) -> Option<Record> {
    let totals = Totals { batch: 10, busy_ms, run_ms, loads, ..Totals::default() };
    Some(Record { totals, ..Record::default() })
}

#[test]
fn the_totals_of_a_restarted_engine_count_from_zero() {
    let mut before = record(9_000.0, 9_000.0, 9);
    before.as_mut().unwrap().totals.begun = 100;
    let engines = records::aggregate(&[before], &[record(1_000.0, 5_000.0, 2)], 2.0, 10);
    assert_eq!((engines.busy_seconds, engines.fill, engines.loads_per_second), (1.0, 0.5, 1.0));
}

fn change(adapter: &str, load: bool, at_ms: u64) -> Change {
    let model = Model { adapter: Name::from(adapter), version: Name::from("v1") };
    Change { model, load, start_ms: at_ms, end_ms: at_ms, end: Status::Complete }
}

#[test]
fn an_engine_that_does_not_respond_is_left_out() {
    let before = [record(1_000.0, 2_000.0, 1), record(5_000.0, 9_000.0, 7)];
    let after = [record(3_000.0, 12_000.0, 5), None];
    let engines = records::aggregate(&before, &after, 2.0, 10);
    assert_eq!(engines.unread, 1);
    assert_eq!(engines.busy_seconds, 2.0);
    assert_eq!(engines.fill, 0.5);
    assert_eq!(engines.seconds_per_answer, 0.2);
    assert_eq!(engines.loads_per_second, 2.0);
}

#[test]
fn an_eviction_is_regretted_if_the_adapter_is_loaded_again_within_a_minute() {
    let mut one = Record::default();
    one.changes.push(change("a", false, 900));
    one.changes.push(change("a", false, 10_000));
    one.changes.push(change("b", false, 10_000));
    one.changes.push(change("c", true, 9_000));
    one.changes.push(change("c", false, 10_000));
    let mut other = Record::default();
    other.changes.push(change("a", true, 40_000));
    other.changes.push(change("b", true, 70_001));
    assert_eq!(records::regretted_evictions(&[Some(one), None, Some(other)], 1_000), 1);
}
