//! What a request asks for.

use std::time::Duration;

use base::Name;
use conf::section::Part;
use conf::section::Placement;
use conf::section::Scheme;
use wire::endpoint::Model;

/// A request as far as routing reads it.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The adapter and version; none for a call to a plain service.
    pub model: Option<&'a Model>,
    /// The digest of the request's id: the seed of [`Policy::Random`].
    pub seed: u64,
    /// The priority from 0 (low) to 9 (high).
    pub priority: u8,
    /// The time left until the deadline.
    pub remaining: Duration,
    /// The weight of load stalls against batch efficiency, from 0 (batches) to 100 (stalls).
    pub stall_weight: u8,
    /// The share of a batch, in percent, from which a second copy of an adapter is considered.
    pub full_percent: u32,
    /// The digest of the prompt's prefix, where it is known.
    pub prefix: Option<u64>,
    /// The endpoints that must not be chosen, such as those that failed this request.
    pub excluded: &'a [Name],
    /// The times that waits are estimated from.
    pub timing: Timing,
    /// How engines are compared.
    pub policy: Policy,
    /// Whether a second copy of an adapter may be loaded.
    pub copies: bool,
    /// Whether a cached prefix breaks ties.
    pub affinity: bool,
}

impl<'a> Query<'a> {
    /// Creates an query with the default weights; the fields are public to change them.
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
            copies: true,
            affinity: true,
        }
    }

    /// Sets the policy and its switches by the settings, and the weight by the configuration.
    pub fn with_settings(self, settings: &Placement, stall_weight: u8) -> Query<'a> {
        let on = |part: Part| !settings.off.contains(&part);
        Query {
            stall_weight,
            full_percent: settings.full_percent,
            policy: Policy::new(settings),
            copies: on(Part::Copies),
            affinity: on(Part::Affinity),
            ..self
        }
    }
}

/// The priority of a request that states none.
const DEFAULT_PRIORITY: u8 = 5;
/// The weight between stalls and batches while the configuration has none.
const DEFAULT_STALL_WEIGHT: u8 = 50;
/// The share of a batch, in percent, from which a second copy is considered.
const DEFAULT_FULL_PERCENT: u32 = 90;

/// The times that waits are estimated from, as the gate measures them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The mean time that a request occupies a place of a batch.
    pub service_time: Duration,
    /// The time until an adapter that no engine holds is loaded: the wait for a permit and the load.
    pub load_time: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing { service_time: Duration::from_secs(1), load_time: Duration::from_millis(500) }
    }
}

/// How engines are compared; all but [`Policy::Fill`] are baselines for experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Fills batches up to their knee and shares loads by rendezvous hashing.
    #[default]
    Fill,
    /// Takes the engine with the least in flight: of those that hold the adapter, else of all.
    Least,
    /// Draws an engine by the request's seed: of those that hold the adapter, else of all.
    Random,
}

impl Policy {
    /// Returns the policy that the settings name.
    pub fn new(settings: &Placement) -> Policy {
        match settings.policy {
            Scheme::Worth if settings.off.contains(&Part::Fill) => Policy::Least,
            Scheme::Worth => Policy::Fill,
            Scheme::LeastLru => Policy::Least,
            Scheme::RandomLru => Policy::Random,
        }
    }
}
