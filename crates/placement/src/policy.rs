//! The policy of placement and its switches.

use std::time::Duration;

use conf::section::Part;
use conf::section::Placement;
use conf::section::Scheme;

/// How loads and evictions are decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Which adapter is loaded first.
    pub order: Order,
    /// Which adapter is evicted.
    pub evict: Evict,
    /// Whether adapters are loaded where batches are fullest, at the price of some evictions.
    pub pack: bool,
    /// Whether a wait raises the worth of a load, so that adapters asked for once are not starved.
    pub aging: bool,
    /// Whether adapters that are hot are loaded into empty slots before a request asks for them.
    pub reload: bool,
    /// Whether an adapter that wakes is loaded before its next request.
    pub prefetch: bool,
    /// Whether an adapter may be held by two engines.
    pub copies: bool,
    /// The slots of each engine that adapters asked for once may take from others.
    pub spare_slots: u32,
    /// The share of a batch, in percent, from which a second copy is considered.
    pub full_percent: u32,
    /// The weight of load stalls against batch efficiency, from 0 (batches) to 100 (stalls).
    pub stall_weight: u8,
    /// The wait for loads from which requests for further adapters are refused; none for no limit.
    pub stall_limit: Option<Duration>,
    /// How long a load takes once it has a permit.
    pub load_time: Duration,
}

/// Which adapter is loaded first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Order {
    /// The one with the most waiting worth.
    #[default]
    Worth,
    /// The one whose oldest request has waited longest.
    Oldest,
}

/// Which adapter is evicted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Evict {
    /// The one with the lowest decayed popularity.
    #[default]
    Popularity,
    /// The one that was used least recently.
    Recency,
}

/// The time of a load once it has a permit.
const LOAD_TIME: Duration = Duration::from_millis(250);

impl Policy {
    /// Creates the policy that the settings name, with the parts that are turned off left out.
    pub fn new(settings: &Placement, stall_weight: u8) -> Policy {
        let ours = settings.policy == Scheme::Worth;
        let on = |part: Part| ours && !settings.off.contains(&part);
        let stall_limit = Duration::from_millis(settings.stall_limit_ms);
        let is_limited = on(Part::StallLimit) && !stall_limit.is_zero();
        Policy {
            order: if on(Part::Worth) { Order::Worth } else { Order::Oldest },
            evict: if on(Part::Popularity) { Evict::Popularity } else { Evict::Recency },
            pack: on(Part::Fill),
            aging: on(Part::Aging),
            reload: on(Part::Reload),
            prefetch: on(Part::Prefetch),
            copies: on(Part::Copies),
            spare_slots: if on(Part::SpareSlots) { settings.spare_slots } else { 0 },
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
