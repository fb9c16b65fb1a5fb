//! Which core owns which destination.

use rpds::RedBlackTreeMapSync;

/// A core of the process, from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Core(pub u8);

impl Core {
    /// Its place among the cores.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Each destination's owner. A value never changes; [`Owners::with`] makes the next one, which shares what is the same, so
/// that whoever reads one sees one version for as long as it likes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Owners {
    count: u8,
    /// Who owns what was never moved, if that is one core; else it is spread by its number.
    rest: Option<Core>,
    moved: RedBlackTreeMapSync<u16, Core>,
    version: u64,
}

impl Owners {
    /// Destinations are spread over so many cores by their numbers: from 1 to [`crate::MOST`].
    pub fn spread(count: usize) -> Self {
        let count = count.clamp(1, crate::MOST) as u8;
        Self { count, rest: None, moved: RedBlackTreeMapSync::new_sync(), version: 0 }
    }

    /// All are one core's until they are moved: what a process that had one core leaves.
    pub fn all_on(count: usize, core: Core) -> Self {
        Self { rest: Some(core), ..Self::spread(count) }
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
    pub fn moved(&self) -> usize {
        self.moved.size()
    }

    /// A destination's owner.
    pub fn of(&self, destination: u16) -> Core {
        self.moved.get(&destination).copied().unwrap_or_else(|| self.home(destination))
    }

    /// Where it lies without a move. Guards against neighbours on one core: numbers are given in a row, and often by size.
    fn home(&self, destination: u16) -> Core {
        let mixed = u32::from(destination).wrapping_mul(0x9e37_79b9);
        let place = (u64::from(mixed) * u64::from(self.count)) >> 32;
        self.rest.unwrap_or(Core(place as u8))
    }

    /// The same but for one destination.
    #[must_use]
    pub fn with(&self, destination: u16, owner: Core) -> Self {
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
            let owners = Owners::spread(count);
            for of in [7..15u16, 0..64, 1000..1064] {
                let per_core = |core| of.clone().filter(|d| owners.of(*d) == Core(core)).count();
                let (least, most) =
                    (0..count as u8).map(per_core).fold((99, 0), |(l, m), n| (l.min(n), m.max(n)));
                assert!(least > 0 && most - least <= 2, "{count} cores, {of:?}: {least} to {most}");
            }
            let to = Core(count as u8 - 1);
            let moved = owners.with(7, to);
            assert!((0..500).all(|d| moved.of(d) == if d == 7 { to } else { owners.of(d) }));
            assert_eq!(moved.with(7, owners.of(7)).moved(), 0, "back where it was, nothing is kept of it");
        }
        assert!((0..500).all(|d| Owners::all_on(4, Core(0)).of(d) == Core(0)));
    }
}
