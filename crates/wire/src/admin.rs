//! HTTP bodies of the operators' face, `gate_admin` of each entry host.
//!
//! - `POST /v1/commands`: an [`Command`], answered by a [`Receipt`] or a refusal as for callers.
//! - `GET /v1/in-force/REVISION`: a [`InForce`].
//! - `GET /v1/view`: the whole view as JSON, confirmed by a majority of the keepers.
//! - `GET /v1/status`: a [`Status`].
//! - `GET /v1/explain/REQUEST`: an [`Explanation`], gathered from all gates.
//! - `GET /metrics`, `GET /healthz`: open without a token.

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use state::Change;

use crate::gate;
use crate::keeper;

/// An operator's command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Command {
    /// The command's id: the same id gets its first answer again.
    pub id: Name,
    /// The revision of the configuration that the operator saw; none accepts any.
    #[serde(default)]
    pub expect: Option<u64>,
    /// The operator.
    pub author: Name,
    /// The change.
    pub change: Change,
}

/// A committed command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// Always `accepted`: the change is committed and will never be lost.
    pub status: Name,
    /// The revision of the configuration after the change.
    pub revision: u64,
    /// Whether each gate has applied it or can no longer serve without it.
    pub in_force: bool,
}

/// Whether a revision is in force at every gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InForce {
    /// The revision that was asked about.
    pub revision: u64,
    /// Whether it is in force.
    pub in_force: bool,
}

/// How the site is, as one gate sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The gate that answers.
    pub gate: Name,
    /// Whether it holds its lease.
    pub serving: bool,
    /// The revision of the configuration that it has applied.
    pub configuration: u64,
    /// The keepers that answered.
    pub keepers: Vec<keeper::Status>,
    /// The gates' summaries, its own included.
    pub gates: Vec<gate::Summary>,
}

/// What was decided on a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The request.
    pub request: Name,
    /// The log lines of its decisions in order, each behind its gate's name.
    pub lines: Vec<String>,
}
