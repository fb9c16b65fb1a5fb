//! A sender process: it accepts messages from clients and delivers them to endpoints as the decision module decides.
//!
//! A message passes through [`ports::Frontend`], the [`event_loop`], the decision module and the journal to
//! [`ports::Transport`]; its outcome takes the same way back. This crate does not decide which endpoint is called,
//! whether a message is retried, or which message is rejected. No client is answered and no endpoint called before
//! the journal has the record for it. One task, the event loop, owns the state.

pub mod cli;
pub mod config;
pub mod discovery;
pub mod event_loop;
pub mod gossip_socket;
pub mod hand_over;
pub mod http;
pub mod notifications;
mod persistence;
mod platform_client;
pub mod ports;
mod process;
pub mod shards;
mod stall_detector;
