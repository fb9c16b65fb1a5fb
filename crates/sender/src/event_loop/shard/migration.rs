//! Migration of destinations between shards, and of all destinations to the first shard before a hand-over.

use std::collections::{BTreeMap, BTreeSet};

use decision::interface::{DestinationId, Micros};
use sharding::{AttemptId, DestinationLoad, Plan, ShardId};

use super::{PLAN_INTERVAL, PendingMigration};
use crate::event_loop::EventLoop;
use crate::persistence::journal::JournalStore;
use crate::shards::{MigratedDestination, ShardMessage};

impl EventLoop {
    /// Runs the migration planner when it is due. Only the first shard has one.
    pub(super) fn plan_migrations(&mut self, now: Micros) {
        let Some(shard) = &mut self.shard else { return };
        let Some((planner, due)) = shard.planner.as_mut().filter(|planner| planner.1 <= now) else { return };
        *due = now + PLAN_INTERVAL;
        let owners = &shard.owners;
        let loads: Vec<DestinationLoad> = shard
            .handle
            .group()
            .take_work()
            .into_iter()
            .map(|(destination, events)| DestinationLoad {
                destination,
                shard: owners.owner(destination),
                work: events.into(),
            })
            .collect();
        match planner.round(now, &loads) {
            Plan::Migrate(planned) => {
                planner.migrated(planned);
                shard.imbalance_logged = false;
                let message = ShardMessage::MigrateTo { destination: planned.destination, to: planned.to };
                if planned.from == shard.handle.id() {
                    shard.schedule_migration(planned.destination, planned.to, now);
                } else {
                    shard.handle.send(planned.from, message);
                }
            }
            Plan::Hotspot { shard: busiest_shard, destination, share } if !shard.imbalance_logged => {
                shard.imbalance_logged = true;
                eprintln!(
                    "core {} is busier than the others and no migration can balance the load: \
                     {:.0}% of its work is for destination {destination}",
                    busiest_shard.0,
                    share * 100.0
                );
            }
            Plan::Hotspot { .. } => {}
            Plan::Stay => shard.imbalance_logged = false,
        }
    }

    /// Detaches the destination that is to migrate, as soon as this is possible.
    pub(super) fn run_pending_migration(&mut self, now: Micros) {
        let Some(shard) = &mut self.shard else { return };
        if let Some(PendingMigration { destination, to, deadline }) = shard.pending_migration.take() {
            let to_itself = to == shard.id() || to.index() >= shard.group().count();
            if to_itself || !shard.owns(destination) || self.shutdown_deadline.is_some() {
                shard.group().migration_failed();
            } else if !self.detach_destination(destination, to) {
                let Some(shard) = &mut self.shard else { return };
                if now < deadline {
                    shard.pending_migration = Some(PendingMigration { destination, to, deadline });
                } else {
                    eprintln!(
                        "migration of destination {destination} cancelled, it stays on this core: \
                         it could not be detached within the time limit"
                    );
                    shard.group().migration_failed();
                }
            }
        }
        self.gather_on_first_shard();
    }

    /// Migrates all destinations of this shard to the first one, which is about to hand over: first those that this
    /// shard has state of, one by one, then all others by one change of the ownership map.
    fn gather_on_first_shard(&mut self) {
        let Some(shard) = self.shard.as_ref().filter(|shard| shard.gathering) else { return };
        let owners = shard.group().owners();
        let observed = self.policy.observed_destinations().into_iter().map(|destination| destination.0);
        let pending = self.journal.live().values().map(|live| live.message.destination);
        let destinations: BTreeSet<u16> =
            observed.chain(pending).filter(|destination| owners.owner(*destination) == shard.id()).collect();
        if destinations.into_iter().all(|destination| self.detach_destination(destination, ShardId(0)))
            && let Some(shard) = &mut self.shard
        {
            shard.gathering = false;
            shard.group().gathered(shard.id());
            eprintln!("core {}: all destinations migrated to core 0 for the hand-over", shard.id().0);
        }
    }

    /// Returns whether all destinations of other shards have migrated here, so that this shard can hand over.
    pub(in crate::event_loop) fn has_all_destinations(&self) -> bool {
        self.shard
            .as_ref()
            .is_none_or(|shard| shard.owners.all_drained() && shard.pending_migration.is_none())
    }

