//! What on-call staff ask of a running sender, and what it says of itself: calls and their answers ([`call`]), the
//! figures ([`figures`]), the endpoints that are held out by hand ([`held_out`]), and when clients are sent away
//! ([`door`]). No I/O and no clock: the sender's listener, its driver and its front carry out what stands here.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod call;
pub mod door;
pub mod figures;
pub mod held_out;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
