//! Tests of frames between two links on loopback.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use link::Inbox;
use link::Link;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const PING: String = String::new();
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns a link and the connection that its peer has accepted.
async fn connect() -> (Link<String>, Inbox<String>, TcpStream) {
    let ip = Ipv4Addr::LOCALHOST.into();
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("an address");
    let stream = link::connect(ip, address, CONNECT_TIMEOUT).await.expect("a connection");
    let (link, inbox) = link::open(stream, PING);
    (link, inbox, listener.accept().await.expect("a connection").0)
}

async fn next(inbox: &mut Inbox<String>) -> Option<String> {
    loop {
        let frame = inbox.recv().await;
        if frame != Some(PING) {
            return frame;
        }
    }
}

/// Frames that arrive together with the first one are in the buffer of its reader.
#[tokio::test]
async fn frames_behind_the_first_one_are_not_lost() {
    let (sender, _inbox, stream) = connect().await;
    for number in 0..100 {
        sender.send(number.to_string());
    }
    let (first, accepted) = link::accept::<String>(stream).await.expect("a frame");
    assert_eq!(first, "0");
    let (_link, mut inbox) = accepted.open(PING).expect("a link");
    for number in 1..100 {
        assert_eq!(next(&mut inbox).await, Some(number.to_string()));
    }
}

#[tokio::test]
async fn a_broadcast_keeps_its_place_among_the_frames_of_each_link() {
    let (first, _inbox, first_stream) = connect().await;
    let (second, _other_inbox, second_stream) = connect().await;
    let large = "x".repeat(1 << 20);
    first.send("before".to_owned());
    link::broadcast([&first, &second].into_iter(), &large);
    first.send("after".to_owned());
    second.send("after".to_owned());
    let (_link, mut inbox) = link::open::<String>(first_stream, PING);
    assert_eq!(next(&mut inbox).await.as_deref(), Some("before"));
    assert_eq!(next(&mut inbox).await.as_ref(), Some(&large));
    assert_eq!(next(&mut inbox).await.as_deref(), Some("after"));
    let (_link, mut inbox) = link::open::<String>(second_stream, PING);
    assert_eq!(next(&mut inbox).await.as_ref(), Some(&large));
    assert_eq!(next(&mut inbox).await.as_deref(), Some("after"));
}

#[tokio::test]
async fn a_filter_takes_the_frames_that_it_handles() {
    let (sender, _inbox, stream) = connect().await;
    let (link, inbox) = link::open::<String>(stream, PING);
    let mut inbox = inbox.filter(|frame| (frame != "handled").then_some(frame));
    sender.send("handled".to_owned());
    sender.send("other".to_owned());
    assert_eq!(next(&mut inbox).await.as_deref(), Some("other"));
    link.close();
    assert_eq!(next(&mut inbox).await, None);
}

/// Writes a frame in pieces, with a pause after each one.
async fn write_slowly(mut stream: TcpStream, frame: &str, pieces: usize, pause: Duration) {
    let content = postcard::to_stdvec(frame).expect("a string can be encoded");
    let mut bytes = (content.len() as u32).to_be_bytes().to_vec();
    bytes.extend(content);
    for piece in bytes.chunks(bytes.len().div_ceil(pieces)) {
        stream.write_all(piece).await.expect("the link is open");
        tokio::time::sleep(pause).await;
    }
    std::future::pending::<()>().await;
}

/// Guards against a large frame on a slow connection being taken for silence of the peer.
#[tokio::test]
async fn a_frame_may_take_longer_than_the_read_timeout_while_its_bytes_arrive() {
    let (_link, mut inbox, stream) = connect().await;
    let frame = "x".repeat(1_000);
    let sent = frame.clone();
    tokio::spawn(async move { write_slowly(stream, &sent, 4, Duration::from_millis(700)).await });
    assert_eq!(next(&mut inbox).await, Some(frame));
}

#[tokio::test]
async fn a_peer_that_stops_within_a_frame_is_lost() {
    let (link, mut inbox, stream) = connect().await;
    let frame = "x".repeat(1_000);
    tokio::spawn(async move { write_slowly(stream, &frame, 2, Duration::from_secs(60)).await });
    let ended = tokio::time::timeout(Duration::from_secs(4), next(&mut inbox)).await;
    assert_eq!(ended, Ok(None));
    assert!(link.is_closed());
}
