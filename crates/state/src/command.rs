//! The commands of the replicated log and their outcomes.

use base::Code;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::journal;
use crate::view;

/// Identifies one run of a gate process; changes with each restart.
pub type Incarnation = u64;

/// A command of the replicated log.
///
/// `now_ms` is the leader's wall clock in milliseconds since the Unix epoch. The state keeps the maximum of
/// these times, so that time does not go backwards after a leader change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Changes the configuration on behalf of an operator.
    Configure(Configure),
    /// Adds a gate that acquired a lease.
    Join {
        /// The gate.
        gate: view::Gate,
    },
    /// Removes a gate whose lease has expired, by the leader's clock plus the bound on clock drift, or was
    /// released.
    Expire {
        /// The name of the gate's host.
        gate: Name,
        /// The incarnation whose lease has ended; the lease of another incarnation is not affected.
        incarnation: Incarnation,
    },
    /// Registers an endpoint that announced itself for the first time, with a new generation or with changed
    /// properties.
    Register {
        /// The endpoint.
        endpoint: view::Endpoint,
    },
    /// Removes an endpoint that has not announced itself for a long time.
    Forget {
        /// The name of the endpoint.
        endpoint: Name,
    },
    /// Assigns an endpoint to a gate; refused unless `fence` is the current fencing token. If the owner
    /// still holds its lease, a [`Command::Withdraw`] must come first.
    Assign {
        /// The name of the endpoint.
        endpoint: Name,
        /// The fencing token of the former owner.
        fence: u64,
        /// The gate that becomes the owner.
        gate: Name,
    },
    /// Claims the key of a non-idempotent request before the gate sends it.
    Claim {
        /// The claim.
        claim: journal::Claim,
        /// The leader's wall clock.
        now_ms: u64,
    },
    /// Records the answer of a claimed request.
    Finish {
        /// The idempotency key with its scope.
        key: journal::Key,
        /// The number of the claim.
        claim: u64,
        /// The answer.
        answer: journal::Answer,
        /// The leader's wall clock.
        now_ms: u64,
    },
    /// Releases the claim of a request that did not run.
    Release {
        /// The idempotency key with its scope.
        key: journal::Key,
        /// The number of the claim.
        claim: u64,
    },
    /// Reports the requests that were in progress when their endpoint crashed.
    Implicate {
        /// The name of the endpoint.
        endpoint: Name,
        /// The generation of the endpoint that crashed; repeated reports of a crash count once.
        generation: u64,
        /// The fingerprints of the requests.
        fingerprints: Vec<u64>,
        /// The leader's wall clock.
        now_ms: u64,
    },
    /// Clears the suspicion of requests that completed while running alone.
    Clear {
        /// The fingerprints of the requests.
        fingerprints: Vec<u64>,
    },
    /// Removes the owner of an endpoint, so that [`Command::Assign`] can assign another one after the former
    /// owner has applied the removal; refused unless `fence` is the current fencing token.
    Withdraw {
        /// The name of the endpoint.
        endpoint: Name,
        /// The fencing token of the owner.
        fence: u64,
    },
}

/// A configuration change by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configure {
    /// The id of the command; a command repeated with the same id returns its first outcome.
    pub id: Name,
    /// The expected revision of the configuration; `None` accepts any.
    pub expect: Option<u64>,
    /// The name of the operator.
    pub author: Name,
    /// The change.
    pub change: Change,
    /// The leader's wall clock, which is not part of the command's content.
    pub now_ms: u64,
}

/// A change of the configuration.
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
    /// Creates a version of an adapter; the first version becomes the default version.
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
    /// Sets whether a version is deprecated. A deprecated version is still served, with a warning in its
    /// answers.
    Deprecate {
        /// The adapter.
        adapter: Name,
        /// The version.
        version: Name,
        /// Whether the version is deprecated.
        deprecated: bool,
    },
    /// Sets the version that is used when a request names none.
    SetDefaultVersion {
        /// The adapter.
        adapter: Name,
        /// The version.
        version: Name,
    },
    /// Sets a fleet-wide default.
    SetDefault {
        /// The default and its value.
        setting: view::Setting,
    },
    /// Sets the exception of an adapter from the defaults.
    SetException {
        /// The adapter.
        adapter: Name,
        /// The rule of the exception.
        rule: view::Rule,
        /// The reason; never empty.
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
    /// Starts or ends the drain of a host, whose gate, keeper and endpoints then receive no new work.
    Drain {
        /// The host.
        host: Name,
        /// Whether the host is draining.
        draining: bool,
    },
    /// Ends the quarantine of a request.
    Pardon {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
}

/// The outcome of a committed command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command was applied.
    Done {
        /// The revision after the command: of the configuration for [`Command::Configure`], else of the
        /// view.
        revision: u64,
    },
    /// The key is claimed, and the claimant may send the request once.
    Claimed {
        /// The number of the claim.
        claim: u64,
    },
    /// The key was used before, and its answer is recorded.
    Recorded {
        /// The answer.
        answer: journal::Answer,
    },
    /// The command was refused and changed nothing.
    Refused {
        /// The reason.
        code: Code,
        /// A human-readable explanation.
        detail: String,
        /// The current revision of the configuration.
        revision: u64,
    },
}
