//! An LRU cache of prompt prefixes.

use std::collections::VecDeque;

use wire::endpoint::Model;

/// Cache capacity, in prefixes.
const CAPACITY: usize = 256;

/// Length of a prefix, in characters.
const PREFIX_CHARS: usize = 64;

/// The recently used prefixes.
#[derive(Default)]
pub(crate) struct Cache {
    /// The digests of the prefixes, most recently used last.
    digests: VecDeque<u64>,
}

impl Cache {
    /// Marks the prefix of a prompt as used and returns whether it was in the cache.
    pub(crate) fn touch(&mut self, model: &Model, prompt: &str) -> bool {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
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
