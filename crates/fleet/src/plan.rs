//! The plan: all routes, services and limits under one version.

use std::time::Duration;

use base::Name;
use base::Set;
use serde::Deserialize;
use serde::Serialize;

/// A whole configuration; the highest version is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Grows from one plan to the next, in uneven steps.
    pub version: u64,
    /// The routes, in the order in which they were given.
    pub routes: Vec<Route>,
    /// The services that routes lead to.
    pub services: Vec<Service>,
    /// What a caller may send.
    pub limits: Limits,
}

/// What may be done again with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answered by a series of events; runs once at most unless it may be resumed.
    Stream {
        /// Whether a broken answer may be continued by another endpoint.
        resumable: bool,
    },
}

/// Where requests of a host with a path prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name.
    pub name: Name,
    /// The value of the request's `Host`.
    pub host: Name,
    /// The prefix of the path; begins and ends with a slash.
    pub prefix: Name,
    /// What may be done again.
    pub kind: Kind,
    /// The longest time a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub target: Duration,
    /// 0 is served first.
    pub rank: u8,
    /// The endpoints that one request may be sent to.
    pub attempts: u32,
    /// The services with their weights; weights of 0 get nothing.
    pub splits: Vec<Split>,
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Split {
    /// The service.
    pub service: Name,
    /// The part, relative to those of the other splits.
    pub weight: u32,
}

/// A set of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Name,
    /// The connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Present where the endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// The size of the model engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The requests in one batch.
    pub slots: u32,
    /// The tokens that fit into an engine's memory.
    pub kv_tokens: u64,
    /// The adapters that an engine holds at once, those being loaded included.
    pub adapter_slots: u32,
    /// The room for weights, in MB.
    pub weights_mb: f64,
    /// The models' weights that may be fetched from the store each second, over all engines.
    pub loads_per_s: f64,
    /// The base models.
    pub models: Vec<BaseModel>,
}

/// A base model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BaseModel {
    /// The name.
    pub name: Name,
    /// The size of its weights, in MB.
    pub weights_mb: f64,
    /// The time of a load from the store.
    pub load: Duration,
    /// The size of one of its adapters, in MB.
    pub adapter_mb: f64,
}

/// What a caller may send.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// The bytes of a request's head.
    pub header_bytes: usize,
    /// The bytes of a request's body.
    pub body_bytes: usize,
    /// The time in which a request's head must arrive.
    pub header_timeout: Duration,
    /// The time for which a connection may be idle.
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

/// Why a plan can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It can't be decoded.
    #[error("{0}")]
    Malformed(String),
    /// A route leads to a service that the plan does not have.
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
    /// No service of a route has any weight.
    #[error("the weights of route '{0}' add up to 0")]
    NoWeight(Name),
    /// A route has a timeout of 0.
    #[error("route '{0}' has a timeout of 0")]
    NoTimeout(Name),
    /// A prefix does not begin and end with a slash.
    #[error("the prefix of route '{0}' does not begin and end with a slash")]
    BadPrefix(Name),
}

impl Plan {
    /// Checks what the parts of a plan must have of each other.
    pub fn validate(&self) -> Result<(), Error> {
        let services: Set<&Name> = self.services.iter().map(|service| &service.name).collect();
        let mut places = Set::default();
        for route in &self.routes {
            route.validate(&services)?;
            if !places.insert((&route.host, &route.prefix)) {
                let (host, prefix) = (route.host.clone(), route.prefix.clone());
                return Err(Error::DuplicateRoute { host, prefix });
            }
        }
        Ok(())
    }

    /// Returns a service by its name.
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

    /// Returns the service at a point from 0 to 1 of the route's weights.
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
    /// Returns whether a request that may have run can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }
}
