//! What endpoints and gates tell each other over HTTP.
//!
//! An endpoint posts an [`Announcement`] to `/v1/announce` of any gate. A gate sends an endpoint:
//! - `POST /v1/completions`, `POST /v1/chat/completions`: the caller's body with `model` as
//!   `ADAPTER@VERSION` and the headers `x-request-id`, `x-fence`, `x-priority`. The answer carries
//!   `x-request-id`, `x-adapter`, `x-version`; as JSON it has `id` (the request's) and `model`; as a
//!   stream each event's JSON has them and `data: [DONE]` ends it. 409 with [`Fault`] means that it
//!   did not run.
//! - `DELETE /v1/requests/ID`: cancels a request.
//! - `POST /v1/orders`: an [`Order`]; answered by a [`State`] once carried out, or a [`Fault`].
//! - `GET /v1/state`: answered by a [`State`].
//! - To a plain service: the caller's method, path behind `/v1/services/KIND`, body,
//!   `x-request-id`, `x-fence`, `idempotency-key`; the answer carries `x-request-id`.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use state::view;

/// An endpoint says that it is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: view::Endpoint,
    /// What it holds and does; it may lag.
    pub state: State,
    /// Whether it is about to leave and wants no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The answer to an [`Announcement`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Acknowledgment {
    /// The time until the next announcement, in milliseconds.
    pub interval_ms: u64,
    /// The gates to announce to, the best first.
    pub addresses: Vec<Name>,
}

/// What an endpoint holds and does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The number of its run.
    pub generation: u64,
    /// The adapters that it holds.
    #[serde(default)]
    pub loaded: Vec<Model>,
    /// The requests in progress.
    #[serde(default)]
    pub running: Vec<Running>,
    /// The number of requests that wait at the endpoint.
    #[serde(default)]
    pub waiting: u32,
}

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Model {
    /// The adapter.
    pub adapter: Name,
    /// The version.
    pub version: Name,
}

/// A request in progress at an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The id of the request.
    pub request: Name,
    /// What it runs on; none at a plain service.
    pub model: Option<Model>,
}

/// An order of the owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The id of the order; an order repeated with the same id is carried out once.
    pub id: Name,
    /// The fencing number of the owner.
    pub fence: u64,
    /// What to do.
    pub action: Action,
}

/// What an endpoint is ordered to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Load a version of an adapter from the weight store.
    Load(Model),
    /// Evict a version of an adapter.
    Unload(Model),
    /// Change what it serves.
    Role(view::Role),
}

/// Why an endpoint refused an order or a request that it did not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// The reason.
    pub error: Reason,
    /// What exactly, for people.
    #[serde(default)]
    pub message: String,
}

/// The reasons of a [`Fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The fencing number is older than one seen.
    StaleFence,
    /// The adapter is not loaded.
    NotLoaded,
    /// No slot is free.
    NoSlot,
    /// The adapter is in use by a request.
    InUse,
    /// The load failed.
    LoadFailed,
    /// The batch and the queue are full.
    Busy,
    /// The body can't be parsed.
    BadRequest,
}
