//! Gossip between the senders of a fleet, in messages of at most [`MAX_MESSAGE_BYTES`] that may be lost, duplicated, delayed
//! and reordered: membership and failure detection ([`membership`]), evidence on destinations ([`evidence`],
//! [`evidence_set`]), transfer of quota ([`escrow`]) and traffic counts ([`counts`]). The package does no I/O and reads no
//! clock; randomness comes from a generator that the caller seeds. `docs/gossip.md` weighs the alternatives and states the
//! bounds.
//!
//! Evidence of other senders may make this one more cautious at once. It permits more calls only through granted quota, or
//! where it outranks the evidence that was observed locally; the decision module alone decides what is done because of it.

mod config;
pub mod counts;
mod delay;
pub mod escrow;
pub mod evidence;
pub mod evidence_set;
mod evidence_table;
mod gossip;
pub mod membership;
pub mod message;
mod outbox;
mod token_bucket;

pub use config::{ByteBudget, Config};
pub use evidence::{Belief, FailureKind};
pub use gossip::{DestinationReport, Gossip, Observation, OutgoingMessage, Traffic};
pub use message::Rejected;

/// A point in time or a span, in microseconds on the caller's clock.
pub type Micros = u64;
/// A sender's index among those of the fleet.
pub type MemberIndex = u16;
/// Maximum size of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 256;
