//! The directory: addresses are kept as long as told, and asked for again when all failed.

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

/// A gate whose addresses a test sets.
struct Gate {
    address: Name,
    told: Arc<Mutex<Addresses>>,
    asked: Arc<AtomicU64>,
}

fn addresses(list: &[(&str, u32)], keep_ms: u64) -> Addresses {
    let address =
        |(name, weight): &(&str, u32)| Address { address: Name::from(*name), weight: *weight };
    Addresses { addresses: list.iter().map(address).collect(), keep_ms }
}

async fn gate(told: Addresses) -> Gate {
    let told = Arc::new(Mutex::new(told));
    let asked = Arc::new(AtomicU64::new(0));
    let (answers, counter) = (told.clone(), asked.clone());
    let handler = move || {
        counter.fetch_add(1, Ordering::Relaxed);
        let answer = answers.lock().clone();
        async move { Json(answer) }
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = Name::from(listener.local_addr().unwrap().to_string());
    let router = Router::new().route("/v1/addresses", get(handler));
    tokio::spawn(async move { axum::serve(listener, router).await });
    Gate { address, told, asked }
}

#[tokio::test]
async fn addresses_are_kept_and_picked_by_weight() {
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
    assert_eq!(gate.asked.load(Ordering::Relaxed), 1);
    assert!((200..300).contains(&counts[0]), "{counts:?}");
}

#[tokio::test]
async fn an_address_that_failed_is_left_out() {
    let gate = gate(addresses(&[("a", 1), ("b", 1)], 60_000)).await;
    let directory = Directory::new(vec![gate.address.clone()], false, 1);
    directory.pick().await.unwrap();
    directory.mark_failed(&Name::from("a"));
    for _ in 0..20 {
        assert_eq!(directory.pick().await.unwrap(), Name::from("b"));
    }
    assert_eq!(gate.asked.load(Ordering::Relaxed), 1);
}

#[tokio::test]
async fn when_all_failed_the_site_is_asked_again() {
    let gate = gate(addresses(&[("a", 1)], 60_000)).await;
    let directory = Directory::new(vec![gate.address.clone()], false, 1);
    assert_eq!(directory.pick().await.unwrap(), Name::from("a"));
    *gate.told.lock() = addresses(&[("b", 1)], 60_000);
    let found = tokio::time::timeout(Duration::from_secs(5), async {
        while directory.pick().await != Some(Name::from("b")) {
            directory.mark_failed(&Name::from("a"));
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    });
    found.await.unwrap();
    let asked = gate.asked.load(Ordering::Relaxed);
    assert!(asked <= 3, "{asked} questions");
}

#[tokio::test]
async fn without_any_gate_nothing_is_picked_and_questions_are_few() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead = Name::from(listener.local_addr().unwrap().to_string());
    drop(listener);
    let directory = Directory::new(vec![dead], false, 1);
    for _ in 0..1_000 {
        assert_eq!(directory.pick().await, None);
    }
}
