//! Golden files: what a known version of the sender stored, handed over and sent, byte for byte.
//!
//! Some renames change bytes without a compile error. The files in `data/` were recorded by this package's program; its
//! tests fail when the code of today reads or writes anything else.
#![forbid(unsafe_code)]

pub mod handover;
pub mod stored;
pub mod wire;
