//! Leases of capacity that the whole process has only once: call slots, messages, descriptors.

use crate::ShardId;

#[cfg(test)]
mod tests;

/// A shard's reserve is an even share divided by this.
const RESERVE_DIVISOR: usize = 16;

/// A shard's lease after its report, and the shards that are affected by it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseUpdate {
    /// Units that the shard may use in total.
    pub lease: usize,
    /// Shards that should report again: they are short and may lease what was released, or have unused units that the reporting
    /// shard is short of.
    pub concerned: Vec<ShardId>,
}

/// Capacity that is leased to shards. In each iteration of its event loop a shard reports what it uses and what it wants; its
/// lease is valid until its next report, so that no iteration waits for another shard. The sum of the leases never exceeds the
/// total, and no shard has a lease below what it uses.
///
/// A shard keeps a reserve beyond what it needs, so that it does not have to extend its lease for each call. While another shard
/// is short, it releases the reserve with its next report; a shard with more than an even share then also releases what it does
/// not use, down to its even share. So no shard waits for unused capacity for longer than one iteration of the other shard and
/// one of its own. A shard that is blocked keeps what it uses and its reserve meanwhile.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeasePool {
    total: usize,
    reserve: usize,
    leased: Vec<usize>,
    /// By shard, as last reported.
    used: Vec<usize>,
    wanted: Vec<usize>,
}

/// Returns what a shard's lease may exceed its need by.
fn reserve(total: usize, shards: usize) -> usize {
    (total / shards / RESERVE_DIVISOR).max(1)
}

impl LeasePool {
    /// Creates a pool for `shards` shards, none of which has a lease yet.
    pub fn new(total: usize, shards: usize) -> Self {
        let shards = shards.max(1);
        let none = vec![0; shards];
        Self {
            total,
            reserve: reserve(total, shards),
            leased: none.clone(),
            used: none.clone(),
            wanted: none,
        }
    }

    /// Returns the whole capacity.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Raises the capacity; a lower value has no effect.
    pub fn grow(&mut self, total: usize) {
        self.total = self.total.max(total);
        self.reserve = reserve(self.total, self.leased.len());
    }

    /// Returns the capacity that is not leased.
    pub fn free(&self) -> usize {
        self.total - self.leased.iter().sum::<usize>()
    }

    /// Returns a shard's lease.
    pub fn lease(&self, shard: ShardId) -> usize {
        self.leased[shard.index()]
    }

    fn even_share(&self) -> usize {
        (self.total / self.leased.len()).max(1)
    }

    /// Returns what a shard wants beyond its lease.
    fn shortage(&self, shard: usize) -> usize {
        self.wanted[shard].saturating_sub(self.leased[shard])
    }

    fn others(&self, shard: usize) -> impl Iterator<Item = usize> {
        (0..self.leased.len()).filter(move |other| *other != shard)
    }

    /// Returns whether another shard is short.
    fn another_is_short(&self, shard: usize) -> bool {
        self.others(shard).any(|other| self.shortage(other) > 0)
    }

    /// Returns whether another shard is short while its lease is below an even share.
    fn another_is_short_of_even_share(&self, shard: usize) -> bool {
        let below_even = |other: usize| self.leased[other] < self.even_share();
        self.others(shard).any(|other| self.shortage(other) > 0 && below_even(other))
    }

    /// Handles a shard's report of what it uses and what it wants to use, and returns its lease.
    pub fn update(&mut self, shard: ShardId, used: usize, wanted: usize) -> LeaseUpdate {
        let index = shard.index();
        let free_before = self.free();
        (self.used[index], self.wanted[index]) = (used, used.max(wanted));
        self.renew(index);
        let has_released = self.free() > free_before;
        LeaseUpdate { lease: self.leased[index], concerned: self.concerned(index, has_released) }
    }

    /// Shrinks or extends a lease according to the shard's last report.
    fn renew(&mut self, shard: usize) {
        let (used, needed) = (self.used[shard], self.wanted[shard]);
        let even = self.even_share();
        // A shard above its even share yields to one that is short below it: what it wants beyond the even share has to wait.
        let yields = self.another_is_short_of_even_share(shard) && self.free() == 0;
        let kept = if yields { used.max(needed.min(even)) } else { needed };
        let reserve = if self.another_is_short(shard) { 0 } else { self.reserve };
        let target = kept.saturating_add(reserve).min(self.total);
        self.leased[shard] = self.leased[shard].min(target);
        if yields {
            return;
        }
        let extension = target.saturating_sub(self.leased[shard]).min(self.free());
        let exceeds_even = self.leased[shard] + extension > even;
        // Free capacity goes to shards below their even share first.
        if exceeds_even && self.another_is_short_of_even_share(shard) {
            self.leased[shard] += extension.min(even.saturating_sub(self.leased[shard]));
        } else {
            self.leased[shard] += extension;
        }
    }

    /// Returns the shards that are short and may lease what was released, or that could release what this shard is short of.
    fn concerned(&self, shard: usize, has_released: bool) -> Vec<ShardId> {
        let is_starved = self.shortage(shard) > 0 && self.free() == 0;
        let is_concerned = |other: &usize| {
            let has_unused = self.leased[*other] > self.used[*other];
            (has_released && self.shortage(*other) > 0) || (is_starved && has_unused)
        };
        self.others(shard).filter(is_concerned).map(|other| ShardId(other as u8)).collect()
    }

    /// Moves the lease of units in use for a destination to the shard that the destination migrates to.
    pub fn transfer(&mut self, from: ShardId, to: ShardId, used: usize) {
        let (from, to) = (from.index(), to.index());
        // No more is transferred than is leased, so that the sum of the leases stays the same.
        let transferred = used.min(self.leased[from]);
        self.leased[from] -= transferred;
        self.used[from] = self.used[from].saturating_sub(used).min(self.leased[from]);
        self.leased[to] += transferred;
        self.used[to] += transferred;
    }
}
