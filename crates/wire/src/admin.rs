//! HTTP bodies of the operator API, served at `gate_admin` of each entry host.
//!
//! - `POST /v1/commands`: a [`Command`], answered by a [`Receipt`] or a
//!   [`http::Refusal`](crate::http::Refusal).
//! - `GET /v1/in-force/REVISION`: an [`InForce`].
//! - `GET /v1/view`: the whole view as JSON, confirmed by a majority of the keepers.
//! - `GET /v1/status`: a [`Status`].
//! - `GET /v1/explain/REQUEST`: an [`Explanation`], collected from all gates.
//! - `GET /metrics`, `GET /healthz`: no token required.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use state::Change;

use crate::gate;
use crate::keeper;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename = "Order")]
pub struct Command {
    /// The id of the command; a command repeated with the same id returns its first result.
    pub id: Name,
    /// The expected revision of the configuration; `None` accepts any.
    #[serde(default)]
    pub expect: Option<u64>,
    /// The name of the operator.
    pub author: Name,
    /// The change.
    pub change: Change,
}

/// The confirmation of a committed command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// Always `accepted`: the change is committed and durable.
    pub status: Name,
    /// The revision of the configuration after the change.
    pub revision: u64,
    /// Whether every gate has applied the change or can no longer serve without it.
    pub in_force: bool,
}

/// Whether a revision is in force on every gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// The requested revision.
    pub revision: u64,
    /// Whether the revision is in force.
    pub in_force: bool,
}

/// The status of the site as known to one gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The gate that answers.
    pub gate: Name,
    /// Whether the gate holds its lease.
    pub serving: bool,
    /// The configuration revision that the gate has applied.
    pub configuration: u64,
    /// The status of the keepers that answered.
    pub keepers: Vec<keeper::Status>,
    /// The summaries of all gates, including the answering gate.
    pub gates: Vec<gate::Summary>,
}

/// The decisions on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The id of the request.
    pub request: Name,
    /// The log lines of the decisions in order, each prefixed with the name of its gate.
    pub lines: Vec<String>,
}
