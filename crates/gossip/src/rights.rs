//! Parts of a destination's limit that senders lend one another, as an escrow: whoever lends has less *before* it says so, and
//! whoever borrows counts the span from when it *asked*, which was earlier. So at no moment, whatever is lost, doubled, held
//! up or put in another order, and whoever stands still, do all parts in use come to more than the whole. No clocks are
//! compared; they must only run alike to within [`DRIFT`].
//!
//! A part is counted in units of an even part, so that a limit that is told anew changes nothing here.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

/// Units of an even part.
pub const EVEN: u32 = 1_024;
/// Of an even part, what is never lent: what a sender that hears nobody has left.
pub const KEPT: u32 = EVEN / 2;
/// What is lent comes back after this time, for the borrower already after less by [`DRIFT`].
pub const SPAN: Micros = 4_000_000;
/// Two clocks differ by this part of a span at most.
pub const DRIFT: Micros = SPAN / 64;
/// An ask that is not granted within this time is given up: what comes later has little left.
pub const ASK_LASTS: Micros = SPAN / 2;
/// One sender borrows at most so much beyond its even part.
pub const MOST: u32 = 8 * EVEN;
/// Asks and loans at a time, of all destinations together.
pub const OPEN: usize = 1_024;

/// Identifies an ask of one process.
pub type AskId = u32;

/// Lent to another, until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lent {
    until: Micros,
    units: u32,
    to: MemberIndex,
    ask: AskId,
}

/// Borrowed from another, until then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    until: Micros,
    units: u32,
    from: MemberIndex,
    ask: AskId,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Account {
    lent: Vec<Lent>,
    held: Vec<Held>,
}

/// The parts of one sender, by destination.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaEscrow {
    accounts: BTreeMap<u16, Account>,
    /// Asks that may still be granted: destination, when asked, units wanted, and who granted it already.
    asks: BTreeMap<AskId, (u16, Micros, u32, Vec<MemberIndex>)>,
    next: AskId,
    /// What an earlier process of this sender lent is out until then at the latest.
    unsure_until: Micros,
}

impl QuotaEscrow {
    /// Of a process that begins now. What the one before it lent is not known, so that what could be lent counts as lent.
    /// Asks are numbered from `first` on: a grant to the process before must fit none of this one's.
    pub fn new(now: Micros, first: AskId) -> Self {
        Self { accounts: BTreeMap::new(), asks: BTreeMap::new(), next: first, unsure_until: now + SPAN }
    }

    /// Units that this sender may use of a destination's limit now.
    pub fn may_use(&self, destination: u16, now: Micros) -> u32 {
        let own = if now < self.unsure_until { KEPT } else { EVEN };
        let Some(account) = self.accounts.get(&destination) else { return own };
        let lent: u32 = account.lent.iter().filter(|lent| lent.until > now).map(|lent| lent.units).sum();
        let held: u32 = account.held.iter().filter(|held| held.until > now).map(|held| held.units).sum();
        own.saturating_sub(lent) + held
    }

    /// What is borrowed of a destination's limit, and what is lent.
    pub fn borrowed_and_granted(&self, destination: u16, now: Micros) -> (u32, u32) {
        let account = self.accounts.get(&destination);
        let held = account.into_iter().flat_map(|a| &a.held).filter(|held| held.until > now);
        let lent = account.into_iter().flat_map(|a| &a.lent).filter(|lent| lent.until > now);
        (held.map(|held| held.units).sum(), lent.map(|lent| lent.units).sum())
    }

    /// Asks for so many units. None where it has as much as it may, or too much is asked already.
    pub fn ask(&mut self, destination: u16, units: u32, now: Micros) -> Option<AskId> {
        self.tidy(now);
        let room = MOST.saturating_sub(self.borrowed_and_granted(destination, now).0);
        let open: u32 = self.asks.values().filter(|ask| ask.0 == destination).map(|ask| ask.2).sum();
        let units = units.min(room.saturating_sub(open));
        if units == 0 || self.asks.len() >= OPEN {
            return None;
        }
        self.next = self.next.wrapping_add(1);
        self.asks.insert(self.next, (destination, now, units, Vec::new()));
        Some(self.next)
    }

    /// What an ask of this sender wants.
    pub fn asked(&self, ask: AskId) -> Option<u32> {
        self.asks.get(&ask).map(|ask| ask.2)
    }

    /// Lends to another who asked, of what this sender does not use: `spare` units. It has less from this moment on. An ask that
    /// was granted is not granted again: a doubled one gets what it got.
    pub fn lend(
        &mut self,
        to: MemberIndex,
        destination: u16,
        ask: AskId,
        wanted: u32,
        spare: u32,
        now: Micros,
    ) -> Option<u32> {
        self.tidy(now);
        if now < self.unsure_until {
            return None;
        }
        let loans: usize = self.accounts.values().map(|account| account.lent.len()).sum();
        let account = self.accounts.entry(destination).or_default();
        // Guards the escrow against an ask that comes twice: the second would be a second loan of which one note may be lost.
        if let Some(lent) = account.lent.iter().find(|lent| lent.to == to && lent.ask == ask) {
            return Some(lent.units);
        }
        let lent: u32 = account.lent.iter().map(|lent| lent.units).sum();
        let units = wanted.min(spare).min((EVEN - KEPT).saturating_sub(lent));
        if units == 0 || loans >= OPEN {
            return None;
        }
        account.lent.push(Lent { until: now + SPAN, units, to, ask });
        Some(units)
    }

