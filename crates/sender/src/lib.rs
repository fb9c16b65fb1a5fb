//! One real sender: it takes messages on from clients and delivers them to endpoints, as the decision module says.
//!
//! A message passes through [`ports::Front`] → [`driver`] → the decision module → the journal → [`ports::Carrier`], and
//! what came of it takes the same way back. Nothing here decides which server is called, whether again, or what is
//! turned away; nothing is answered or called before the journal has it; and one task, the driver, owns the state.

pub mod again;
pub mod config;
pub mod cores;
pub mod directory;
pub mod driver;
pub mod handover;
pub mod http;
mod kept;
mod known;
mod link;
mod list;
mod look;
mod meanings;
pub mod peers;
pub mod platform;
pub mod ports;
mod process;
pub mod program;
mod pulse;
mod show_known;
pub mod store;
pub mod waits;
