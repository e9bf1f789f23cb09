//! The task that runs a replica again after errors of its disk.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use parking_lot::RwLock;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::error::Error;
use crate::peers::Peers;
use crate::replica::Monitor;
use crate::replica::Replica;
use crate::replica::Request;
use crate::replica::Status;
use crate::settings::REOPEN_DELAY;
use crate::settings::Settings;
use crate::state::State;

/// Runs a replica and reopens its files after a disk error: a full or failing disk may recover, and
/// nothing unsynced has been acknowledged. The replica runs again once a write has succeeded; until then it
/// answers nothing, so that the leader replaces it as a voter if there is a standby.
pub(crate) async fn supervise(
    settings: Settings,
    peers: Arc<Peers>,
    state: Arc<RwLock<State>>,
    status: Arc<watch::Sender<Status>>,
    monitor: Monitor,
    first: Replica,
    mut inbox: mpsc::Receiver<Request>,
) -> Result<(), Error> {
    let mut opened = Ok(first);
    loop {
        let ended = match opened {
            Ok(replica) => replica.run(&mut inbox).await,
            Err(error) => Err(error),
        };
        let Err(Error::Disk(error)) = ended else { return ended };
        base::event!(ERROR, Event::DiskFailed, error = %error);
        status.send_replace(Status { disk_failed: true, ..Status::default() });
        drop_requests(&mut inbox, REOPEN_DELAY).await;
        opened = Replica::open(
            &settings,
            peers.clone(),
            state.clone(),
            status.clone(),
            monitor.clone(),
            true,
        )
        .await;
        if opened.is_ok() {
            base::event!(INFO, Event::DiskRecovered);
        }
    }
}

/// Drops the requests of a time. Callers then learn that the outcome is unknown, and other replicas send their
/// messages again.
async fn drop_requests(inbox: &mut mpsc::Receiver<Request>, time: Duration) {
    let dropped = async { while inbox.recv().await.is_some() {} };
    tokio::time::timeout(time, dropped).await.ok();
}
