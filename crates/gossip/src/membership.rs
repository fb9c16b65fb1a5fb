//! Membership and failure detection after SWIM: each member periodically pings another, and asks two others to ping one that
//! does not acknowledge before it suspects that one. A suspected member is pinged repeatedly until it acknowledges or is
//! declared gone. Unlike in SWIM, an update alone declares no member gone: its receiver only suspects the member, and pings it.
//! States are ordered by incarnation, which a member raises whenever it receives an update that declares it anything but alive.
//! A member that receives nothing considers itself isolated, and declares nobody unavailable.
//!
//! Bounds: the member that next pings one that has ended declares it gone [`PING_EXPIRY`] plus [`SUSPICION_TIMEOUT`] after that
//! ping; those that receive its update do so another [`SUSPICION_TIMEOUT`] later. If each message is lost with probability `p`,
//! a ping makes a live member suspected with probability (1 - (1 - p)^2) (1 - (1 - p)^4)^2, which is one in 8 at `p` = 0.2. It
//! is declared gone if none of six further pings is acknowledged, with (1 - (1 - p)^2)^6 times that: one in 3,700 pings.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

/// If a ping is not acknowledged within this time, other members are asked to ping the target.
pub const PING_TIMEOUT: Micros = 300_000;
/// A member that has acknowledged neither the ping nor the indirect ones within this time is suspected.
pub const PING_EXPIRY: Micros = 3 * PING_TIMEOUT;
/// A member that is suspected for this time is declared gone.
pub const SUSPICION_TIMEOUT: Micros = 3_000_000;
/// A suspected member is pinged at this interval.
pub const SUSPECT_PING_INTERVAL: Micros = 500_000;
/// A sender considers itself isolated if this many consecutive pings were not acknowledged, and it has received no message for
/// [`ISOLATION_SILENCE`].
pub const ISOLATION_PINGS: u32 = 3;
/// Minimum time without a received message for a sender to consider itself isolated.
pub const ISOLATION_SILENCE: Micros = 2_000_000;
/// Number of members that are asked to ping one that does not acknowledge.
const INDIRECT_PINGS: usize = 2;
/// One in this many pings to members that are gone is sent.
const GONE_PING_RATIO: u8 = 4;

/// Identifies a ping among those of one process.
pub type PingNumber = u32;

/// The state of a member in one of its incarnations; the later outranks the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It is available, as far as is known.
    Alive,
    /// It does not acknowledge pings.
    Suspected,
    /// It is unavailable.
    Gone,
}

/// The state of a member as messages carry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The member whose state it is.
    pub member: MemberIndex,
    /// The incarnation that the state applies to.
    pub incarnation: u32,
    /// The state.
    pub state: State,
}

/// A member that is not considered alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnavailableMember {
    /// The member.
    pub member: MemberIndex,
    /// Suspected or gone.
    pub state: State,
    /// When it entered that state.
    pub since: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    incarnation: u32,
    state: State,
    since: Micros,
    /// When it was last pinged because it is suspected.
    pinged_at: Micros,
}

/// A ping that was not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct PendingPing {
    target: MemberIndex,
    at: Micros,
    /// Whether other members were asked to ping the target.
    is_indirect: bool,
    /// Whether the target was already suspected; a timeout then has no further effect.
    of_suspect: bool,
}

/// How a message relates to the state that its sender had here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderStatus {
    /// The sender was considered alive.
    AsBelieved,
    /// The sender was suspected or gone.
    Back,
    /// A higher incarnation of the sender is known here.
    Behind,
}

/// A ping that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ping {
    /// Ping this member.
    Direct(MemberIndex, PingNumber),
    /// Ask `via` to ping `target`.
    Indirect {
        /// The member that is asked.
        via: MemberIndex,
        /// The member to ping.
        target: MemberIndex,
        /// The number of this sender's ping.
        number: PingNumber,
    },
}

/// The consequences of timeouts.
#[derive(Clone, Debug, Default)]
pub struct Timeouts {
    /// Pings to send.
    pub pings: Vec<Ping>,
    /// Members whose state has changed.
    pub updates: Vec<MemberUpdate>,
}

/// The members of the fleet, as one of them sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    own_index: MemberIndex,
    senders: MemberIndex,
    incarnation: u32,
    members: BTreeMap<MemberIndex, Member>,
    pending_pings: BTreeMap<PingNumber, PendingPing>,
    last_ping: PingNumber,
    /// Members still to be pinged in this round, each once.
    round: Vec<MemberIndex>,
    /// Consecutive pings that were not acknowledged.
    unacknowledged: u32,
    last_received_at: Micros,
}

