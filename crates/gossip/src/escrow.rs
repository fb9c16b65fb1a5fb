//! Transfer of a destination's quota between senders, as an escrow: the lender's share shrinks *before* it sends the grant, and
//! the borrower counts the span from its *request*, which was earlier. So at no moment do the shares in use exceed the limit,
//! whatever messages are lost, duplicated, delayed or reordered, and whichever processes are stopped. Clocks are not compared;
//! they must only run at the same rate to within [`MAX_DRIFT`].
//!
//! Shares are counted in units of an even share, so that a new limit changes nothing here.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

#[cfg(test)]
mod tests;

/// Units of an even share of the limit.
pub const EVEN_SHARE: u32 = 1_024;
/// Units of an even share that are never granted: what an isolated sender has in any case.
pub const RETAINED_UNITS: u32 = EVEN_SHARE / 2;
/// A transfer ends after this time, for the borrower earlier by [`MAX_DRIFT`].
pub const SPAN: Micros = 4_000_000;
/// Two clocks differ by this much within a span at most.
pub const MAX_DRIFT: Micros = SPAN / 64;
/// A request that is not granted within this time is abandoned: a later grant would soon end.
pub const REQUEST_EXPIRY: Micros = SPAN / 2;
/// Units that one sender receives beyond its even share at most.
pub const MAX_RECEIVED: u32 = 8 * EVEN_SHARE;
/// Pending requests, and grants, of all destinations together.
pub const MAX_OPEN: usize = 1_024;

/// Identifies a request of one process.
pub type RequestId = u32;

/// Units granted to another sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Granted {
    until: Micros,
    units: u32,
    to: MemberIndex,
    request: RequestId,
}

/// Units received from another sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Received {
    until: Micros,
    units: u32,
    from: MemberIndex,
    request: RequestId,
}

/// The transfers of one destination's quota.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Account {
    granted: Vec<Granted>,
    received: Vec<Received>,
}

/// A request that may still be granted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingRequest {
    destination: u16,
    requested_at: Micros,
    units: u32,
    /// Senders that granted it already.
    lenders: Vec<MemberIndex>,
}

/// A request of another sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Who sent it.
    pub from: MemberIndex,
    /// Its number there.
    pub request: RequestId,
    /// Whose quota.
    pub destination: u16,
    /// Units that are wanted.
    pub units: u32,
}

/// Units of a destination's quota that are transferred now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Transferred {
    /// From other senders to this one.
    pub received: u32,
    /// From this sender to others.
    pub granted: u32,
}

/// The quota of one sender, by destination.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaEscrow {
    accounts: BTreeMap<u16, Account>,
    requests: BTreeMap<RequestId, PendingRequest>,
    last_request: RequestId,
    /// Until then an earlier process of this sender may have granted units.
    uncertain_until: Micros,
}

impl QuotaEscrow {
    /// Of a process that starts now. Grants of its predecessor are unknown, so that all that could be granted counts as granted.
    /// Requests are numbered after `first`: a grant to the predecessor must match none of this process's.
    pub fn new(now: Micros, first: RequestId) -> Self {
        Self {
            accounts: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_request: first,
            uncertain_until: now + SPAN,
        }
    }

    /// Units of a destination's limit that this sender may use now.
    pub fn usable_units(&self, destination: u16, now: Micros) -> u32 {
        let own = if now < self.uncertain_until { RETAINED_UNITS } else { EVEN_SHARE };
        let transferred = self.transferred(destination, now);
        own.saturating_sub(transferred.granted) + transferred.received
    }

    /// Units that are transferred in either direction.
    pub fn transferred(&self, destination: u16, now: Micros) -> Transferred {
        let Some(account) = self.accounts.get(&destination) else { return Transferred::default() };
        let received = account.received.iter().filter(|received| received.until > now);
        let granted = account.granted.iter().filter(|granted| granted.until > now);
        Transferred {
            received: received.map(|received| received.units).sum(),
            granted: granted.map(|granted| granted.units).sum(),
        }
    }

    /// Starts a request for so many units. None where this sender has as many as it may, or too many requests are pending.
    pub fn request(&mut self, destination: u16, units: u32, now: Micros) -> Option<RequestId> {
        self.expire(now);
        let headroom = MAX_RECEIVED.saturating_sub(self.transferred(destination, now).received);
        let pending = self.requests.values().filter(|request| request.destination == destination);
        let pending: u32 = pending.map(|request| request.units).sum();
        let units = units.min(headroom.saturating_sub(pending));
        if units == 0 || self.requests.len() >= MAX_OPEN {
            return None;
        }
        self.last_request = self.last_request.wrapping_add(1);
        let request = PendingRequest { destination, requested_at: now, units, lenders: Vec::new() };
        self.requests.insert(self.last_request, request);
        Some(self.last_request)
    }

    /// Grants units to another sender, of the `spare` ones that this sender does not use; its own share shrinks at once. A
    /// duplicate of a request that was granted gets the same units once.
    pub fn grant(&mut self, wanted: QuotaRequest, spare: u32, now: Micros) -> Option<u32> {
        let QuotaRequest { from: to, request, destination, units } = wanted;
        self.expire(now);
        if now < self.uncertain_until {
            return None;
        }
        let open: usize = self.accounts.values().map(|account| account.granted.len()).sum();
        let account = self.accounts.entry(destination).or_default();
        // A duplicate must not be granted anew: one of the two grants may be lost, and its units with it.
        let duplicate = account.granted.iter().find(|granted| granted.to == to && granted.request == request);
        if let Some(granted) = duplicate {
            return Some(granted.units);
        }
        let granted: u32 = account.granted.iter().map(|granted| granted.units).sum();
        let grantable = (EVEN_SHARE - RETAINED_UNITS).saturating_sub(granted);
        let units = units.min(spare).min(grantable);
        if units == 0 || open >= MAX_OPEN {
            return None;
        }
        account.granted.push(Granted { until: now + SPAN, units, to, request });
        Some(units)
    }

    /// Another sender granted units. False where the grant has no effect: never requested, too late, or a duplicate.
    pub fn grant_received(&mut self, from: MemberIndex, request: RequestId, units: u32, now: Micros) -> bool {
        self.expire(now);
        let Some(pending) = self.requests.get_mut(&request) else { return false };
        if pending.lenders.contains(&from) {
            return false;
        }
        // The lender counts its span from the grant, which was after the request: this one ends first.
        let until = pending.requested_at + SPAN - MAX_DRIFT;
        if units == 0 || units > pending.units || until <= now {
            return false;
        }
        pending.lenders.push(from);
        let account = self.accounts.entry(pending.destination).or_default();
        account.received.push(Received { until, units, from, request });
        true
    }

    /// Drops requests and transfers that have ended. No usable unit changes by it.
    fn expire(&mut self, now: Micros) {
        self.requests.retain(|_, request| request.requested_at + REQUEST_EXPIRY > now);
        self.accounts.retain(|_, account| {
            account.granted.retain(|granted| granted.until > now);
            account.received.retain(|received| received.until > now);
            !account.granted.is_empty() || !account.received.is_empty()
        });
    }

    /// Destinations whose quota is transferred in either direction.
    pub(crate) fn destinations(&self, now: Micros) -> impl Iterator<Item = u16> + '_ {
        let active = move |account: &Account| {
            account.granted.iter().any(|granted| granted.until > now)
                || account.received.iter().any(|received| received.until > now)
        };
        self.accounts.iter().filter(move |(_, account)| active(account)).map(|(destination, _)| *destination)
    }
}
