//! ORDER: the route of a stream moves to a service with another software version, the stream breaks, and its client takes it
//! up again.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::config;
use crate::model;
use crate::model::Model;
use crate::model::Sizes;
use crate::record::Record;
use crate::server::Identity;
use crate::server::Server;
use crate::site::Options;
use crate::site::Site;
use crate::streams;
use crate::streams::CALM;
use crate::streams::DEADLINE;

const SIZES: Sizes = Sizes { weights: 66_000, model: 60_000, adapter: 12, slots: 5 };
const STREAMS: u32 = 6;

pub fn play(record: &Record, trouble: bool) -> bool {
    let site = Site::start(Options { gates: 2, keepers: 3 }, record);
    let services = ["writer-a", "writer-b"].map(|name| config::model_service(name, SIZES));
    let to = |service: &str| {
        let mut route =
            config::route("draft", "streaming", service, DEADLINE.as_millis() as u32, 2);
        route = route.replace("\"TargetLatencyMs\":800", "\"TargetLatencyMs\":1000");
        [route]
    };
    site.publish(&config::config(1, &to("writer-a"), &services));
    let start = |number: u8, service: &str, version: &str| {
        let identity = Identity {
            id: format!("i-{number}"),
            service: service.to_owned(),
            version: version.to_owned(),
            address: site.server(number),
            slots: 64,
        };
        let model = Some(Model::new(SIZES));
        Server::start(identity, model, site.controls(), record, Arc::new(streams::write_stream))
    };
    let old = [start(0, "writer-a", "v1"), start(1, "writer-a", "v1"), start(2, "writer-a", "v1")];
    let new = [start(3, "writer-b", "v2"), start(4, "writer-b", "v2")];
    site.await_ready();
    thread::sleep(CALM);
    let fronts = [site.front(0), site.front(1)];
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || streams::read_all(fronts, "/draft", model::NAME, number, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    if trouble {
        // The disruption: a configuration moves the route to the other service.
        site.publish(&config::config(2, &to("writer-b"), &services));
    }
    thread::sleep(Duration::from_millis(600));
    // With or without the disruption, two of the three servers that run the streams crash.
    old[0].crash();
    old[1].crash();
    let results: Vec<(bool, Vec<String>)> =
        clients.into_iter().map(|client| client.join().unwrap()).collect();
    old.iter().chain(&new).for_each(|server| server.crash());
    site.record_logs("OriginLocated", 8);
    let complete = results.iter().filter(|(complete, _)| *complete).count();
    let joined = results.iter().filter(|(_, versions)| versions.len() > 1).count();
    let whole =
        results.iter().filter(|(complete, versions)| *complete && versions.len() > 1).count();
    record.say(&format!("{STREAMS} streams: {complete} complete, {joined} joined from two versions, {whole} of these complete"));
    joined == 0
}
