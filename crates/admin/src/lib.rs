//! Administration of a running sender by on-call staff: requests and their errors ([`request`]), the metrics
//! ([`metrics`]), the endpoints that operators ejected ([`ejections`]), and whether clients are admitted ([`gate`]).
//!
//! The crate has no I/O and no clock: the sender's admin listener, event loop and frontend carry out what is decided
//! here.
#![forbid(unsafe_code)]

pub mod ejections;
pub mod gate;
pub mod metrics;
pub mod request;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
