//! Administrative requests.

use admin::call::AdminRequest;
use admin::figures::Gauges;
use admin::gate::AdmissionGate;
use decision::interface::Event;
use gossip::evidence::Evidence;
use gossip::{Gossip, Micros};

use std::fmt::Write as _;

use super::EventLoop;
use crate::persistence::ejections;
use crate::ports::AdminResponse;

impl EventLoop {
    /// Carries out an administrative request. One that is refused changes nothing.
    pub(super) fn handle_admin_request(
        &mut self,
        call: AdminRequest,
        events: &mut Vec<Event>,
    ) -> AdminResponse {
        let told = |status, text: &str| AdminResponse { status, text: text.to_owned() };
        let done = || told(200, "done\n");
        let door = *self.gate.borrow();
        if !matches!(call, AdminRequest::Status | AdminRequest::Metrics | AdminRequest::Gossip) {
            eprintln!("on-call staff ask for {call:?}");
        }
        match call {
            AdminRequest::Status if door == AdmissionGate::Closing => told(503, "ending\n"),
            AdminRequest::Status => told(200, "taking clients\n"),
            AdminRequest::Metrics => {
                let (ends, now) = self.combined_figures();
                told(200, &(ends.text(now) + &self.figures_by_shard()))
            }
            AdminRequest::Gossip => match self.policy.gossip() {
                Some(shared) => told(200, &show_shared(shared, self.clock.now())),
                None => told(404, "nothing is shared: the operators' file has no [shared] on = true\n"),
            },
            AdminRequest::Standby | AdminRequest::Active if door == AdmissionGate::Closing => {
                told(409, "ending\n")
            }
            AdminRequest::Standby => {
                self.gate.send_replace(door.standby(self.clock.now()));
                done()
            }
            AdminRequest::Active => {
                self.gate.send_replace(door.active());
                done()
            }
            AdminRequest::Move { destination, core } => self.request_migration(destination, core),
            AdminRequest::Eject(ref name) | AdminRequest::Reinstate(ref name) => {
                let out = matches!(call, AdminRequest::Eject(_));
                let held_out = match self.directory.plan_ejection(name, out) {
                    Ok(held_out) => held_out,
                    Err(refused) => return told(refused.status(), refused.text()),
                };
                // Before the answer: it holds for the next process too.
                if held_out != *self.directory.ejections()
                    && let Err(e) = ejections::write(&self.state_folder, &held_out)
                {
                    return told(500, &format!("it can't be kept, and nothing changes: {e}\n"));
                }
                events.push(self.directory.apply_ejections(held_out));
                done()
            }
        }
    }

    pub(super) fn figures(&self) -> Gauges {
        Gauges {
            relayed: self.directory.transports().iter().map(|carrier| carrier.messages_written()).sum(),
            open: self.policy.pending_messages(),
            listed: self.directory.listed_endpoints(),
            out_of_rotation: self.policy.unavailable_endpoints(),
        }
    }
}

/// Membership, what is believed of each destination and why, and transferred quota.
fn show_shared(shared: &Gossip, now: Micros) -> String {
    let age = |at: Micros| now.saturating_sub(at) as f64 / 1e6;
    let gossip::Traffic { sent_bytes, rejected_messages } = shared.traffic();
    let alone = if shared.is_isolated(now) { ", hears nobody" } else { "" };
    let mut text = format!(
        "senders {}{alone}, {sent_bytes} bytes said, {rejected_messages} notes used for nothing\n",
        shared.membership().present()
    );
    for absent in shared.membership().unavailable() {
        let _ = writeln!(text, "sender {}: {:?} for {:.1} s", absent.member, absent.state, age(absent.since));
    }
    for shown in shared.inspect(now) {
        let part = f64::from(shown.usable_units) / f64::from(gossip::escrow::EVEN_SHARE);
        let ill = shown.belief.unhealthy.map_or("well, as far as others say".to_owned(), |outage| {
            format!("ill ({:?}, {:.1} s ago)", outage.kind, age(outage.at))
        });
        let _ = writeln!(
            text,
            "destination {}: {ill}; {part:.2} even parts of its limit, {} units borrowed, {} lent",
            shown.destination, shown.received_units, shown.granted_units
        );
        for item in shown.evidence {
            let _ = match item {
                Evidence::Failure(from, bad) => writeln!(
                    text,
                    "  sender {from}: {} calls in a row failed ({:?}), {:.1} s ago",
                    bad.calls,
                    bad.kind,
                    age(bad.at)
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
