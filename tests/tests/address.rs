//! The allocation of addresses for test sites.

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
