//! Delivery decisions of a sender, which accepts messages and delivers them to destinations that other
//! organisations operate. In normal operation a three-state circuit breaker per destination decides whether a
//! message is sent. The crate does no I/O, reads no clock (the time comes with the events) and shares nothing
//! between instances.
//!
//! The caller passes what happened to [`policy::Policy::handle`] and carries out the actions that it returns:
//!
//! ```
//! use decision::interface::*;
//! use decision::policy::Policy;
//!
//! # let json = br#"{"classes": [{"effect": "once", "on_time_us": 4000000, "hard_limit_us": 24000000}],
//! #   "family_info": {"calls_out": 8}, "limits": {"max_open": 100, "try_limit": 6}, "period_us": 5000,
//! #   "obligations": {"answer_slack_us": 20000, "cold_share": 0.2, "warm_within_us": 14000000,
//! #   "fall_multiple": 2, "overload_for_us": 3000000, "stop_sending_within_us": 2000000}}"#;
//! let settings: Settings = simulator_adapter::settings(json)?;
//! let mut now: Micros = 1_000_000;
//! let mut policy = Policy::new(settings, 42, now);
//!
//! let endpoint = EndpointId([10, 0, 0, 1, 0x1f, 0x90]);
//! let destination = DestinationId(7);
//! let listed =
//!     EndpointEntry { endpoint, destination, zone: 0, kind: 0, weight: 1.0, listing: Listing::Ready };
//! let message = Message {
//!     id: MessageId(1), class: 0, tenant: 0, key: None, remaining_time: 24_000_000, hint: None, destination,
//! };
//! let mut actions = Vec::new();
//! policy.handle(now, &[Event::EndpointList(vec![listed]), Event::Accepted(message)], &mut actions);
//!
//! for action in actions.drain(..) {
//!     match action {
//!         Action::Attempt { message, endpoint, timeout, .. } => {
//!             println!("call {endpoint:?} with {message:?}, time-out {timeout} us");
//!         }
//!         Action::SetTimer { at, token } => println!("send Event::TimerFired({token}) at {at}"),
//!         other => println!("{other:?}"),
//!     }
//! }
//!
//! // The answer arrives later. It is terminal: the message has its final answer.
//! now += 200_000;
//! let answer = Event::AttemptCompleted {
//!     message: MessageId(1), attempt: 0, endpoint, outcome: Outcome::Delivered,
//!     terminal: true, took: 200_000, report: vec![],
//! };
//! policy.handle(now, &[answer], &mut actions);
//! assert!(!actions.iter().any(|a| matches!(a, Action::Attempt { .. })));
//! # Ok::<(), simulator_adapter::WireError>(())
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod call_table;
mod destination_queues;
mod dispatch_round;
mod endpoints;
mod estimate;
mod health;
pub mod interface;
mod message_table;
mod ordering;
pub mod policy;
mod route_table;
#[cfg(test)]
mod test_support;
