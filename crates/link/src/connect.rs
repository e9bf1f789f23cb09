//! TCP sockets with options that detect a dead peer.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// The longest time for which sent bytes may stay unacknowledged before the connection fails.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The idle time before the first keep-alive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered keep-alive probes after which the connection fails.
const KEEPALIVE_PROBES: u32 = 3;
/// The listen backlog, in connections.
const BACKLOG: u32 = 1_024;

/// Connects to `to` from the local address `from` and sets the options of [`set_options`]; fails with
/// `TimedOut` after `timeout`.
pub async fn connect(from: IpAddr, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if !from.is_unspecified() {
        socket.bind(SocketAddr::new(from, 0))?;
    }
    let stream = tokio::time::timeout(timeout, socket.connect(to)).await.map_err(|_| {
        io::Error::new(io::ErrorKind::TimedOut, "the connection did not open in time")
    })??;
    set_options(&stream)?;
    Ok(stream)
}

/// Binds a listener to an address.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Disables Nagle's algorithm and sets the timeouts that make a connection fail soon after its peer or
/// the path to it is lost.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))
}
