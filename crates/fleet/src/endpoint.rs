//! Endpoints and what they announce of themselves.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// One start of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The id; mostly new at each start.
    pub id: Name,
    /// The wall clock's millisecond of the start, by the endpoint's own clock. With `id` it names
    /// one start.
    pub born: u64,
    /// Grows with each announcement of one start.
    pub sequence: u64,
    /// The service.
    pub service: Name,
    /// Where requests are sent.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Name,
    /// The requests that run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// What a model engine holds; none for a plain service.
    pub held: Option<Vec<Model>>,
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It leaves; with the time after which it is gone whatever it runs, where it is known.
    Draining(Option<Duration>),
}

/// A base model in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The base model.
    pub model: Name,
    /// The version of its weights.
    pub version: u64,
    /// Its adapters there.
    pub adapters: Vec<Adapter>,
}

/// An adapter in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The adapter.
    pub name: Name,
    /// Its version.
    pub version: u64,
}

/// What a gate must know of an endpoint to send to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The id.
    pub id: Name,
    /// The start, as in [`Announcement::born`].
    pub born: u64,
    /// The service.
    pub service: Name,
    /// Where requests are sent.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Name,
    /// The requests that run at once.
    pub slots: u32,
}

impl From<&Announcement> for Endpoint {
    fn from(from: &Announcement) -> Endpoint {
        Endpoint {
            id: from.id.clone(),
            born: from.born,
            service: from.service.clone(),
            address: from.address,
            domain: from.domain.clone(),
            slots: from.slots,
        }
    }
}
