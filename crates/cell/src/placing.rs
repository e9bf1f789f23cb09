//! The leader's placement of the calls of plain services.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use base::Name;
use capacity::Answer;
use fleet::endpoint::Endpoint;
use fleet::message::Frame;
use tokio::time::Instant;

use crate::coordinator::Coordinator;
use crate::engines::Engines;
use crate::keeper::Keeper;

/// The excess of each tenant over its share while no usage is counted: none.
pub(crate) const EQUAL_SHARE: f64 = 1.0;
/// The longest time between two checks of the calls that wait, since one that arrives later may wait for a shorter time.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl Coordinator {
    /// Handles a gate's frame about a call of a plain service. Ignored unless this keeper leads.
    pub(crate) fn handle_placing(&mut self, link_id: u64, frame: Frame) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        let balancer = &mut leadership.balancer;
        match frame {
            Frame::Place(placement) => {
                let domain = self.links.get(link_id).map(|node| node.hello.domain.clone());
                balancer.place(link_id, &domain.unwrap_or_default(), *placement, EQUAL_SHARE, now);
            }
            Frame::PlacedEnded { request, outcome, ran_ms, load } => {
                let ran = Duration::from_millis(u64::from(ran_ms));
                balancer.ended(link_id, request, outcome, ran, load, now);
            }
            Frame::PlacedCalls(calls) => balancer.restore(link_id, &calls, now),
            Frame::Withdraw(request) => balancer.withdraw(link_id, request, now),
            _ => {}
        }
        self.send_placements();
    }

    /// Brings the balancer in line with the registry. Ignored unless this keeper leads.
    pub(crate) fn update_balancer(&mut self) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        let plain = self.registry.ready().filter(|endpoint| endpoint.held.is_none());
        let plain: Vec<Endpoint> = plain.map(Endpoint::from).collect();
        leadership.balancer.set_endpoints(plain.iter(), now);
        self.send_placements();
    }

    /// Ends the waits of calls that have passed.
    pub(crate) fn poll_balancer(&mut self) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        leadership.balancer.poll(now);
        self.send_placements();
    }

    /// Returns when [`Coordinator::poll_balancer`] is due; `None` if no call waits.
    pub(crate) fn next_placing(&self) -> Option<Duration> {
        let next = self.leadership.as_ref()?.balancer.next_poll()?;
        Some(next.saturating_sub(self.now()))
    }

    /// Sends the balancer's decisions to the gates.
    pub(crate) fn send_placements(&mut self) {
        let Some(leadership) = &mut self.leadership else { return };
        for answer in leadership.balancer.take_answers() {
            let (gate, frame) = match answer {
                Answer::Placed { gate, request, tenant, endpoint, born, calls, waited } => {
                    base::event!(
                        DEBUG, Event::CallPlaced, gate, request, tenant = tenant.as_deref(),
                        endpoint = %endpoint, calls,
                        waited_ms = waited.as_millis() as u64
                    );
                    self.placements.placed += 1;
                    (gate, Frame::Placed { request, endpoint, born })
                }
                Answer::Denied { gate, denial, waiting, wait_ms } => {
                    base::event!(
                        INFO,
                        Event::CallDenied,
                        gate,
                        request = denial.request,
                        code = denial.code.number(),
                        reason = denial.code.name(),
                        retry_ms = denial.retry_ms,
                        waiting,
                        wait_ms
                    );
                    self.placements.denied += 1;
                    (gate, Frame::Denial(denial))
                }
            };
            if let Some(node) = self.links.get(gate) {
                node.link.send(frame);
            }
        }
    }
}

/// The numbers of decisions since the metrics were last updated.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Decisions {
    placed: u64,
    denied: u64,
}

impl<E: Engines> Keeper<E> {
    /// Passes a gate's frame about a call of a plain service to the balancer.
    pub(crate) fn place(&self, link_id: u64, frame: Frame) {
        let mut coordinator = self.coordinator.lock();
        let waited = coordinator.next_placing().is_some();
        coordinator.handle_placing(link_id, frame);
        if !waited && coordinator.next_placing().is_some() {
            self.placing_wakeup.notify_one();
        }
    }

    /// Ends the waits of calls when they are due.
    pub(crate) async fn run_balancer(self: Arc<Keeper<E>>) {
        loop {
            let next = self.coordinator.lock().next_placing();
            match next {
                Some(wait) => {
                    tokio::time::sleep_until(Instant::now() + wait.min(CHECK_INTERVAL)).await;
                }
                None => self.placing_wakeup.notified().await,
            }
            self.coordinator.lock().poll_balancer();
        }
    }

    /// Updates the metrics of the endpoints of plain services.
    pub(crate) fn record_capacity(&self) {
        let mut coordinator = self.coordinator.lock();
        let decisions = std::mem::take(&mut coordinator.placements);
        let placements = &self.metrics.calls_placed;
        placements.with_label_values(&["placed"]).inc_by(decisions.placed);
        placements.with_label_values(&["denied"]).inc_by(decisions.denied);
        let now = coordinator.now();
        let gauges = &self.metrics.capacity;
        let changes = coordinator.leadership.as_ref().map(|_| coordinator.changes);
        if self.recorded_changes.swap(changes.unwrap_or(u64::MAX), Ordering::Relaxed)
            != changes.unwrap_or(u64::MAX)
        {
            // Those of endpoints that have ended must not remain.
            gauges.reset();
        }
        let Some(leadership) = &coordinator.leadership else { return };
        for status in leadership.balancer.statuses(now) {
            let set = |what: &str, value: i64| {
                gauges.with_label_values(&[&*status.service, &*status.endpoint, what]).set(value);
            };
            set("in_progress", i64::from(status.in_progress));
            set("takes", status.takes.round() as i64);
            set("pace_percent", i64::from(status.pace));
            if let (Some(work), Some(age)) = (status.work_ms, status.age) {
                set("work_us", (work * 1e3) as i64);
                set("error_percent", (status.uncertainty * 100.0) as i64);
                set("age_ms", age.as_millis() as i64);
            }
        }
        let waiting: Vec<(Name, usize)> = leadership.balancer.waiting().collect();
        for (service, waiting) in waiting {
            gauges.with_label_values(&[&*service, "", "waiting"]).set(waiting as i64);
        }
    }
}
