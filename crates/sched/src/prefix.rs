//! An estimate of an engine's prefix cache, based on the prompts that were sent to it.

use std::collections::VecDeque;

use base::Map;
use base::Name;

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

/// The prefixes of a prompt at the ends of its parts, as digest and length in tokens, the shortest
/// first.
#[derive(Clone, Debug)]
pub(crate) struct Prefixes(Vec<(u64, u32)>);

impl Prefixes {
    /// Computes the prefixes of a prompt for an adapter from the digest and the length of each part.
    pub(crate) fn new(adapter: &Name, parts: &[(u64, u32)]) -> Prefixes {
        let mut prefix = base::digest(adapter.as_bytes());
        let mut tokens = 0;
        let prefixes = parts.iter().map(|(id, part)| {
            prefix = extend(prefix, *id);
            tokens += part;
            (prefix, tokens)
        });
        Prefixes(prefixes.collect())
    }
}

impl Cache {
    /// Returns the length of the longest cached prefix of a prompt, in tokens.
    pub(crate) fn cached_tokens(&self, prefixes: &Prefixes) -> u32 {
        let cached = prefixes.0.iter().take_while(|(prefix, _)| self.counts.contains_key(prefix));
        cached.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// Adds all prefixes of a prompt that is sent to the engine.
    pub(crate) fn insert(&mut self, prefixes: &Prefixes) {
        for (prefix, _) in &prefixes.0 {
            *self.counts.entry(*prefix).or_default() += 1;
            self.order.push_back(*prefix);
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
