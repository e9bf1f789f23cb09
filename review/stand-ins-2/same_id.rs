//! ORDER: servers start again under their ids with another software version, their first heartbeats are late, and clients take
//! their streams up again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::config;
use crate::record::Record;
use crate::server::Identity;
use crate::server::Server;
use crate::site::Options;
use crate::site::Site;
use crate::streams;
use crate::streams::CALM;
use crate::streams::DEADLINE;

const SERVERS: u8 = 2;
const STREAMS: u32 = 6;
const DOWN: Duration = Duration::from_millis(400);
/// The delay of the first heartbeat of a server that starts again.
const LATE: Duration = Duration::from_millis(2_500);

pub fn play(record: &Record, trouble: bool) -> bool {
    let site = Site::start(Options { gates: 2, keepers: 3 }, record);
    let timeout = DEADLINE.as_millis() as u32;
    let routes = [config::route("feed", "streaming", "feed", timeout, 2)];
    site.publish(&config::config(1, &routes, &[config::service("feed")]));
    let start = |number: u8, version: &str, late: Duration| {
        let identity = Identity {
            id: format!("i-{number}"),
            service: "feed".to_owned(),
            version: version.to_owned(),
            address: site.server(number),
            slots: 64,
        };
        Server::start_late(identity, late, site.controls(), record, Arc::new(streams::write_stream))
    };
    let old: Vec<_> = (0..SERVERS).map(|number| start(number, "v1", Duration::ZERO)).collect();
    site.await_ready();
    thread::sleep(CALM);
    let fronts = [site.front(0), site.front(1)];
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || streams::read_all(fronts, "/feed", "", number, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_300));
    old.iter().for_each(|server| server.crash());
    thread::sleep(DOWN);
    // The disruption: another software version. Without it, the same one starts again, and its heartbeats are as late.
    let version = if trouble { "v2" } else { "v1" };
    let new: Vec<_> = (0..SERVERS).map(|number| start(number, version, LATE)).collect();
    let results: Vec<(bool, Vec<String>)> =
        clients.into_iter().map(|client| client.join().unwrap()).collect();
    new.iter().for_each(|server| server.crash());
    site.record_logs("OriginLocated", 8);
    let complete = results.iter().filter(|(complete, _)| *complete).count();
    let joined = results.iter().filter(|(_, versions)| versions.len() > 1).count();
    record
        .say(&format!("{STREAMS} streams: {complete} complete, {joined} joined from two versions"));
    joined == 0
}
