//! Who is awake, and when to see whether it is idle.

use std::collections::{BTreeSet, HashSet};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;

/// Those that are awake. Each is looked at once in a while, and not whenever something happens to it.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash + Ord"))]
pub struct ActiveSet<K> {
    after: Option<Micros>,
    awake: HashSet<K>,
    due: BTreeSet<(Micros, K)>,
}

impl<K: Copy + Eq + Hash + Ord> ActiveSet<K> {
    /// None is. Without a time nobody ever sleeps.
    pub fn new(after: Option<Micros>) -> Self {
        Self { after, awake: HashSet::new(), due: BTreeSet::new() }
    }

    /// How many are.
    pub fn len(&self) -> usize {
        self.awake.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.awake.is_empty()
    }

    /// Whether it is.
    pub fn contains(&self, key: K) -> bool {
        self.awake.contains(&key)
    }

    /// It wakes, if it was not awake; or it is left awake after it was [due](Self::take_due).
    pub fn activate(&mut self, key: K, now: Micros) {
        if self.awake.insert(key) {
            self.due.extend(self.after.map(|after| (now.saturating_add(after), key)));
        }
    }

    /// It is another's from now on, awake or not.
    pub fn forget(&mut self, key: K) {
        if self.awake.remove(&key) {
            self.due.retain(|due| due.1 != key);
        }
    }

    /// When one is to be looked at.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|due| due.0)
    }

    /// Takes one whose time has come: if it is idle it sleeps, else it must be woken again.
    pub fn take_due(&mut self, now: Micros) -> Option<K> {
        let (at, key) = self.due.first().copied().filter(|due| due.0 <= now)?;
        self.due.remove(&(at, key));
        self.awake.remove(&key);
        Some(key)
    }
}
