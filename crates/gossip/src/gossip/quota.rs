//! Transfer of quota from senders with spare units to those that are short.

use super::{Addressed, Gossip};
use crate::escrow::{EVEN_SHARE, QuotaRequest, RETAINED_UNITS, RequestId};
use crate::message::Part;
use crate::{MemberIndex, Micros};

/// Number of peers that are asked for units at a time.
const REQUESTED_PEERS: usize = 4;
/// Minimum time between two requests for units of one destination's quota.
const REQUEST_INTERVAL: Micros = 500_000;
/// The spare units that follow from a reported demand are valid for this time.
const SPARE_EXPIRY: Micros = 2 * REQUEST_INTERVAL;
/// Minimum number of units that are requested from one peer.
const MIN_REQUEST: u32 = EVEN_SHARE / 16;
/// Maximum demand that is considered, in even shares.
const MAX_DEMAND: f64 = 64.0;
/// A sender grants only units beyond this multiple of what it needs itself.
const RESERVE_FACTOR: u32 = 2;

impl Gossip {
    /// Reports this sender's demand for a destination's limit, as a multiple of its even share. Requests units if `is_short` and
    /// the demand exceeds the usable units; units that are not needed may be granted to other senders.
    pub fn report_demand(&mut self, destination: u16, share: f64, is_short: bool, now: Micros) {
        if !self.config.quota_transfer || !self.has_capacity_for(destination) {
            return;
        }
        let usable = self.escrow.usable_units(destination, now);
        let needed = (share.clamp(0.0, MAX_DEMAND) * f64::from(EVEN_SHARE)) as u32;
        let local = self.local.entry(destination).or_default();
        local.spare_units = usable.saturating_sub(needed.saturating_mul(RESERVE_FACTOR));
        local.spare_at = now;
        let is_due = local.quota_requested_at.is_none_or(|at| now >= at + REQUEST_INTERVAL);
        if is_short && needed > usable && is_due && !self.membership.is_isolated(now) {
            local.quota_requested_at = Some(now);
            self.request_quota(destination, needed - usable, now);
        }
    }

    fn request_quota(&mut self, destination: u16, missing: u32, now: Micros) {
        let units = missing.div_ceil(REQUESTED_PEERS as u32).clamp(MIN_REQUEST, EVEN_SHARE - RETAINED_UNITS);
        for to in self.pick_peers(REQUESTED_PEERS) {
            if let Some(request) = self.escrow.request(destination, units, now) {
                let part = Part::QuotaRequest { destination, request, units };
                self.ready.push(Addressed { to, parts: vec![part] });
            }
        }
    }

    pub(super) fn quota_request_received(
        &mut self,
        from: MemberIndex,
        destination: u16,
        request: RequestId,
        units: u32,
        now: Micros,
    ) {
        if !self.config.quota_transfer || self.membership.is_isolated(now) {
            return;
        }
        // Without a recent demand of its own this sender can grant its whole share.
        let spare = match self.local.get(&destination) {
            Some(local) if now < local.spare_at + SPARE_EXPIRY => local.spare_units,
            _ => EVEN_SHARE,
        };
        let quota_request = QuotaRequest { from, request, destination, units };
        if let Some(units) = self.escrow.grant(quota_request, spare, now) {
            let grant = Part::QuotaGrant { request, units };
            self.ready.push(Addressed { to: from, parts: vec![grant] });
        }
    }

    /// Returns the part of a destination's limit that this sender may use, as a multiple of the even share.
    pub fn quota_share(&self, destination: u16, now: Micros) -> f64 {
        if !self.config.quota_transfer {
            return 1.0;
        }
        f64::from(self.escrow.usable_units(destination, now)) / f64::from(EVEN_SHARE)
    }
}
