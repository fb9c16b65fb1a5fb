//! The interface of the crate: settings, events and actions as plain data.
//!
//! Times are in microseconds on the clock of the events, the only clock that the crate knows.

mod action;
mod endpoint_list;
mod event;
mod ids;
mod message;
mod outcome;
mod settings;
mod snapshot;

pub use gossip::Config as GossipConfig;
pub use idle_destinations::Condition;

pub use action::Action;
pub use endpoint_list::{EndpointEntry, Listing};
pub use event::Event;
pub use ids::{DestinationId, EndpointId, MessageId, Micros, RouteId};
pub use message::Message;
pub use outcome::Outcome;
pub use settings::{
    Class, Decay, DestinationKind, Idempotency, IdempotencyScope, IdlePolicy, Rules, Settings, Tenant,
    Weights,
};
pub use snapshot::{RecoveredFailures, RouteSnapshot};
