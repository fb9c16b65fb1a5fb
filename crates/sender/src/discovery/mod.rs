//! Discovery: the watch on the endpoint list, when it is polled, the list's format, and the directory of endpoints by name.

pub mod directory;
pub mod endpoint_list;
pub mod poll_schedule;
pub mod watch;
