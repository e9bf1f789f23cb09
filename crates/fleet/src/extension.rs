//! The parts of a plan that its first encoding does not have.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::plan::Plan;
use crate::tenant::Tenant;

/// The fields of a plan that are skipped in its encoding.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Extension {
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The fields of the routes, in the order of the plan's routes.
    pub routes: Vec<RouteFields>,
    /// [`EngineSpec::stride`](crate::plan::EngineSpec::stride) of the services, in the order of the plan's services; 0 for
    /// one without engines.
    pub strides: Vec<u32>,
}

/// The fields of a route that are skipped in its encoding.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteFields {
    /// See [`Route::public`](crate::plan::Route::public).
    pub public: bool,
    /// See [`Route::gap`](crate::plan::Route::gap).
    pub gap: Option<Duration>,
}

impl Extension {
    /// Returns the extension of a plan.
    pub fn of(plan: &Plan) -> Extension {
        let fields =
            |route: &crate::plan::Route| RouteFields { public: route.public, gap: route.gap };
        let stride = |service: &crate::plan::Service| {
            service.engine.as_ref().map_or(0, |engine| engine.stride)
        };
        Extension {
            tenants: plan.tenants.clone(),
            routes: plan.routes.iter().map(fields).collect(),
            strides: plan.services.iter().map(stride).collect(),
        }
    }

    /// Sets the fields of a plan that was decoded without them.
    pub fn apply(&self, plan: &mut Plan) {
        plan.tenants = self.tenants.clone();
        for (route, fields) in plan.routes.iter_mut().zip(&self.routes) {
            route.public = fields.public;
            route.gap = fields.gap;
        }
        for (service, stride) in plan.services.iter_mut().zip(&self.strides) {
            if let Some(engine) = &mut service.engine {
                engine.stride = *stride;
            }
        }
    }
}
