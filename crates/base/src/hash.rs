//! Hash tables with a fast hasher.

/// A hash map whose hasher is fast and not keyed: never fill it from untrusted keys without a bound.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the same hasher as [`Map`].
pub type Set<K> = rustc_hash::FxHashSet<K>;
