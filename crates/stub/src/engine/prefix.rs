//! A cache of prompt prefixes, the least recently used going first.

use std::collections::VecDeque;

use wire::endpoint::Model;

/// The prefixes that the cache holds.
const CAPACITY: usize = 256;

/// The bytes of a prompt that are its prefix.
const LENGTH: usize = 64;

/// The prefixes seen lately.
#[derive(Default)]
pub(crate) struct Cache {
    /// The digests, the last used at the end.
    digests: VecDeque<u64>,
}

impl Cache {
    /// Notes a prompt and returns whether its prefix was in the cache.
    pub(crate) fn touch(&mut self, model: &Model, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(LENGTH).collect();
        let digest =
            base::digest(format!("{}@{}|{prefix}", model.adapter, model.version).as_bytes());
        let found = self.digests.iter().position(|known| *known == digest);
        if let Some(index) = found {
            self.digests.remove(index);
        }
        self.digests.push_back(digest);
        if self.digests.len() > CAPACITY {
            self.digests.pop_front();
        }
        found.is_some()
    }

    pub(crate) fn clear(&mut self) {
        self.digests.clear();
    }
}
