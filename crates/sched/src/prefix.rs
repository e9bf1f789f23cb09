//! Which parts of prompts an engine keeps, as far as can be told from what was sent to it.

use std::collections::VecDeque;

use base::Map;

/// The parts remembered for an engine; older ones may have been dropped by it.
const REMEMBERED: usize = 1_024;

/// The parts of prompts that an engine keeps.
#[derive(Debug, Default)]
pub(crate) struct Prefixes {
    /// The digests of chains of parts, with how often each stands in `order`.
    held: Map<u64, u32>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Returns the tokens at the start of a prompt that the engine keeps.
    pub(crate) fn cached(&self, adapter: u64, parts: &[(u64, u32)]) -> u32 {
        let mut chain = adapter;
        let mut tokens = 0;
        for (id, part) in parts {
            chain = link(chain, *id);
            if !self.held.contains_key(&chain) {
                break;
            }
            tokens += part;
        }
        tokens
    }

    /// Notes that a prompt is read.
    pub(crate) fn read(&mut self, adapter: u64, parts: &[(u64, u32)]) {
        let mut chain = adapter;
        for (id, _) in parts {
            chain = link(chain, *id);
            *self.held.entry(chain).or_default() += 1;
            self.order.push_back(chain);
        }
        while self.order.len() > REMEMBERED {
            let oldest = self.order.pop_front().expect("longer than 0");
            if let Some(count) = self.held.get_mut(&oldest) {
                *count -= 1;
                if *count == 0 {
                    self.held.remove(&oldest);
                }
            }
        }
    }
}

/// Returns the digest of a chain of parts with one more.
fn link(chain: u64, part: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chain.to_le_bytes());
    bytes[8..].copy_from_slice(&part.to_le_bytes());
    base::digest(&bytes)
}
