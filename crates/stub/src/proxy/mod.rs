//! A proxy that injects faults into TCP and UDP links.
//!
//! Two limits of a proxy at the socket level: a connect through a link that drops bytes succeeds, because
//! the kernel accepts it, and only then gets no response; a target that refuses connections appears as a
//! reset after the accept.

mod control;
mod datagram;
mod link;
mod rule;
mod settings;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use base::Map;
use base::Name;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;

pub use crate::proxy::control::serve as serve_control;
pub use crate::proxy::link::Link;
pub use crate::proxy::link::Status;
pub use crate::proxy::rule::Direction;
pub use crate::proxy::rule::Drop;
pub use crate::proxy::rule::Rules;
pub use crate::proxy::settings::Entry;
pub use crate::proxy::settings::Settings;
pub use crate::proxy::settings::read as read_settings;

/// A set of links; they are closed when the proxy is dropped.
pub struct Proxy {
    links: Map<Name, Arc<Link>>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
    seed: u64,
}

impl Proxy {
    /// Creates a proxy without links; `seed` determines the loss and duplication of datagrams.
    pub fn new(seed: u64) -> Proxy {
        Proxy { links: Map::default(), tasks: Vec::new(), seed }
    }

    /// Adds a TCP link from a listener to an address.
    pub fn add(
        &mut self,
        name: impl Into<Name>,
        listener: TcpListener,
        to: SocketAddr,
    ) -> io::Result<Arc<Link>> {
        let link = self.insert(name.into(), listener.local_addr()?, to);
        self.tasks.push(tokio::spawn(stream::serve(listener, link.clone())));
        Ok(link)
    }

    /// Adds a UDP link from a socket to an address.
    pub fn add_udp(
        &mut self,
        name: impl Into<Name>,
        socket: UdpSocket,
        to: SocketAddr,
    ) -> io::Result<Arc<Link>> {
        let link = self.insert(name.into(), socket.local_addr()?, to);
        self.tasks.push(tokio::spawn(datagram::serve(socket, link.clone())));
        Ok(link)
    }

    /// Returns the link with a name.
    pub fn link(&self, name: &str) -> Option<Arc<Link>> {
        self.links.get(name).cloned()
    }

    /// Returns all links.
    pub fn links(&self) -> Map<Name, Arc<Link>> {
        self.links.clone()
    }

    /// Sets the rules of each link whose name begins with `prefix`; returns their number.
    pub fn set_all(&self, prefix: &str, rules: &Rules) -> usize {
        let links = self.links.iter().filter(|(name, _)| name.starts_with(prefix));
        links.map(|(_, link)| link.set(rules.clone())).count()
    }

    fn insert(&mut self, name: Name, address: SocketAddr, to: SocketAddr) -> Arc<Link> {
        let seed = self.seed ^ base::digest(name.as_bytes());
        let link = Arc::new(Link::new(address, to, seed));
        self.links.insert(name, link.clone());
        link
    }
}

impl std::ops::Drop for Proxy {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        for link in self.links.values() {
            link.set(Rules { cut: true, ..Rules::default() });
        }
    }
}
