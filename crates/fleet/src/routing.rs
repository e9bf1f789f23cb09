//! The routing table.

use base::Map;
use base::Name;

use crate::plan::Plan;
use crate::plan::Route;

/// A plan with an index of its routes by host.
#[derive(Clone, Debug, Default)]
pub struct Table {
    plan: Plan,
    /// The indices of the plan's routes by host, the longest prefix first.
    hosts: Map<Name, Vec<usize>>,
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
        Table { plan, hosts }
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
}
