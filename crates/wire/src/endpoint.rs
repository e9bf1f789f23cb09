//! The HTTP protocol between endpoints and gates.
//!
//! An endpoint posts an [`Announcement`] to `/v1/announce` of any gate. A gate sends to an endpoint:
//! - `POST /v1/completions`, `POST /v1/chat/completions`: the caller's body with `model` as
//!   `ADAPTER@VERSION` and the headers `x-request-id`, `x-fence`, `x-priority`. The answer carries
//!   `x-request-id`, `x-adapter`, `x-version`. A JSON answer contains `id` (of the request) and `model`;
//!   in a stream each event's JSON contains both, and `data: [DONE]` ends the stream. Status 409 with a
//!   [`Fault`] means that the request did not run.
//! - `DELETE /v1/requests/ID`: cancels a request.
//! - `POST /v1/orders`: an [`Order`]; answered by a [`State`] after its execution, or by a [`Fault`].
//! - `GET /v1/state`: answered by a [`State`].
//! - To a plain service: the caller's method, path behind `/v1/services/KIND`, body,
//!   `x-request-id`, `x-fence`, `idempotency-key`; the answer carries `x-request-id`.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use state::view;

/// A periodic announcement of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: view::Endpoint,
    /// The state of the endpoint, which may be out of date.
    pub state: State,
    /// Whether the endpoint is about to leave and should receive no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// The answer to an [`Announcement`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Announced")]
pub struct Acknowledgment {
    /// The interval until the next announcement, in milliseconds.
    pub interval_ms: u64,
    /// The addresses of the gates to announce to, in order of preference.
    pub addresses: Vec<Name>,
}

/// The loaded adapters and the requests of an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The generation of the endpoint, which increases with each restart.
    pub generation: u64,
    /// The loaded adapters.
    #[serde(default)]
    pub loaded: Vec<Model>,
    /// The requests in progress.
    #[serde(default)]
    pub running: Vec<Running>,
    /// The number of requests queued at the endpoint.
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
    /// The adapter version that it runs on; `None` for a plain service.
    pub model: Option<Model>,
}

/// An order from the owner of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The id of the order; repeated orders with the same id are executed once.
    pub id: Name,
    /// The fencing token of the owner.
    pub fence: u64,
    /// The action to execute.
    pub action: Action,
}

/// The action of an [`Order`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Loads an adapter version from the weight store.
    Load(Model),
    /// Evicts an adapter version.
    Unload(Model),
    /// Changes the role of the endpoint.
    Role(view::Role),
}

/// The refusal of an order or a request, which did not run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// The reason.
    pub error: Reason,
    /// A human-readable explanation.
    #[serde(default)]
    pub message: String,
}

/// The reason for a [`Fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The fencing token is older than one received before.
    StaleFence,
    /// The adapter is not loaded.
    NotLoaded,
    /// No slot is free.
    NoSlot,
    /// The adapter is in use by a request in progress.
    InUse,
    /// The load failed.
    LoadFailed,
    /// The batch and the queue are full.
    Busy,
    /// The body cannot be parsed.
    BadRequest,
}
