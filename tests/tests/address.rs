//! The allocation of addresses for test sites.

use std::net::TcpListener;
use std::net::TcpStream;

use site_tests::address::Pool;

/// Returns the first port of the ephemeral range of the system.
fn first_ephemeral_port() -> u16 {
    let path = "/proc/sys/net/ipv4/ip_local_port_range";
    let range = std::fs::read_to_string(path).expect("the range can be read");
    range
        .split_whitespace()
        .next()
        .and_then(|port| port.parse().ok())
        .expect("the range has a first port")
}

#[test]
fn allocated_ports_are_unique_and_below_the_ephemeral_range() {
    let mut pool = Pool::default();
    let addresses: Vec<String> = (0..200).map(|_| pool.allocate()).collect();
    for address in &addresses {
        let port: u16 =
            address.rsplit(':').next().and_then(|port| port.parse().ok()).expect("a port number");
        assert!(port < first_ephemeral_port(), "{address}");
    }
    let mut unique = addresses.clone();
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(unique.len(), addresses.len());
}

// Guards against "Address already in use" at the start of a site: between fork and exec the child of another test
// still holds the sockets that reserve the ports.
#[test]
fn a_reserved_port_can_be_bound_by_a_process_under_test() {
    let mut pool = Pool::default();
    let address = pool.allocate();
    let listener = TcpListener::bind(&address).expect("the port can be bound");
    let connected = TcpStream::connect(&address);
    assert!(connected.is_ok(), "{connected:?}");
    drop(listener);
}

#[test]
fn a_port_on_which_a_process_listens_is_not_allocated() {
    let mut pool = Pool::default();
    let first = pool.allocate();
    let (ip, port) = first.rsplit_once(':').expect("an address");
    let next: u16 = port.parse::<u16>().expect("a port") + 1;
    let _listener = TcpListener::bind((ip, next)).expect("the port can be bound");
    assert_ne!(pool.allocate(), format!("{ip}:{next}"));
}
