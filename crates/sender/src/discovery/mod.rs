//! Discovery: the watch on the endpoint list, its poll schedule, the format of the list, and the directory of endpoints by
//! name.

pub mod directory;
pub mod endpoint_list;
pub mod poll_schedule;
pub mod watch;
