//! The bounded memory of all that sleep.

use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::packed::{Condition, Packed, RetainedHealth, Scale};

/// What is dropped at once where there is no more room: a part of all, so that looking for it is paid for.
const DROPPED: usize = 16;

/// What one takes up in memory at most, under keys of that kind. A hash map is half empty, and a little more, just after
/// it has grown.
pub const fn bytes_per_entry<K>() -> usize {
    (size_of::<(K, Packed)>() + 1) * 16 / 7 + 1
}

/// There is room for nothing but the waits that are remembered already. What could not be kept must stay awake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleTableFull;

impl fmt::Display for IdleTableFull {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("the memory is full of waits that still run")
    }
}

impl std::error::Error for IdleTableFull {}

/// What is remembered of those that sleep, by key: so many at most. A wait that runs is never dropped for room; of the
/// others what is worth least goes first: what nothing is known of any more, then what was well, then what was not, the
/// longest asleep first.
#[derive(Debug, Serialize, Deserialize)]
#[serde(bound(deserialize = "K: Deserialize<'de> + Eq + Hash + Ord"))]
pub struct IdleTable<K> {
    most: usize,
    remember: Micros,
    scale: Scale,
    kept: HashMap<K, Packed>,
    /// Something was dropped for room: who is not known may have been.
    dropped: bool,
}

impl<K: Copy + Eq + Hash + Ord> IdleTable<K> {
    /// Room for so many; what is not a wait is worth nothing after `remember`.
    pub fn new(most: usize, remember: Micros, now: Micros) -> Self {
        Self { most, remember, scale: Scale::new(now), kept: HashMap::new(), dropped: false }
    }

    /// How many are remembered.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// One falls asleep. What was remembered under its key before is replaced, but for a longer wait.
    ///
    /// # Errors
    /// Fails when there is room for nothing but waits.
    pub fn insert(&mut self, key: K, facts: RetainedHealth, now: Micros) -> Result<(), IdleTableFull> {
        let before = self.kept.get(&key).map_or(0, |packed| self.scale.wait(packed));
        if !self.kept.contains_key(&key) && self.kept.len() >= self.most {
            self.drop_some(now);
            if self.kept.len() >= self.most {
                return Err(IdleTableFull);
            }
        }
        let facts = RetainedHealth { wait_until: facts.wait_until.max(before), ..facts };
        self.kept.insert(key, self.scale.pack(&facts, now));
        Ok(())
    }

    /// The wait that runs for one that sleeps; 0 for none.
    pub fn wait_until(&self, key: K, now: Micros) -> Micros {
        self.kept.get(&key).map(|packed| self.scale.wait(packed)).filter(|at| *at > now).unwrap_or(0)
    }

    /// What is known of one that sleeps.
    pub fn peek(&self, key: K) -> Option<RetainedHealth> {
        self.kept.get(&key).map(|packed| self.scale.unpack(packed))
    }

    /// All that sleep, in no order.
    pub fn keys(&self) -> impl Iterator<Item = K> {
        self.kept.keys().copied()
    }

    /// Something that was remembered is lost: who is not known may have been.
    pub fn mark_incomplete(&mut self) {
        self.dropped = true;
    }

    /// One wakes: tells what is known of it, which is forgotten here. What slept longer than anything is remembered, or
    /// may have been dropped for room, counts as failed, with no more known than its wait. Nothing for one that never
    /// slept.
    pub fn take(&mut self, key: K, now: Micros) -> Option<RetainedHealth> {
        let unknown = |wait_until| RetainedHealth {
            wait_until,
            condition: Condition::Failing,
            ..RetainedHealth::default()
        };
        let Some(packed) = self.kept.remove(&key) else { return self.dropped.then(|| unknown(0)) };
        let slept = self.scale.slept(&packed);
        Some(if now.saturating_sub(slept) < self.remember {
            self.scale.unpack(&packed)
        } else {
            unknown(self.scale.wait(&packed))
        })
    }

    /// Forgets what is remembered under a key that nothing comes back under.
    pub fn remove(&mut self, key: K) {
        self.kept.remove(&key);
    }

    fn drop_some(&mut self, now: Micros) {
        let mut least: Vec<_> = self
            .kept
            .iter()
            .filter(|(_, packed)| self.scale.wait(packed) <= now)
            .map(|(key, packed)| {
                let slept = self.scale.slept(packed);
                let known = now.saturating_sub(slept) < self.remember;
                (known, packed.worst != Condition::Healthy, slept, *key)
            })
            .collect();
        let count = (self.most / DROPPED).max(1);
        if least.len() > count {
            least.select_nth_unstable(count);
            least.truncate(count);
        }
        for (.., key) in least {
            self.dropped = true;
            self.kept.remove(&key);
        }
    }
}
