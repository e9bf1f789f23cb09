//! An estimate of an engine's prefix cache, based on the prompts that were sent to it.

use std::collections::VecDeque;

use base::Map;

/// The number of prompt parts that are assumed to be cached; the engine may have evicted older
/// ones.
const MAX_PARTS: usize = 1_024;

/// The prompt parts that an engine is assumed to have cached, evicted first in, first out.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// The digests of prefixes, with the number of times that each occurs in `order`.
    counts: Map<u64, u32>,
    /// The digests in the order in which they were inserted.
    ///
    /// Invariant: at most [`MAX_PARTS`] long.
    order: VecDeque<u64>,
}

impl Cache {
    /// Returns the length of the longest cached prefix of a prompt, in tokens.
    pub(crate) fn cached_tokens(&self, adapter: u64, parts: &[(u64, u32)]) -> u32 {
        let mut prefix = adapter;
        let mut tokens = 0;
        for (id, part) in parts {
            prefix = extend(prefix, *id);
            if !self.counts.contains_key(&prefix) {
                break;
            }
            tokens += part;
        }
        tokens
    }

    /// Adds all prefixes of a prompt that is sent to the engine.
    pub(crate) fn insert(&mut self, adapter: u64, parts: &[(u64, u32)]) {
        let mut prefix = adapter;
        for (id, _) in parts {
            prefix = extend(prefix, *id);
            *self.counts.entry(prefix).or_default() += 1;
            self.order.push_back(prefix);
        }
        while self.order.len() > MAX_PARTS {
            let oldest = self.order.pop_front().expect("longer than 0");
            if let Some(count) = self.counts.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(&oldest);
                }
            }
        }
    }
}

/// Returns the digest of a prefix with one more part.
fn extend(prefix: u64, part: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&prefix.to_le_bytes());
    bytes[8..].copy_from_slice(&part.to_le_bytes());
    base::digest(&bytes)
}
