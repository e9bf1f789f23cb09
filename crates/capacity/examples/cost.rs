//! Prints the processor time of a call at the leader, its placement and its end.

use std::time::Duration;
use std::time::Instant;

use base::Name;
use capacity::Balancer;
use fleet::endpoint::Endpoint;
use fleet::message::Load;
use fleet::message::Outcome;
use fleet::message::Placement;

const CALLS: u64 = 1_000_000;

fn main() {
    for endpoints in [6, 40] {
        let endpoint = |index| Endpoint {
            id: Name::from(format!("e{index}")),
            born: 1,
            service: Name::from("plain"),
            address: ([127, 0, 0, 1], 1).into(),
            domain: Name::from("a"),
            slots: 6,
            build: Name::from("v1"),
        };
        let all: Vec<Endpoint> = (0..endpoints).map(endpoint).collect();
        let mut balancer = Balancer::default();
        balancer.set_endpoints(all.iter(), Duration::ZERO);
        let load = Some(Load { running: 3, queued: 0, slots: 6, pace: Some(100) });
        let in_progress = endpoints * 3;
        let start = Instant::now();
        for request in 0..CALLS {
            let now = Duration::from_micros(request * 3_600);
            let placement = Placement {
                request,
                service: Name::from("plain"),
                target_ms: 300,
                left_ms: 1_500,
                rank: 1,
                tenant: None,
                excluded: Vec::new(),
                build: None,
            };
            balancer.place(request % 74, "a", placement, 1.0, now);
            if let Some(ended) = request.checked_sub(in_progress) {
                let ran = Duration::from_millis(60);
                balancer.ended(ended % 74, ended, Outcome::Done, ran, load, now);
            }
            assert!(balancer.take_answers().count() > 0, "nothing was decided");
        }
        let took = start.elapsed().as_nanos() as u64 / CALLS;
        println!("{endpoints} endpoints: {took} ns a call");
    }
}
