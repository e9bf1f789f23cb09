//! One holder at a time: gates that stall, leaders that are cut off, killed and restarted.

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

/// The seed, unless the variable `SEED` names another one to explore.
const SEED: u64 = 7;
const ENDPOINTS: usize = 6;
const ROUNDS: usize = 6;
const RENEWAL: Duration = Duration::from_millis(60);
/// Longer than a lease with its drift.
const STALL: Duration = Duration::from_millis(900);

/// Who acts on each endpoint, and until when at the latest.
type Holders = Arc<Mutex<Map<Name, (Name, Instant)>>>;

/// A gate that keeps to the rules of leases.
struct Gate {
    name: &'static str,
    run: u64,
    view: View,
    until: Instant,
    holders: Holders,
    /// How often it began to hold an endpoint.
    begun: usize,
}

impl Gate {
    fn new(name: &'static str, holders: Holders) -> Gate {
        let (view, until) = (View::default(), Instant::now());
        Gate { name, run: 1, view, until, holders, begun: 0 }
    }

    /// Renews its lease for as long as the test runs, at any keeper, and stalls now and then.
    async fn run(mut self, keepers: Vec<Name>, end: Instant, seed: u64) -> usize {
        let mut random = StdRng::seed_from_u64(seed);
        while Instant::now() < end {
            let at = random.random_range(0..keepers.len());
            self.renew(&keepers[at]).await;
            self.act();
            let stalls = random.random_range(0..60) == 0;
            tokio::time::sleep(if stalls { STALL } else { RENEWAL / 3 }).await;
            self.act();
        }
        self.begun
    }

    async fn renew(&mut self, keeper: &str) {
        let sent = Instant::now();
        let connect = tokio::time::timeout(RENEWAL, wire::transport::connect(keeper));
        let Ok(Ok(transport)) = connect.await else { return };
        let client = KeeperClient::new(tarpc::client::Config::default(), transport).spawn();
        let renewal = renewal(self.name, self.run, self.view.revision);
        match client.renew(context(), renewal).await {
            Ok(Ok(grant)) => self.take(grant, sent),
            Ok(Err(Fault::LeaseEnded)) => {
                self.release(|_| true);
                *self = Gate {
                    run: self.run + 1,
                    begun: self.begun,
                    ..Gate::new(self.name, self.holders.clone())
                };
            }
            _ => {}
        }
    }

    fn take(&mut self, grant: Grant, sent: Instant) {
        match grant.update {
            Update::Whole(view) => {
                assert!(view.revision >= self.view.revision, "the view went back");
                self.view = *view;
            }
            Update::Deltas(deltas) => {
                for delta in deltas {
                    assert!(self.view.apply(&delta), "a gap in the deltas");
                }
            }
        }
        self.until = sent + Duration::from_millis(grant.lease_ms);
    }

    /// Acts on its endpoints, and checks that nobody else does.
    fn act(&mut self) {
        let owned = |name: &Name| {
            let owner = self.view.endpoints.get(name).and_then(|known| known.owner.as_deref());
            owner == Some(self.name)
        };
        self.release(|name| !owned(name));
        let mut holders = self.holders.lock();
        let now = Instant::now();
        if now >= self.until {
            return;
        }
        let me = Name::from(format!("{}/{}", self.name, self.run));
        for name in self.view.endpoints.keys().filter(|name| owned(name)) {
            let former = holders.insert(name.clone(), (me.clone(), self.until));
            let Some((holder, until)) = former else {
                self.begun += 1;
                continue;
            };
            assert!(holder == me || until <= now, "{me} and {holder} both act on {name}");
            self.begun += usize::from(holder != me);
        }
    }

    /// Stops to act on some of its endpoints.
    fn release(&self, stops: impl Fn(&Name) -> bool) {
        let me = Name::from(format!("{}/{}", self.name, self.run));
        self.holders.lock().retain(|name, (holder, _)| *holder != me || !stops(name));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_endpoint_has_two_holders() {
    let seed = std::env::var("SEED").map_or(SEED, |text| text.parse().unwrap());
    let mut site = Site::new(3, None);
    site.link();
    site.start_all().await;
    for index in 0..ENDPOINTS {
        site.submit(&register(&format!("e{index}"))).await;
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
        let leader = site.settled().await;
        if round % 2 == 0 {
            site.cut(&leader, true);
            tokio::time::sleep(Duration::from_millis(random.random_range(200..900))).await;
            site.cut(&leader, false);
        } else {
            site.kill(&leader);
            site.start(&leader, false).await;
        }
    }
    let mut begun = 0;
    while let Some(gate) = gates.join_next().await {
        begun += gate.unwrap();
    }
    assert!(begun > ENDPOINTS, "{begun} changes of holders show little");
}
