//! Keepers that run in the test process.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use base::Name;
use cell::Keeper;
use cell::engines::Engines;
use cell::settings::Settings;
use meter::Meter;
use tempfile::TempDir;

const LINK_PORT: u16 = 7_005;
const ORDER_LEASE: Duration = Duration::from_secs(1);
/// Longer than any of the tests takes.
const ENDPOINT_TIMEOUT: Duration = Duration::from_secs(20);

/// A keeper with a runtime of its own, which ends when this value is dropped.
pub(crate) struct Running<E> {
    pub(crate) keeper: Arc<Keeper<E>>,
    _stop: mpsc::Sender<()>,
}

pub(crate) fn start<E: Engines>(settings: Settings, engines: E) -> Running<E> {
    let (started, keeper) = mpsc::channel();
    let (stop, stopped) = mpsc::channel::<()>();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.expect("a runtime");
        runtime.block_on(async move {
            let (keeper, _failures) =
                Keeper::start(settings, engines, &Meter::default()).await.expect("a keeper");
            started.send(keeper).expect("the test waits for the keeper");
            tokio::task::spawn_blocking(move || stopped.recv()).await.ok();
        });
    });
    Running { keeper: keeper.recv().expect("a keeper"), _stop: stop }
}

/// Returns the addresses of three keepers, on a network of this process; `first` is the number of the
/// first one.
pub(crate) fn addresses(first: u8) -> Vec<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = |number| IpAddr::V4(Ipv4Addr::new(127, 1 + high % 250, low, number));
    (first..first + 3).map(|number| SocketAddr::new(ip(number), LINK_PORT)).collect()
}

/// Returns the settings of a keeper of a cell that starts for the first time.
pub(crate) fn settings(address: SocketAddr, seeds: &[SocketAddr], directory: &TempDir) -> Settings {
    Settings {
        node: Name::from(address.to_string()),
        domain: Name::from("a"),
        address,
        seeds: seeds.to_vec(),
        bootstrap: true,
        data_dir: directory.path().join(address.ip().to_string()),
        scheduler: sched::settings::Settings::default(),
        order_lease: ORDER_LEASE,
        fenced_orders: true,
        tolerated_losses: 1,
        all_vote: false,
        endpoint_timeout: ENDPOINT_TIMEOUT,
        memory_bytes: 256 << 20,
        endpoint_drain: Duration::from_secs(2),
    }
}
