//! The addresses of a site, kept as long as the site allows.

use std::time::Duration;

use base::Map;
use base::Name;
use hyper::Method;
use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stub::client::Client;
use tokio::time::Instant;
use wire::http::Address;
use wire::http::Addresses;

/// How long a gate may take to answer for addresses.
const LIMIT: Duration = Duration::from_secs(2);

/// The least time between two questions for addresses.
const PAUSE: Duration = Duration::from_millis(500);

/// How long an address that failed is left out.
const AVOID: Duration = Duration::from_secs(1);

/// Picks addresses by their weights.
pub struct Directory {
    seeds: Vec<Name>,
    /// Whether the seeds are used as they are.
    direct: bool,
    client: Client,
    table: Mutex<Table>,
    /// Held while the addresses are asked for, so that one asks for all.
    asking: tokio::sync::Mutex<()>,
}

struct Table {
    rng: StdRng,
    addresses: Vec<Address>,
    /// When `addresses` must not be used any more.
    expires: Instant,
    /// When the last question for addresses ended; none before the first.
    asked: Option<Instant>,
    /// When an address that failed may be used again.
    avoided: Map<Name, Instant>,
}

impl Directory {
    /// Makes a directory that asks the seeds, or uses them as they are if `direct`.
    pub fn new(seeds: Vec<Name>, direct: bool, seed: u64) -> Directory {
        let table = Table {
            rng: StdRng::seed_from_u64(seed),
            addresses: Vec::new(),
            expires: Instant::now(),
            asked: None,
            avoided: Map::default(),
        };
        let client = Client::default();
        let asking = tokio::sync::Mutex::new(());
        Directory { seeds, direct, client, table: Mutex::new(table), asking }
    }

    /// Picks an address by weight; none if no gate tells any.
    ///
    /// The addresses are asked for again when they expire, or when all of them failed lately.
    pub async fn pick(&self) -> Option<Name> {
        if self.table.lock().must_ask() {
            let _asking = self.asking.lock().await;
            if self.table.lock().must_ask() {
                self.ask().await;
                self.table.lock().asked = Some(Instant::now());
            }
        }
        self.table.lock().draw()
    }

    /// Leaves out an address for a while.
    pub fn avoid(&self, address: &Name) {
        let mut table = self.table.lock();
        table.avoided.insert(address.clone(), Instant::now() + AVOID);
    }

    /// Takes the addresses that a refusal named, until the list expires.
    pub fn learn(&self, addresses: Vec<Address>) {
        if !addresses.is_empty() && !self.direct {
            self.table.lock().addresses = addresses;
        }
    }

    async fn ask(&self) {
        if self.direct {
            let addresses = self.seeds.iter().cloned();
            let addresses = addresses.map(|address| Address { address, weight: 1 }).collect();
            self.keep(Addresses { addresses, keep_ms: u64::from(u32::MAX) });
            return;
        }
        for address in self.candidates() {
            let answer = self.client.send(Method::GET, &address, "/v1/addresses", "", LIMIT).await;
            let Ok(answer) = answer else { continue };
            let Ok(addresses) = serde_json::from_slice::<Addresses>(answer.body()) else {
                continue;
            };
            if !addresses.addresses.is_empty() {
                self.keep(addresses);
                return;
            }
        }
    }

    /// Returns whom to ask: the known addresses and the seeds in random order.
    fn candidates(&self) -> Vec<Name> {
        let mut table = self.table.lock();
        let known = table.addresses.iter().map(|address| address.address.clone());
        let mut all: Vec<Name> = known.chain(self.seeds.iter().cloned()).collect();
        all.sort();
        all.dedup();
        let first = table.rng.random_range(0..all.len().max(1));
        all.rotate_left(first);
        all
    }

    fn keep(&self, addresses: Addresses) {
        let mut table = self.table.lock();
        table.expires = Instant::now() + Duration::from_millis(addresses.keep_ms);
        table.addresses = addresses.addresses;
    }
}

impl Table {
    fn must_ask(&self) -> bool {
        let now = Instant::now();
        if self.asked.is_some_and(|asked| now < asked + PAUSE) {
            return false;
        }
        let failed = |address: &Address| {
            self.avoided.get(&address.address).is_some_and(|until| *until > now)
        };
        now >= self.expires || self.addresses.iter().all(failed)
    }

    fn draw(&mut self) -> Option<Name> {
        let now = Instant::now();
        self.avoided.retain(|_, until| *until > now);
        let fresh: Vec<&Address> = self
            .addresses
            .iter()
            .filter(|address| !self.avoided.contains_key(&address.address))
            .collect();
        let choice = if fresh.is_empty() { self.addresses.iter().collect() } else { fresh };
        let total: u64 = choice.iter().map(|address| u64::from(address.weight)).sum();
        if total == 0 {
            return choice.first().map(|address| address.address.clone());
        }
        let mut point = self.rng.random_range(0..total);
        for address in choice {
            let weight = u64::from(address.weight);
            if point < weight {
                return Some(address.address.clone());
            }
            point -= weight;
        }
        None
    }
}
