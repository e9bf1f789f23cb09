//! TCP sockets that notice a dead peer.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// The time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time before the first keep-alive probe, and between two probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// The unanswered probes that end a connection.
const PROBES: u32 = 3;
/// The connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Connects to `to` from the address `from` within `limit`.
pub async fn connect(from: IpAddr, to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if !from.is_unspecified() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = tokio::time::timeout(limit, socket.connect(to))
        .await
        .map_err(|_| io::Error::new(io::ErrorKind::TimedOut, "connecting took too long"))??;
    guard(&stream)?;
    Ok(stream)
}

/// Listens on an address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Sets what makes a connection fail soon after its peer or the path to it is lost.
pub fn guard(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive.with_retries(PROBES))
}
