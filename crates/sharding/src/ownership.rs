//! Ownership of destinations by shards.

use rpds::RedBlackTreeMapSync;

use crate::MAX_SHARDS;

#[cfg(test)]
mod tests;

/// Multiplier of a Fibonacci hash of 32 bits.
const HASH_MULTIPLIER: u32 = 0x9e37_79b9;

/// Identifies a shard of the process, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u8);

impl ShardId {
    /// The shard that others are drained to.
    const FIRST: Self = Self(0);

    /// Returns its index among the shards.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// The owner of each destination. A value is immutable; [`Self::with`] returns the next version, which shares structure with the
/// previous one, so that a reader sees one consistent version for as long as it needs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OwnershipMap {
    shards: u8,
    /// The home of all destinations; if `None`, they are hashed over the shards.
    common_home: Option<ShardId>,
    /// Owners of destinations that are not owned by their home.
    overrides: RedBlackTreeMapSync<u16, ShardId>,
    /// Shards that were drained to the first, one bit each.
    drained: u64,
    version: u64,
}

impl OwnershipMap {
    /// Hashes destinations over 1 to [`MAX_SHARDS`] shards.
    pub fn hashed(shards: usize) -> Self {
        let shards = shards.clamp(1, MAX_SHARDS) as u8;
        let overrides = RedBlackTreeMapSync::new_sync();
        Self { shards, common_home: None, overrides, drained: 0, version: 0 }
    }

    /// Assigns all destinations to one shard, as after a hand-over, which a predecessor makes from a single shard.
    pub fn all_on(shards: usize, owner: ShardId) -> Self {
        Self { common_home: Some(owner), ..Self::hashed(shards) }
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> usize {
        self.shards.into()
    }

    /// Returns the number of changes since the first version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of destinations that are not owned by their home.
    pub fn overrides(&self) -> usize {
        self.overrides.size()
    }

    /// Returns a destination's owner.
    pub fn owner(&self, destination: u16) -> ShardId {
        self.overrides.get(&destination).copied().unwrap_or_else(|| self.home(destination))
    }

    /// Returns a destination's owner without migrations. The hash places consecutive numbers on different shards, since numbers
    /// are assigned consecutively, and often by size.
    fn home(&self, destination: u16) -> ShardId {
        let hash = u32::from(destination).wrapping_mul(HASH_MULTIPLIER);
        let index = (u64::from(hash) * u64::from(self.shards)) >> u32::BITS;
        let home = self.common_home.unwrap_or(ShardId(index as u8));
        if self.is_drained(home) { ShardId::FIRST } else { home }
    }

    /// Returns whether a shard was drained to the first.
    pub fn is_drained(&self, shard: ShardId) -> bool {
        self.drained >> shard.0 & 1 == 1
    }

    /// Returns whether all shards but the first were drained.
    pub fn all_drained(&self) -> bool {
        (1..self.shards).all(|shard| self.is_drained(ShardId(shard)))
    }

    /// Returns the next version, in which the first shard owns all destinations of `shard`, including those not seen yet.
    #[must_use]
    pub fn with_drained(&self, shard: ShardId) -> Self {
        let drained = self.drained | 1 << shard.0;
        let overrides = self.overrides.clone();
        let mut next = Self { drained, overrides, version: self.version + 1, ..*self };
        for (destination, _) in self.overrides.iter().filter(|(_, owner)| **owner == shard) {
            next = next.with(*destination, ShardId::FIRST);
        }
        next
    }

    /// Returns the next version, in which one destination has another owner.
    #[must_use]
    pub fn with(&self, destination: u16, owner: ShardId) -> Self {
        let overrides = if self.home(destination) == owner {
            self.overrides.remove(&destination)
        } else {
            self.overrides.insert(destination, owner)
        };
        Self { overrides, version: self.version + 1, ..*self }
    }
}
