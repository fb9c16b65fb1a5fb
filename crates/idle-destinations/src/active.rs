//! Which destinations are active, and when each is to be checked for being idle.

use std::collections::{BTreeSet, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// The active destinations. Each is checked at an interval rather than at each event. Serialized by name.
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
    /// An empty set. Without a time none ever becomes idle.
    pub fn new(idle_after: Option<Micros>) -> Self {
        Self { idle_after, active: HashSet::new(), due: BTreeSet::new() }
    }

    /// Number of active destinations.
    pub fn len(&self) -> usize {
        self.active.len()
    }

    /// Whether none is active.
    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Whether a destination is active.
    pub fn contains(&self, key: K) -> bool {
        self.active.contains(&key)
    }

    /// Activates a destination, or keeps it active after its [check](Self::take_due). No effect on an active one.
    pub fn activate(&mut self, key: K, now: Micros) {
        if self.active.insert(key) {
            self.due.extend(self.idle_after.map(|after| (now.saturating_add(after), key)));
        }
    }

    /// Removes a destination that has another owner from now on.
    pub fn forget(&mut self, key: K) {
        if self.active.remove(&key) {
            self.due.retain(|due| due.1 != key);
        }
    }

    /// When the next destination is to be checked.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|due| due.0)
    }

    /// Removes a destination that is to be checked. If it is not idle the caller [activates](Self::activate) it again.
    pub fn take_due(&mut self, now: Micros) -> Option<K> {
        let (at, key) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(at, key));
        self.active.remove(&key);
        Some(key)
    }
}
