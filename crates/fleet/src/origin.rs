//! Where streams began. A stream that is interrupted may only be resumed at the same build.

use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// The time after the deadline of a stream for which it may still be resumed; deadlines are measured by different
/// clocks, and messages take time.
pub const GRACE: Duration = Duration::from_secs(2);
/// The limit on recorded origins; beyond it the oldest are dropped.
const MAX_ORIGINS: usize = 1 << 17;

/// Where a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The digest of the caller's id of the attempt that began the stream.
    pub stream: u64,
    /// The service of the endpoint.
    pub service: Name,
    /// The version of the endpoint's software.
    pub build: Name,
    /// The time left in which the caller may resume the stream, in ms.
    pub left_ms: u32,
}

/// The origins of the streams that can still be resumed.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The origins by stream, with the time of their expiry.
    origins: Map<u64, (Origin, Duration)>,
    /// The streams in the order in which they were recorded.
    ///
    /// Invariant: contains each key of `origins` once.
    order: VecDeque<u64>,
}

impl Table {
    /// Records an origin, in place of an earlier one of the same stream.
    pub fn record(&mut self, origin: Origin, now: Duration) {
        self.expire(now);
        let expires = now + Duration::from_millis(u64::from(origin.left_ms));
        let stream = origin.stream;
        if self.origins.insert(stream, (origin, expires)).is_none() {
            self.order.push_back(stream);
        }
        if self.order.len() > MAX_ORIGINS
            && let Some(oldest) = self.order.pop_front()
        {
            self.origins.remove(&oldest);
        }
    }

    /// Returns the origin of a stream; `None` if it is unknown or has expired.
    pub fn get(&self, stream: u64, now: Duration) -> Option<Origin> {
        let (origin, expires) = self.origins.get(&stream)?;
        remaining(origin, *expires, now)
    }

    /// Returns all origins that have not expired.
    pub fn unexpired(&self, now: Duration) -> Vec<Origin> {
        let origins = self.origins.values();
        origins.filter_map(|(origin, expires)| remaining(origin, *expires, now)).collect()
    }

    /// Drops the oldest origins that have expired. One that expires late keeps younger ones for as long.
    fn expire(&mut self, now: Duration) {
        while let Some(oldest) = self.order.front() {
            if self.origins.get(oldest).is_some_and(|(_, expires)| now < *expires) {
                return;
            }
            self.origins.remove(oldest);
            self.order.pop_front();
        }
    }
}

/// Returns the origin with the time that is left; `None` if it has expired.
fn remaining(origin: &Origin, expires: Duration, now: Duration) -> Option<Origin> {
    let left = expires.checked_sub(now).filter(|left| !left.is_zero())?;
    Some(Origin { left_ms: left.as_millis() as u32, ..origin.clone() })
}
