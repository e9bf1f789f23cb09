//! Allocates loopback addresses that no other test uses.
//!
//! The ports are below the ephemeral port range of the system. Otherwise an outgoing connection could take a
//! port between its release and the start of the process that binds it.

use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

static NEXT: AtomicU8 = AtomicU8::new(1);

/// The first port to allocate.
const FIRST_PORT: u16 = 10_000;

/// Allocates addresses on a loopback IP address that is unique to the pool.
pub struct Pool {
    ip: String,
    next: u16,
    /// Listeners that reserve the allocated ports until the release.
    reserved: Vec<TcpListener>,
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
            if let Ok(listener) = TcpListener::bind((self.ip.as_str(), port)) {
                self.reserved.push(listener);
                return format!("{}:{port}", self.ip);
            }
        }
    }

    /// Releases the ports, so that the processes under test can bind them.
    pub fn release(&mut self) {
        self.reserved.clear();
    }
}
