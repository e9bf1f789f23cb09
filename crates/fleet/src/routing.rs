//! The plan in the form in which requests look it up.

use base::Map;
use base::Name;

use crate::plan::Plan;
use crate::plan::Route;

/// A plan with an index of its routes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    plan: Plan,
    /// Positions in the plan's routes, by host, the longest prefix first.
    hosts: Map<Name, Vec<usize>>,
}

impl Table {
    /// Indexes a plan.
    pub fn new(plan: Plan) -> Table {
        let mut hosts: Map<Name, Vec<usize>> = Map::default();
        for (position, route) in plan.routes.iter().enumerate() {
            hosts.entry(route.host.clone()).or_default().push(position);
        }
        for positions in hosts.values_mut() {
            positions.sort_by_key(|at| std::cmp::Reverse(plan.routes[*at].prefix.len()));
        }
        Table { plan, hosts }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the route of a host with the longest prefix that begins `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let positions = self.hosts.get(host)?;
        let mut routes = positions.iter().map(|at| &self.plan.routes[*at]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }
}
