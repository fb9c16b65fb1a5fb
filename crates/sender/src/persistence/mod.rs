//! What outlasts the process in `NODE_STATE`: the journal, the health snapshot, ejected endpoints, and the idempotency that
//! each class was recorded with.

pub mod class_idempotency;
pub mod ejections;
pub mod journal;
pub mod snapshot;
