//! One sender's share of what the fleet knows: what it saw itself, what it heard, and what it says when.

use std::collections::{BTreeMap, BTreeSet};

use crate::counts::{Count, Counts, Estimate};
use crate::judgement::{Belief, Evidence, Failure, FailureKind, Limit, Number};
use crate::links::{Links, Way};
use crate::note::{Message, Part, Rejected, Writer};
use crate::rights::{EVEN, QuotaEscrow};
use crate::view::{Membership, Ping, SenderStatus, State};
use crate::*;

/// Counts told along with an ask or its answer.
const COUNTS_TOLD: usize = 4;
/// Notes that answer one who asks for everything.
const EVERYTHING: usize = 4;
/// Others that are asked to lend.
const LENDERS: usize = 4;
/// Between two asks to be lent of one destination's limit.
const BORROW_EVERY: Micros = 500_000;
/// Between two clearances of one destination, and two limits of it, that this sender tells.
const TELL_EVERY: Micros = 1_000_000;

/// What a sender saw of a destination by a call of its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It went well, and was begun then.
    Success(Micros),
    /// It failed, after so many that did in a row, itself counted.
    Failure(FailureKind, u32),
    /// It was turned away at a limit: no evidence of an outage.
    Rejected,
}

/// What this sender knows itself of a destination.
#[derive(Clone, Debug, Default)]
struct Own {
    /// Evidence that was known, and when, by which calls that were begun later may outrank it.
    known: Vec<(Micros, MemberIndex, Number)>,
    /// Limit that it told last, and when it said something.
    limit: Option<f32>,
    limit_told: Micros,
    clear_told: Micros,
    /// When it last asked to be lent units, and what it does not need of its own part.
    borrowed_at: Option<Micros>,
    spare: u32,
    spare_at: Micros,
}

/// What is shown to operators of one destination.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationReport {
    /// The destination.
    pub destination: u16,
    /// What is believed.
    pub belief: Belief,
    /// Everything that it follows from.
    pub items: Vec<Evidence>,
    /// Units of an even part that may be used, and of them borrowed; and those that are lent.
    pub may_use: u32,
    /// Borrowed.
    pub borrowed: u32,
    /// Lent.
    pub lent: u32,
}

/// What one sender shares with the others.
#[derive(Clone, Debug)]
pub struct Gossip {
    law: Config,
    rng: fastrand::Rng,
    view: Membership,
    links: Links,
    known: Judgements,
    own: BTreeMap<u16, Own>,
    rights: QuotaEscrow,
    counts: Counts,
    outbox: Outbox,
    purse: TokenBucket,
    count: u32,
    /// Until when others are asked what they know.
    warm_until: Micros,
    ask_at: Micros,
    /// Notes to single senders that are ready.
    ready: Vec<(MemberIndex, Vec<Part>)>,
    /// Asks that came through another: who wants to hear of the answer, and that one's number.
    passed_on: BTreeMap<u32, (MemberIndex, u32)>,
    /// Members to tell of along with the next notes.
    members: Vec<(MemberIndex, u32, State, u8)>,
    /// A new process asks others for everything, so often still.
    wants_everything: u8,
    /// Notes that were used for nothing, and of them told.
    rejected: u64,
    /// Bytes that others are sent.
    said: u64,
}

