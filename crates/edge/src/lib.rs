//! The data path of a gate: accepts callers' requests, chooses an endpoint for each, forwards the request
//! and relays the response.
//!
//! Dependencies between the modules go one way: `serve` → `forward` → `target`, `send`, `relay` → `choose`, `keepers`,
//! `pool` → `view`. Lock order: at most one lock of the view is held at a time.

pub mod identity;
pub mod protocol;
pub mod settings;

mod attempt;
mod availability;
mod body;
mod budget;
mod call;
mod charging;
mod choose;
mod clock;
mod crashes;
mod forward;
mod framing;
mod gate;
mod keepers;
mod leader;
mod limits;
mod metrics;
mod origins;
mod path;
mod pauses;
mod peers;
mod permits;
mod pool;
mod quarantine;
mod quotas;
mod refusal;
mod relay;
mod runs;
mod send;
mod serve;
mod target;
mod tracker;
mod tunnel;
mod upload;
mod view;

pub use crate::availability::Availability;
pub use crate::availability::Unavailable;
pub use crate::budget::Budget;
pub use crate::budget::Limit;
pub use crate::choose::choose;
pub use crate::gate::Gate;
pub use crate::limits::Admission;
pub use crate::limits::Limits;
pub use crate::path::Path;
pub use crate::pauses::Pauses;
pub use crate::quarantine::Hit;
pub use crate::quarantine::Quarantine;
pub use crate::refusal::Refusal;
pub use crate::runs::Run;
pub use crate::runs::Runs;
pub use crate::tunnel::splice;
pub use crate::tunnel::unframe;
pub use crate::upload::Memory;
pub use crate::upload::Reservation;
pub use crate::view::Stats;
