//! Hash tables with a fast hasher.

/// A hash map with a fast, unkeyed hasher. It does not resist hash flooding: limit the number of keys from
/// untrusted sources.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the same hasher as [`Map`].
pub type Set<K> = rustc_hash::FxHashSet<K>;