impl Membership {
    /// Creates a membership in which all members are considered alive until there is evidence against it.
    pub fn new(own_index: MemberIndex, senders: MemberIndex, incarnation: u32, now: Micros) -> Self {
        Self {
            own_index,
            senders,
            incarnation,
            members: BTreeMap::new(),
            pending_pings: BTreeMap::new(),
            last_ping: 0,
            round: Vec::new(),
            unacknowledged: 0,
            last_received_at: now,
        }
    }

    /// Returns this process's incarnation.
    pub fn incarnation(&self) -> u32 {
        self.incarnation
    }

    /// Returns the state of a member.
    pub fn state(&self, member: MemberIndex) -> State {
        self.members.get(&member).map_or(State::Alive, |member| member.state)
    }

    /// Returns the highest known incarnation of a member; 0 if none is known.
    pub fn incarnation_of(&self, member: MemberIndex) -> u32 {
        self.members.get(&member).map_or(0, |member| member.incarnation)
    }

    /// Returns the number of members that are not gone, including this one.
    pub fn present(&self) -> usize {
        let gone = self.members.values().filter(|member| member.state == State::Gone).count();
        usize::from(self.senders).saturating_sub(gone).max(1)
    }

    /// Returns the members that are suspected or gone.
    pub fn unavailable(&self) -> impl Iterator<Item = UnavailableMember> + '_ {
        let unavailable = self.members.iter().filter(|(_, member)| member.state != State::Alive);
        unavailable.map(|(index, member)| UnavailableMember {
            member: *index,
            state: member.state,
            since: member.since,
        })
    }

    /// Returns whether this sender receives nothing, so that it is probably cut off itself.
    pub fn is_isolated(&self, now: Micros) -> bool {
        let silent = now >= self.last_received_at + ISOLATION_SILENCE;
        self.senders > 1 && self.unacknowledged >= ISOLATION_PINGS && silent
    }

    /// Records a message that was received from a member in that incarnation.
    pub fn message_received(&mut self, from: MemberIndex, incarnation: u32, now: Micros) -> SenderStatus {
        (self.last_received_at, self.unacknowledged) = (now, 0);
        let before = self.members.get(&from).copied();
        // A member's own message outranks updates on this or an earlier incarnation. Other members accept that it is alive once
        // it has raised its incarnation.
        if before.is_some_and(|before| before.incarnation > incarnation) {
            return SenderStatus::Behind;
        }
        self.members.insert(from, Member { incarnation, state: State::Alive, since: now, pinged_at: 0 });
        if before.is_some_and(|before| before.state != State::Alive) {
            SenderStatus::Back
        } else {
            SenderStatus::AsBelieved
        }
    }

    /// Records a received update and returns whether it changed anything. An update on this sender itself may raise its
    /// incarnation.
    pub fn update_received(&mut self, update: MemberUpdate, now: Micros) -> bool {
        let MemberUpdate { member, incarnation, state } = update;
        if member == self.own_index {
            return self.refute(incarnation, state);
        }
        if member >= self.senders {
            return false;
        }
        // An update alone does not declare a member gone: it is pinged first.
        let state = state.min(State::Suspected);
        let before = self.members.get(&member).map(|before| (before.incarnation, before.state));
        let changed = before.map_or(state != State::Alive, |before| (incarnation, state) > before);
        if changed {
            self.members.insert(member, Member { incarnation, state, since: now, pinged_at: 0 });
        }
        changed
    }

    /// Raises this sender's incarnation above one that others consider unavailable, or that is higher than its own.
    fn refute(&mut self, incarnation: u32, state: State) -> bool {
        let raised =
            incarnation >= self.incarnation && (state != State::Alive || incarnation > self.incarnation);
        if raised {
            self.incarnation = incarnation.wrapping_add(1);
        }
        raised
    }

    /// Returns the next member to ping: each once in a round, in random order.
    fn next_target(&mut self, rng: &mut fastrand::Rng) -> Option<MemberIndex> {
        if self.round.is_empty() {
            self.round = (0..self.senders).filter(|member| *member != self.own_index).collect();
            rng.shuffle(&mut self.round);
        }
        let target = self.round.pop()?;
        // Members that are gone are still pinged occasionally: they may be back.
        let skip = self.state(target) == State::Gone && rng.u8(..GONE_PING_RATIO) > 0;
        if skip { self.round.pop() } else { Some(target) }
    }

    fn start_ping(&mut self, target: MemberIndex, of_suspect: bool, now: Micros) -> Ping {
        self.last_ping = self.last_ping.wrapping_add(1);
        let ping = PendingPing { target, at: now, is_indirect: false, of_suspect };
        self.pending_pings.insert(self.last_ping, ping);
        Ping::Direct(target, self.last_ping)
    }

    /// Pings the next member.
    pub fn ping_next(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Option<Ping> {
        let target = self.next_target(rng)?;
        Some(self.start_ping(target, false, now))
    }

    /// Records that a ping was acknowledged, directly or through another member. Returns false if no ping of that number is
    /// pending.
    pub fn ack_received(&mut self, number: PingNumber, now: Micros) -> bool {
        let Some(ping) = self.pending_pings.remove(&number) else { return false };
        let incarnation = self.incarnation_of(ping.target);
        self.message_received(ping.target, incarnation, now);
        true
    }

    /// Handles pings that were not acknowledged in time and suspicions that have timed out.
    pub fn check_timeouts(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Timeouts {
        let mut timeouts = Timeouts::default();
        let overdue: Vec<PingNumber> = self
            .pending_pings
            .iter()
            .filter(|(_, ping)| ping.at + PING_TIMEOUT <= now)
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            timeouts.pings.extend(self.ping_timed_out(number, now, rng));
        }
        if !self.is_isolated(now) {
            timeouts.updates = self.expire_suspicions(now);
            timeouts.pings.extend(self.ping_suspects(now));
        }
        timeouts
    }

    /// Asks other members to ping the target, or suspects it if they have been asked and it still did not acknowledge.
    fn ping_timed_out(&mut self, number: PingNumber, now: Micros, rng: &mut fastrand::Rng) -> Vec<Ping> {
        let Some(ping) = self.pending_pings.get_mut(&number) else { return Vec::new() };
        let target = ping.target;
        if ping.of_suspect {
            self.pending_pings.remove(&number);
        } else if !std::mem::replace(&mut ping.is_indirect, true) {
            let others: Vec<_> = (0..self.senders)
                .filter(|member| ![self.own_index, target].contains(member))
                .filter(|member| self.state(*member) == State::Alive)
                .collect();
            let via = rng.choose_multiple(others, INDIRECT_PINGS);
            return via.into_iter().map(|via| Ping::Indirect { via, target, number }).collect();
        } else if ping.at + PING_EXPIRY <= now {
            self.pending_pings.remove(&number);
            self.suspect(target, now);
        }
        Vec::new()
    }

    /// Suspects a member that acknowledged neither directly nor indirectly, unless this sender may be isolated itself.
    fn suspect(&mut self, member: MemberIndex, now: Micros) {
        self.unacknowledged += 1;
        if !self.is_isolated(now) && self.unacknowledged < ISOLATION_PINGS {
            let incarnation = self.incarnation_of(member);
            self.update_received(MemberUpdate { member, incarnation, state: State::Suspected }, now);
        }
    }

    /// Declares members gone that have been suspected for [`SUSPICION_TIMEOUT`].
    fn expire_suspicions(&mut self, now: Micros) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        for (index, member) in &mut self.members {
            if member.state == State::Suspected && member.since + SUSPICION_TIMEOUT <= now {
                *member = Member { state: State::Gone, since: now, pinged_at: 0, ..*member };
                let incarnation = member.incarnation;
                updates.push(MemberUpdate { member: *index, incarnation, state: State::Gone });
            }
        }
        updates
    }

    /// Pings the suspected members whose next ping is due.
    fn ping_suspects(&mut self, now: Micros) -> Vec<Ping> {
        let mut due = Vec::new();
        for (index, member) in &mut self.members {
            if member.state == State::Suspected && member.pinged_at + SUSPECT_PING_INTERVAL <= now {
                member.pinged_at = now;
                due.push(*index);
            }
        }
        due.into_iter().map(|target| self.start_ping(target, true, now)).collect()
    }

    /// Returns when [`Self::check_timeouts`] next has something to do.
    pub fn next_due(&self) -> Option<Micros> {
        let timeout = |ping: &PendingPing| if ping.is_indirect { PING_EXPIRY } else { PING_TIMEOUT };
        let pings = self.pending_pings.values().map(|ping| ping.at + timeout(ping));
        let suspected = self.members.values().filter(|member| member.state == State::Suspected);
        let suspicions = suspected
            .map(|member| (member.since + SUSPICION_TIMEOUT).min(member.pinged_at + SUSPECT_PING_INTERVAL));
        pings.chain(suspicions).min()
    }
}
