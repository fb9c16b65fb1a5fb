//! Translates between the policy and the gossip among senders: publishes this sender's observations and
//! applies those of others. No decisions are made here: the effect of gossip on a route is defined in
//! `health`.

use gossip::{FailureKind, Gossip, Observation};

use super::Policy;
use crate::health::{FailureCounts, MAX_FAILURES};
use crate::interface::{Action, DestinationId, Micros, Outcome, RouteId};

/// Shortest time between two warnings about rejected gossip messages.
const GOSSIP_WARNING_INTERVAL: Micros = 10_000_000;

impl Policy {
    /// Returns the gossip state and the destination's number. Gossip is by destination: `None` for separate
    /// routes, whose health each sender keeps to itself.
    fn gossip_for(&mut self, route: RouteId) -> Option<(&mut Gossip, u16)> {
        let (destination, None) = route else { return None };
        Some((self.gossip.as_mut()?, destination.0))
    }

    /// Publishes the outcome of a call, given the consecutive failures and unexplained rejections before and
    /// after it.
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
        let observation = match outcome {
            Outcome::Delivered => Observation::Success(sent),
            // A rejection that a limit explains, or a single lost connection, is no evidence of an outage.
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
        if let Some((gossip, destination)) = self.gossip_for(route) {
            gossip.observe(destination, observation, now);
        }
    }

    /// Publishes a limit that a load report stated.
    pub(super) fn share_limit(&mut self, route: RouteId, limit: f64) {
        let now = self.now;
        if let Some((gossip, destination)) = self.gossip_for(route) {
            gossip.observe_limit(destination, limit as f32, now);
        }
    }

    /// Publishes a Retry-After of a destination.
    pub(super) fn share_wait(&mut self, route: RouteId, until: Micros) {
        let now = self.now;
        if let Some((gossip, destination)) = self.gossip_for(route) {
            gossip.observe_wait(destination, until, now);
        }
    }

    /// Receives a gossip message. Rejected ones are counted, with at most one warning per
    /// [`GOSSIP_WARNING_INTERVAL`].
    pub(super) fn receive_gossip(&mut self, from: u16, content: &[u8], actions: &mut Vec<Action>) {
        let Some(gossip) = &mut self.gossip else { return };
        if let Err(error) = gossip.receive(from, content, self.now)
            && self.now >= self.next_gossip_warning_at
        {
            self.next_gossip_warning_at = self.now + GOSSIP_WARNING_INTERVAL;
            let rejected = gossip.traffic().rejected_messages;
            let line = format!("rejected a gossip message from sender {from} ({rejected} so far): {error}");
            actions.push(Action::Log(line));
        }
    }

    /// Applies what other senders reported about a destination while it was idle. Called when a message for
    /// it is accepted or recovered.
    pub(super) fn recall_gossip(&mut self, destination: DestinationId) {
        let (Some(gossip), Some(route)) = (&self.gossip, self.routes.get_mut(&(destination, None))) else {
            return;
        };
        let belief = gossip.belief(destination.0, self.now);
        if belief.unhealthy.is_some() && !route.is_reported_unhealthy()
            || belief.wait_until > route.wait_until()
        {
            route.record_gossip(&belief, self.now);
        }
    }

    /// Applies changed beliefs to their routes.
    pub(super) fn apply_gossip(&mut self, now: Micros) {
        let Some(gossip) = &mut self.gossip else { return };
        for (destination, belief) in gossip.take_changes(now) {
            let id = (DestinationId(destination), None);
            if let Some(route) = self.routes.get_mut(&id) {
                route.record_gossip(&belief, now);
                self.messages.queues.touch(id.0);
            }
        }
    }

    /// Publishes what is due, after counting this iteration's retries.
    pub(super) fn publish_gossip(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(gossip) = &mut self.gossip else { return };
        for action in actions.iter() {
            if let Action::Attempt { message, .. } = action
                && let Some(pending) = self.messages.get(message).filter(|pending| pending.attempts > 1)
            {
                gossip.count_retry(pending.message.destination.0, now);
            }
        }
        actions.extend(
            gossip.publish(now).into_iter().map(|m| Action::SendGossip { to: m.to, content: m.content }),
        );
    }

    /// Returns the gossip state, for operators; `None` if gossip is disabled.
    pub fn gossip(&self) -> Option<&Gossip> {
        self.gossip.as_ref()
    }
}
