//! Loopback addresses that no other test uses.

use std::net::TcpListener;
use std::process;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

static NEXT: AtomicU8 = AtomicU8::new(1);

/// Hands out addresses on a loopback IP of its own; the ports come from the system.
pub struct Pool {
    ip: String,
    held: Vec<TcpListener>,
}

impl Default for Pool {
    fn default() -> Pool {
        let pid = process::id();
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.{number}", 1 + (pid >> 8) % 250, pid % 256);
        Pool { ip, held: Vec::new() }
    }
}

impl Pool {
    /// Returns a free address, `IP:PORT`.
    pub fn take(&mut self) -> String {
        let listener = TcpListener::bind((self.ip.as_str(), 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address").to_string();
        self.held.push(listener);
        address
    }

    /// Gives the ports free for the processes that are to bind them.
    pub fn release(&mut self) {
        self.held.clear();
    }
}
