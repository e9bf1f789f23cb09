//! HTTP headers, in lower case.

/// The id of a request; every answer carries it.
pub const REQUEST: &str = "x-request-id";
/// The adapter that answered.
pub const ADAPTER: &str = "x-adapter";
/// The version that answered.
pub const VERSION: &str = "x-version";
/// The fencing number of the endpoint's owner, on orders and requests to endpoints.
pub const FENCE: &str = "x-fence";
/// The priority of a request from 0 (low) to 9 (high); 5 if missing.
pub const PRIORITY: &str = "x-priority";
/// The time in milliseconds, from receipt, in which the caller needs the answer.
pub const DEADLINE: &str = "x-deadline-ms";
/// The caller's name for limits and fairness.
pub const CALLER: &str = "x-caller";
/// The key of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// On a completion: `true` if it must not run twice.
pub const NON_IDEMPOTENT: &str = "x-non-idempotent";
/// On an answer: `true` if it is a recorded one.
pub const REPLAYED: &str = "x-replayed";
/// On a relayed request: the endpoint that the sender chose; on its answer: the last endpoint that
/// it was sent to.
pub const ENDPOINT: &str = "x-endpoint";
/// On a relayed request: the host name of the gate that passes it on.
pub const RELAYED_BY: &str = "x-relayed-by";
/// On a relayed request and other internal HTTP calls: the site's own token.
pub const SITE_TOKEN: &str = "x-site-token";
/// On an answer: the version is deprecated.
pub const DEPRECATED: &str = "x-deprecated";
/// On an answer: how long the request waited for its adapter to load, in milliseconds.
pub const LOAD_STALL: &str = "x-load-stall-ms";
/// On a relayed request: `true` if it was in progress when an endpoint crashed and must run alone.
pub const SUSPECT: &str = "x-suspect";
/// On a relayed request: `true` if only the endpoint in [`ENDPOINT`] may answer it.
pub const BOUND: &str = "x-bound";
