//! Each rule of the proxy, on real sockets.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use stub::Proxy;
use stub::proxy::Drop;
use stub::proxy::Link;
use stub::proxy::Rules;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::Instant;

/// Time in which no bytes may arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

async fn echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await.ok();
            });
        }
    });
    address
}

async fn link(rules: Rules) -> (Proxy, Arc<Link>) {
    let mut proxy = Proxy::new(1);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = proxy.add("a", listener, echo().await).unwrap();
    link.set(rules);
    (proxy, link)
}

async fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(bytes).await?;
    let mut answer = vec![0; bytes.len()];
    stream.read_exact(&mut answer).await?;
    Ok(answer)
}

#[tokio::test]
async fn bytes_are_forwarded_and_counted() {
    let (_proxy, link) = link(Rules::default()).await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    assert_eq!(exchange(&mut stream, b"hello").await.unwrap(), b"hello");
    stream.shutdown().await.unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();
    let status = link.status();
    assert_eq!((status.request_bytes, status.answer_bytes, status.cuts), (5, 5, 0));
}

#[tokio::test]
async fn delay_applies_in_each_direction() {
    let (_proxy, link) = link(Rules { delay_ms: 40, ..Rules::default() }).await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    let start = Instant::now();
    exchange(&mut stream, b"hello").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(80));
}

#[tokio::test]
async fn a_cut_resets_open_and_new_connections() {
    let (_proxy, link) = link(Rules::default()).await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    exchange(&mut stream, b"hello").await.unwrap();
    link.set(Rules { cut: true, ..Rules::default() });
    let error = stream.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    let second = match TcpStream::connect(link.address()).await {
        Ok(mut second) => exchange(&mut second, b"hello").await,
        Err(error) => Err(error),
    };
    assert!(second.is_err());
}

#[tokio::test]
async fn a_cut_that_ends_immediately_still_resets_open_connections() {
    let (_proxy, link) = link(Rules::default()).await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    exchange(&mut stream, b"hello").await.unwrap();
    link.set(Rules { cut: true, ..Rules::default() });
    link.set(Rules::default());
    let error = stream.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    let mut second = TcpStream::connect(link.address()).await.unwrap();
    exchange(&mut second, b"hello").await.unwrap();
}

#[tokio::test]
async fn a_connection_with_dropped_bytes_is_reset_when_the_rule_ends() {
    for drop in [Drop::Request, Drop::Answer, Drop::Both] {
        let (_proxy, link) = link(Rules::default()).await;
        let mut stream = TcpStream::connect(link.address()).await.unwrap();
        exchange(&mut stream, b"hello").await.unwrap();
        link.set(Rules { drop, ..Rules::default() });
        stream.write_all(b"lost").await.unwrap();
        assert!(tokio::time::timeout(QUIET_PERIOD, stream.read_u8()).await.is_err());
        let mut second = TcpStream::connect(link.address()).await.unwrap();
        second.write_all(b"lost").await.unwrap();
        assert!(tokio::time::timeout(QUIET_PERIOD, second.read_u8()).await.is_err());
        let arrived = if drop == Drop::Answer { 13 } else { 5 };
        assert_eq!(link.status().request_bytes, arrived);
        link.set(Rules::default());
        assert!(stream.read_u8().await.is_err());
        assert!(second.read_u8().await.is_err());
    }
}

#[tokio::test]
async fn held_bytes_arrive_when_the_rule_ends() {
    let (_proxy, link) = link(Rules::default()).await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    exchange(&mut stream, b"hello").await.unwrap();
    link.set(Rules { hold: true, ..Rules::default() });
    stream.write_all(b"late").await.unwrap();
    assert!(tokio::time::timeout(QUIET_PERIOD, stream.read_u8()).await.is_err());
    link.set(Rules::default());
    let mut answer = [0; 4];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"late");
}

#[tokio::test]
async fn a_connection_is_reset_after_a_number_of_bytes_in_a_direction() {
    let rules = Rules { cut_request_after: Some(3), times: Some(1), ..Rules::default() };
    let (_proxy, link) = link(rules).await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    assert!(exchange(&mut stream, b"hello").await.is_err());
    assert_eq!(link.status().request_bytes, 3);
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    exchange(&mut stream, b"hello").await.unwrap();
    link.set(Rules { cut_answer_after: Some(0), ..Rules::default() });
    assert!(exchange(&mut stream, b"hello").await.is_err());
    assert_eq!(link.status().request_bytes, 13);
    assert_eq!(link.status().answer_bytes, 5);
}

#[tokio::test]
async fn bandwidth_is_limited() {
    let (_proxy, link) = link(Rules { bytes_per_second: Some(100_000), ..Rules::default() }).await;
    let mut stream = TcpStream::connect(link.address()).await.unwrap();
    let start = Instant::now();
    exchange(&mut stream, &[7; 40_000]).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(200));
}

#[tokio::test]
async fn datagrams_are_forwarded_duplicated_and_lost() {
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut proxy = Proxy::new(1);
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let link = proxy.add_udp("u", socket, target.local_addr().unwrap()).unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut buffer = [0; 16];
    sender.send_to(b"one", link.address()).await.unwrap();
    let (length, from) = target.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"one");
    target.send_to(b"back", from).await.unwrap();
    let (length, _) = sender.recv_from(&mut buffer).await.unwrap();
    assert_eq!(&buffer[..length], b"back");
    link.set(Rules { duplicate_percent: 100, ..Rules::default() });
    sender.send_to(b"two", link.address()).await.unwrap();
    target.recv_from(&mut buffer).await.unwrap();
    target.recv_from(&mut buffer).await.unwrap();
    link.set(Rules { loss_percent: 100, ..Rules::default() });
    sender.send_to(b"three", link.address()).await.unwrap();
    assert!(tokio::time::timeout(QUIET_PERIOD, target.recv_from(&mut buffer)).await.is_err());
}

#[tokio::test]
async fn links_are_set_over_http() {
    let (proxy, link) = link(Rules::default()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move { stub::proxy::serve_control(listener, &proxy).await });
    let client = stub::client::Client::default();
    let put = async |name: &str, body: &str| {
        let path = format!("/links/{name}");
        let body = body.to_owned();
        client
            .send(hyper::Method::PUT, &control, &path, body, QUIET_PERIOD * 50)
            .await
            .unwrap()
            .status()
    };
    assert_eq!(put("a", r#"{"drop":"both"}"#).await, 204);
    assert_eq!(link.status().rules.drop, Drop::Both);
    assert_eq!(put("a", r#"{"dorp":"both"}"#).await, 422);
    assert_eq!(put("b", "{}").await, 404);
    assert_eq!(put("*", "{}").await, 204);
    assert_eq!(link.status().rules, Rules::default());
}
