//! The end of what an endpoint sends through another gate.

use std::io;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const HELLO: &[u8] = b"\0\0\0\x05hello";
const END: &[u8] = b"\0\0\0\0";

/// The time in which an abandoned tunnel must end.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns both ends of a connection.
async fn connect() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (connected.expect("connected"), accepted.expect("accepted").0)
}

/// Returns what is read from a tunnel whose other gate sends `bytes` and ends.
async fn read(bytes: &[&[u8]]) -> io::Result<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let mut tunnel = edge::unframe(TcpStream::connect(listener.local_addr()?).await?);
    let (mut gate, _) = listener.accept().await?;
    for part in bytes {
        gate.write_all(part).await?;
    }
    drop(gate);
    let mut read = Vec::new();
    tunnel.read_to_end(&mut read).await?;
    Ok(read)
}

#[tokio::test]
async fn the_end_of_the_endpoints_connection_ends_the_tunnel() {
    assert_eq!(read(&[HELLO, HELLO, END]).await.expect("complete"), b"hellohello");
}

// Guards against a response that is delimited by the end of its connection and looks complete when a gate ends.
#[tokio::test]
async fn the_end_of_the_other_gate_is_an_error() {
    for bytes in [&[][..], &[HELLO], &[HELLO, &HELLO[..7]], &[&END[..2]]] {
        assert!(read(bytes).await.is_err(), "{bytes:?}");
    }
}

// Guards against endpoints that go on working after a caller has left, and against tunnels that are never closed.
#[tokio::test]
async fn a_gate_that_closes_a_tunnel_closes_the_endpoints_connection() {
    let (gate, peer) = connect().await;
    let (endpoint, mut server) = connect().await;
    drop(gate);
    let spliced = tokio::time::timeout(TIMEOUT, edge::splice(peer, endpoint)).await;
    assert!(spliced.is_ok(), "the tunnel is still open");
    assert_eq!(server.read(&mut [0]).await.expect("closed"), 0);
}
