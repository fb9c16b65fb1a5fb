//! Who is there, after SWIM: each asks another now and then, and before it suspects one that does not answer, it has two others
//! ask. One that is suspected is asked again and again until it answers or is taken for gone. Unlike SWIM, nobody takes another's
//! word for it that one is gone: whoever hears so suspects, and asks itself. What is believed of a sender is ordered by its run,
//! which it raises whenever it hears itself called anything but alive. One that hears nobody suspects itself, and calls nobody
//! anything.
//!
//! Bounds: one that ended is gone for whoever asks it next [`ASK_LASTS`] and [`SUSPECTED_FOR`] after that, and for those that it
//! tells [`SUSPECTED_FOR`] later. At loss `p` of each note, one that lives is suspected by a round of asking with
//! (1 - (1 - p)^2) (1 - (1 - p)^4)^2, one in 8 at a fifth; it is taken for gone if none of six further asks is answered, with
//! (1 - (1 - p)^2)^6 of that: one in 3,700 asks.

use std::collections::BTreeMap;

use crate::{MemberIndex, Micros};

/// Until two others are asked to ask.
pub const ANSWERS_WITHIN: Micros = 300_000;
/// Until one that nobody has an answer of is suspected.
pub const ASK_LASTS: Micros = 3 * ANSWERS_WITHIN;
/// Until one that is suspected, and says nothing against it, is taken for gone.
pub const SUSPECTED_FOR: Micros = 3_000_000;
/// One that is suspected is asked so often.
pub const ASKED_AGAIN: Micros = 500_000;
/// Asks in a row without an answer, and so long without a note from anybody, after which a sender suspects itself.
pub const ALONE_AFTER: (u32, Micros) = (3, 2_000_000);

/// What is believed of a sender in one run of it; the later outranks the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It is there, as far as is known.
    Alive,
    /// It does not answer.
    Suspected,
    /// It is not there.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Member {
    run: u32,
    state: State,
    since: Micros,
    /// When it was last asked for being suspected.
    asked_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Ask {
    target: MemberIndex,
    at: Micros,
    others_asked: bool,
    /// Of one that is suspected already: no answer says nothing more.
    again: bool,
}

/// What a note shows of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderStatus {
    /// It was taken to be there.
    AsBelieved,
    /// It was not.
    Back,
    /// It does not know of a higher run of its own.
    Behind,
}

/// What is to be asked of whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ping {
    /// Ask this one.
    Direct(MemberIndex, u32),
    /// Ask the first to ask the second.
    Indirect(MemberIndex, MemberIndex, u32),
}

/// Who is there.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberIndex,
    senders: MemberIndex,
    run: u32,
    members: BTreeMap<MemberIndex, Member>,
    asks: BTreeMap<u32, Ask>,
    asked: u32,
    /// Those still to be asked in this round, each once.
    order: Vec<MemberIndex>,
    unanswered: u32,
    heard_at: Micros,
}

impl Membership {
    /// All are taken to be there until something is known.
    pub fn new(me: MemberIndex, senders: MemberIndex, run: u32, now: Micros) -> Self {
        let (members, asks, order) = (BTreeMap::new(), BTreeMap::new(), Vec::new());
        Self { me, senders, run, members, asks, asked: 0, order, unanswered: 0, heard_at: now }
    }

    /// This process's run.
    pub fn incarnation(&self) -> u32 {
        self.run
    }

    /// What is believed of a sender.
    pub fn state(&self, rank: MemberIndex) -> State {
        self.members.get(&rank).map_or(State::Alive, |member| member.state)
    }

    /// The run in which a sender was last known.
    pub fn incarnation_of(&self, rank: MemberIndex) -> u32 {
        self.members.get(&rank).map_or(0, |member| member.run)
    }

    /// Senders that are not taken for gone, this one counted.
    pub fn present(&self) -> usize {
        let gone = self.members.values().filter(|member| member.state == State::Gone).count();
        usize::from(self.senders).saturating_sub(gone).max(1)
    }

