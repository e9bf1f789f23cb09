//! The placement policy and its switches.

use std::time::Duration;

use conf::section::Feature;
use conf::section::Placement;
use conf::section::Strategy;

/// The policy by which loads and evictions are chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// The order of loads.
    pub order: Order,
    /// The order of evictions.
    pub eviction: Eviction,
    /// Whether engines with fuller batches are preferred for loads, at the cost of some evictions.
    pub pack: bool,
    /// Whether waiting raises the worth of a load, which prevents starvation of rarely used adapters.
    pub aging: bool,
    /// Whether popular adapters are loaded into empty slots before a request arrives for them.
    pub reload: bool,
    /// Whether an adapter that is requested again after an idle period is loaded before its next request.
    pub prefetch: bool,
    /// Whether more than one engine may hold the same adapter.
    pub copies: bool,
    /// The number of slots of each engine that less popular adapters may take from more popular ones.
    pub spare_slots: u32,
    /// The fill of a batch, in percent, from which another copy is considered.
    pub full_percent: u32,
    /// The weight of load stalls against batch efficiency, from 0 (batches) to 100 (stalls).
    pub stall_weight: u8,
    /// The age of the oldest request that waits for a load above which requests for further adapters are
    /// rejected; `None` for no limit.
    pub stall_limit: Option<Duration>,
    /// The duration of a load after its permit was granted.
    pub load_time: Duration,
}

/// The order of loads: the adapter to load first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// The adapter whose waiting requests are worth most.
    #[default]
    Worth,
    /// The adapter whose oldest request has waited longest.
    Oldest,
}

/// The order of evictions: the adapter to evict first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Eviction {
    /// The adapter with the lowest decayed popularity.
    #[default]
    Popularity,
    /// The least recently used adapter.
    Recency,
}

/// The duration of a load after its permit was granted.
const LOAD_TIME: Duration = Duration::from_millis(250);

impl Policy {
    /// Creates the policy from the settings, without the features that they disable.
    pub fn new(settings: &Placement, stall_weight: u8) -> Policy {
        let is_baseline = settings.policy != Strategy::Worth;
        let on = |feature: Feature| !is_baseline && !settings.off.contains(&feature);
        let stall_limit = Duration::from_millis(settings.stall_limit_ms);
        let is_limited = on(Feature::StallLimit) && !stall_limit.is_zero();
        Policy {
            order: if on(Feature::Worth) { Order::Worth } else { Order::Oldest },
            eviction: if on(Feature::Popularity) {
                Eviction::Popularity
            } else {
                Eviction::Recency
            },
            pack: on(Feature::Fill),
            aging: on(Feature::Aging),
            reload: on(Feature::Reload),
            prefetch: on(Feature::Prefetch),
            copies: on(Feature::Copies),
            spare_slots: if on(Feature::SpareSlots) { settings.spare_slots } else { 0 },
            full_percent: settings.full_percent,
            stall_weight,
            stall_limit: is_limited.then_some(stall_limit),
            load_time: LOAD_TIME,
        }
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy::new(&Placement::default(), 50)
    }
}
