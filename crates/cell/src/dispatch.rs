//! Carries out the scheduler's actions.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use base::Event;
use fleet::message::Frame;
use sched::action::Action;
use sched::action::Operation;
use sched::action::Order;
use sched::action::Reason;
use tokio::time::Instant;

use crate::engines::Engines;
use crate::engines::Holder;
use crate::engines::Response;
use crate::keeper::Keeper;
use crate::settings::HEARTBEAT_INTERVAL;
use crate::settings::MAX_SCHEDULER_PAUSE;
use crate::settings::MIN_SCHEDULER_PAUSE;
use crate::settings::SCHEDULER_INTERVAL;

impl<E: Engines> Keeper<E> {
    /// Runs the scheduler when it is woken, and periodically while it has pending work. Pauses
    /// after each round for as long as the round took, so that events share rounds and the other
    /// tasks get at least half of the time.
    pub(crate) async fn run_scheduler(self: Arc<Keeper<E>>) {
        let mut pause_end = Instant::now();
        loop {
            let pending = {
                let coordinator = self.coordinator.lock();
                coordinator
                    .leadership
                    .as_ref()
                    .is_some_and(|leadership| leadership.scheduler.has_pending_work())
            };
            if pending {
                // A timeout is expected here: it sets the interval between rounds.
                tokio::time::timeout(SCHEDULER_INTERVAL, self.scheduler_wakeup.notified())
                    .await
                    .ok();
            } else {
                self.scheduler_wakeup.notified().await;
            }
            tokio::time::sleep_until(pause_end).await;
            // The round also covers the wake-ups during the pause.
            pin!(self.scheduler_wakeup.notified()).as_mut().enable();
            let start = Instant::now();
            let (actions, term) = {
                let mut coordinator = self.coordinator.lock();
                let actions = coordinator.poll_scheduler();
                self.sent_changes.send_replace(coordinator.sent_changes);
                (actions, coordinator.term())
            };
            self.record_pass(start.elapsed(), actions.len());
            if let Some(fence) = term {
                for action in actions {
                    self.dispatch(action, fence);
                }
            }
            let pause = start.elapsed().clamp(MIN_SCHEDULER_PAUSE, MAX_SCHEDULER_PAUSE);
            pause_end = Instant::now() + pause;
        }
    }

    fn record_pass(&self, took: Duration, actions: usize) {
        self.metrics.passes.with_label_values::<&str>(&[]).observe(took.as_secs_f64());
        if took >= HEARTBEAT_INTERVAL {
            let ms = took.as_millis() as u64;
            base::event!(WARN, Event::SchedulerDelayed, ms, actions);
        }
    }

    fn dispatch(self: &Arc<Keeper<E>>, action: Action, fence: u64) {
        match action {
            Action::Grant { gate, grant, reason } => {
                self.record_placement("granted", &reason);
                base::event!(
                    DEBUG, Event::Routed, gate, request = grant.request,
                    endpoint = %grant.endpoint.id, expected_ms = reason.expected_ms,
                    backlog = reason.backlog, running = reason.running, held_ms = reason.held_ms
                );
                self.send_to_gate(gate, Frame::Grant(grant));
            }
            Action::Deny { gate, denial, reason, adapter, unmet } => {
                self.metrics.placements.with_label_values(&[denial.code.name()]).inc();
                base::event!(
                    INFO,
                    Event::Denied,
                    gate,
                    request = denial.request,
                    adapter = %adapter,
                    unmet,
                    code = denial.code.number(),
                    reason = denial.code.name(),
                    retry_ms = denial.retry_ms,
                    expected_ms = reason.map(|reason| reason.expected_ms),
                    backlog = reason.map(|reason| reason.backlog),
                    running = reason.map(|reason| reason.running),
                    held_ms = reason.map(|reason| reason.held_ms),
                    cold = reason.map(|reason| reason.cold),
                    loads = reason.map(|reason| reason.loads)
                );
                self.send_to_gate(gate, Frame::Denial(denial));
            }
            Action::Order(order) => drop(tokio::spawn(self.clone().send_order(order, fence))),
            Action::Inspect(endpoint) => {
                let keeper = self.clone();
                tokio::spawn(async move {
                    let Response { answer: report, leaving } =
                        keeper.engines.inspect(&endpoint).await;
                    let mut coordinator = keeper.coordinator.lock();
                    if leaving {
                        coordinator.record_leaving(&endpoint.incarnation());
                    }
                    let now = coordinator.now();
                    if let Some(leadership) = coordinator.leadership_in(fence) {
                        leadership.scheduler.engine_inspected(&endpoint.id, report, now);
                    }
                    drop(coordinator);
                    keeper.wake_scheduler();
                });
            }
            // Sent to the gates by `Coordinator::poll_scheduler`.
            Action::Publish(_) => {}
        }
    }

    fn record_placement(&self, result: &str, reason: &Reason) {
        self.metrics.placements.with_label_values(&[result]).inc();
        self.metrics.queue_latency.with_label_values(&[result]).observe(reason.held_ms / 1e3);
    }

    fn send_to_gate(&self, gate: u64, frame: Frame) {
        if let Some(node) = self.coordinator.lock().links.get(gate) {
            node.link.send(frame);
        }
    }

    /// Sends an order to an engine and reports the answer to the scheduler. Sends nothing if the
    /// replica has lost the term, which the scheduler may not know yet.
    async fn send_order(self: Arc<Keeper<E>>, order: Order, fence: u64) {
        self.record_orders(fence).await;
        if self.status.borrow().leads != Some(fence) {
            return;
        }
        self.coordinator.lock().record_order(fence);
        let holder = Holder { node: self.settings.node.clone(), fence };
        let Response { answer, leaving } = self.engines.order(&order, &holder).await;
        let operation = match order.operation {
            Operation::Load => "load",
            Operation::Unload => "unload",
        };
        let answer_name = format!("{answer:?}");
        self.metrics.orders.with_label_values(&[operation, &answer_name]).inc();
        base::event!(
            DEBUG, Event::Ordered, endpoint = %order.endpoint.id, operation,
            adapter = order.adapter.as_deref().unwrap_or_default(),
            expected = order.expected, fence, answer = answer_name
        );
        let mut coordinator = self.coordinator.lock();
        coordinator.record_order(fence);
        if leaving {
            coordinator.record_leaving(&order.endpoint.incarnation());
        }
        let now = coordinator.now();
        if let Some(leadership) = coordinator.leadership_in(fence) {
            leadership.scheduler.order_answered(&order, answer, now);
        }
        drop(coordinator);
        self.wake_scheduler();
    }
}
