//! Commands of the replicated log and their outcomes.

use base::Code;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::journal;
use crate::view;

/// The number of a gate process's run; a restarted gate has another one.
pub type Incarnation = u64;

/// One entry of the replicated log.
///
/// `now_ms` is the leader's wall clock in milliseconds since 1970; the state keeps its maximum, so
/// time never goes back when the leader changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A change of the configuration by an operator.
    Configure(Configure),
    /// A gate starts to hold a lease.
    Join {
        /// The gate.
        gate: view::Gate,
    },
    /// The lease of a gate has ended by the leader's clock plus the bound on drift, or was given back.
    Expire {
        /// The name of the gate's host.
        gate: Name,
        /// The run whose lease ended; another run's lease is left alone.
        incarnation: Incarnation,
    },
    /// An endpoint announced itself for the first time, with a new generation or other properties.
    Register {
        /// The endpoint.
        endpoint: view::Endpoint,
    },
    /// An endpoint has been silent for long and is forgotten.
    Forget {
        /// The name of the endpoint.
        endpoint: Name,
    },
    /// An endpoint is given to another owner; refused unless `fence` is still in force. From an owner
    /// that holds its lease it is taken by [`Command::Withdraw`] before.
    Assign {
        /// The name of the endpoint.
        endpoint: Name,
        /// The fencing number that the former owner holds.
        fence: u64,
        /// The gate that is to own it.
        gate: Name,
    },
    /// A gate is about to send a non-idempotent request.
    Claim {
        /// The claim.
        claim: journal::Claim,
        /// The leader's wall clock.
        now_ms: u64,
    },
    /// The answer of a claimed request is to be kept.
    Finish {
        /// The service or model that the key belongs to and the key.
        key: journal::Key,
        /// The number that the claim got.
        claim: u64,
        /// The answer.
        answer: journal::Answer,
        /// The leader's wall clock.
        now_ms: u64,
    },
    /// The claimer knows that the request did not run.
    Release {
        /// The service or model that the key belongs to and the key.
        key: journal::Key,
        /// The number that the claim got.
        claim: u64,
    },
    /// Requests were in progress when their endpoint crashed.
    Implicate {
        /// The name of the endpoint.
        endpoint: Name,
        /// The generation of the endpoint that crashed; the same crash counts once.
        generation: u64,
        /// The fingerprints of the requests.
        fingerprints: Vec<u64>,
        /// The leader's wall clock.
        now_ms: u64,
    },
    /// Suspect requests ran alone to their end and are suspects no longer.
    Clear {
        /// The fingerprints of the requests.
        fingerprints: Vec<u64>,
    },
    /// An endpoint is taken from its owner, to be given to another by [`Command::Assign`] once the former
    /// has applied it; refused unless `fence` is still in force.
    Withdraw {
        /// The name of the endpoint.
        endpoint: Name,
        /// The fencing number that the owner holds.
        fence: u64,
    },
}

/// A change of the configuration by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configure {
    /// The command's id: the same id gets its first outcome again.
    pub id: Name,
    /// The revision of the configuration that the operator saw; none accepts any.
    pub expect: Option<u64>,
    /// The operator.
    pub author: Name,
    /// The change.
    pub change: Change,
    /// The leader's wall clock; it is no part of the command's content.
    pub now_ms: u64,
}

/// What an operator changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Creates an adapter of a base model.
    CreateAdapter {
        /// The adapter.
        adapter: Name,
        /// The base model.
        base: Name,
    },
    /// Removes an adapter with its versions; refused while an exception names it.
    RemoveAdapter {
        /// The adapter.
        adapter: Name,
    },
    /// Creates a version of an adapter; the first one becomes the default version.
    CreateVersion {
        /// The adapter.
        adapter: Name,
        /// The version.
        version: Name,
    },
    /// Removes a version; refused while it is the default version.
    RemoveVersion {
        /// The adapter.
        adapter: Name,
        /// The version.
        version: Name,
    },
    /// Marks a version as deprecated or not: answers carry a warning, the version goes on serving.
    Deprecate {
        /// The adapter.
        adapter: Name,
        /// The version.
        version: Name,
        /// Whether it is deprecated.
        deprecated: bool,
    },
    /// Sets the version that is used when a request names none.
    SetDefaultVersion {
        /// The adapter.
        adapter: Name,
        /// The version.
        version: Name,
    },
    /// Sets a default of the fleet.
    SetDefault {
        /// The default.
        setting: view::Setting,
    },
    /// Sets an exception from the defaults for one adapter.
    SetException {
        /// The adapter.
        adapter: Name,
        /// What is excepted.
        rule: view::Rule,
        /// Why; never empty.
        reason: Name,
    },
    /// Removes the exception of an adapter.
    RemoveException {
        /// The adapter.
        adapter: Name,
    },
    /// Sets a plain service.
    SetService {
        /// The service.
        service: view::Service,
    },
    /// Removes a plain service.
    RemoveService {
        /// The kind of the service.
        kind: Name,
    },
    /// Starts or ends the drain of a host: its gate, keeper or endpoints get no new work.
    Drain {
        /// The host.
        host: Name,
        /// Whether it drains.
        draining: bool,
    },
    /// Ends the quarantine of a request.
    Pardon {
        /// The fingerprint.
        fingerprint: u64,
    },
}

/// What became of a committed command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was carried out; `revision` is the view's revision after it.
    Done {
        /// The revision of the view.
        revision: u64,
    },
    /// The key is claimed: the claimer may send the request once.
    Claimed {
        /// The number of the claim.
        claim: u64,
    },
    /// The key was claimed before and its answer is recorded.
    Recorded {
        /// The answer.
        answer: journal::Answer,
    },
    /// The command was refused and changed nothing.
    Refused {
        /// Why.
        code: Code,
        /// What exactly, for people.
        detail: String,
        /// The revision of the configuration in force.
        revision: u64,
    },
}
