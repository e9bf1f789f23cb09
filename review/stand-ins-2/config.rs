//! Configurations, as the operator sends them.

use crate::model;
use crate::model::Sizes;
use crate::site::HOST;

/// Returns a route of the site's host.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32) -> String {
    let resumable = kind == "streaming" && attempts > 1;
    format!(
        "{{\"Name\":\"r-{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"/{name}/\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\
         \"TargetLatencyMs\":800,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\"Sticky\":false,\
         \"Resumable\":{resumable},\"TargetGapMs\":400}}"
    )
}

pub fn service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":400,\"Protocol\":\"h1\",\"Tls\":false}}"
    )
}

pub fn model_service(name: &str, sizes: Sizes) -> String {
    let Sizes { weights, model, adapter, slots } = sizes;
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":400,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":\
         {{\"Slots\":64,\"KvCapacityTokens\":130000,\"Stride\":3,\"Models\":[{{\"Name\":\"{}\",\"WeightsMb\":{model}.0,\
         \"LoadS\":2.5,\"Adapters\":100,\"AdapterSizeMb\":{adapter}.0,\"WarmS\":0.6,\"DiskS\":1.0}}],\"WeightsMb\":{weights}.0,\
         \"AdapterSlots\":{slots},\"LoadsPerS\":4.8}}}}",
        model::NAME
    )
}

pub fn config(version: u32, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}
