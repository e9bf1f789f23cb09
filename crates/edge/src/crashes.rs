//! Detects crashes of endpoints while they may run requests whose end this gate does not see, and reports those requests to
//! the leader.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Name;
use fleet::endpoint::Endpoint;
use fleet::message::Frame;

use crate::keepers::Keepers;
use crate::pool::Sender;
use crate::runs::Run;

/// The delay before an endpoint that may have crashed is probed again, which doubles up to the maximum.
const MIN_PROBE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(1);
/// The time for which an endpoint that neither accepts nor refuses connections is probed; the leader learns of its end by
/// its missing announcements.
const PROBE_TIME: Duration = Duration::from_secs(3);

impl Keepers {
    /// Records a run whose end is unknown, and watches its endpoint for a crash.
    pub(crate) fn report_run(self: &Arc<Keepers>, run: Run, endpoint: &Endpoint) {
        if self.runs.lock().add(run) {
            tokio::spawn(self.clone().watch(endpoint.clone()));
        }
    }

    /// Watches an endpoint by a connection of its own while it may run requests whose end this gate does not see. An
    /// endpoint that refuses a connection has crashed; any other failure shows nothing.
    async fn watch(self: Arc<Keepers>, endpoint: Endpoint) {
        let start = self.view.now();
        let mut alive = start;
        let mut backoff = MIN_PROBE_BACKOFF;
        loop {
            let probe = self.pool.open_watched(&endpoint).await;
            let result = match &probe {
                Ok(_) => "accepted".to_owned(),
                Err(error) => error.to_string(),
            };
            base::event!(
                INFO, Event::EndpointProbed, endpoint = %endpoint.id, born = endpoint.born, result
            );
            let conclusive = match probe {
                Ok((sender, closed)) => {
                    let until = self.runs.lock().open_until(&endpoint.id, endpoint.born);
                    let left = until.unwrap_or_default().saturating_sub(self.view.now());
                    let unused = self.pool_known(&endpoint, sender);
                    // The endpoint runs at least until the connection closes.
                    tokio::time::timeout(left, closed).await.ok();
                    drop(unused);
                    alive = self.view.now();
                    true
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    self.report_crash(&endpoint.id, endpoint.born, alive);
                    true
                }
                Err(_) => self.view.now() >= start + PROBE_TIME,
            };
            if conclusive
                && self.runs.lock().end_watch(&endpoint.id, endpoint.born, self.view.now())
            {
                return;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_PROBE_BACKOFF);
        }
    }

    /// Adds a connection to the pool if its endpoint still receives requests; returns it otherwise.
    fn pool_known(&self, endpoint: &Endpoint, sender: Sender) -> Option<Sender> {
        let known = self.view.endpoints();
        if known.get(&endpoint.id).is_none_or(|known| known.born != endpoint.born) {
            return Some(sender);
        }
        self.pool.put(&endpoint.id, sender, None);
        None
    }

    /// Reports the requests that an endpoint may have run when it crashed. It was last known to run at `alive`.
    pub(crate) fn report_crash(&self, endpoint: &Name, born: u64, alive: Duration) {
        let losses = self.runs.lock().take_crashed(endpoint, born, alive);
        if losses.is_empty() {
            return;
        }
        let losses = self.quarantine.add_losses(losses, self.view.now());
        self.send(Frame::Losses(losses));
    }
}
