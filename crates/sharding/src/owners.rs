//! Which core owns which destination.

use rpds::RedBlackTreeMapSync;

/// A core of the process, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u8);

impl ShardId {
    /// Its place among the cores.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Each destination's owner. A value never changes; [`Owners::with`] makes the next one, which shares what is the same, so
/// that whoever reads one sees one version for as long as it likes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OwnershipMap {
    count: u8,
    /// Who owns what was never moved, if that is one core; else it is spread by its number.
    rest: Option<ShardId>,
    moved: RedBlackTreeMapSync<u16, ShardId>,
    /// Cores that gave all they had to the first, a bit each.
    gathered: u64,
    version: u64,
}

impl OwnershipMap {
    /// Destinations are spread over so many cores by their numbers: from 1 to [`crate::MOST`].
    pub fn hashed(count: usize) -> Self {
        let count = count.clamp(1, crate::MOST) as u8;
        Self { count, rest: None, moved: RedBlackTreeMapSync::new_sync(), gathered: 0, version: 0 }
    }

    /// All are one core's until they are moved: what a process that had one core leaves.
    pub fn all_on(count: usize, core: ShardId) -> Self {
        Self { rest: Some(core), ..Self::hashed(count) }
    }

    /// How many cores there are.
    pub fn count(&self) -> usize {
        self.count.into()
    }

    /// Counts changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Destinations that do not lie where they would without a move.
    pub fn overrides(&self) -> usize {
        self.moved.size()
    }

    /// A destination's owner.
    pub fn owner(&self, destination: u16) -> ShardId {
        self.moved.get(&destination).copied().unwrap_or_else(|| self.home(destination))
    }

    /// Where it lies without a move. Guards against neighbours on one core: numbers are given in a row, and often by size.
    fn home(&self, destination: u16) -> ShardId {
        let mixed = u32::from(destination).wrapping_mul(0x9e37_79b9);
        let place = (u64::from(mixed) * u64::from(self.count)) >> 32;
        let home = self.rest.unwrap_or(ShardId(place as u8));
        if self.is_sole_owner(home) { ShardId(0) } else { home }
    }

    /// Whether a core has given all it had to the first.
    pub fn is_sole_owner(&self, core: ShardId) -> bool {
        self.gathered >> core.0 & 1 == 1
    }

    /// Whether the first core has all there is.
    pub fn all_gathered(&self) -> bool {
        (1..self.count).all(|core| self.is_sole_owner(ShardId(core)))
    }

    /// All that a core owns is the first's, also what it never heard of.
    #[must_use]
    pub fn gather_on(&self, core: ShardId) -> Self {
        let gathered = self.gathered | 1 << core.0;
        let mut next = Self { gathered, moved: self.moved.clone(), version: self.version + 1, ..*self };
        for (destination, _) in self.moved.iter().filter(|moved| *moved.1 == core) {
            next = next.with(*destination, ShardId(0));
        }
        next
    }

    /// The same but for one destination.
    #[must_use]
    pub fn with(&self, destination: u16, owner: ShardId) -> Self {
        let moved = if self.home(destination) == owner {
            self.moved.remove(&destination)
        } else {
            self.moved.insert(destination, owner)
        };
        Self { moved, version: self.version + 1, ..*self }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_cores_get_some_and_a_move_changes_one_alone() {
        for count in [1, 2, 3, 4, 8] {
            let owners = OwnershipMap::hashed(count);
            for of in [7..15u16, 0..64, 1000..1064] {
                let per_core = |core| of.clone().filter(|d| owners.owner(*d) == ShardId(core)).count();
                let (least, most) =
                    (0..count as u8).map(per_core).fold((99, 0), |(l, m), n| (l.min(n), m.max(n)));
                assert!(least > 0 && most - least <= 2, "{count} cores, {of:?}: {least} to {most}");
            }
            let to = ShardId(count as u8 - 1);
            let moved = owners.with(7, to);
            assert!((0..500).all(|d| moved.owner(d) == if d == 7 { to } else { owners.owner(d) }));
            assert_eq!(
                moved.with(7, owners.owner(7)).overrides(),
                0,
                "back where it was, nothing is kept of it"
            );
        }
        assert!((0..500).all(|d| OwnershipMap::all_on(4, ShardId(0)).owner(d) == ShardId(0)));
        let owners = OwnershipMap::hashed(3).with(7, ShardId(1)).with(8, ShardId(2));
        let gathered = owners.gather_on(ShardId(1));
        assert!(
            (0..500).all(|d| gathered.owner(d)
                == if owners.owner(d) == ShardId(1) { ShardId(0) } else { owners.owner(d) })
        );
        assert!(!gathered.all_gathered() && gathered.gather_on(ShardId(2)).all_gathered());
        let back = gathered.gather_on(ShardId(2)).with(7, ShardId(2));
        assert!(
            (0..500).all(|d| back.owner(d) == ShardId(if d == 7 { 2 } else { 0 })),
            "what is moved later is moved"
        );
    }
}
