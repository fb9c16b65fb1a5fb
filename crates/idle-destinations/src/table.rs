//! The bounded table of idle destinations.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::packed::{Condition, Encoding, Packed, RetainedHealth};

/// One entry in so many is evicted at once where the table is full, which amortizes the search.
const EVICTION_DIVISOR: usize = 16;

/// Bytes of memory that an entry takes up at most, with keys of that type. A hash map is half empty, and a little more, just
/// after it has grown.
pub const fn bytes_per_entry<K>() -> usize {
    (size_of::<(K, Packed)>() + 1) * 16 / 7 + 1
}

/// The table holds nothing but active Retry-After. What could not be inserted must stay active.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleTableFull;

impl fmt::Display for IdleTableFull {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the memory is full of waits that still run")
    }
}

impl std::error::Error for IdleTableFull {}

/// Order of eviction, the lowest first: entries that have expired, then healthy destinations, then unhealthy ones; of each the
/// longest idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank<K> {
    is_current: bool,
    is_unhealthy: bool,
    idle_since: Micros,
    key: K,
}

/// What is retained of idle destinations, by key, in bounded memory. An active Retry-After is never evicted; the others are in
/// the order of what they are worth. Serialized by name.
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
    /// An entry was evicted or lost: a destination without one may have had one.
    #[serde(rename = "dropped")]
    is_incomplete: bool,
}

impl<K: Copy + Eq + Hash + Ord> IdleTable<K> {
    /// A table for so many entries, which expire after `retention`, but for an active Retry-After.
    pub fn new(capacity: usize, retention: Micros, now: Micros) -> Self {
        let encoding = Encoding::new(now);
        Self { capacity, retention, encoding, entries: HashMap::new(), is_incomplete: false }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Inserts a destination that becomes idle. Replaces an earlier entry, but for a longer Retry-After.
    ///
    /// # Errors
    /// Fails where the table is full of active Retry-After.
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

    /// The end of an idle destination's active Retry-After; 0 for none.
    pub fn wait_until(&self, key: K, now: Micros) -> Micros {
        let wait_until = self.entries.get(&key).map(|packed| self.encoding.wait_until(packed));
        wait_until.filter(|at| *at > now).unwrap_or(0)
    }

    /// What is retained of an idle destination.
    pub fn peek(&self, key: K) -> Option<RetainedHealth> {
        self.entries.get(&key).map(|packed| self.encoding.unpack(packed))
    }

    /// The idle destinations, in no order.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.entries.keys().copied()
    }

    /// Entries were lost: a destination without one may have had one.
    pub fn mark_incomplete(&mut self) {
        self.is_incomplete = true;
    }

    /// Removes the entry of a destination that is activated. One that has expired, or may have been evicted, counts as failing,
    /// with nothing but its Retry-After. None for a destination that never was idle.
    pub fn take(&mut self, key: K, now: Micros) -> Option<RetainedHealth> {
        let unknown = |wait_until| RetainedHealth {
            wait_until,
            condition: Condition::Failing,
            ..RetainedHealth::default()
        };
        let Some(packed) = self.entries.remove(&key) else {
            return self.is_incomplete.then(|| unknown(0));
        };
        Some(if self.is_current(&packed, now) {
            self.encoding.unpack(&packed)
        } else {
            unknown(self.encoding.wait_until(&packed))
        })
    }

    /// Removes the entry of a key that is not used any more.
    pub fn remove(&mut self, key: K) {
        self.entries.remove(&key);
    }

    /// Whether an entry has not expired.
    fn is_current(&self, packed: &Packed, now: Micros) -> bool {
        now.saturating_sub(self.encoding.idle_since(packed)) < self.retention
    }

    /// Evicts the entries that are worth least.
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
