//! Names of HTTP headers, in lower case.

/// The id of a request; included in every answer.
pub const REQUEST: &str = "x-request-id";
/// On an answer: the adapter that produced it.
pub const ADAPTER: &str = "x-adapter";
/// On an answer: the adapter version that produced it.
pub const VERSION: &str = "x-version";
/// On orders and requests to endpoints: the fencing token of the endpoint's owner.
pub const FENCE: &str = "x-fence";
/// The priority of a request, from 0 (low) to 9 (high); defaults to 5.
pub const PRIORITY: &str = "x-priority";
/// The deadline of a request, in milliseconds from its receipt.
pub const DEADLINE: &str = "x-deadline-ms";
/// The name of the caller, used for limits and fair queueing.
pub const CALLER: &str = "x-caller";
/// The idempotency key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// On a completion request: `true` if it must run at most once.
pub const NON_IDEMPOTENT: &str = "x-non-idempotent";
/// On an answer: `true` if it was replayed from the journal.
pub const REPLAYED: &str = "x-replayed";
/// On a relayed request: the endpoint selected by the sender. On its answer: the endpoint of the last
/// attempt.
pub const ENDPOINT: &str = "x-endpoint";
/// On a relayed request: the host name of the relaying gate.
pub const RELAYED_BY: &str = "x-relayed-by";
/// On a relayed request: the token that gates send each other.
pub const SITE_TOKEN: &str = "x-site-token";
/// On an answer: present if the adapter version is deprecated.
pub const DEPRECATED: &str = "x-deprecated";
/// On an answer: the time that the request waited for its adapter to load, in milliseconds.
pub const LOAD_STALL: &str = "x-load-stall-ms";
/// On a relayed request: `true` if it was in progress when an endpoint crashed and must now run alone.
pub const SUSPECT: &str = "x-suspect";
/// On a relayed request: `true` if it may only run on the endpoint in [`ENDPOINT`].
pub const BOUND: &str = "x-bound";
