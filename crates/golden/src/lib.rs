//! Golden files: the exact bytes that a known version of the sender stored, handed over and sent.
//!
//! Some renames change these bytes without a compile error. The program of this package recorded the files in `data/`; its tests
//! fail if the current code reads or writes anything else.
#![forbid(unsafe_code)]

pub mod handover;
pub mod stored;
pub mod wire;