    /// Those not believed to be there, with since when.
    pub fn missing(&self) -> impl Iterator<Item = (MemberIndex, State, Micros)> + '_ {
        let missing = self.members.iter().filter(|(_, member)| member.state != State::Alive);
        missing.map(|(rank, member)| (*rank, member.state, member.since))
    }

    /// Hears nobody: it is this sender that is cut off, as far as it can tell.
    pub fn alone(&self, now: Micros) -> bool {
        self.senders > 1 && self.unanswered >= ALONE_AFTER.0 && now >= self.heard_at + ALONE_AFTER.1
    }

    /// A note came from a sender in that run.
    pub fn message_received(&mut self, from: MemberIndex, run: u32, now: Micros) -> SenderStatus {
        (self.heard_at, self.unanswered) = (now, 0);
        let before = self.members.get(&from).copied();
        // What was said of an earlier run, or of this one by others, its own note outranks here; what others say again of
        // this run it has to answer by a higher one.
        if before.is_some_and(|before| before.run > run) {
            return SenderStatus::Behind;
        }
        self.members.insert(from, Member { run, state: State::Alive, since: now, asked_at: 0 });
        if before.is_some_and(|before| before.state != State::Alive) {
            SenderStatus::Back
        } else {
            SenderStatus::AsBelieved
        }
    }

    /// Another says that of a sender. True where it is news. Of itself it hears no worse than that it is there.
    pub fn update_received(&mut self, rank: MemberIndex, run: u32, state: State, now: Micros) -> bool {
        if rank == self.me {
            let raised = run >= self.run && (state != State::Alive || run > self.run);
            if raised {
                self.run = run.wrapping_add(1);
            }
            return raised;
        }
        if rank >= self.senders {
            return false;
        }
        // Nobody's word is taken that one is gone.
        let state = state.min(State::Suspected);
        let before = self.members.get(&rank).map(|member| (member.run, member.state));
        let news = before.map_or(state != State::Alive, |before| (run, state) > before);
        if news {
            self.members.insert(rank, Member { run, state, since: now, asked_at: 0 });
        }
        news
    }

    /// The next to be asked: each once in a round, in an order that is drawn anew.
    fn next_target(&mut self, rng: &mut fastrand::Rng) -> Option<MemberIndex> {
        if self.order.is_empty() {
            self.order = (0..self.senders).filter(|rank| *rank != self.me).collect();
            rng.shuffle(&mut self.order);
        }
        // One that is gone is asked now and then all the same: it may be back.
        let target = self.order.pop()?;
        if self.state(target) == State::Gone && rng.u8(..4) > 0 { self.order.pop() } else { Some(target) }
    }

    /// Asks the next.
    pub fn ping_next(&mut self, now: Micros, rng: &mut fastrand::Rng) -> Option<Ping> {
        let target = self.next_target(rng)?;
        self.asked = self.asked.wrapping_add(1);
        self.asks.insert(self.asked, Ask { target, at: now, others_asked: false, again: false });
        Some(Ping::Direct(target, self.asked))
    }

    /// Somebody answered that ask, itself or through another.
    pub fn ack_received(&mut self, ask: u32, now: Micros) -> bool {
        let Some(ask) = self.asks.remove(&ask) else { return false };
        let run = self.members.get(&ask.target).map_or(0, |member| member.run);
        self.message_received(ask.target, run, now);
        true
    }

    /// What asks that nobody answers come to: others to ask, and those who are suspected or gone now.
    pub fn check_timeouts(
        &mut self,
        now: Micros,
        rng: &mut fastrand::Rng,
    ) -> (Vec<Ping>, Vec<(MemberIndex, u32, State)>) {
        let (mut todo, mut news) = (Vec::new(), Vec::new());
        let due: Vec<u32> =
            self.asks.iter().filter(|(_, ask)| ask.at + ANSWERS_WITHIN <= now).map(|a| *a.0).collect();
        for number in due {
            let Some(ask) = self.asks.get_mut(&number) else { continue };
            if ask.again {
                self.asks.remove(&number);
            } else if !std::mem::replace(&mut ask.others_asked, true) {
                let target = ask.target;
                let others: Vec<_> = (0..self.senders)
                    .filter(|rank| ![self.me, target].contains(rank) && self.state(*rank) == State::Alive)
                    .collect();
                let picked = rng.choose_multiple(others, 2);
                todo.extend(picked.into_iter().map(|other| Ping::Indirect(other, target, number)));
            } else if ask.at + ASK_LASTS <= now {
                let target = ask.target;
                self.asks.remove(&number);
                self.unanswered += 1;
                let run = self.members.get(&target).map_or(0, |member| member.run);
                if !self.alone(now) && self.unanswered < ALONE_AFTER.0 {
                    self.update_received(target, run, State::Suspected, now);
                }
            }
        }
        if !self.alone(now) {
            let late: Vec<_> = self
                .members
                .iter()
                .filter(|(_, m)| m.state == State::Suspected && m.since + SUSPECTED_FOR <= now)
                .map(|(rank, m)| (*rank, m.run))
                .collect();
            for (rank, run) in late {
                self.members.insert(rank, Member { run, state: State::Gone, since: now, asked_at: 0 });
                news.push((rank, run, State::Gone));
            }
            let suspected = self.members.iter_mut().filter(|(_, m)| m.state == State::Suspected);
            for (rank, member) in suspected.filter(|(_, m)| m.asked_at + ASKED_AGAIN <= now) {
                member.asked_at = now;
                self.asked = self.asked.wrapping_add(1);
                self.asks
                    .insert(self.asked, Ask { target: *rank, at: now, others_asked: false, again: true });
                todo.push(Ping::Direct(*rank, self.asked));
            }
        }
        (todo, news)
    }

    /// When [`Self::look`] has something to do.
    pub fn next_due(&self) -> Option<Micros> {
        let asks =
            self.asks.values().map(|ask| ask.at + if ask.others_asked { ASK_LASTS } else { ANSWERS_WITHIN });
        let suspected = self.members.values().filter(|m| m.state == State::Suspected);
        asks.chain(suspected.map(|m| (m.since + SUSPECTED_FOR).min(m.asked_at + ASKED_AGAIN))).min()
    }
}
