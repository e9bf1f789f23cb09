//! The origins of streams. Each gate records the streams that began there, also at keepers, and asks the keepers
//! for the others, because a caller may resume a stream at any gate.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Map;
use base::Name;
use fleet::message::Frame;
use fleet::origin::Origin;
use fleet::origin::Table;
use link::Link;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::keepers::Keepers;

/// The number of keepers that record an origin.
const COPIES: usize = 2;

/// Where a stream began, and how that is known.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Located {
    pub(crate) origin: Origin,
    pub(crate) source: Source,
}

/// How the origin of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The stream began at this gate.
    Gate,
    /// A keeper has a record.
    Keeper,
    /// The service had no other build.
    SoleBuild,
}

impl Source {
    /// Returns the name for log lines.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Source::Gate => "gate",
            Source::Keeper => "keeper",
            Source::SoleBuild => "sole build",
        }
    }
}

/// A lookup that waits for replies.
#[derive(Debug)]
struct Lookup {
    reply: oneshot::Sender<Option<Located>>,
    /// The number of keepers that have not replied.
    outstanding: usize,
    /// The origin if no keeper has a record of the stream.
    fallback: Option<Origin>,
    stream: u64,
    service: Option<Name>,
}

impl Lookup {
    /// Returns the origin at the only build of the service.
    fn sole_origin(&self, build: Option<Name>) -> Option<Origin> {
        let (stream, service, build) = (self.stream, self.service.clone()?, build?);
        Some(Origin { stream, service, build, left_ms: 0 })
    }
}

/// The origins of streams.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    /// The streams that began at this gate.
    own: Mutex<Table>,
    /// The lookups in progress, by number.
    lookups: Mutex<Map<u64, Lookup>>,
    next_lookup: AtomicU64,
}

impl Origins {
    /// Records a stream that begins at this gate, here and at some of the keepers. These are chosen by the
    /// stream, so that all keepers get an equal share.
    pub(crate) fn record<'a>(
        &self,
        origin: &Origin,
        keepers: impl Iterator<Item = (u64, &'a Link<Frame>)>,
        now: Duration,
    ) {
        self.own.lock().record(origin.clone(), now);
        let mut ranked: Vec<(u64, &Link<Frame>)> = keepers
            .map(|(keeper, link)| {
                let key = [keeper.to_le_bytes(), origin.stream.to_le_bytes()].concat();
                (base::digest(&key), link)
            })
            .collect();
        ranked.sort_by_key(|(rank, _)| *rank);
        link::broadcast(
            ranked.into_iter().take(COPIES).map(|(_, link)| link),
            &Frame::Origins(vec![origin.clone()]),
        );
    }

    /// Sends the streams that began here to a keeper, which may have restarted.
    pub(crate) fn restore(&self, keeper: &Link<Frame>, now: Duration) {
        let own = self.own.lock().unexpired(now);
        if !own.is_empty() {
            keeper.send(Frame::Origins(own));
        }
    }

    /// Returns the origin of a stream that began at this gate.
    pub(crate) fn own(&self, stream: u64, now: Duration) -> Option<Located> {
        let origin = self.own.lock().get(stream, now)?;
        Some(Located { origin, source: Source::Gate })
    }

    /// Asks the keepers for the origin of a stream whose route leads to `service`. If none of them has a record,
    /// all have replied and the service had a single build, the stream began there. Returns `None` otherwise.
    pub(crate) async fn look_up<'a>(
        &self,
        stream: u64,
        service: Option<Name>,
        keepers: impl Iterator<Item = &'a Link<Frame>>,
        timeout: Duration,
    ) -> Option<Located> {
        let number = self.next_lookup.fetch_add(1, Ordering::Relaxed);
        let frame = Frame::Locate { lookup: number, stream, service: service.clone() };
        let (reply, located) = oneshot::channel();
        {
            // Locked until the number of replies is known.
            let mut lookups = self.lookups.lock();
            let outstanding = keepers.filter(|keeper| keeper.send(frame.clone())).count();
            if outstanding == 0 {
                return None;
            }
            let lookup = Lookup { reply, outstanding, fallback: None, stream, service };
            lookups.insert(number, lookup);
        }
        let located = tokio::time::timeout(timeout, located).await;
        self.lookups.lock().remove(&number);
        located.ok()?.ok().flatten()
    }

    /// Handles a keeper's reply to a lookup. The lookup ends with the first record, or with the last reply.
    pub(crate) fn handle_reply(
        &self,
        number: u64,
        origin: Option<Origin>,
        sole_build: Option<Name>,
    ) {
        let mut lookups = self.lookups.lock();
        let Some(lookup) = lookups.get_mut(&number) else { return };
        lookup.outstanding = lookup.outstanding.saturating_sub(1);
        lookup.fallback = lookup.sole_origin(sole_build).or(lookup.fallback.take());
        if origin.is_none() && lookup.outstanding > 0 {
            return;
        }
        let Some(lookup) = lookups.remove(&number) else { return };
        let recorded = origin.map(|origin| Located { origin, source: Source::Keeper });
        let assumed = lookup.fallback.map(|origin| Located { origin, source: Source::SoleBuild });
        // The request may have been cancelled in the meantime.
        lookup.reply.send(recorded.or(assumed)).ok();
    }
}

impl Keepers {
    /// Records a stream that begins at this gate.
    pub(crate) fn record_origin(&self, origin: &Origin) {
        let links = self.links.lock();
        let keepers = links
            .iter()
            .map(|(address, link)| (base::digest(address.to_string().as_bytes()), link));
        self.origins.record(origin, keepers, self.view.now());
    }

    /// Returns where a stream began whose route leads to `service`; `None` if that is unknown.
    pub(crate) async fn locate_origin(
        &self,
        stream: u64,
        service: Option<Name>,
        timeout: Duration,
    ) -> Option<Located> {
        if let Some(located) = self.origins.own(stream, self.view.now()) {
            return Some(located);
        }
        let links: Vec<Link<Frame>> = self.links.lock().values().cloned().collect();
        self.origins.look_up(stream, service, links.iter(), timeout).await
    }
}