    /// Requests the other shards to migrate all their destinations to the first one.
    pub(in crate::event_loop) fn request_gather(&mut self) {
        let Some(shard) = &self.shard else { return };
        shard.others().for_each(|id| shard.handle.send(id, ShardMessage::Gather));
    }

    /// Detaches a destination and sends it to another shard. Returns false if that is not possible now.
    fn detach_destination(&mut self, destination: u16, to: ShardId) -> bool {
        // Records, answers and notifications that are not complete yet do not migrate: an abandoned message stays here
        // until its notification is acknowledged.
        let abandoned = |live: &journal::PendingMessage| {
            live.message.destination == destination && live.abandoned.is_some()
        };
        let written = self.unwritten_records.is_empty()
            && self.submissions.is_empty()
            && self.pending_notifications.is_empty();
        if !written || self.directory.has_pending() || self.journal.live().values().any(abandoned) {
            return false;
        }
        let Some(shard) = &mut self.shard else { return false };
        let state = match self.policy.detach(DestinationId(destination)) {
            Ok(state) => state,
            Err(refused) => {
                eprintln!("destination {destination} can't migrate now and stays on this core: {refused}");
                return false;
            }
        };
        let names = state.endpoints().into_iter().map(|id| (id, self.directory.name(id))).collect();
        let numbers: Vec<u32> = state.messages().map(|message| message.0).collect();
        let mut pending_messages = Vec::new();
        if let JournalStore::Sharded(journal_part) = &mut self.journal {
            pending_messages = journal_part.detach(numbers.iter().copied());
        }
        let mut requests = Vec::new();
        for (number, live) in &pending_messages {
            if let Some((_, request)) = self.pending_by_id.remove(&live.message.id) {
                requests.push((live.message.id.clone(), *number, request));
            }
        }
        let attempts =
            numbers.iter().filter_map(|number| Some((*number, self.attempts.remove(number)?))).collect();
        let connections = shard.router.detach(
            state.attempts_in_flight().map(|(message, attempt, _)| AttemptId::new(message.0, attempt)),
        );
        let (calls, messages) = (state.calls(), numbers.len());
        {
            let mut quotas = shard.group().quotas();
            quotas.calls.transfer(shard.id(), to, calls);
            quotas.messages.transfer(shard.id(), to, messages);
        }
        let migration =
            MigratedDestination { state, names, messages: pending_messages, requests, attempts, connections };
        match shard.handle.send_now(to, ShardMessage::Migrate(Box::new(migration))) {
            // After the state was sent: a shard that reads the new owner from the map finds the state there.
            Ok(()) => {
                shard.detached += 1;
                shard.publish_at = 0;
                shard.group().migrated(destination, to);
                let own_id = shard.id().0;
                eprintln!(
                    "core {own_id}: destination {destination} migrated to core {} \
                     with {messages} messages and {calls} calls in flight",
                    to.0
                );
                true
            }
            Err(ShardMessage::Migrate(migration)) => {
                let mut quotas = shard.group().quotas();
                quotas.calls.transfer(to, shard.id(), calls);
                quotas.messages.transfer(to, shard.id(), messages);
                drop(quotas);
                self.attach_destination(*migration);
                false
            }
            Err(_) => false,
        }
    }

    /// Attaches a destination that another shard detached.
    pub(super) fn attach_destination(&mut self, migration: MigratedDestination) {
        let MigratedDestination { state, names, messages: pending_messages, requests, attempts, connections } =
            migration;
        let Some(shard) = &mut self.shard else { return };
        let mut ids = BTreeMap::new();
        for (id, name) in names {
            // An endpoint whose name the other shard has dropped gets an id that no other endpoint has.
            let placeholder_name = || format!("?{id:?} of core {}", shard.id().0);
            let local_id = match name.is_empty() {
                true => self.directory.id_of_attempt(&placeholder_name()),
                false => {
                    self.directory.listed_id(&name).unwrap_or_else(|| self.directory.id_of_attempt(&name))
                }
            };
            ids.insert(id, local_id);
        }
        if let JournalStore::Sharded(journal_part) = &mut self.journal {
            journal_part.attach(pending_messages);
        }
        self.pending_by_id.extend(requests.into_iter().map(|(id, number, request)| (id, (number, request))));
        self.attempts.extend(attempts);
        shard.router.attach(connections);
        shard.attached += 1;
        shard.publish_at = 0;
        self.policy.attach(state.rename(&ids));
        self.destination_attached = true;
    }
}
