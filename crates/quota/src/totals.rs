//! What a keeper that does not lead knows of the spending.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::message::Spending;

use crate::window;
use crate::window::SLICE;
use crate::window::Window;

/// The longest span for which totals are kept without knowing the quota; longer than any window in use.
const MAX_SPAN: Duration = Duration::from_secs(60);
/// By how much the time of a slice may differ between two messages, because they were delayed differently.
const JITTER: Duration = Duration::from_millis(50);

/// The leader's totals as another keeper knows them.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    pub(crate) windows: Map<Name, Window>,
    /// Up to when the totals are complete; what was spent later is not contained.
    pub(crate) until: Duration,
}

impl Totals {
    /// Applies the changes that the leader sends. A tenant's slices replace the known ones that are as new as the oldest
    /// of them, so a message that is repeated changes nothing.
    pub fn update(&mut self, changes: &[Spending], now: Duration) {
        // The slice in progress is not contained.
        self.until = now.saturating_sub(SLICE);
        for spending in changes {
            let window = self.windows.entry(spending.tenant.clone());
            let window = window.or_insert_with(|| Window::new(MAX_SPAN));
            let slices: Vec<(Duration, u64)> = window::decode(spending, now).collect();
            if let Some((oldest, _)) = slices.iter().min() {
                window.truncate(oldest.saturating_sub(JITTER));
            }
            for (end, units) in slices {
                window.add(end, units);
            }
        }
        self.windows.retain(|_, window| !window.is_empty(now));
    }

    /// Returns the units that a tenant spent in `span`.
    pub fn used(&self, tenant: &str, span: Duration, now: Duration) -> u64 {
        let from = now.saturating_sub(span + SLICE);
        self.windows.get(tenant).map_or(0, |window| window.used_since(from))
    }
}
