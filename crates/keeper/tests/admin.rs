//! The HTTP API for operators, and malformed input on the RPC port.

mod site;

use site::*;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Sends bytes and reads until the connection is closed.
async fn send(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok();
    String::from_utf8_lossy(&response).into_owned()
}

async fn get(address: &str, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    send(address, request.as_bytes()).await
}

#[tokio::test]
async fn metrics_and_health_are_served() {
    let site = Site::start_new(1).await;
    let address = &site.config.entries[0].keeper_admin;
    wait_until("the keeper is healthy", async || {
        get(address, "/healthz").await.starts_with("HTTP/1.1 200").then_some(())
    })
    .await;
    let metrics = get(address, "/metrics").await;
    assert!(metrics.contains("radish_keeper_leader 1"), "{metrics}");
    assert!(metrics.contains("radish_keeper_voters 1"), "{metrics}");
    assert!(get(address, "/nope").await.starts_with("HTTP/1.1 404"));
}

#[tokio::test]
async fn replica_without_a_group_is_unhealthy() {
    let mut site = Site::new(2, None);
    site.start("h1", false).await;
    let health = get(&site.config.entries[1].keeper_admin, "/healthz").await;
    assert!(health.starts_with("HTTP/1.1 503"), "{health}");
}

#[tokio::test]
async fn malformed_input_does_not_stop_the_server() {
    let site = Site::start_new(1).await;
    let address = &site.config.entries[0].keeper;
    let huge = [0xff; 64];
    let wrong = [0, 0, 0, 8, 9, 9, 9, 9, 9, 9, 9, 9];
    for bytes in [&huge[..], &wrong[..], b"GET / HTTP/1.1\r\n\r\n"] {
        send(address, bytes).await;
    }
    let mut incomplete = TcpStream::connect(address.as_str()).await.unwrap();
    incomplete.write_all(&[0, 0, 1]).await.unwrap();
    site.submit(&create_adapter("a")).await;
}
