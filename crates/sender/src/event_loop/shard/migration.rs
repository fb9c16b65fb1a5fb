//! Destinations that migrate between shards, and those that gather on the first one before a hand-over.

use std::collections::{BTreeMap, BTreeSet};

use decision::interface::{DestinationId, Micros};
use sharding::{AttemptId, DestinationLoad, Plan, ShardId};

use super::{PLAN_INTERVAL, PendingMigration};
use crate::event_loop::EventLoop;
use crate::persistence::journal::JournalStore;
use crate::shards::{MigratedDestination, ShardMessage};

impl EventLoop {
    /// Plans now and then which destination should migrate, on the first shard.
    pub(super) fn plan_migrations(&mut self, now: Micros) {
        let Some(member) = &mut self.shard else { return };
        let Some((planner, at)) = member.planner.as_mut().filter(|planner| planner.1 <= now) else { return };
        *at = now + PLAN_INTERVAL;
        let owners = &member.owners;
        let loads: Vec<DestinationLoad> = member
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
            Plan::Migrate(advised) => {
                planner.migrated(advised);
                member.imbalance_logged = false;
                let say = ShardMessage::MigrateTo { destination: advised.destination, to: advised.to };
                if advised.from == member.handle.id() {
                    member.schedule_migration(advised.destination, advised.to, now);
                } else {
                    member.handle.send(advised.from, say);
                }
            }
            Plan::Hotspot { shard: core, destination, share } if !member.imbalance_logged => {
                member.imbalance_logged = true;
                eprintln!(
                    "core {} is busier than the others and no move helps: {:.0}% of its work is for destination {destination}",
                    core.0,
                    share * 100.0
                );
            }
            Plan::Hotspot { .. } => {}
            Plan::Stay => member.imbalance_logged = false,
        }
    }

    /// Detaches the destination that is to migrate, as soon as it can be.
    pub(super) fn run_pending_migration(&mut self, now: Micros) {
        let Some(member) = &mut self.shard else { return };
        if let Some(PendingMigration { destination, to, deadline: until }) = member.pending_migration.take() {
            let to_itself = to == member.id() || to.index() >= member.group().count();
            if to_itself || !member.owns(destination) || self.shutdown_deadline.is_some() {
                member.group().migration_failed();
            } else if !self.detach_destination(destination, to) {
                let Some(member) = &mut self.shard else { return };
                if now < until {
                    member.pending_migration = Some(PendingMigration { destination, to, deadline: until });
                } else {
                    eprintln!("destination {destination} stays: something of it is not written or said yet");
                    member.group().migration_failed();
                }
            }
        }
        self.gather_on_first_shard();
    }

    /// Migrates all that this shard has to the first, which is to hand over: what it knows first, and then,
    /// by one change of the ownership map, what it never heard of.
    fn gather_on_first_shard(&mut self) {
        let Some(member) = self.shard.as_ref().filter(|member| member.gathering) else { return };
        let owners = member.group().owners();
        let of_module = self.policy.observed_destinations().into_iter().map(|destination| destination.0);
        let held = self.journal.live().values().map(|live| live.message.destination);
        let all: BTreeSet<u16> = of_module.chain(held).filter(|d| owners.owner(*d) == member.id()).collect();
        if all.into_iter().all(|destination| self.detach_destination(destination, ShardId(0)))
            && let Some(member) = &mut self.shard
        {
            member.gathering = false;
            member.group().gathered(member.id());
            eprintln!("core {} has given all it had to core 0", member.id().0);
        }
    }

    /// Whether all that other shards had is here, so that a successor can be told.
    pub(in crate::event_loop) fn has_all_destinations(&self) -> bool {
        self.shard
            .as_ref()
            .is_none_or(|member| member.owners.all_drained() && member.pending_migration.is_none())
    }

    /// Asks the other shards to migrate all that they have here.
    pub(in crate::event_loop) fn request_gather(&mut self) {
        let Some(member) = &self.shard else { return };
        member.others().for_each(|core| member.handle.send(core, ShardMessage::Gather));
    }

    /// Detaches a destination, if that can be now.
    fn detach_destination(&mut self, destination: u16, to: ShardId) -> bool {
        // Guards what is written or sent in part: an abandoned message stays until its notification is
        // acknowledged.
        let given_up = |live: &journal::PendingMessage| {
            live.message.destination == destination && live.abandoned.is_some()
        };
        let written = self.unwritten_records.is_empty()
            && self.submissions.is_empty()
            && self.pending_notifications.is_empty();
        if !written || self.directory.has_pending() || self.journal.live().values().any(given_up) {
            return false;
        }
        let Some(member) = &mut self.shard else { return false };
        let parcel = match self.policy.detach(DestinationId(destination)) {
            Ok(parcel) => parcel,
            Err(stays) => {
                eprintln!("destination {destination} stays: {stays}");
                return false;
            }
        };
        let names = parcel.endpoints().into_iter().map(|id| (id, self.directory.name(id))).collect();
        let numbers: Vec<u32> = parcel.messages().map(|message| message.0).collect();
        let mut lives = Vec::new();
        if let JournalStore::Sharded(part) = &mut self.journal {
            lives = part.detach(numbers.iter().copied());
        }
        let mut held = Vec::new();
        for (number, live) in &lives {
            if let Some((_, request)) = self.pending_by_id.remove(&live.message.id) {
                held.push((live.message.id.clone(), *number, request));
            }
        }
        let attempts = numbers.iter().filter_map(|n| Some((*n, self.attempts.remove(n)?))).collect();
        let connections = member.router.detach(
            parcel.attempts_in_flight().map(|(message, attempt, _)| AttemptId::new(message.0, attempt)),
        );
        let (calls, messages) = (parcel.calls(), numbers.len());
        {
            let mut room = member.group().quotas();
            room.calls.transfer(member.id(), to, calls);
            room.messages.transfer(member.id(), to, messages);
        }
        let bundle = MigratedDestination {
            state: parcel,
            names,
            messages: lives,
            requests: held,
            attempts,
            connections,
        };
        match member.handle.send_now(to, ShardMessage::Migrate(Box::new(bundle))) {
            // Behind the migrated state: whoever reads the new owner finds the state there.
            Ok(()) => {
                member.detached += 1;
                member.publish_at = 0;
                member.group().migrated(destination, to);
                let me = member.id().0;
                eprintln!(
                    "core {me} hands destination {destination} to core {}: {messages} messages, {calls} calls out",
                    to.0
                );
                true
            }
            Err(ShardMessage::Migrate(bundle)) => {
                let mut room = member.group().quotas();
                room.calls.transfer(to, member.id(), calls);
                room.messages.transfer(to, member.id(), messages);
                drop(room);
                self.attach_destination(*bundle);
                false
            }
            Err(_) => false,
        }
    }

    /// Goes on with a destination that another shard detached.
    pub(super) fn attach_destination(&mut self, bundle: MigratedDestination) {
        let MigratedDestination {
            state: parcel,
            names,
            messages: lives,
            requests: held,
            attempts,
            connections,
        } = bundle;
        let Some(member) = &mut self.shard else { return };
        let mut ids = BTreeMap::new();
        for (id, name) in names {
            // One that its own shard has no name for any more is like no other here.
            let stray = || format!("?{id:?} of core {}", member.id().0);
            let ours = match name.is_empty() {
                true => self.directory.id_of_attempt(&stray()),
                false => {
                    self.directory.listed_id(&name).unwrap_or_else(|| self.directory.id_of_attempt(&name))
                }
            };
            ids.insert(id, ours);
        }
        if let JournalStore::Sharded(part) = &mut self.journal {
            part.attach(lives);
        }
        self.pending_by_id.extend(held.into_iter().map(|(id, number, request)| (id, (number, request))));
        self.attempts.extend(attempts);
        member.router.attach(connections);
        member.attached += 1;
        member.publish_at = 0;
        self.policy.attach(parcel.rename(&ids));
        self.destination_attached = true;
    }
}
