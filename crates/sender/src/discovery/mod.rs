//! Discovery: the watch on the endpoint list, its polls and their schedule, the format of the list, and the directory of
//! endpoints by name.

pub mod directory;
pub mod endpoint_list;
pub mod poll;
pub mod poll_schedule;
pub mod watch;
