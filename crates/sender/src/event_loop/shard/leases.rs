//! What a shard may use of what belongs to the whole process.

use decision::interface::Event;

use crate::event_loop::EventLoop;

impl EventLoop {
    /// Leases what this iteration needs of what belongs to the whole process, before the module decides.
    pub(in crate::event_loop) fn update_leases(&mut self, events: &mut Vec<Event>) {
        let Some(member) = &mut self.shard else { return };
        let come = events
            .iter()
            .filter(|event| matches!(event, Event::Accepted(_) | Event::Recovered { .. }))
            .count();
        let (held, out, waiting) =
            (self.policy.pending_messages(), self.policy.calls_in_flight(), self.policy.queued_messages());
        // The module begins to shed load a sixteenth ahead of its capacity.
        let room_for = (held + come) * 16 / 15 + 2;
        let used: usize = self.directory.transports().iter().map(|carrier| carrier.connections()).sum();
        let (slots, messages, connections) = {
            let mut room = member.group().quotas();
            let slots = room.calls.update(member.id(), out, out + waiting + come);
            let messages = room.messages.update(member.id(), held, room_for);
            let more = slots.lease.saturating_sub(out).min(waiting + come);
            (slots, messages, room.connections.update(member.id(), used, used + more))
        };
        for leased in [&slots, &messages, &connections] {
            leased.concerned.iter().for_each(|core| member.group().mailbox(*core).wake());
        }
        if std::mem::replace(&mut member.leased_connections, connections.lease) != connections.lease {
            self.directory
                .transports()
                .iter()
                .for_each(|carrier| carrier.set_max_connections(connections.lease));
        }
        if member.announced_capacity != (slots.lease, messages.lease) {
            member.announced_capacity = (slots.lease, messages.lease);
            events.push(Event::CapacityChanged { max_calls: slots.lease, max_messages: messages.lease });
        }
    }
}