impl Gossip {
    /// A process that begins now.
    pub fn new(law: Config, seed: u64, now: Micros) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x5AED);
        let first_ask = rng.u32(..);
        Self {
            view: Membership::new(law.member, law.senders, law.incarnation, now),
            links: Links::default(),
            known: Judgements::default(),
            own: BTreeMap::new(),
            rights: QuotaEscrow::new(now, first_ask),
            counts: Counts::default(),
            outbox: Outbox::default(),
            purse: TokenBucket::new(&law, now),
            count: 0,
            warm_until: 0,
            ask_at: now,
            ready: Vec::new(),
            passed_on: BTreeMap::new(),
            members: Vec::new(),
            wants_everything: 2,
            rejected: 0,
            said: 0,
            rng,
            law,
        }
    }

    /// A message was handed in here: it pays for what is said.
    pub fn message_accepted(&mut self) {
        self.purse.earn(self.law.byte_budget.0);
    }

    /// What a call of this sender showed of a destination.
    pub fn observe(&mut self, destination: u16, seen: Observation, now: Micros) {
        let (refused, failed) =
            (u32::from(seen == Observation::Rejected), u32::from(matches!(seen, Observation::Failure(..))));
        self.counts.note(destination, Count { calls: 1, refused, failed, ..Count::default() }, now);
        match seen {
            Observation::Success(begun) => self.saw_well(destination, begun, now),
            Observation::Failure(kind, calls) => self.saw_bad(destination, kind, calls, now),
            Observation::Rejected => {}
        }
    }

    fn saw_well(&mut self, destination: u16, begun: Micros, now: Micros) {
        let Some(judgement) = self.known.judgements.get(&destination) else { return };
        let Some(own) = self.own.get_mut(&destination) else { return };
        // Evidence that was known when the call was begun, by whatever clock: it is outranked.
        let outranked: Vec<_> =
            own.known.iter().filter(|known| known.0 <= begun).map(|known| (known.1, known.2)).collect();
        if !judgement.would_clear(&outranked, now) || now < own.clear_told + TELL_EVERY {
            return;
        }
        let was_ill = judgement.belief(now).unhealthy.is_some();
        own.clear_told = now;
        own.known.retain(|known| known.0 > begun);
        for (origin, number) in outranked {
            let item = Evidence::Cleared(origin, number, now);
            self.known.join(destination, item);
            // Single failures that nobody believed fade by themselves: nothing need be said.
            if was_ill {
                self.outbox.tell(destination, item, self.rounds());
            }
        }
        self.warm(now);
    }

    fn saw_bad(&mut self, destination: u16, kind: FailureKind, calls: u32, now: Micros) {
        if !self.room_for(destination) {
            return;
        }
        let before = self.known.belief(destination, now);
        // What is believed already gains nothing by one more's evidence, unless that is about to fade.
        if before.unhealthy.is_some_and(|(at, _)| now < at + judgement::ONE_FADES / 2) {
            return;
        }
        self.count += 1;
        let number = number(self.view.incarnation(), self.count);
        let calls = calls.clamp(1, 255) as u8;
        let item = Evidence::Failure(self.law.member, Failure { number, at: now, kind, calls });
        self.known.join(destination, item);
        let own = self.own.entry(destination).or_default();
        let me = self.law.member;
        own.known.retain(|known| known.1 != me);
        own.known.push((now, me, number));
        let rounds = self.rounds();
        self.outbox.tell(destination, item, rounds);
        self.warm(now);
    }

    /// A report told a limit of that many calls a second.
    pub fn observe_limit(&mut self, destination: u16, rate: f32, now: Micros) {
        if !(rate.is_finite() && rate > 0.0 && self.room_for(destination)) {
            return;
        }
        let known = self.known.judgements.get(&destination).and_then(|j| j.belief(now).limit);
        let own = self.own.entry(destination).or_default();
        let first = own.limit.is_none();
        own.limit = Some(rate);
        let other = |before: f32| (rate - before).abs() > OTHER_LIMIT * before;
        // The first that this sender hears of is what the list's weight said roughly: no news to others.
        let news = match known {
            Some((before, _)) => other(before),
            None => !first,
        };
        if known.is_some() && !news || now < own.limit_told + TELL_EVERY {
            return;
        }
        own.limit_told = now;
        self.count += 1;
        let limit = Limit {
            origin: self.law.member,
            number: number(self.view.incarnation(), self.count),
            at: now,
            rate,
        };
        self.known.join(destination, Evidence::Limit(limit));
        if news {
            let rounds = self.rounds();
            self.outbox.tell(destination, Evidence::Limit(limit), rounds);
            self.warm(now);
        }
    }

    /// A destination told this sender a wait until then.
    pub fn observe_wait(&mut self, destination: u16, until: Micros, now: Micros) {
        if self.room_for(destination) && self.known.join(destination, Evidence::Wait(until)) {
            let rounds = self.rounds();
            self.outbox.tell(destination, Evidence::Wait(until), rounds);
            self.warm(now);
        }
    }

    /// A message is tried for a second time or more.
    pub fn count_retry(&mut self, destination: u16, now: Micros) {
        self.counts.note(destination, Count { repeats: 1, ..Count::default() }, now);
    }

    fn room_for(&self, destination: u16) -> bool {
        self.own.len() < DESTINATIONS || self.own.contains_key(&destination)
    }

    /// Rounds that news is told in where it goes from one to a few: enough to reach all with room to spare.
    fn rounds(&self) -> u8 {
        if self.law.broadcast { 1 } else { (u16::BITS - self.law.senders.leading_zeros()) as u8 / 2 + 1 }
    }

    fn warm(&mut self, now: Micros) {
        if self.warm_until <= now {
            self.ask_at = now + self.rng.u64(0..PERIOD);
        }
        self.warm_until = now + WARM;
    }

    /// A note came from another sender.
    ///
    /// # Errors
    /// Fails where it is used for nothing.
    pub fn receive(&mut self, from: MemberIndex, bytes: &[u8], now: Micros) -> Result<(), Rejected> {
        let heard = self.understand(from, bytes, now);
        self.rejected += u64::from(heard.is_err());
        let parts = heard?;
        parts.into_iter().for_each(|part| self.take(from, part, now));
        Ok(())
    }

    fn understand(&mut self, from: MemberIndex, bytes: &[u8], now: Micros) -> Result<Vec<Part>, Rejected> {
        if from == self.law.member || from >= self.law.senders {
            return Err(Rejected::Unknown);
        }
        let note = Message::read(bytes)?;
        let longer = match self.links.came(from, note.run, note.sent_ms, now) {
            Way::Stale => return Err(Rejected::Stale),
            Way::Longer(longer) => longer,
            Way::Unknown => 0,
        };
        let parts = note.parts(now, longer)?;
        match self.view.message_received(from, note.run, now) {
            SenderStatus::AsBelieved => {}
            SenderStatus::Back => self.warm(now),
            // A new process that forgot its runs: its evidence would count for less than that of the one before.
            SenderStatus::Behind => {
                let run = self.view.incarnation_of(from);
                self.ready.push((from, vec![Part::Member(from, run, State::Gone)]));
            }
        }
        Ok(parts)
    }

    fn take(&mut self, from: MemberIndex, part: Part, now: Micros) {
        match part {
            Part::Known(destination, item) => self.take_known(destination, item, now),
            Part::Ask(number, digest) => {
                let answer = Part::Answer(number, self.known.digest(now));
                self.reply(from, answer, digest, now);
            }
            Part::Answer(number, digest) => {
                if let Some((asker, their_number)) = self.passed_on.remove(&number) {
                    self.ready.push((asker, vec![Part::Answer(their_number, self.known.digest(now))]));
                    return;
                }
                if self.view.ack_received(number, now) && digest != self.known.digest(now) {
                    self.tell_all_to(from, 1, now);
                }
            }
            Part::AskFor(target, number) => {
                // Asked in this sender's own name; bounded, since an answer may never come.
                if self.passed_on.len() >= 64 {
                    self.passed_on.pop_first();
                }
                let own = self.rng.u32(..) | 1 << 31;
                self.passed_on.insert(own, (from, number));
                self.ready.push((target, vec![Part::Ask(own, self.known.digest(now))]));
            }
            Part::Member(rank, run, state) => {
                if self.view.update_received(rank, run, state, now) {
                    let news = if rank == self.law.member {
                        (rank, self.view.incarnation(), State::Alive, self.rounds() + 2)
                    } else {
                        (rank, run, state, 2)
                    };
                    self.members.retain(|member| member.0 != rank);
                    self.members.push(news);
                    self.warm(now);
                }
            }
            Part::Borrow(destination, ask, units) => self.lend(from, destination, ask, units, now),
            Part::Lend(ask, units) => {
                self.rights.granted(from, ask, units, now);
            }
            Part::Counts(destination, count) => self.counts.heard(from, destination, count, 0, now),
            Part::Everything => self.tell_all_to(from, EVERYTHING, now),
        }
    }

    fn take_known(&mut self, destination: u16, item: Evidence, now: Micros) {
        // Evidence of this sender's, from a run of it that is over or not: what it knows itself is in `own`.
        if matches!(item, Evidence::Failure(origin, bad) if origin == self.law.member && bad.number >> 32 >= self.view.incarnation().into())
        {
            return;
        }
        let before = self.known.belief(destination, now);
        if !self.room_for(destination) || !self.known.join(destination, item) {
            return;
        }
        let own = self.own.entry(destination).or_default();
        if let Evidence::Failure(origin, bad) = item {
            own.known.retain(|known| known.1 != origin);
            own.known.push((now, origin, bad.number));
            if own.known.len() > judgement::KEPT + 1 {
                own.known.remove(0);
            }
        }
        let after = self.known.belief(destination, now);
        // What changes nothing that is believed is not passed on.
        let news = before.unhealthy.is_some() != after.unhealthy.is_some()
            || before.limit.map(|l| l.0) != after.limit.map(|l| l.0)
            || matches!(item, Evidence::Failure(..)) && after.unhealthy.is_none();
        if news {
            if !self.law.broadcast {
                let rounds = self.rounds();
                self.outbox.tell(destination, item, rounds);
            }
            self.warm(now);
        }
    }

    /// Answers, along with what this sender knows where the other knows something else.
    fn reply(&mut self, to: MemberIndex, answer: Part, digest: u32, now: Micros) {
        let mut parts = vec![answer];
        if digest != self.known.digest(now) {
            parts.extend(self.dearest(now));
            self.warm(now);
        }
        parts.extend(self.counts_to_tell(now));
        self.ready.push((to, parts));
    }

    /// All that counts, the dearest first.
    fn dearest(&self, now: Micros) -> Vec<Part> {
        let mut items: Vec<(u8, Micros, Part)> = Vec::new();
        for (destination, judgement) in &self.known.judgements {
            for item in judgement.items() {
                let at = match item {
                    Evidence::Failure(_, bad) => bad.at,
                    Evidence::Cleared(_, _, at) => at,
                    Evidence::Limit(limit) => limit.at,
                    Evidence::Wait(until) if until > now => now,
                    Evidence::Wait(_) => continue,
                };
                items.push((dearness(&item), now.saturating_sub(at), Part::Known(*destination, item)));
            }
        }
        items.sort_by_key(|item| (item.0, item.1));
        items.into_iter().map(|item| item.2).collect()
    }

    fn tell_all_to(&mut self, to: MemberIndex, notes: usize, now: Micros) {
        let parts = self.dearest(now);
        // Some 13 of them fit into a note.
        for parts in parts.chunks(12).take(notes) {
            self.ready.push((to, parts.to_vec()));
        }
    }

    fn counts_to_tell(&mut self, now: Micros) -> Vec<Part> {
        let own = self.counts.own(now).into_iter().take(COUNTS_TOLD);
        own.map(|(destination, count)| Part::Counts(destination, count)).collect()
    }

    /// What this sender needs of its even part of a destination's limit, as a share of it: more than one where it has more to
    /// send than its part allows. It borrows where it is short and the limit too, and lends what it does not need.
    pub fn report_demand(&mut self, destination: u16, share: f64, short: bool, now: Micros) {
        if !self.law.quota_transfer || !self.room_for(destination) {
            return;
        }
        let may_use = self.rights.may_use(destination, now);
        let needed = (share.clamp(0.0, 64.0) * f64::from(EVEN)) as u32;
        let own = self.own.entry(destination).or_default();
        (own.spare, own.spare_at) = (may_use.saturating_sub(needed.saturating_mul(2)), now);
        let due = own.borrowed_at.is_none_or(|at| now >= at + BORROW_EVERY);
        if short && needed > may_use && due && !self.view.alone(now) {
            own.borrowed_at = Some(now);
            let each = (needed - may_use).div_ceil(LENDERS as u32).clamp(EVEN / 16, EVEN - rights::KEPT);
            for to in self.pick(LENDERS) {
                if let Some(ask) = self.rights.ask(destination, each, now) {
                    self.ready.push((to, vec![Part::Borrow(destination, ask, each)]));
                }
            }
        }
    }

    fn lend(&mut self, to: MemberIndex, destination: u16, ask: u32, wanted: u32, now: Micros) {
        // One that was never asked for here has all of its part to spare; one that this sender needs was told of a moment ago.
        let spare = match self.own.get(&destination) {
            Some(own) if now < own.spare_at + 2 * BORROW_EVERY => own.spare,
            _ => EVEN,
        };
        if !self.law.quota_transfer || self.view.alone(now) {
            return;
        }
        if let Some(units) = self.rights.lend(to, destination, ask, wanted, spare, now) {
            self.ready.push((to, vec![Part::Lend(ask, units)]));
        }
    }

    /// Others that are believed to be there, by chance.
    fn pick(&mut self, count: usize) -> Vec<MemberIndex> {
        let mut picked = BTreeSet::new();
        for _ in 0..4 * count {
            let rank = self.rng.u16(0..self.law.senders.max(1));
            if rank != self.law.member && self.view.state(rank) != State::Gone {
                picked.insert(rank);
            }
            if picked.len() == count {
                break;
            }
        }
        picked.into_iter().collect()
    }

    /// What is to be said now: to one, or to all.
    pub fn publish(&mut self, now: Micros) -> Vec<(Option<MemberIndex>, Vec<u8>)> {
        self.purse.turn(now);
        let mut notes = Vec::new();
        if self.wants_everything > 0 && self.law.senders > 1 {
            self.wants_everything -= 1;
            for to in self.pick(1) {
                self.ready.push((to, vec![Part::Everything]));
            }
        }
        let (todo, members) = self.view.check_timeouts(now, &mut self.rng);
        for (rank, run, state) in members {
            self.members.push((rank, run, state, self.rounds() + 2));
        }
        todo.into_iter().for_each(|todo| self.ask(todo, now));
        if now < self.warm_until && now >= self.ask_at {
            self.ask_at = now + PERIOD;
            if let Some(todo) = self.view.ping_next(now, &mut self.rng) {
                self.ask(todo, now);
            }
        }
        for (to, parts) in std::mem::take(&mut self.ready) {
            self.write(Some(to), parts, now, &mut notes);
        }
        self.tell_news(now, &mut notes);
        notes
    }

    fn ask(&mut self, todo: Ping, now: Micros) {
        match todo {
            Ping::Direct(to, number) => {
                let mut parts = vec![Part::Ask(number, self.known.digest(now))];
                for (rank, run, state, left) in &mut self.members {
                    *left = left.saturating_sub(1);
                    parts.push(Part::Member(*rank, *run, *state));
                }
                // Whoever is asked hears what is said of it, so that it can answer for itself.
                if self.view.state(to) != State::Alive {
                    let run =
                        self.view.missing().find(|m| m.0 == to).map_or(0, |_| self.view.incarnation_of(to));
                    parts.push(Part::Member(to, run, self.view.state(to)));
                }
                self.members.retain(|member| member.3 > 0);
                parts.extend(self.counts_to_tell(now));
                self.ready.push((to, parts));
            }
            Ping::Indirect(to, target, number) => self.ready.push((to, vec![Part::AskFor(target, number)])),
        }
    }

    /// News goes to all where that can be and there are bytes for it, else to a few who pass it on.
    fn tell_news(&mut self, now: Micros, notes: &mut Vec<(Option<MemberIndex>, Vec<u8>)>) {
        if self.outbox.news.is_empty() {
            return;
        }
        let parts: Vec<Part> =
            self.outbox.news.iter().map(|news| Part::Known(news.destination, news.item)).collect();
        let mut writer = Writer::new(self.view.incarnation(), now);
        let told = parts.iter().take_while(|part| writer.add(part)).count().max(1);
        let empty = writer.is_empty();
        let bytes = writer.finish();
        let others = usize::from(self.law.senders.saturating_sub(1));
        let all = self.law.broadcast && others > FAN_OUT;
        if !empty && all && self.purse.spend(bytes.len() * others) {
            self.said += (bytes.len() * others) as u64;
            notes.push((None, bytes));
            self.outbox.news.drain(..told.min(parts.len()));
            return;
        }
        // Without the bytes for all a few are told now, which the asks of others spread.
        for to in self.pick(FAN_OUT) {
            if !empty && self.purse.spend(bytes.len()) {
                self.said += bytes.len() as u64;
                notes.push((Some(to), bytes.clone()));
            }
        }
        for news in self.outbox.news.iter_mut().take(told) {
            news.rounds = news.rounds.saturating_sub(1);
        }
        self.outbox.news.retain(|news| news.rounds > 0);
    }

    /// Writes a note with as many of the parts as fit, if there are bytes for it.
    fn write(
        &mut self,
        to: Option<MemberIndex>,
        parts: Vec<Part>,
        now: Micros,
        notes: &mut Vec<(Option<MemberIndex>, Vec<u8>)>,
    ) {
        // Who is there is asked and answered whatever it costs, which is bounded by the period: a sender that says nothing for
        // want of bytes would be taken for gone. All else has to be paid for.
        let must = |part: &&Part| {
            matches!(part, Part::Ask(..) | Part::Answer(..) | Part::AskFor(..) | Part::Member(..))
        };
        let mut writer = Writer::new(self.view.incarnation(), now);
        let paid = self.purse.has >= NOTE_LIMIT as f64;
        let (first, more): (Vec<&Part>, Vec<&Part>) = parts.iter().partition(must);
        for part in first.into_iter().chain(more.into_iter().filter(|_| paid)) {
            // What does not fit is asked for again.
            writer.add(part);
        }
        if writer.is_empty() {
            return;
        }
        let bytes = writer.finish();
        self.purse.owe(bytes.len());
        self.said += bytes.len() as u64;
        notes.push((to, bytes));
    }

    /// Destinations that may be believed otherwise than was last asked, with what is believed now.
    pub fn take_changes(&mut self, now: Micros) -> Vec<(u16, Belief)> {
        let fallen_due: Vec<u16> = self
            .known
            .told
            .iter()
            .filter(|(destination, told)| **told != self.known.belief(**destination, now))
            .map(|(destination, _)| *destination)
            .collect();
        self.known.touched.extend(fallen_due);
        let mut changed = Vec::new();
        for destination in std::mem::take(&mut self.known.touched) {
            if let Some(judgement) = self.known.judgements.get_mut(&destination)
                && judgement.fade(now, LIMITS_FOR)
            {
                self.known.judgements.remove(&destination);
            }
            let belief = self.known.belief(destination, now);
            let before = self.known.told.get(&destination).copied().unwrap_or_default();
            if belief == Belief::default() {
                self.known.told.remove(&destination);
            } else {
                self.known.told.insert(destination, belief);
            }
            if belief != before {
                changed.push((destination, belief));
            }
        }
        changed
    }

    /// What is believed of a destination.
    pub fn belief(&self, destination: u16, now: Micros) -> Belief {
        self.known.belief(destination, now)
    }

    /// What may be used of a destination's limit, in even parts.
    pub fn quota_share(&self, destination: u16, now: Micros) -> f64 {
        if !self.law.quota_transfer {
            return 1.0;
        }
        f64::from(self.rights.may_use(destination, now)) / f64::from(EVEN)
    }

    /// What the fleet comes to at a destination.
    pub fn estimate(&mut self, destination: u16, now: Micros) -> Estimate {
        let present = self.view.present();
        self.counts.estimate(destination, present, now)
    }

    /// When something is to be said or believed otherwise.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        let ask = (now < self.warm_until).then_some(self.ask_at);
        let ready = (!self.ready.is_empty() || !self.outbox.news.is_empty()).then_some(now + 1_000);
        let beliefs =
            self.known.told.keys().filter_map(|d| self.known.judgements.get(d)?.next_change(now)).min();
        [ask, ready, self.view.next_due(), beliefs].into_iter().flatten().min()
    }

    /// Hears nobody, as far as it can tell.
    pub fn is_isolated(&self, now: Micros) -> bool {
        self.view.alone(now)
    }

    /// Who is there.
    pub fn membership(&self) -> &Membership {
        &self.view
    }

    /// Loans of units of limits.
    pub fn escrow(&self) -> &QuotaEscrow {
        &self.rights
    }

    /// Bytes that others were sent, and notes that were used for nothing.
    pub fn traffic(&self) -> (u64, u64) {
        (self.said, self.rejected)
    }

    /// All that is known, for operators.
    pub fn inspect(&self, now: Micros) -> Vec<DestinationReport> {
        let all: BTreeSet<u16> = self
            .known
            .judgements
            .keys()
            .copied()
            .chain(self.rights.loans(now).into_iter().map(|loan| loan.0))
            .collect();
        let shown = |destination| {
            let (borrowed, lent) = self.rights.borrowed_and_granted(destination, now);
            let items = self.known.judgements.get(&destination).map_or(vec![], |j| j.items().collect());
            let belief = self.belief(destination, now);
            let may_use = self.rights.may_use(destination, now);
            DestinationReport { destination, belief, items, may_use, borrowed, lent }
        };
        all.into_iter().map(shown).collect()
    }
}
