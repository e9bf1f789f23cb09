//! Endpoints and their announcements.

use std::net::SocketAddr;
use std::time::Duration;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// An endpoint's announcement of itself, which it repeats as a heartbeat. An endpoint that restarts
/// is a new incarnation with a later `born`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The id, usually a new one for each incarnation.
    pub id: Name,
    /// The start time in ms of the endpoint's own wall clock; identifies an incarnation together
    /// with `id`.
    pub born: u64,
    /// Grows with each announcement of an incarnation.
    pub sequence: u64,
    /// The name of its service.
    pub service: Name,
    /// The address to which requests are sent.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Name,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: State,
    /// The base models in memory; `None` if the endpoint is not a model engine.
    pub held: Option<Vec<Model>>,
    /// The version of its software. Builds have no order.
    pub build: Name,
}

impl Announcement {
    /// Returns the incarnation of the endpoint.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { endpoint: self.id.clone(), born: self.born }
    }
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// Is leaving, and accepts no new requests. After the given time, if known, it is gone even if
    /// it still runs requests.
    Draining(Option<Duration>),
}

/// A base model in an engine's memory, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The name of the base model.
    pub model: Name,
    /// The version of its weights.
    pub version: u64,
    /// The adapters in memory.
    pub adapters: Vec<Adapter>,
}

/// An adapter in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The name of the adapter.
    pub name: Name,
    /// Its version.
    pub version: u64,
}

/// An incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The id of the endpoint.
    pub endpoint: Name,
    /// The start time, as in [`Announcement::born`].
    pub born: u64,
}

/// The properties of an endpoint that a gate needs to send requests to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The id.
    pub id: Name,
    /// The start time, as in [`Announcement::born`].
    pub born: u64,
    /// The name of its service.
    pub service: Name,
    /// The address to which requests are sent.
    pub address: SocketAddr,
    /// The failure domain.
    pub domain: Name,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The version of its software, as in [`Announcement::build`].
    pub build: Name,
}

impl Endpoint {
    /// Returns the incarnation of the endpoint.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation { endpoint: self.id.clone(), born: self.born }
    }
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
            build: from.build.clone(),
        }
    }
}
