//! Tests of the table of streams that can be resumed.

use std::time::Duration;

use base::Name;
use fleet::message::Frame;
use fleet::origin::Origin;
use fleet::origin::Table;

fn origin(stream: u64, build: &str, left_ms: u32) -> Origin {
    Origin { stream, service: Name::from("llm"), build: Name::from(build), left_ms }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_origin_is_known_until_it_expires() {
    let mut table = Table::default();
    table.record(origin(1, "v1", 1_000), at(500));
    assert_eq!(table.get(1, at(600)), Some(origin(1, "v1", 900)));
    assert_eq!(table.get(1, at(1_500)), None);
    assert_eq!(table.get(2, at(600)), None);
}

#[test]
fn a_later_origin_of_a_stream_replaces_the_earlier_one() {
    let mut table = Table::default();
    table.record(origin(1, "v1", 1_000), at(0));
    table.record(origin(1, "v2", 1_000), at(0));
    assert_eq!(table.get(1, at(0)), Some(origin(1, "v2", 1_000)));
    assert_eq!(table.unexpired(at(0)).len(), 1);
}

#[test]
fn unexpired_origins_have_the_time_that_is_left() {
    let mut table = Table::default();
    table.record(origin(1, "v1", 5_000), at(0));
    table.record(origin(2, "v1", 1_000), at(0));
    table.record(origin(3, "v2", 2_000), at(1_000));
    let mut left = table.unexpired(at(1_500));
    left.sort_by_key(|origin| origin.stream);
    assert_eq!(left, [origin(1, "v1", 3_500), origin(3, "v2", 1_500)]);
}

#[test]
fn the_table_is_bounded() {
    let mut table = Table::default();
    for stream in 0..200_000 {
        table.record(origin(stream, "v1", 60_000), at(0));
    }
    assert_eq!(table.get(0, at(0)), None);
    assert_eq!(table.get(199_999, at(0)), Some(origin(199_999, "v1", 60_000)));
    assert_eq!(table.unexpired(at(0)).len(), 1 << 17);
}

/// The control traffic that a node may send, in bytes a second, half of which records of streams may use.
const NODE_BYTES_PER_S: f64 = 15_000.0;
/// The streams that begin at a gate of the largest fleet, a second: 76,000 requests over 710 nodes.
const STREAMS_PER_S: f64 = 107.0;
/// The number of keepers that get each record.
const COPIES: f64 = 2.0;
/// The bytes before each frame on a link.
const LENGTH_BYTES: usize = 4;

#[test]
fn the_records_of_streams_fit_the_control_traffic_of_a_node() {
    let service = Name::from("proc-llm");
    let (stream, build, left_ms) = (u64::MAX, Name::from("v1.2"), 17_000);
    let frame = Frame::Origins(vec![Origin { stream, service, build, left_ms }]);
    let bytes = postcard::to_stdvec(&frame).expect("encoded").len() + LENGTH_BYTES;
    let rate = bytes as f64 * COPIES * STREAMS_PER_S;
    assert!(rate <= NODE_BYTES_PER_S / 2.0, "{bytes} bytes a record, {rate} bytes a second");
    println!("{bytes} bytes a record, {rate} bytes a second");
}
