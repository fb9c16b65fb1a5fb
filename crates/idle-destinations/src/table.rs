//! The bounded table of idle destinations.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::packed::{Condition, Encoding, Packed, RetainedHealth};

/// A full table evicts one in this many of its entries at once, which amortizes the search for them.
const EVICTION_DIVISOR: usize = 16;

/// Returns the maximum memory in bytes that an entry with a key of this type occupies. A hash map is a little more
/// than half empty just after it has grown.
pub const fn bytes_per_entry<K>() -> usize {
    (size_of::<(K, Packed)>() + 1) * 16 / 7 + 1
}

/// All entries of the table have an active Retry-After. A destination that could not be inserted must stay active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleTableFull;

impl fmt::Display for IdleTableFull {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the table of idle destinations is full of active Retry-After deadlines")
    }
}

impl std::error::Error for IdleTableFull {}

/// Order of eviction, the lowest first: expired entries, then healthy destinations, then unhealthy ones, and among
/// equals the one that has been idle longest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank<K> {
    is_current: bool,
    is_unhealthy: bool,
    idle_since: Micros,
    key: K,
}

/// What is retained of idle destinations, by key, in bounded memory. An entry with an active Retry-After is never
/// evicted. Of the others, expired entries are evicted first, then healthy destinations, then unhealthy ones.
/// Serialized by name.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash + Ord"))]
pub struct IdleTable<K> {
    #[serde(rename = "most")]
    capacity: usize,
    #[serde(rename = "remember")]
    retention: Micros,
    #[serde(rename = "scale")]
    encoding: Encoding,
    #[serde(rename = "kept")]
    entries: HashMap<K, Packed>,
    /// Whether an entry was evicted or lost, so that a destination without an entry may have had one.
    #[serde(rename = "dropped")]
    is_incomplete: bool,
}

impl<K: Copy + Eq + Hash + Ord> IdleTable<K> {
    /// Creates a table for up to `capacity` entries. They expire after `retention`, except for an active Retry-After.
    pub fn new(capacity: usize, retention: Micros, now: Micros) -> Self {
        let encoding = Encoding::new(now);
        Self { capacity, retention, encoding, entries: HashMap::new(), is_incomplete: false }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Inserts a destination that becomes idle. Replaces an earlier entry, but keeps its Retry-After if that ends
    /// later.
    ///
    /// # Errors
    /// Fails if the table is full of entries with an active Retry-After.
    pub fn insert(&mut self, key: K, health: RetainedHealth, now: Micros) -> Result<(), IdleTableFull> {
        let earlier_wait = self.entries.get(&key).map_or(0, |packed| self.encoding.wait_until(packed));
        if !self.entries.contains_key(&key) && self.entries.len() >= self.capacity {
            self.evict(now);
            if self.entries.len() >= self.capacity {
                return Err(IdleTableFull);
            }
        }
        let health = RetainedHealth { wait_until: health.wait_until.max(earlier_wait), ..health };
        self.entries.insert(key, self.encoding.pack(&health, now));
        Ok(())
    }

    /// Returns the end of an idle destination's active Retry-After; 0 for none.
    pub fn wait_until(&self, key: K, now: Micros) -> Micros {
        let wait_until = self.entries.get(&key).map(|packed| self.encoding.wait_until(packed));
        wait_until.filter(|at| *at > now).unwrap_or(0)
    }

    /// Returns what is retained of an idle destination, without removing it.
    pub fn peek(&self, key: K) -> Option<RetainedHealth> {
        self.entries.get(&key).map(|packed| self.encoding.unpack(packed))
    }

    /// Returns the idle destinations in arbitrary order.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.entries.keys().copied()
    }

    /// Records that entries were lost, so that a destination without an entry may have had one.
    pub fn mark_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// Removes and returns the entry of a destination that is activated. If the entry has expired, or may have been
    /// evicted or lost, the destination counts as failing, and only its Retry-After is retained. Returns `None` for a
    /// destination that was never idle.
    pub fn take(&mut self, key: K, now: Micros) -> Option<RetainedHealth> {
        let failing = |wait_until| RetainedHealth {
            wait_until,
            condition: Condition::Failing,
            ..RetainedHealth::default()
        };
        let Some(packed) = self.entries.remove(&key) else {
            return self.is_incomplete.then(|| failing(0));
        };
        Some(if self.is_current(&packed, now) {
            self.encoding.unpack(&packed)
        } else {
            failing(self.encoding.wait_until(&packed))
        })
    }

    /// Removes the entry of a key that is no longer used.
    pub fn remove(&mut self, key: K) {
        self.entries.remove(&key);
    }

    /// Returns whether an entry has not expired.
    fn is_current(&self, packed: &Packed, now: Micros) -> bool {
        now.saturating_sub(self.encoding.idle_since(packed)) < self.retention
    }

    /// Evicts a fraction of the entries, those with the lowest [`EvictionRank`].
    fn evict(&mut self, now: Micros) {
        let evictable = self.entries.iter().filter(|(_, packed)| self.encoding.wait_until(packed) <= now);
        let mut ranks: Vec<_> = evictable
            .map(|(key, packed)| EvictionRank {
                is_current: self.is_current(packed, now),
                is_unhealthy: packed.condition != Condition::Healthy,
                idle_since: self.encoding.idle_since(packed),
                key: *key,
            })
            .collect();
        let count = (self.capacity / EVICTION_DIVISOR).max(1);
        if ranks.len() > count {
            ranks.select_nth_unstable(count);
            ranks.truncate(count);
        }
        for rank in ranks {
            self.is_incomplete = true;
            self.entries.remove(&rank.key);
        }
    }
}
