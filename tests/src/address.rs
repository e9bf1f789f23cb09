//! Loopback addresses that no other test uses.
//!
//! Ports lie below the system's range for outgoing connections: one of these could otherwise take a port
//! between its release and the start of the process that is to bind it.

use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

static NEXT: AtomicU8 = AtomicU8::new(1);

/// The first port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// Hands out addresses on a loopback IP of its own.
pub struct Pool {
    ip: String,
    next: u16,
    held: Vec<TcpListener>,
}

impl Default for Pool {
    fn default() -> Pool {
        let pid = process::id();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.{number}", 1 + (pid >> 8) % 250, pid % 256);
        Pool { ip, next: FIRST_PORT, held: Vec::new() }
    }
}

impl Pool {
    /// Returns a free address, `IP:PORT`.
    pub fn allocate(&mut self) -> String {
        loop {
            let port = self.next;
            self.next += 1;
            // A port that a site of an earlier process still holds is passed over.
            if let Ok(listener) = TcpListener::bind((self.ip.as_str(), port)) {
                self.held.push(listener);
                return format!("{}:{port}", self.ip);
            }
        }
    }

    /// Gives the ports free for the processes that are to bind them.
    pub fn release(&mut self) {
        self.held.clear();
    }
}
