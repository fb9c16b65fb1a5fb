//! Handles administrative requests.

use admin::gate::AdmissionGate;
use admin::metrics::Gauges;
use admin::request::AdminRequest;
use decision::interface::Event;
use gossip::evidence::Evidence;
use gossip::{Gossip, Micros};

use std::fmt::Write as _;

use super::EventLoop;
use crate::persistence::ejections;
use crate::ports::AdminResponse;

impl EventLoop {
    /// Carries out an administrative request. A request that is refused changes nothing.
    pub(super) fn handle_admin_request(
        &mut self,
        request: AdminRequest,
        events: &mut Vec<Event>,
    ) -> AdminResponse {
        let response = |status, text: &str| AdminResponse { status, text: text.to_owned() };
        let done = || response(200, "done\n");
        let gate = *self.gate.borrow();
        if !matches!(request, AdminRequest::Status | AdminRequest::Metrics | AdminRequest::Gossip) {
            eprintln!("on-call staff ask for {request:?}");
        }
        match request {
            AdminRequest::Status if gate == AdmissionGate::Closing => response(503, "ending\n"),
            AdminRequest::Status => response(200, "taking clients\n"),
            AdminRequest::Metrics => {
                let (outcome_counts, gauges) = self.combined_figures();
                response(200, &(outcome_counts.text(gauges) + &self.figures_by_shard()))
            }
            AdminRequest::Gossip => match self.policy.gossip() {
                Some(gossip) => response(200, &describe_gossip(gossip, self.clock.now())),
                None => response(404, "nothing is shared: the operators' file has no [shared] on = true\n"),
            },
            AdminRequest::Standby | AdminRequest::Active if gate == AdmissionGate::Closing => {
                response(409, "ending\n")
            }
            AdminRequest::Standby => {
                self.gate.send_replace(gate.standby(self.clock.now()));
                done()
            }
            AdminRequest::Active => {
                self.gate.send_replace(gate.active());
                done()
            }
            AdminRequest::Move { destination, core } => self.request_migration(destination, core),
            AdminRequest::Eject(ref name) | AdminRequest::Reinstate(ref name) => {
                let eject = matches!(request, AdminRequest::Eject(_));
                let planned = match self.directory.plan_ejection(name, eject) {
                    Ok(planned) => planned,
                    Err(error) => return response(error.status(), error.text()),
                };
                // Stored before the answer: an ejection applies to the next process too.
                if planned != *self.directory.ejections()
                    && let Err(error) = ejections::write(&self.state_folder, &planned)
                {
                    return response(
                        500,
                        &format!("ejections can't be stored, nothing was changed: {error}\n"),
                    );
                }
                events.push(self.directory.apply_ejections(planned));
                done()
            }
        }
    }

    /// Returns this event loop's gauges.
    pub(super) fn figures(&self) -> Gauges {
        Gauges {
            relayed: self.directory.transports().iter().map(|transport| transport.messages_written()).sum(),
            open: self.policy.pending_messages(),
            listed: self.directory.listed_endpoints(),
            out_of_rotation: self.policy.unavailable_endpoints(),
        }
    }
}

/// Describes the gossip state as text: membership, the belief about each destination with its evidence, and
/// transferred quota.
fn describe_gossip(gossip_state: &Gossip, now: Micros) -> String {
    let age = |at: Micros| now.saturating_sub(at) as f64 / 1e6;
    let gossip::Traffic { sent_bytes, rejected_messages } = gossip_state.traffic();
    let isolation = if gossip_state.is_isolated(now) { ", hears nobody" } else { "" };
    let mut text = format!(
        "senders {}{isolation}, {sent_bytes} bytes said, {rejected_messages} notes used for nothing\n",
        gossip_state.membership().present()
    );
    for absent in gossip_state.membership().unavailable() {
        let _ = writeln!(text, "sender {}: {:?} for {:.1} s", absent.member, absent.state, age(absent.since));
    }
    for status in gossip_state.inspect(now) {
        let share = f64::from(status.usable_units) / f64::from(gossip::escrow::EVEN_SHARE);
        let health = status.belief.unhealthy.map_or("well, as far as others say".to_owned(), |outage| {
            format!("ill ({:?}, {:.1} s ago)", outage.kind, age(outage.at))
        });
        let _ = writeln!(
            text,
            "destination {}: {health}; {share:.2} even parts of its limit, {} units borrowed, {} lent",
            status.destination, status.received_units, status.granted_units
        );
        for item in status.evidence {
            let _ = match item {
                Evidence::Failure(from, failure) => writeln!(
                    text,
                    "  sender {from}: {} calls in a row failed ({:?}), {:.1} s ago",
                    failure.calls,
                    failure.kind,
                    age(failure.at)
                ),
                Evidence::Cleared(from, _, at) => {
                    writeln!(text, "  outranked what sender {from} said, {:.1} s ago", age(at))
                }
                Evidence::Limit(limit) => {
                    writeln!(
                        text,
                        "  limit {:.1} a second, from sender {}, {:.1} s ago",
                        limit.rate,
                        limit.origin,
                        age(limit.at)
                    )
                }
                Evidence::Wait(until) => {
                    writeln!(text, "  a wait for {:.1} s more", until.saturating_sub(now) as f64 / 1e6)
                }
            };
        }
    }
    text
}
