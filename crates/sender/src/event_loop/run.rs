//! The loop itself: it waits, collects events, runs an iteration and checks whether to end.

use std::rc::Rc;
use std::time::Duration;

use decision::interface::{Event, Micros};
use handover::HandoverState;
use sharding::ShardId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use super::shard::wait_for_messages;
use super::startup::Startup;
use super::{
    CLIENT_GRACE, EventLoop, EventLoopParts, ExitReason, HandedOverShard, SHUTDOWN_TIMEOUT,
    endpoints_of_attempts,
};
use crate::config::Config;
use crate::discovery::directory::SLICE_ENTRIES;
use crate::hand_over::socket::HandoverLink;
use crate::persistence::journal::JournalStore;
use crate::ports::{Frontend, Inbound};

/// The longest wait between two iterations.
const MAX_WAIT: Micros = 60_000_000;
/// Interval at which a shutdown, a waiting successor or a failed journal write is checked again.
const POLL_INTERVAL: Micros = 50_000;

/// Runs the event loop until the shutdown that was requested is complete, or a successor takes over.
///
/// # Errors
/// Fails when a frontend or the administrative address cannot listen.
pub async fn run(
    config: &Config,
    parts: EventLoopParts,
    inbound: UnboundedSender<Inbound>,
    events: &mut UnboundedReceiver<Inbound>,
) -> Result<ExitReason, String> {
    let (mut event_loop, startup) = EventLoop::new(config, parts, inbound);
    let Startup { mut recovery, frontends, frontends_started, receivers } = startup;
    let initial_list = event_loop.first_iteration(config, &mut recovery);
    event_loop.listen(config, &frontends, frontends_started)?;
    let watch = event_loop.spawn_platform_tasks(config, receivers, initial_list);

    let period = Duration::from_micros(config.settings.period);
    let mut last_iteration = Instant::now();
    loop {
        let first = event_loop.next_inbound(events).await;
        // The decision module relies on iterations being at least a period apart.
        sleep_until(last_iteration + period).await;
        last_iteration = Instant::now();
        event_loop.iterate(first, events, &frontends);
        if event_loop.is_finished(&frontends) {
            return Ok(ExitReason::Finished);
        }
        // A queued completion of an attempt would be lost between the two processes.
        let can_hand_over = events.is_empty() && event_loop.can_hand_over();
        let Some(successor) = event_loop.successor.take_if(|_| can_hand_over) else { continue };
        match event_loop
            .handover_state(frontends.iter().map(|frontend| frontend.requests()).max().unwrap_or(0))
        {
            Ok(state) => {
                watch.iter().for_each(JoinHandle::abort);
                return Ok(event_loop.into_hand_over(successor, state));
            }
            Err(error) => eprintln!("hand-over failed, this process continues: encoding the state: {error}"),
        }
    }
}

impl EventLoop {
    /// Waits for a message of another task or shard, or until something is due.
    async fn next_inbound(&self, events: &mut UnboundedReceiver<Inbound>) -> Option<Inbound> {
        let due = self.next_due().min(self.clock.now() + MAX_WAIT);
        tokio::select! {
            first = events.recv() => first,
            () = wait_for_messages(self.shard.as_ref()) => None,
            () = sleep_until(self.clock.instant(due)) => None,
        }
    }

    /// Returns when the next iteration is due if nothing arrives.
    fn next_due(&self) -> Micros {
        if self.directory.has_pending() {
            return 0;
        }
        let now = self.clock.now();
        let polls = self.shutdown_deadline.is_some()
            || self.successor.is_some()
            || !self.unwritten_records.is_empty();
        let due = [
            self.timers.first().map(|timer| timer.0),
            polls.then_some(now + POLL_INTERVAL),
            self.shard.as_ref().map(|shard| shard.next_due(now)),
            self.snapshot_store.as_ref().and_then(|store| store.next_due(now)),
        ];
        due.into_iter().flatten().min().unwrap_or(Micros::MAX / 2)
    }

    /// Runs one iteration: collects everything that has arrived or is due, and passes it to the decision module if
    /// there is anything.
    fn iterate(
        &mut self,
        first: Option<Inbound>,
        inbound: &mut UnboundedReceiver<Inbound>,
        frontends: &[Rc<dyn Frontend>],
    ) {
        self.iteration_time = self.clock.now();
        let mut events = Vec::new();
        self.receive_shard_messages(frontends, &mut events);
        first.into_iter().for_each(|message| self.handle_inbound(message, &mut events));
        while let Ok(message) = inbound.try_recv() {
            self.handle_inbound(message, &mut events);
        }
        if self.directory.has_pending() {
            events.push(self.directory.apply_slice(SLICE_ENTRIES, || endpoints_of_attempts(&self.journal)));
        }
        self.fire_timers(&mut events);
        self.update_leases(&mut events);
        // A destination that was attached needs a decision even if there is no event.
        if !events.is_empty()
            || !self.unwritten_records.is_empty()
            || std::mem::take(&mut self.destination_attached)
        {
            self.run_iteration(events);
        }
        self.finish_iteration();
        self.write_snapshot();
    }

    /// Adds an event for each timer that is due.
    fn fire_timers(&mut self, events: &mut Vec<Event>) {
        while let Some(timer) = self.timers.pop_first() {
            if timer.0 > self.iteration_time {
                self.timers.insert(timer);
                break;
            }
            events.push(Event::TimerFired(timer.1));
        }
    }

    /// Returns whether this event loop may end. Of several shards, each waits until all others may end too.
    fn is_finished(&self, frontends: &[Rc<dyn Frontend>]) -> bool {
        let may_end = self.may_end(frontends.iter().map(|frontend| frontend.open_connections()).sum());
        self.shard.as_ref().map_or(may_end, |shard| shard.group().set_done(self.shard_id(), may_end))
    }

    /// Returns whether a shutdown was requested and nothing is left that the next process could not do.
    fn may_end(&self, clients: usize) -> bool {
        let Some(deadline) = self.shutdown_deadline else { return false };
        let now = self.clock.now();
        let idle = self.journal.live().is_empty() && clients == 0;
        let clients_may_come = now < deadline - SHUTDOWN_TIMEOUT + CLIENT_GRACE;
        let nothing_in_flight =
            || self.directory.transports().iter().all(|transport| transport.attempts_in_flight() == 0);
        (idle && !clients_may_come && self.unwritten_records.is_empty())
            || (now >= deadline && nothing_in_flight())
    }

    /// Returns the id of this shard: the first if there is a single event loop.
    pub(super) fn shard_id(&self) -> ShardId {
        self.shard.as_ref().map_or(ShardId(0), super::Shard::id)
    }

    /// Ends this event loop. Returns the state for the successor and the parts that this process keeps.
    fn into_hand_over(self, successor: HandoverLink, state: HandoverState) -> ExitReason {
        let shard = match (self.shard, self.journal) {
            (Some(shard), JournalStore::Sharded(mut journal_part)) => {
                journal_part.close();
                let in_flight: Vec<_> = state.attempts_in_flight.iter().copied().map(Into::into).collect();
                let ids: Vec<_> = state.ids.iter().cloned().map(Into::into).collect();
                let remote_shards = Rc::new(shard.remote_shards(&in_flight, &ids));
                Some(Box::new(HandedOverShard { shard, journal_part, remote_shards }))
            }
            _ => None,
        };
        ExitReason::HandOver {
            successor,
            state: Box::new(state),
            outcome_counts: self.outcome_counts,
            gossip_socket: self.gossip_socket,
            shard,
        }
    }
}
