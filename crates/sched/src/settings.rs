//! Settings of the scheduler.

use std::time::Duration;

/// Settings of the scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The prefill speed that is assumed for an engine before the first sample, in tokens per ms.
    pub prefill_tokens_per_ms: f64,
    /// The time from the end of prefill to the first event, in ms.
    pub first_event_ms: f64,
    /// The decode time per token that is assumed before the first sample, in ms.
    pub decode_ms_per_token: f64,
    /// The time to load an adapter from the store without contention, in ms.
    pub cold_load_ms: f64,
    /// The time to load an adapter that the engine still has in its cache, in ms.
    pub warm_load_ms: f64,
    /// The number of recently unloaded adapters that an engine caches.
    pub warm_adapters: usize,
    /// The initial limit on concurrent adapter loads from the store; adapted to the load times that
    /// are observed.
    pub cold_load_limit: usize,
    /// The limit on queued and running loads at one engine.
    pub engine_load_limit: usize,
    /// The utilization of the store, queued loads included, up to which another load may be queued,
    /// by the number of earlier requests for the adapter that were refused: none, one, more. A full
    /// store serves adapters that were refused before, so that none is refused all the time.
    pub store_shares: [f64; 3],
    /// The cost of a load to other requests when the store is fully used, in ms of waiting.
    pub cold_penalty_ms: f64,
    /// The cost of one more used adapter slot to other requests, in ms of waiting.
    pub slot_penalty_ms: f64,
    /// The cost of an engine in another failure domain than the gate, in ms of waiting.
    pub domain_penalty_ms: f64,
    /// The share of the target that is kept in reserve for each step of rank, so that less urgent
    /// requests are admitted with more margin.
    pub rank_margin: f64,
    /// The share of the target within which a request must get its first event if its adapter comes
    /// from the store. This keeps the queue for a fully used store so short that few of the
    /// admitted requests are late.
    pub cold_target_share: f64,
    /// The share of the target for which a request may wait in the queue.
    pub queue_target_share: f64,
    /// The share of the target for which a request waits for a slot at an engine that has the
    /// adapter in its cache, although another engine could load it from the store. Less than
    /// `queue_target_share`, so that the load from the store is still tried afterwards.
    pub warm_queue_target_share: f64,
    /// The prefill backlog up to which an engine gets requests that miss their target, in ms.
    pub late_backlog_ms: f64,
    /// The utilization of the store up to which requests that miss their target may load from it.
    pub late_store_share: f64,
    /// The share of an engine's KV cache up to which it gets requests.
    pub kv_memory_share: f64,
    /// The part of the target that is reserved for messages between the nodes, in ms.
    pub network_ms: f64,
    /// The shortest and the longest retry delay of a refused caller, in ms.
    pub retry_after_ms: (f64, f64),
    /// The half-life of the request counts of adapters.
    pub popularity_half_life: Duration,
    /// The limit on queued requests.
    pub max_queued: usize,
}

impl Settings {
    /// Returns the utilization of the store up to which another load may be queued for an adapter
    /// of which `unmet` requests were refused.
    pub(crate) fn store_share(&self, unmet: u32) -> f64 {
        self.store_shares[(unmet as usize).min(self.store_shares.len() - 1)]
    }

    /// Returns the share of the target within which a request must get its first event.
    pub(crate) fn target_share(&self, cold: bool) -> f64 {
        if cold { self.cold_target_share } else { 1.0 }
    }
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            prefill_tokens_per_ms: 18.0,
            first_event_ms: 30.0,
            decode_ms_per_token: 9.0,
            cold_load_ms: 250.0,
            warm_load_ms: 25.0,
            warm_adapters: 30,
            cold_load_limit: 8,
            engine_load_limit: 4,
            store_shares: [0.9, 1.1, 1.3],
            cold_penalty_ms: 300.0,
            slot_penalty_ms: 40.0,
            domain_penalty_ms: 8.0,
            rank_margin: 0.1,
            cold_target_share: 0.7,
            queue_target_share: 0.5,
            warm_queue_target_share: 0.4,
            late_backlog_ms: 400.0,
            late_store_share: 0.85,
            kv_memory_share: 0.95,
            network_ms: 15.0,
            retry_after_ms: (200.0, 1_300.0),
            popularity_half_life: Duration::from_secs(5),
            max_queued: 512,
        }
    }
}
