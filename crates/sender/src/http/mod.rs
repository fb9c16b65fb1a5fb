//! HTTP/1.1: the server for clients, the client for endpoints, and the server for administrative requests.

pub mod active_waits;
pub mod admin;
pub mod client;
pub mod connection;
mod connection_reuse;
mod response_filter;
pub mod server;
