//! Leases of capacity that all shards of the process share.

use decision::interface::Event;

use crate::event_loop::EventLoop;

impl EventLoop {
    /// Leases the calls, messages and connections that this iteration needs, before the decision module runs.
    pub(in crate::event_loop) fn update_leases(&mut self, events: &mut Vec<Event>) {
        let Some(shard) = &mut self.shard else { return };
        let arriving = events
            .iter()
            .filter(|event| matches!(event, Event::Accepted(_) | Event::Recovered { .. }))
            .count();
        let (pending, in_flight, queued) =
            (self.policy.pending_messages(), self.policy.calls_in_flight(), self.policy.queued_messages());
        // The decision module begins to shed load when all but a sixteenth of its capacity is used, so that the lease
        // has to exceed the number of messages by a fifteenth.
        let wanted_messages = (pending + arriving) * 16 / 15 + 2;
        let open_connections: usize =
            self.directory.transports().iter().map(|transport| transport.connections()).sum();
        let (calls, messages, connections) = {
            let mut quotas = shard.group().quotas();
            let calls = quotas.calls.update(shard.id(), in_flight, in_flight + queued + arriving);
            let messages = quotas.messages.update(shard.id(), pending, wanted_messages);
            let new_connections = calls.lease.saturating_sub(in_flight).min(queued + arriving);
            (
                calls,
                messages,
                quotas.connections.update(shard.id(), open_connections, open_connections + new_connections),
            )
        };
        for update in [&calls, &messages, &connections] {
            update.concerned.iter().for_each(|id| shard.group().mailbox(*id).wake());
        }
        if std::mem::replace(&mut shard.leased_connections, connections.lease) != connections.lease {
            self.directory
                .transports()
                .iter()
                .for_each(|transport| transport.set_max_connections(connections.lease));
        }
        if shard.announced_capacity != (calls.lease, messages.lease) {
            shard.announced_capacity = (calls.lease, messages.lease);
            events.push(Event::CapacityChanged { max_calls: calls.lease, max_messages: messages.lease });
        }
    }
}
