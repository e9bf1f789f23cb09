//! Routing queries.

use std::time::Duration;

use base::Name;
use conf::section::Feature;
use conf::section::Placement;
use conf::section::Strategy;
use wire::endpoint::Model;

/// The properties of a request that routing depends on.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The adapter and version; `None` for a call to a service that is not a model engine.
    pub model: Option<&'a Model>,
    /// The digest of the request's id, which seeds [`Policy::Random`].
    pub seed: u64,
    /// The priority from 0 (low) to 9 (high).
    pub priority: u8,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The weight of load stalls against batch efficiency, from 0 (batches) to 100 (stalls).
    pub stall_weight: u8,
    /// The batch fill, in percent, from which a second copy of the adapter is considered.
    pub full_percent: u32,
    /// The digest of the prompt's prefix, if known.
    pub prefix: Option<u64>,
    /// The endpoints that must not be chosen, such as those where this request failed.
    pub excluded: &'a [Name],
    /// The times on which estimated waits are based.
    pub timing: Timing,
    /// The policy by which engines are compared.
    pub policy: Policy,
    /// Whether a second copy of the adapter may be loaded.
    pub allow_second_copy: bool,
    /// Whether a cached prompt prefix breaks ties.
    pub prefix_affinity: bool,
}

impl<'a> Query<'a> {
    /// Creates a query with default settings.
    pub fn new(model: Option<&'a Model>, remaining: Duration) -> Query<'a> {
        Query {
            model,
            seed: 0,
            priority: DEFAULT_PRIORITY,
            remaining,
            stall_weight: DEFAULT_STALL_WEIGHT,
            full_percent: DEFAULT_FULL_PERCENT,
            prefix: None,
            excluded: &[],
            timing: Timing::default(),
            policy: Policy::Fill,
            allow_second_copy: true,
            prefix_affinity: true,
        }
    }

    /// Returns the query with the policy and its options from `settings` and the given stall
    /// weight.
    pub fn with_settings(self, settings: &Placement, stall_weight: u8) -> Query<'a> {
        let on = |feature: Feature| !settings.off.contains(&feature);
        Query {
            stall_weight,
            full_percent: settings.full_percent,
            policy: Policy::new(settings),
            allow_second_copy: on(Feature::Copies),
            prefix_affinity: on(Feature::Affinity),
            ..self
        }
    }
}

/// The priority of a request that sets none.
const DEFAULT_PRIORITY: u8 = 5;
/// The stall weight if the configuration sets none.
const DEFAULT_STALL_WEIGHT: u8 = 50;
/// The batch fill, in percent, from which a second copy is considered.
const DEFAULT_FULL_PERCENT: u32 = 90;

/// The times on which estimated waits are based, as measured by the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The mean time that a request occupies its slot in a batch.
    pub service_time: Duration,
    /// The time to load an adapter that no engine holds, the wait for a load permit included.
    pub load_time: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { service_time: Duration::from_secs(1), load_time: Duration::from_millis(500) }
    }
}

/// The policy by which engines are compared; all but [`Policy::Fill`] are baselines for
/// experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Fills batches up to their knee and distributes adapter loads by rendezvous hashing.
    #[default]
    Fill,
    /// Chooses the engine with the fewest outstanding requests, among those that hold the adapter
    /// if any do.
    Least,
    /// Chooses an engine pseudo-randomly by the request's seed, among those that hold the adapter
    /// if any do.
    Random,
}

impl Policy {
    /// Returns the policy that the settings select.
    pub fn new(settings: &Placement) -> Policy {
        match settings.policy {
            Strategy::Worth if settings.off.contains(&Feature::Fill) => Policy::Least,
            Strategy::Worth => Policy::Fill,
            Strategy::LeastLru => Policy::Least,
            Strategy::RandomLru => Policy::Random,
        }
    }
}
