//! Tracks which destinations are active, and when to check whether each has become idle.

use std::collections::{BTreeSet, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The active destinations. Each is checked at intervals rather than at each event. Serialized by name.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash + Ord"))]
pub struct ActiveSet<K> {
    #[serde(rename = "after")]
    idle_after: Option<Micros>,
    #[serde(rename = "awake")]
    active: HashSet<K>,
    due: BTreeSet<(Micros, K)>,
}

impl<K: Copy + Eq + Hash + Ord> ActiveSet<K> {
    /// Creates an empty set. Without `idle_after` no destination ever becomes idle.
    pub fn new(idle_after: Option<Micros>) -> Self {
        Self { idle_after, active: HashSet::new(), due: BTreeSet::new() }
    }

    /// Returns the number of active destinations.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Returns whether no destination is active.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns whether a destination is active.
    pub fn contains(&self, key: K) -> bool {
        self.active.contains(&key)
    }

    /// Activates a destination, or keeps it active after its [check](Self::take_due). Has no effect if it is active
    /// already.
    pub fn activate(&mut self, key: K, now: Micros) {
        if self.active.insert(key) {
            self.due.extend(self.idle_after.map(|after| (now.saturating_add(after), key)));
        }
    }

    /// Removes a destination that is owned by another shard from now on.
    pub fn forget(&mut self, key: K) {
        if self.active.remove(&key) {
            self.due.retain(|due| due.1 != key);
        }
    }

    /// Returns when the next destination is to be checked.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|due| due.0)
    }

    /// Removes and returns a destination whose check is due. If it is not idle, the caller must
    /// [activate](Self::activate) it again.
    pub fn take_due(&mut self, now: Micros) -> Option<K> {
        let (at, key) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(at, key));
        self.active.remove(&key);
        Some(key)
    }
}
