//! What endpoints state about themselves in their responses: limits on their request rates, and that they leave.

use base::Event;
use base::Name;
use fleet::endpoint::Incarnation;
use fleet::endpoint::State;
use fleet::limit::Limit;
use fleet::message::Frame;

use crate::coordinator::Coordinator;

impl Coordinator {
    /// Records the limit of an endpoint that a gate reports, and notifies all gates of a change. Ignored unless this
    /// keeper leads.
    pub(crate) fn record_limit(&mut self, limit: &Limit) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        if !leadership.limits.set(limit, now) {
            return;
        }
        let rate = limit.rate.map(limit::Rate::per_second);
        base::event!(
            INFO, Event::LimitChanged, endpoint = %limit.endpoint, born = limit.born, rate
        );
        leadership.scheduler.set_limit(limit, now);
        self.links.broadcast_to_gates(&Frame::Limits(leadership.limits.list()));
    }

    /// Returns the number of endpoints with a limit; 0 unless this keeper leads.
    pub(crate) fn limited(&self) -> usize {
        self.leadership.as_ref().map_or(0, |leadership| leadership.limits.list().len())
    }

    /// Answers a gate that asks to send a request to an endpoint with a limit. Ignored unless this keeper leads.
    pub(crate) fn answer_permit(&mut self, link_id: u64, request: u64, endpoint: &Name, born: u64) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        let permit = leadership.scheduler.try_admit(endpoint, born, now);
        let permit = permit.unwrap_or_else(|| leadership.limits.try_take(endpoint, born, now));
        let wait = permit.err();
        let wait_ms = wait.map(|wait| wait.as_millis() as u32);
        if let Some(node) = self.links.get(link_id) {
            node.link.send(Frame::Permit { request, wait_ms });
        }
    }

    /// Records that an endpoint says in a response that it leaves. Ignored unless this keeper leads.
    pub(crate) fn record_leaving(&mut self, incarnation: &Incarnation) {
        let now = self.now();
        let Some(leadership) = &mut self.leadership else { return };
        let Incarnation { endpoint, born } = incarnation;
        if leadership.leaving.insert(incarnation)
            && self.registry.drain(endpoint, *born, "response")
        {
            let state = State::Draining(None);
            self.departures.announced(endpoint, *born, state, now);
            self.registry_changed(now);
        }
    }
}
