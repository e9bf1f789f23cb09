//! The service stub counts runs, the store stub limits loads, and endpoints announce themselves.

use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::routing::post;
use base::Name;
use hyper::Method;
use parking_lot::Mutex;
use stub::Engine;
use stub::Faults;
use stub::Service;
use stub::Store;
use stub::client::Client;
use stub::engine;
use stub::record::Kind;
use stub::record::Status;
use stub::service;
use stub::store;
use tokio::net::TcpListener;
use wire::endpoint::Acknowledgment;
use wire::endpoint::Action;
use wire::endpoint::Announcement;
use wire::endpoint::Model;
use wire::endpoint::Order;

const TIMEOUT: Duration = Duration::from_secs(10);

async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

async fn call(address: &str, key: &str) -> hyper_util::client::legacy::ResponseFuture {
    let request = hyper::Request::post(format!("http://{address}/orders"))
        .header("idempotency-key", key)
        .header("x-request-id", "r1")
        .body(http_body_util::Full::new(bytes::Bytes::from("{}")))
        .unwrap();
    hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
        .build_http()
        .request(request)
}

#[tokio::test]
async fn a_service_counts_runs_by_key() {
    let service = Service::start(listener().await, service::Settings::default()).unwrap();
    let address = service.address().to_string();
    let answer = call(&address, "k1").await.await.unwrap();
    assert_eq!(answer.headers()["x-request-id"], "r1");
    assert!(service.record().violations.is_empty());
    service.set_faults(Faults { cut_percent: 100, times: Some(1), ..Faults::default() });
    assert!(call(&address, "k1").await.await.is_err());
    let record = service.record();
    assert_eq!(record.keys[&Name::from("k1")], 2);
    assert_eq!(record.violations[0].kind, Kind::RanTwice);
    assert_eq!(record.runs[1].end, Status::Cut);
}

async fn fetch(address: &str, adapter: &str) -> u16 {
    let path = format!("/v1/weights/{adapter}/v1");
    let answer = Client::default().send(Method::GET, address, &path, "", TIMEOUT).await.unwrap();
    answer.status().as_u16()
}

#[tokio::test]
async fn a_store_refuses_and_records_loads_above_the_rate_limit() {
    let settings = store::Settings {
        rate: 0.001,
        burst: 2.0,
        load_time: Duration::from_millis(5),
        ..store::Settings::default()
    };
    let store = Store::start(listener().await, settings).unwrap();
    let address = store.address().to_string();
    assert_eq!(fetch(&address, "a").await, 200);
    assert_eq!(fetch(&address, "b").await, 200);
    assert_eq!(fetch(&address, "c").await, 429);
    assert_eq!(store.record().violations[0].kind, Kind::RateExceeded);
    store.set_faults(Faults { refuse: true, ..Faults::default() });
    assert_eq!(fetch(&address, "d").await, 503);
}

#[tokio::test]
async fn loads_slow_down_beyond_the_limit_in_flight() {
    let settings = store::Settings {
        burst: 100.0,
        in_flight: 2,
        load_time: Duration::from_millis(100),
        ..store::Settings::default()
    };
    let store = Store::start(listener().await, settings).unwrap();
    let address = store.address().to_string();
    let loads = (0..8).map(|_| fetch(&address, "a"));
    futures::future::join_all(loads).await;
    let record = store.record();
    assert_eq!(record.most_in_flight, 8);
    let slowest = record.loads.iter().map(|load| load.end_ms - load.start_ms).max().unwrap();
    assert!(slowest >= 300, "8 loads at a quarter of the speed took {slowest} ms");
}

#[tokio::test]
async fn an_endpoint_announces_itself_to_the_addresses_in_the_response() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let second = gate(seen.clone(), "second", Vec::new()).await;
    let first = gate(seen.clone(), "first", vec![second]).await;
    let dead = listener().await.local_addr().unwrap().to_string();
    let announce = vec![Name::from(dead), first];
    let settings = service::Settings { announce, ..service::Settings::default() };
    let service = Service::start(listener().await, settings).unwrap();
    while seen.lock().len() < 3 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let seen = seen.lock();
    assert_eq!(seen[0].0, "first");
    assert_eq!(seen[1].0, "second");
    assert_eq!(&*seen[0].1.endpoint.address, service.address().to_string());
}

#[tokio::test]
async fn reports_are_delayed_have_gaps_or_stop() {
    let seen: Seen = Arc::default();
    let announce = vec![gate(seen.clone(), "gate", Vec::new()).await];
    let load_time = Duration::ZERO;
    let settings = engine::Settings { announce, load_time, ..engine::Settings::default() };
    let engine = Engine::start(listener().await, settings).unwrap();
    let model = Model { adapter: Name::from("a"), version: Name::from("v1") };
    let action = Action::Load(model.clone());
    let body = serde_json::to_vec(&Order { id: Name::from("1"), fence: 1, action }).unwrap();
    let address = engine.address().to_string();
    let client = Client::default();
    assert!(client.send(Method::POST, &address, "/v1/orders", body, TIMEOUT).await.is_ok());
    let next = async || {
        seen.lock().clear();
        // The first announcement may have been sent before the change.
        while seen.lock().len() < 2 {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        let last = seen.lock().last().cloned();
        last.unwrap().1
    };
    assert_eq!(next().await.state.loaded, [model]);
    engine.set_faults(Faults { report_gap_percent: 100, ..Faults::default() });
    assert!(next().await.state.loaded.is_empty());
    engine.set_faults(Faults { report_lag_ms: 600_000, ..Faults::default() });
    assert!(next().await.state.loaded.is_empty());
    engine.set_faults(Faults::default());
    engine.leave().await;
    let last = next().await;
    assert!(last.leaving);
    engine.set_faults(Faults { silent: true, ..Faults::default() });
    let silence = async {
        seen.lock().push(("", last.clone()));
        while !seen.lock().is_empty() {
            seen.lock().clear();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, silence).await.unwrap();
}

type Seen = Arc<Mutex<Vec<(&'static str, Announcement)>>>;

async fn gate(seen: Seen, name: &'static str, addresses: Vec<Name>) -> Name {
    let handler = move |Json(announcement): Json<Announcement>| {
        let addresses = addresses.clone();
        let seen = seen.clone();
        async move {
            seen.lock().push((name, announcement));
            Json(Acknowledgment { interval_ms: 5, addresses })
        }
    };
    let listener = listener().await;
    let address = Name::from(listener.local_addr().unwrap().to_string());
    let router = Router::new().route("/v1/announce", post(handler));
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}
