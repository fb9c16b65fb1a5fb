//! What on-call staff can ask of a running sender: requests and their errors ([`call`]), the metrics ([`figures`]), the
//! endpoints that operators ejected ([`ejections`]), and whether clients are admitted ([`gate`]).
//!
//! The crate has no I/O and no clock: the sender's listener, its driver and its front act on what is decided here.
#![forbid(unsafe_code)]

pub mod call;
pub mod ejections;
pub mod figures;
pub mod gate;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
