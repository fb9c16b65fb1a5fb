//! HTTP, the first front and the first carrier.

pub mod calls;
pub mod conn;
pub mod intake;
pub mod ops;
