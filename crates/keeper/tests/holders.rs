//! No endpoint has two holders at a time, even if gates stall and leaders are isolated, crashed and restarted.

mod site;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Map;
use base::Name;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use site::*;
use state::View;
use tokio::task::JoinSet;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::KeeperClient;
use wire::keeper::Update;

/// The default seed; the environment variable `SEED` overrides it.
const SEED: u64 = 7;
const ENDPOINTS: usize = 6;
const ROUNDS: usize = 6;
const RENEWAL_INTERVAL: Duration = Duration::from_millis(60);
/// The duration of a stall, longer than a lease plus the maximum clock drift.
const STALL_TIME: Duration = Duration::from_millis(900);

/// The holder of each endpoint and the end of its lease.
type Holders = Arc<Mutex<Map<Name, (Name, Instant)>>>;

/// A simulated gate that follows the lease protocol.
struct Gate {
    name: &'static str,
    incarnation: u64,
    view: View,
    lease_end: Instant,
    holders: Holders,
    /// The number of times the gate started to hold an endpoint.
    acquisitions: usize,
}

impl Gate {
    fn new(name: &'static str, holders: Holders) -> Gate {
        let (view, lease_end) = (View::default(), Instant::now());
        Gate { name, incarnation: 1, view, lease_end, holders, acquisitions: 0 }
    }

    /// Renews the lease at random keepers until `end`, with random stalls; returns the acquisitions.
    async fn run(mut self, keepers: Vec<Name>, end: Instant, seed: u64) -> usize {
        let mut random = StdRng::seed_from_u64(seed);
        while Instant::now() < end {
            let at = random.random_range(0..keepers.len());
            self.renew(&keepers[at]).await;
            self.act();
            let stalls = random.random_range(0..60) == 0;
            tokio::time::sleep(if stalls { STALL_TIME } else { RENEWAL_INTERVAL / 3 }).await;
            self.act();
        }
        self.acquisitions
    }

    async fn renew(&mut self, keeper: &str) {
        let sent = Instant::now();
        let connect = tokio::time::timeout(RENEWAL_INTERVAL, wire::transport::connect(keeper));
        let Ok(Ok(transport)) = connect.await else { return };
        let client = KeeperClient::new(tarpc::client::Config::default(), transport).spawn();
        let renewal = renewal(self.name, self.incarnation, self.view.revision);
        match client.renew(context(), renewal).await {
            Ok(Ok(grant)) => self.apply_grant(grant, sent),
            Ok(Err(Fault::LeaseEnded)) => {
                self.release(|_| true);
                *self = Gate {
                    incarnation: self.incarnation + 1,
                    acquisitions: self.acquisitions,
                    ..Gate::new(self.name, self.holders.clone())
                };
            }
            _ => {}
        }
    }

    fn apply_grant(&mut self, grant: Grant, sent: Instant) {
        match grant.update {
            Update::Whole(view) => {
                assert!(view.revision >= self.view.revision, "the revision of the view decreased");
                self.view = *view;
            }
            Update::Deltas(deltas) => {
                for delta in deltas {
                    assert!(self.view.apply(&delta), "gap in the deltas");
                }
            }
        }
        self.lease_end = sent + Duration::from_millis(grant.lease_ms);
    }

    /// Records itself as the holder of its endpoints while its lease is valid, and checks that no other gate
    /// with a valid lease holds them.
    fn act(&mut self) {
        let owned = |name: &Name| {
            let owner =
                self.view.endpoints.get(name).and_then(|ownership| ownership.owner.as_deref());
            owner == Some(self.name)
        };
        self.release(|name| !owned(name));
        let mut holders = self.holders.lock();
        let now = Instant::now();
        if now >= self.lease_end {
            return;
        }
        let me = Name::from(format!("{}/{}", self.name, self.incarnation));
        for name in self.view.endpoints.keys().filter(|name| owned(name)) {
            let previous = holders.insert(name.clone(), (me.clone(), self.lease_end));
            let Some((holder, until)) = previous else {
                self.acquisitions += 1;
                continue;
            };
            assert!(holder == me || until <= now, "{me} and {holder} both hold {name}");
            self.acquisitions += usize::from(holder != me);
        }
    }

    /// Releases the endpoints for which the predicate is true.
    fn release(&self, is_released: impl Fn(&Name) -> bool) {
        let me = Name::from(format!("{}/{}", self.name, self.incarnation));
        self.holders.lock().retain(|name, (holder, _)| *holder != me || !is_released(name));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_endpoint_has_two_holders() {
    let seed = std::env::var("SEED").map_or(SEED, |text| text.parse().unwrap());
    let mut site = Site::new(3, None);
    site.add_links();
    site.start_all().await;
    for index in 0..ENDPOINTS {
        site.submit(&register_engine(&format!("e{index}"))).await;
    }
    let keepers: Vec<Name> = site.config.entries.iter().map(|entry| entry.keeper.clone()).collect();
    let end = Instant::now() + Duration::from_secs(9);
    let holders = Holders::default();
    let mut gates = JoinSet::new();
    for (index, name) in ["g1", "g2", "g3"].into_iter().enumerate() {
        let gate = Gate::new(name, holders.clone());
        gates.spawn(gate.run(keepers.clone(), end, seed + index as u64));
    }
    let mut random = StdRng::seed_from_u64(seed);
    for round in 0..ROUNDS {
        let leader = site.wait_until_settled().await;
        if round % 2 == 0 {
            site.set_isolated(&leader, true);
            tokio::time::sleep(Duration::from_millis(random.random_range(200..900))).await;
            site.set_isolated(&leader, false);
        } else {
            site.crash(&leader);
            site.start(&leader, false).await;
        }
    }
    let mut acquisitions = 0;
    while let Some(gate) = gates.join_next().await {
        acquisitions += gate.unwrap();
    }
    assert!(acquisitions > ENDPOINTS, "too few changes of holders: {acquisitions}");
}
