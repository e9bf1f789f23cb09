//! Allocates loopback addresses that no other test uses.
//!
//! The ports are below the ephemeral port range of the system. Otherwise an outgoing connection could take a
//! port before the process under test binds it.

use std::io;
use std::net::SocketAddr;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

static NEXT: AtomicU8 = AtomicU8::new(1);

/// The first port to allocate.
const FIRST_PORT: u16 = 10_000;

/// Allocates addresses on a loopback IP address that is unique to the pool.
pub struct Pool {
    ip: String,
    next: u16,
    /// Sockets that reserve the allocated ports. They are bound and do not listen, so that a process under test
    /// can bind the ports as well.
    reserved: Vec<Socket>,
}

impl Default for Pool {
    fn default() -> Pool {
        let pid = process::id();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.{number}", 1 + (pid >> 8) % 250, pid % 256);
        Pool { ip, next: FIRST_PORT, reserved: Vec::new() }
    }
}

impl Pool {
    /// Returns a free address, `IP:PORT`.
    pub fn allocate(&mut self) -> String {
        loop {
            let port = self.next;
            self.next += 1;
            // Skips a port that is still in use by a site of an earlier process.
            let address = format!("{}:{port}", self.ip);
            if let Ok(socket) = reserve(&address) {
                self.reserved.push(socket);
                return address;
            }
        }
    }
}

/// Binds a socket to an address; fails if another socket listens there.
fn reserve(address: &str) -> io::Result<Socket> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}
