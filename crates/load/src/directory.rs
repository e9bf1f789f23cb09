//! A cache of the gate addresses of a site.

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

/// Request timeout of `/v1/addresses`.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between two requests for addresses.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Time during which a failed address is not picked.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);

/// Caches gate addresses for the time that the site allows and picks them by weight.
pub struct Directory {
    seeds: Vec<Name>,
    /// Whether the seeds themselves are the addresses.
    direct: bool,
    client: Client,
    inner: Mutex<Inner>,
    /// Held during a refresh, so that concurrent callers share one request.
    refreshing: tokio::sync::Mutex<()>,
}

struct Inner {
    rng: StdRng,
    addresses: Vec<Address>,
    /// The expiry time of `addresses`.
    expires: Instant,
    /// The end of the last refresh; `None` before the first.
    last_refresh: Option<Instant>,
    /// The end of the cooldown of each failed address.
    failed_until: Map<Name, Instant>,
}

impl Directory {
    /// Creates a directory that requests the addresses from the seeds, or uses the seeds themselves if
    /// `direct`.
    pub fn new(seeds: Vec<Name>, direct: bool, seed: u64) -> Directory {
        let inner = Inner {
            rng: StdRng::seed_from_u64(seed),
            addresses: Vec::new(),
            expires: Instant::now(),
            last_refresh: None,
            failed_until: Map::default(),
        };
        let client = Client::default();
        let refreshing = tokio::sync::Mutex::new(());
        Directory { seeds, direct, client, inner: Mutex::new(inner), refreshing }
    }

    /// Picks an address by weight; returns `None` if no gate returns any.
    ///
    /// The addresses are refreshed when they expire, or when all of them are in their cooldown.
    pub async fn pick(&self) -> Option<Name> {
        if self.inner.lock().needs_refresh() {
            let _refreshing = self.refreshing.lock().await;
            if self.inner.lock().needs_refresh() {
                self.refresh().await;
                self.inner.lock().last_refresh = Some(Instant::now());
            }
        }
        self.inner.lock().choose()
    }

    /// Excludes an address until its cooldown ends.
    pub fn mark_failed(&self, address: &Name) {
        let mut inner = self.inner.lock();
        inner.failed_until.insert(address.clone(), Instant::now() + FAILURE_COOLDOWN);
    }

    /// Replaces the addresses with those in a refusal; the expiry time does not change.
    pub fn update(&self, addresses: Vec<Address>) {
        if !addresses.is_empty() && !self.direct {
            self.inner.lock().addresses = addresses;
        }
    }

    async fn refresh(&self) {
        if self.direct {
            let addresses = self.seeds.iter().cloned();
            let addresses = addresses.map(|address| Address { address, weight: 1 }).collect();
            self.store(Addresses { addresses, keep_ms: u64::from(u32::MAX) });
            return;
        }
        for address in self.candidates() {
            let answer =
                self.client.send(Method::GET, &address, "/v1/addresses", "", REQUEST_TIMEOUT).await;
            let Ok(answer) = answer else { continue };
            let Ok(addresses) = serde_json::from_slice::<Addresses>(answer.body()) else {
                continue;
            };
            if !addresses.addresses.is_empty() {
                self.store(addresses);
                return;
            }
        }
    }

    /// Returns the gates to request addresses from: the known addresses and the seeds, starting at a random
    /// one.
    fn candidates(&self) -> Vec<Name> {
        let mut inner = self.inner.lock();
        let known = inner.addresses.iter().map(|address| address.address.clone());
        let mut all: Vec<Name> = known.chain(self.seeds.iter().cloned()).collect();
        all.sort();
        all.dedup();
        let first = inner.rng.random_range(0..all.len().max(1));
        all.rotate_left(first);
        all
    }

    fn store(&self, addresses: Addresses) {
        let mut inner = self.inner.lock();
        inner.expires = Instant::now() + Duration::from_millis(addresses.keep_ms);
        inner.addresses = addresses.addresses;
    }
}

impl Inner {
    fn needs_refresh(&self) -> bool {
        let now = Instant::now();
        if self.last_refresh.is_some_and(|last| now < last + MIN_REFRESH_INTERVAL) {
            return false;
        }
        let failed = |address: &Address| {
            self.failed_until.get(&address.address).is_some_and(|until| *until > now)
        };
        now >= self.expires || self.addresses.iter().all(failed)
    }

    fn choose(&mut self) -> Option<Name> {
        let now = Instant::now();
        self.failed_until.retain(|_, until| *until > now);
        let healthy: Vec<&Address> = self
            .addresses
            .iter()
            .filter(|address| !self.failed_until.contains_key(&address.address))
            .collect();
        let choice = if healthy.is_empty() { self.addresses.iter().collect() } else { healthy };
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
