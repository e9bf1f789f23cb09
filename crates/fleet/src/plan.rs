//! The plan: a versioned configuration of all routes, services and limits.

use std::time::Duration;

use base::Name;
use base::Set;
use serde::Deserialize;
use serde::Serialize;

use crate::tenant;
use crate::tenant::Tenant;

/// A complete configuration; the plan with the highest version is in force.
///
/// The encoding has the fields of the first release. [`Extension`](crate::extension::Extension) carries the others, which
/// are skipped.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Grows from one plan to the next, not always by 1.
    pub version: u64,
    /// The routes, in the order in which they were given.
    pub routes: Vec<Route>,
    /// The services to which routes send requests.
    pub services: Vec<Service>,
    /// The limits on requests and connections of callers.
    pub limits: Limits,
    /// The tenants; without any, requests need no API key.
    #[serde(skip)]
    pub tenants: Vec<Tenant>,
}

/// Whether and how a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// The response is a stream of events; runs at most once unless it is resumable.
    Stream {
        /// Whether another endpoint may resume an interrupted stream.
        resumable: bool,
    },
}

/// A route for requests with a host and a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The value of the request's `Host` header.
    pub host: Name,
    /// The path prefix; starts and ends with a slash.
    pub prefix: Name,
    /// Whether and how requests may be retried.
    pub kind: Kind,
    /// The request timeout.
    pub timeout: Duration,
    /// The latency target.
    pub target: Duration,
    /// The priority class; 0 is the most urgent.
    pub rank: u8,
    /// The limit on the endpoints to which one request is sent.
    pub attempts: u32,
    /// The services with their weights; a service with weight 0 gets no requests.
    pub splits: Vec<Split>,
    /// Whether requests need no API key.
    #[serde(skip)]
    pub public: bool,
    /// The longest pause between two events with which a stream is on time; `None` if there is no such bound.
    #[serde(skip)]
    pub gap: Option<Duration>,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The service.
    pub service: Name,
    /// The weight, relative to those of the other splits.
    pub weight: u32,
}

/// A set of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// The number of connections that one endpoint accepts, over all clients.
    pub max_connections: u32,
    /// The capacity of its engines; `None` if its endpoints are not model engines.
    pub engine: Option<EngineSpec>,
}

/// The capacity and the base models of a service's model engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The number of requests in a full batch.
    pub slots: u32,
    /// The capacity of an engine's KV cache, in tokens.
    pub kv_tokens: u64,
    /// The number of adapters that an engine holds, those being loaded included.
    pub adapter_slots: u32,
    /// The memory for weights, in MB.
    pub weights_mb: f64,
    /// The limit on the rate of base model loads from the store, over all engines.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<BaseModel>,
    /// The number of decoding steps for each event of a stream; 0 if it is unknown.
    #[serde(skip)]
    pub stride: u32,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BaseModel {
    /// The name.
    pub name: Name,
    /// The size of its weights, in MB.
    pub weights_mb: f64,
    /// The time to load it from the store.
    pub load: Duration,
    /// The size of one of its adapters, in MB.
    pub adapter_mb: f64,
}

/// The limits on requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request's head.
    pub header_bytes: usize,
    /// The maximum size of a request's body.
    pub body_bytes: usize,
    /// The timeout for receiving a request's head.
    pub header_timeout: Duration,
    /// The timeout for idle connections.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// The reason why a plan is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The plan can't be decoded.
    #[error("{0}")]
    Malformed(String),
    /// A route refers to a service that the plan does not contain.
    #[error("route '{route}' names the unknown service '{service}'")]
    UnknownService {
        /// The route.
        route: Name,
        /// The service.
        service: Name,
    },
    /// Two routes have the same host and prefix.
    #[error("two routes have host '{host}' and prefix '{prefix}'")]
    DuplicateRoute {
        /// The host.
        host: Name,
        /// The prefix.
        prefix: Name,
    },
    /// All services of a route have weight 0.
    #[error("the weights of route '{0}' add up to 0")]
    NoWeight(Name),
    /// A route has a timeout of 0.
    #[error("route '{0}' has a timeout of 0")]
    NoTimeout(Name),
    /// A prefix does not start and end with a slash.
    #[error("the prefix of route '{0}' does not begin and end with a slash")]
    BadPrefix(Name),
    /// A tenant has no name.
    #[error("a tenant has no name")]
    UnnamedTenant,
    /// Two tenants have the same name.
    #[error("two tenants have the name '{0}'")]
    DuplicateTenant(Name),
    /// Two tenants have a key in common.
    #[error("the tenants '{first}' and '{second}' have a key in common")]
    SharedKey {
        /// One of the tenants.
        first: Name,
        /// The other one.
        second: Name,
    },
}

impl Plan {
    /// Checks the plan for consistency.
    pub fn validate(&self) -> Result<(), Error> {
        let services: Set<&Name> = self.services.iter().map(|service| &service.name).collect();
        let mut seen = Set::default();
        for route in &self.routes {
            route.validate(&services)?;
            if !seen.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(Error::DuplicateRoute { host, prefix });
            }
        }
        tenant::validate(&self.tenants)
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

impl Route {
    fn validate(&self, services: &Set<&Name>) -> Result<(), Error> {
        let name = || self.name.clone();
        if let Some(split) = self.splits.iter().find(|split| !services.contains(&split.service)) {
            let service = split.service.clone();
            return Err(Error::UnknownService { route: name(), service });
        }
        if self.splits.iter().all(|split| split.weight == 0) {
            return Err(Error::NoWeight(name()));
        }
        if self.timeout.is_zero() {
            return Err(Error::NoTimeout(name()));
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(Error::BadPrefix(name()));
        }
        Ok(())
    }

    /// Returns the service at `point`, from 0 to 1, of the cumulative weights. A uniformly random
    /// point selects services in proportion to their weights.
    pub fn select_service(&self, point: f64) -> &Name {
        let total: f64 = self.splits.iter().map(|split| f64::from(split.weight)).sum();
        let mut left = point * total;
        let weighted = self.splits.iter().filter(|split| split.weight > 0);
        let mut last = &self.splits[0].service;
        for split in weighted {
            last = &split.service;
            left -= f64::from(split.weight);
            if left < 0.0 {
                break;
            }
        }
        last
    }
}

impl Kind {
    /// Returns whether a request may be retried after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }
}
