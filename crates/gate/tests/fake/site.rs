//! Runs gates in the test process with fake keepers and endpoints.

use std::time::Duration;

use base::Name;
use conf::Config;
use conf::Entry;
use gate::Gate;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use state::View;
use state::view::Adapter;
use state::view::Role;
use state::view::Service;
use state::view::Version;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::engine::Engine;
use super::keeper::Keeper;

/// The timeout of a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);

/// A running gate.
pub(crate) struct Running {
    pub(crate) entry: Entry,
    pub(crate) stop: Option<oneshot::Sender<()>>,
    pub(crate) task: JoinHandle<()>,
}

/// A received response; `complete` is false if the connection broke.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: hyper::HeaderMap,
    pub(crate) body: String,
    pub(crate) complete: bool,
}

impl Reply {
    pub(crate) fn code(&self) -> u64 {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["code"].as_u64().unwrap_or_default()
    }

    pub(crate) fn ran(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["error"]["ran"].as_str().unwrap_or_default().to_owned()
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

pub(crate) type Http = Client<HttpConnector, Full<Bytes>>;

pub(crate) fn http() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

pub(crate) async fn send(
    http: &Http,
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Reply {
    let mut request = hyper::Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(Bytes::from(body.to_owned()))).expect("a request");
    let response = http.request(request).await.expect("an answer");
    let (parts, mut stream) = response.into_parts();
    let mut all = Vec::new();
    let mut complete = true;
    while let Some(frame) = stream.frame().await {
        match frame {
            Ok(frame) => all.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                complete = false;
                break;
            }
        }
    }
    let body = String::from_utf8(all).expect("text");
    Reply { status: parts.status.as_u16(), headers: parts.headers, body, complete }
}

/// Returns a view with the adapter `a` of two versions, adapters `b0`…`b9`, and the service `ledger`.
pub(crate) fn view() -> View {
    let mut view = View::default();
    let adapter = |versions: &[&str]| Adapter {
        base: Name::from("base"),
        versions: versions
            .iter()
            .map(|name| Version { name: Name::from(*name), deprecated: false })
            .collect(),
        default: Some(Name::from(versions[0])),
    };
    view.adapters.insert(Name::from("a"), adapter(&["v1", "v2"]));
    for number in 0..10 {
        view.adapters.insert(Name::from(format!("b{number}")), adapter(&["v1"]));
    }
    let kind = Name::from("ledger");
    let rules = vec![Name::from("POST /orders")];
    view.services.insert(kind.clone(), Service { kind, non_idempotent: rules });
    view
}

pub(crate) fn engine_role(slots: u32, batch: u32) -> Role {
    Role::Engine { base: Name::from("base"), slots, batch }
}

pub(crate) fn service_role() -> Role {
    Role::Service { kind: Name::from("ledger"), batch: 4 }
}

pub(crate) fn config(hosts: &[&str], keeper: &Keeper) -> Config {
    let mut config = Config::default();
    let free = Name::from("127.0.0.1:0");
    for host in hosts {
        config.entries.push(Entry {
            host: Name::from(*host),
            domain: Name::from("d1"),
            gate: free.clone(),
            peer: free.clone(),
            relay: free.clone(),
            gate_admin: free.clone(),
            ..Entry::default()
        });
    }
    config.entries[0].keeper = keeper.address.clone();
    config.timing.renew_ms = 50;
    config.timing.announce_ms = 100;
    config.timing.silent_ms = 600;
    config.timing.summary_ms = 20;
    config.timing.call_ms = 300;
    config.timing.addresses_ms = 200;
    config
}

/// Starts a gate; it learns the other gates' addresses from the view.
pub(crate) async fn start(config: &Config, host: &str) -> Running {
    let mut config = config.clone();
    let entry = config.entries.iter().find(|entry| entry.host.as_str() == host).cloned();
    config.entries.retain(|entry| entry.host.as_str() == host || !entry.keeper.is_empty());
    for entry in config.entries.iter_mut().filter(|entry| entry.host.as_str() != host) {
        // Without an entry for the host in the settings, the gate uses the addresses in the view.
        entry.host = Name::from(format!("{}-keeper", entry.host));
    }
    entry.expect("the host is in the settings");
    let gate = Gate::bind(config, host).await.expect("the gate listens");
    let entry = gate.entry().clone();
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(gate.run(async {
        stopped.await.ok();
    }));
    Running { entry, stop: Some(stop), task }
}

/// Announces an engine to a gate every 50 ms.
pub(crate) fn announce(engine: &Engine, gate: &Running) -> JoinHandle<()> {
    let engine = engine.clone();
    let url = format!("http://{}/v1/announce", gate.entry.gate);
    tokio::spawn(async move {
        let http = http();
        loop {
            let body = serde_json::to_string(&engine.announcement()).expect("JSON");
            let request = hyper::Request::post(&url).body(Full::new(Bytes::from(body)));
            http.request(request.expect("a request")).await.ok();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
}

/// Waits until `met` returns true.
pub(crate) async fn wait_until(what: &str, mut met: impl AsyncFnMut() -> bool) {
    let end = tokio::time::Instant::now() + CONDITION_TIMEOUT;
    while !met().await {
        assert!(tokio::time::Instant::now() < end, "timed out: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Waits until the gate serves and owns `count` ready endpoints.
pub(crate) async fn wait_for_endpoints(gate: &Running, count: usize) {
    let http = http();
    let url = format!("http://{}/v1/status", gate.entry.gate_admin);
    let host = gate.entry.host.clone();
    wait_until("the gate owns its endpoints", async || {
        let reply = send(&http, "GET", &url, &[], "").await;
        let status: wire::admin::Status = serde_json::from_str(&reply.body).expect("a status");
        let summary = status.gates.iter().find(|summary| summary.gate == host);
        let ready = summary.map_or(0, |summary| {
            summary.endpoints.iter().filter(|endpoint| endpoint.ready).count()
        });
        status.serving && ready == count
    })
    .await;
}