    /// Another lent these units. False where it counts for nothing: nobody asked, the ask is too old, or the lender granted it
    /// already.
    pub fn granted(&mut self, from: MemberIndex, ask: AskId, units: u32, now: Micros) -> bool {
        self.tidy(now);
        let Some((destination, asked, wanted, lenders)) = self.asks.get_mut(&ask) else { return false };
        // Guards against a grant that came twice.
        if lenders.contains(&from) {
            return false;
        }
        // The lender counts its span from when it lent, which was after this sender asked: this end comes first.
        let until = *asked + SPAN - DRIFT;
        if units == 0 || units > *wanted || until <= now {
            return false;
        }
        lenders.push(from);
        let destination = *destination;
        let account = self.accounts.entry(destination).or_default();
        account.held.push(Held { until, units, from, ask });
        true
    }

    /// Drops what is over. Nothing that counts changes by it.
    fn tidy(&mut self, now: Micros) {
        self.asks.retain(|_, ask| ask.1 + ASK_LASTS > now);
        self.accounts.retain(|_, account| {
            account.lent.retain(|lent| lent.until > now);
            account.held.retain(|held| held.until > now);
            !account.lent.is_empty() || !account.held.is_empty()
        });
    }

    /// Loans and what is borrowed, for operators: destination, the other's rank, units, until when, and whether it is lent.
    pub fn loans(&self, now: Micros) -> Vec<(u16, MemberIndex, u32, Micros, bool)> {
        let of = |(destination, account): (&u16, &Account)| {
            let lent = account.lent.iter().map(|l| (*destination, l.to, l.units, l.until, true));
            let held = account.held.iter().map(|h| (*destination, h.from, h.units, h.until, false));
            lent.chain(held).filter(|loan| loan.3 > now).collect::<Vec<_>>()
        };
        self.accounts.iter().flat_map(of).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Two senders, and the units that both may use at a time.
    fn both(a: &QuotaEscrow, b: &QuotaEscrow, now: Micros) -> u32 {
        a.may_use(7, now) + b.may_use(7, now)
    }

    #[test]
    fn what_is_lent_is_used_by_one_of_the_two_at_most() {
        let (mut a, mut b) = (QuotaEscrow::new(0, 0), QuotaEscrow::new(0, 0));
        let now = SPAN;
        let ask = a.ask(7, 300, now).unwrap();
        let units = b.lend(0, 7, ask, 300, EVEN, now + 10).unwrap();
        assert_eq!((units, b.may_use(7, now + 10)), (300, EVEN - 300));
        assert!(a.granted(1, ask, units, now + 20));
        assert_eq!(a.may_use(7, now + 20), EVEN + 300);
        for at in (0..3 * SPAN).step_by(10_000) {
            assert!(both(&a, &b, now + at) <= 2 * EVEN, "{at}");
        }
        assert_eq!(both(&a, &b, now + SPAN + 10), 2 * EVEN);
    }

    /// The note with the grant is held up until the lender has its units back.
    #[test]
    fn a_grant_that_is_held_up_counts_for_nothing() {
        let (mut a, mut b) = (QuotaEscrow::new(0, 0), QuotaEscrow::new(0, 0));
        let ask = a.ask(7, 300, SPAN).unwrap();
        let units = b.lend(0, 7, ask, 300, EVEN, SPAN).unwrap();
        let late = 2 * SPAN;
        assert_eq!(b.may_use(7, late), EVEN);
        assert!(!a.granted(1, ask, units, late));
        assert_eq!(a.may_use(7, late), EVEN);
    }

    #[test]
    fn asks_and_grants_that_come_twice_count_once() {
        let (mut a, mut b) = (QuotaEscrow::new(0, 0), QuotaEscrow::new(0, 0));
        let ask = a.ask(7, 300, SPAN).unwrap();
        assert_eq!(b.lend(0, 7, ask, 300, EVEN, SPAN), Some(300));
        assert_eq!(b.lend(0, 7, ask, 300, EVEN, SPAN + 5), Some(300));
        assert_eq!(b.may_use(7, SPAN + 5), EVEN - 300);
        assert!(a.granted(1, ask, 300, SPAN + 9) && !a.granted(1, ask, 300, SPAN + 9));
        assert_eq!(a.may_use(7, SPAN + 9), EVEN + 300);
        assert!(!a.granted(1, ask + 1, 300, SPAN + 9), "nobody asked");
    }

    #[test]
    fn a_new_process_counts_what_the_one_before_may_have_lent() {
        let new = QuotaEscrow::new(9 * SPAN, 0);
        assert_eq!(new.may_use(7, 9 * SPAN), KEPT);
        assert_eq!(new.may_use(7, 10 * SPAN), EVEN);
        assert_eq!(QuotaEscrow::new(9 * SPAN, 0).lend(1, 7, 1, 5, EVEN, 9 * SPAN), None);
    }

    #[test]
    fn nobody_lends_or_borrows_without_bound() {
        let mut a = QuotaEscrow::new(0, 0);
        for to in 0..20 {
            a.lend(to, 7, 1, 100, EVEN, SPAN);
        }
        assert_eq!(a.may_use(7, SPAN), KEPT);
        let asks: Vec<_> = (0..100).filter_map(|_| a.ask(7, EVEN, SPAN)).collect();
        assert_eq!(asks.len() as u32, MOST / EVEN);
        for ask in asks {
            a.granted(30, ask, EVEN, SPAN);
            assert!(!a.granted(31, ask, EVEN + 1, SPAN), "more than was asked for");
        }
        assert!(a.borrowed_and_granted(7, SPAN).0 <= MOST);
    }
}
