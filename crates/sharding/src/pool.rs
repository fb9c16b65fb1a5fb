//! What belongs to the whole process and can't be had twice: slots, room for messages, descriptors.

use crate::ShardId;

/// What a core may use from now on, and whom that concerns.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseUpdate {
    /// All that the core may use.
    pub lease: usize,
    /// Cores that should look again: they lack what has come free, or hold what another lacks.
    pub concerned: Vec<ShardId>,
}

/// A whole that is leased to cores. Each core says in each of its turns what it has in use and what it would use; what it gets
/// is its own until it says otherwise, so that no turn asks anybody. The sum of the leases never exceeds the whole, and no
/// core is left with less than it has in use.
///
/// A core keeps a piece more than it needs, so that it need not ask for each call. While another lacks something it gives
/// that back in its next turn; one that holds more than an even part then gives back what it does not have in use down to
/// that. So nobody waits for room that another does not use for longer than a turn of that other one and one of its own; a
/// core that stands still keeps what it has in use and a piece for as long as it does.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeasePool {
    whole: usize,
    piece: usize,
    leased: Vec<usize>,
    /// What each had in use, and would use, when it last said.
    used: Vec<usize>,
    wants: Vec<usize>,
}

impl LeasePool {
    /// So much for so many cores, none of which has any yet. A piece is a sixteenth of an even part, one at least.
    pub fn new(whole: usize, cores: usize) -> Self {
        let cores = cores.max(1);
        let none = vec![0; cores];
        Self {
            whole,
            piece: (whole / cores / 16).max(1),
            leased: none.clone(),
            used: none.clone(),
            wants: none,
        }
    }

    /// All there is.
    pub fn total(&self) -> usize {
        self.whole
    }

    /// There is so much from now on, if that is more.
    pub fn grow(&mut self, whole: usize) {
        self.whole = self.whole.max(whole);
        self.piece = (self.whole / self.leased.len() / 16).max(1);
    }

    /// What no core has.
    pub fn free(&self) -> usize {
        self.whole - self.leased.iter().sum::<usize>()
    }

    /// What a core may use.
    pub fn lease(&self, core: ShardId) -> usize {
        self.leased[core.index()]
    }

    fn even(&self) -> usize {
        (self.whole / self.leased.len()).max(1)
    }

    fn lacks(&self, core: usize) -> usize {
        self.wants[core].saturating_sub(self.leased[core])
    }

    /// Whether another core lacks something: with less than an even part, if that is asked.
    fn another_lacks(&self, core: usize, below_even: bool) -> bool {
        let short = |other: usize| self.lacks(other) > 0 && (!below_even || self.leased[other] < self.even());
        (0..self.leased.len()).any(|other| other != core && short(other))
    }

    /// A core's turn: it has so much in use and would use so much. Tells what it may use.
    pub fn update(&mut self, core: ShardId, used: usize, wants: usize) -> LeaseUpdate {
        let at = core.index();
        let free_before = self.free();
        let need = used.max(wants);
        (self.used[at], self.wants[at]) = (used, need);
        let even = self.even();
        // Guards whoever has less than an even part against who has more: what that one would use beyond it waits.
        let yields = self.another_lacks(at, true) && self.free() == 0;
        let keep = if yields { used.max(need.min(even)) } else { need };
        let spare = if self.another_lacks(at, false) { 0 } else { self.piece };
        let most = keep.saturating_add(spare).min(self.whole);
        self.leased[at] = self.leased[at].min(most);
        if !yields {
            let more = most.saturating_sub(self.leased[at]).min(self.free());
            let beyond = self.leased[at] + more > even && self.another_lacks(at, true);
            // What is left for others below their part is not for who is above it.
            let more = if beyond { more.min(even.saturating_sub(self.leased[at])) } else { more };
            self.leased[at] += more;
        }
        let (short, freed) = (self.lacks(at) > 0, self.free() > free_before);
        let others = (0..self.leased.len()).filter(|other| *other != at);
        let concerned = others.filter(|other| {
            let idle = self.leased[*other] > self.used[*other];
            (freed && self.lacks(*other) > 0) || (short && self.free() == 0 && idle)
        });
        let concerned = concerned.map(|other| ShardId(other as u8)).collect();
        LeaseUpdate { lease: self.leased[at], concerned }
    }

    /// What is in use for a destination goes along with it to another core.
    pub fn transfer(&mut self, from: ShardId, to: ShardId, used: usize) {
        let (from, to) = (from.index(), to.index());
        // Guards the sum: no more goes than is there.
        let goes = used.min(self.leased[from]);
        self.leased[from] -= goes;
        self.used[from] = self.used[from].saturating_sub(used).min(self.leased[from]);
        self.leased[to] += goes;
        self.used[to] += goes;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards the sum: a core that says it hands on more than it has hands on what it has.
    #[test]
    fn no_more_is_handed_on_than_is_there() {
        let mut pool = LeasePool::new(4, 2);
        assert_eq!(pool.update(ShardId(0), 0, 2).lease, 3);
        pool.transfer(ShardId(0), ShardId(1), 9);
        assert_eq!((pool.lease(ShardId(0)), pool.lease(ShardId(1)), pool.free()), (0, 3, 1));
    }

    #[test]
    fn who_lacks_something_is_told_when_it_is_there() {
        let mut pool = LeasePool::new(4, 2);
        assert_eq!(pool.update(ShardId(0), 4, 4).lease, 4);
        let short = pool.update(ShardId(1), 0, 1);
        assert_eq!((short.lease, short.concerned), (0, vec![]), "all is in use: there is nobody to ask");
        let freed = pool.update(ShardId(0), 3, 3);
        assert_eq!((freed.lease, freed.concerned), (3, vec![ShardId(1)]));
        assert_eq!(pool.update(ShardId(1), 0, 1).lease, 1);
    }
}
