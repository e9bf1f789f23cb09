//! The directory caches addresses until they expire and refreshes them when all have failed.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::routing::get;
use base::Name;
use load::directory::Directory;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use wire::http::Address;
use wire::http::Addresses;

/// A gate that returns the addresses that a test sets.
struct Gate {
    address: Name,
    addresses: Arc<Mutex<Addresses>>,
    requests: Arc<AtomicU64>,
}

fn addresses(list: &[(&str, u32)], keep_ms: u64) -> Addresses {
    let address =
        |(name, weight): &(&str, u32)| Address { address: Name::from(*name), weight: *weight };
    Addresses { addresses: list.iter().map(address).collect(), keep_ms }
}

async fn gate(initial: Addresses) -> Gate {
    let addresses = Arc::new(Mutex::new(initial));
    let requests = Arc::new(AtomicU64::new(0));
    let (current, counter) = (addresses.clone(), requests.clone());
    let handler = move || {
        counter.fetch_add(1, Ordering::Relaxed);
        let response = current.lock().clone();
        async move { Json(response) }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Name::from(listener.local_addr().unwrap().to_string());
    let router = Router::new().route("/v1/addresses", get(handler));
    tokio::spawn(async move { axum::serve(listener, router).await });
    Gate { address, addresses, requests }
}

#[tokio::test]
async fn addresses_are_cached_and_picked_by_weight() {
    let gate = gate(addresses(&[("a", 1), ("b", 3), ("c", 0)], 60_000)).await;
    let directory = Directory::new(vec![gate.address.clone()], false, 1);
    let mut counts = [0; 2];
    for _ in 0..1_000 {
        match directory.pick().await.unwrap().as_str() {
            "a" => counts[0] += 1,
            "b" => counts[1] += 1,
            other => panic!("{other} was picked"),
        }
    }
    assert_eq!(gate.requests.load(Ordering::Relaxed), 1);
    assert!((200..300).contains(&counts[0]), "{counts:?}");
}

#[tokio::test]
async fn a_failed_address_is_not_picked() {
    let gate = gate(addresses(&[("a", 1), ("b", 1)], 60_000)).await;
    let directory = Directory::new(vec![gate.address.clone()], false, 1);
    directory.pick().await.unwrap();
    directory.mark_failed(&Name::from("a"));
    for _ in 0..20 {
        assert_eq!(directory.pick().await.unwrap(), Name::from("b"));
    }
    assert_eq!(gate.requests.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn addresses_are_refreshed_when_all_have_failed() {
    let gate = gate(addresses(&[("a", 1)], 60_000)).await;
    let directory = Directory::new(vec![gate.address.clone()], false, 1);
    assert_eq!(directory.pick().await.unwrap(), Name::from("a"));
    *gate.addresses.lock() = addresses(&[("b", 1)], 60_000);
    let found = tokio::time::timeout(Duration::from_secs(5), async {
        while directory.pick().await != Some(Name::from("b")) {
            directory.mark_failed(&Name::from("a"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    found.await.unwrap();
    let requests = gate.requests.load(Ordering::Relaxed);
    assert!(requests <= 3, "{requests} requests for addresses");
}

#[tokio::test]
async fn nothing_is_picked_when_no_gate_responds() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead = Name::from(listener.local_addr().unwrap().to_string());
    drop(listener);
    let directory = Directory::new(vec![dead], false, 1);
    for _ in 0..1_000 {
        assert_eq!(directory.pick().await, None);
    }
}
