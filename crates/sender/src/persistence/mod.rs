//! Files in `NODE_STATE` that outlive the process: the journal, the health snapshot, the ejected endpoints, and the
//! idempotency that was recorded for each class.

pub mod class_idempotency;
pub mod ejections;
pub mod journal;
pub mod snapshot;
