//! The routing table.

use std::sync::Arc;

use base::Map;
use base::Name;

use crate::plan::Plan;
use crate::plan::Route;
use crate::tenant::Digest;
use crate::tenant::Tenant;

/// A plan with indices of its routes by host and of its tenants by key.
#[derive(Clone, Debug, Default)]
pub struct Table {
    plan: Plan,
    /// The indices of the plan's routes by host, the longest prefix first.
    hosts: Map<Name, Vec<usize>>,
    /// The tenants by the digests of their keys.
    tenants: Map<Digest, Arc<Tenant>>,
}

impl Table {
    /// Builds the table of a plan.
    pub fn new(plan: Plan) -> Table {
        let mut hosts: Map<Name, Vec<usize>> = Map::default();
        for (index, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(index);
        }
        for indices in hosts.values_mut() {
            indices.sort_by_key(|at| std::cmp::Reverse(plan.routes[*at].prefix.len()));
        }
        let mut tenants = Map::default();
        for tenant in &plan.tenants {
            let tenant = Arc::new(tenant.clone());
            tenants.extend(tenant.keys.iter().map(|key| (*key, tenant.clone())));
        }
        Table { plan, hosts, tenants }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the route of `host` with the longest prefix of `path`; `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let indices = self.hosts.get(host)?;
        let mut routes = indices.iter().map(|at| &self.plan.routes[*at]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Returns the tenant with a key; `None` if no tenant has it.
    pub fn tenant(&self, key: &Digest) -> Option<&Arc<Tenant>> {
        self.tenants.get(key)
    }

    /// Returns whether requests need keys, unless their routes are public.
    pub fn has_tenants(&self) -> bool {
        !self.plan.tenants.is_empty()
    }
}
