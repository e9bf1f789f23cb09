//! The addresses of test sites.

use site_tests::address::Pool;

/// Returns the first port that the system uses for outgoing connections.
fn first_outgoing() -> u16 {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").expect("told");
    range.split_whitespace().next().and_then(|port| port.parse().ok()).expect("a port")
}

#[test]
fn ports_can_not_be_taken_by_outgoing_connections() {
    let mut pool = Pool::default();
    let addresses: Vec<String> = (0..200).map(|_| pool.allocate()).collect();
    for address in &addresses {
        let port: u16 = address.rsplit(':').next().and_then(|port| port.parse().ok()).expect("one");
        assert!(port < first_outgoing(), "{address}");
    }
    let mut apart = addresses.clone();
    apart.sort_unstable();
    apart.dedup();
    assert_eq!(apart.len(), addresses.len());
}
