//! Transfer of a destination's quota between senders, as an escrow: the granting sender's share shrinks *before* it sends the
//! grant, and the requesting sender counts the span from its *request*, which was earlier. So at no moment do the shares in use
//! exceed the limit, whatever messages are lost, duplicated, delayed or reordered, and whichever processes are stopped. Clocks
//! are not compared; they must only run at the same rate to within [`MAX_DRIFT`].
//!
//! Shares are counted in units of an even share, so that a new limit changes nothing here.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

#[cfg(test)]
mod tests;

/// Units of an even share of the limit.
pub const EVEN_SHARE: u32 = 1_024;
/// Units of an even share that are never granted, so that an isolated sender can always use them.
pub const RETAINED_UNITS: u32 = EVEN_SHARE / 2;
/// A transfer ends after this time, for the receiving sender earlier by [`MAX_DRIFT`].
pub const SPAN: Micros = 4_000_000;
/// Maximum difference that two clocks accumulate within a [`SPAN`].
pub const MAX_DRIFT: Micros = SPAN / 64;
/// A request that is not granted within this time is abandoned: a later grant would be valid for a short time only.
pub const REQUEST_EXPIRY: Micros = SPAN / 2;
/// Maximum number of units that one sender receives beyond its even share.
pub const MAX_RECEIVED: u32 = 8 * EVEN_SHARE;
/// Maximum number of pending requests, and of grants, of all destinations together.
pub const MAX_OPEN: usize = 1_024;

/// Identifies a request among those of one process.
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
    /// Senders that have granted it.
    granted_by: Vec<MemberIndex>,
}

/// A request of another sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Who sent it.
    pub from: MemberIndex,
    /// Its number at that sender.
    pub request: RequestId,
    /// The destination whose quota is requested.
    pub destination: u16,
    /// Requested units.
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

/// The quota that one sender may use, by destination.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaEscrow {
    accounts: BTreeMap<u16, Account>,
    requests: BTreeMap<RequestId, PendingRequest>,
    last_request: RequestId,
    /// Until then grants of the previous process of this sender may still be valid.
    uncertain_until: Micros,
}

impl QuotaEscrow {
    /// Creates the escrow of a process that starts now. Grants of the previous process are unknown, so all that it could have
    /// granted counts as granted for one [`SPAN`]. Requests are numbered after `last_request`, so that a grant to the previous
    /// process matches none of them.
    pub fn new(now: Micros, last_request: RequestId) -> Self {
        Self {
            accounts: BTreeMap::new(),
            requests: BTreeMap::new(),
            last_request,
            uncertain_until: now + SPAN,
        }
    }

    /// Returns the units of a destination's limit that this sender may use now.
    pub fn usable_units(&self, destination: u16, now: Micros) -> u32 {
        let own = if now < self.uncertain_until { RETAINED_UNITS } else { EVEN_SHARE };
        let transferred = self.transferred(destination, now);
        own.saturating_sub(transferred.granted) + transferred.received
    }

    /// Returns the units that are transferred in each direction now.
    pub fn transferred(&self, destination: u16, now: Micros) -> Transferred {
        let Some(account) = self.accounts.get(&destination) else { return Transferred::default() };
        let received = account.received.iter().filter(|received| received.until > now);
        let granted = account.granted.iter().filter(|granted| granted.until > now);
        Transferred {
            received: received.map(|received| received.units).sum(),
            granted: granted.map(|granted| granted.units).sum(),
        }
    }

    /// Starts a request for at most `units`. Returns `None` if this sender already receives or has requested the maximum, or if
    /// too many requests are pending.
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
        let request = PendingRequest { destination, requested_at: now, units, granted_by: Vec::new() };
        self.requests.insert(self.last_request, request);
        Some(self.last_request)
    }

    /// Grants units to another sender, out of `spare` units that this sender does not use; its own share shrinks at once. A
    /// duplicate of a granted request returns the same units, which are granted once.
    pub fn grant(&mut self, quota_request: QuotaRequest, spare: u32, now: Micros) -> Option<u32> {
        let QuotaRequest { from: to, request, destination, units } = quota_request;
        self.expire(now);
        if now < self.uncertain_until {
            return None;
        }
        let open: usize = self.accounts.values().map(|account| account.granted.len()).sum();
        let account = self.accounts.entry(destination).or_default();
        // A duplicate must not be granted again: if one of the two grants were lost, nobody could use its units.
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

    /// Records a grant of another sender. Returns false if it has no effect: it was never requested, is too late or a duplicate.
    pub fn grant_received(&mut self, from: MemberIndex, request: RequestId, units: u32, now: Micros) -> bool {
        self.expire(now);
        let Some(pending) = self.requests.get_mut(&request) else { return false };
        if pending.granted_by.contains(&from) {
            return false;
        }
        // The granting sender counts its span from the grant, which is later than the request: this span ends first.
        let until = pending.requested_at + SPAN - MAX_DRIFT;
        if units == 0 || units > pending.units || until <= now {
            return false;
        }
        pending.granted_by.push(from);
        let account = self.accounts.entry(pending.destination).or_default();
        account.received.push(Received { until, units, from, request });
        true
    }

    /// Drops requests and transfers that have ended. This does not change the usable units.
    fn expire(&mut self, now: Micros) {
        self.requests.retain(|_, request| request.requested_at + REQUEST_EXPIRY > now);
        self.accounts.retain(|_, account| {
            account.granted.retain(|granted| granted.until > now);
            account.received.retain(|received| received.until > now);
            !account.granted.is_empty() || !account.received.is_empty()
        });
    }

    /// Returns the destinations whose quota is transferred in either direction.
    pub(crate) fn destinations(&self, now: Micros) -> impl Iterator<Item = u16> + '_ {
        let active = move |account: &Account| {
            account.granted.iter().any(|granted| granted.until > now)
                || account.received.iter().any(|received| received.until > now)
        };
        self.accounts.iter().filter(move |(_, account)| active(account)).map(|(destination, _)| *destination)
    }
}
