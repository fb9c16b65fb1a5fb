//! What this sender tells others of what it sees, and what it hears from them, put into the module's terms. Nothing is decided
//! here: what gossip counts for stands in `health`, beside the guards that it adds to.

use gossip::{FailureKind, Gossip, Observation};

use super::Policy;
use crate::health::{FailureCounts, MAX_FAILURES};
use crate::interface::{Action, DestinationId, Micros, Outcome, RouteId};

/// Notes that are used for nothing are told of so often.
const COMPLAIN_EVERY: Micros = 10_000_000;

impl Policy {
    /// What is shared is by destination; routes apart are a sender's own.
    fn gossip_of(&mut self, route: RouteId) -> Option<(&mut Gossip, u16)> {
        let (destination, None) = route else { return None };
        Some((self.gossip.as_mut()?, destination.0))
    }

    /// How a call ended, with failures and unexplained refusals in a row before and after it.
    pub(super) fn share_outcome(
        &mut self,
        route: RouteId,
        sent: Micros,
        outcome: Outcome,
        before: FailureCounts,
        after: FailureCounts,
    ) {
        let now = self.now;
        let failed = after.failures > before.failures;
        let seen = match outcome {
            Outcome::Delivered => Observation::Success(sent),
            // One that is a limit's, or no more than one lost connection, is no evidence.
            Outcome::Rejected(_)
                if after.unattributed_rejections > before.unattributed_rejections
                    && after.unattributed_rejections >= MAX_FAILURES =>
            {
                Observation::Failure(FailureKind::Shut, after.unattributed_rejections)
            }
            Outcome::Rejected(_) => Observation::Rejected,
            Outcome::Error if failed => Observation::Failure(FailureKind::Failing, after.failures),
            Outcome::TimedOut if failed => Observation::Failure(FailureKind::Silent, after.failures),
            Outcome::ConnectFailed | Outcome::Reset if failed => {
                Observation::Failure(FailureKind::Unreachable, after.failures)
            }
            _ => return,
        };
        if let Some((shared, destination)) = self.gossip_of(route) {
            shared.observe(destination, seen, now);
        }
    }

    /// A report told a limit.
    pub(super) fn share_limit(&mut self, route: RouteId, limit: f64) {
        let now = self.now;
        if let Some((shared, destination)) = self.gossip_of(route) {
            shared.observe_limit(destination, limit as f32, now);
        }
    }

    /// A destination told a wait.
    pub(super) fn share_wait(&mut self, route: RouteId, until: Micros) {
        let now = self.now;
        if let Some((shared, destination)) = self.gossip_of(route) {
            shared.observe_wait(destination, until, now);
        }
    }

    /// A note came.
    pub(super) fn receive_gossip(&mut self, from: u16, content: &[u8], actions: &mut Vec<Action>) {
        let Some(shared) = &mut self.gossip else { return };
        if let Err(why) = shared.receive(from, content, self.now)
            && self.now >= self.next_gossip_warning_at
        {
            self.next_gossip_warning_at = self.now + COMPLAIN_EVERY;
            let rejected = shared.traffic().rejected_messages;
            let line = format!("a note from sender {from} is used for nothing ({rejected} so far): {why}");
            actions.push(Action::Log(line));
        }
    }

    /// A destination that a message came for may have slept while others learnt of it.
    pub(super) fn recall_gossip(&mut self, destination: DestinationId) {
        let (Some(shared), Some(route)) = (&self.gossip, self.routes.get_mut(&(destination, None))) else {
            return;
        };
        let belief = shared.belief(destination.0, self.now);
        if belief.unhealthy.is_some() && !route.is_reported_unhealthy()
            || belief.wait_until > route.wait_until()
        {
            route.record_gossip(&belief, self.now);
        }
    }

    /// Routes hear what is believed otherwise now.
    pub(super) fn apply_gossip(&mut self, now: Micros) {
        let Some(shared) = &mut self.gossip else { return };
        for (destination, belief) in shared.take_changes(now) {
            let id = (DestinationId(destination), None);
            if let Some(route) = self.routes.get_mut(&id) {
                route.record_gossip(&belief, now);
                self.messages.queues.touch(id.0);
            }
        }
    }

    /// What is said now.
    pub(super) fn publish_gossip(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(shared) = &mut self.gossip else { return };
        for action in actions.iter() {
            if let Action::Attempt { message, .. } = action
                && let Some(held) = self.messages.get(message).filter(|held| held.attempts > 1)
            {
                shared.count_retry(held.message.destination.0, now);
            }
        }
        actions.extend(
            shared.publish(now).into_iter().map(|m| Action::SendGossip { to: m.to, content: m.content }),
        );
    }

    /// What is shared, for operators.
    pub fn gossip(&self) -> Option<&Gossip> {
        self.gossip.as_ref()
    }
}
