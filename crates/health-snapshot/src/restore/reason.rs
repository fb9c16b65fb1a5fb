//! Why something is trusted, or is not.

use std::fmt;

use crate::Micros;

/// Why something of a route is trusted, or is not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// A Retry-After is active for this time.
    WaitRuns(Micros),
    /// It was unhealthy: one call first, then slow start; the trial is due after this time.
    Unhealthy(Micros),
    /// It rejected the last call: one call at a time until one is accepted.
    Rejected,
    /// Its outage ended this long ago, and it may be in slow start.
    Cold(Micros),
    /// A reported limit, in calls per second: a bound on what the list implies.
    Limit(f64),
    /// A limit observed by rejections, in calls per second, as far as it has grown since.
    ObservedLimit(f64),
    /// A limit observed by rejections does not count any more.
    ObservedLimitExpired,
    /// The limit was exhausted this long ago.
    Shortage(Micros),
    /// The weight of the calls during slow start, and how long ago the last was.
    RecentCalls(f64, Micros),
    /// Its mean latency is long.
    Slow(Micros),
    /// Something is lost: it starts with one call.
    Incomplete,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let s = |span: &Micros| *span as f64 / 1e6;
        match self {
            Self::WaitRuns(remaining) => write!(f, "a wait runs for {:.1} s", s(remaining)),
            Self::Unhealthy(0) => f.write_str("it was ill: one call first"),
            Self::Unhealthy(remaining) => write!(f, "it was ill: a trial in {:.1} s", s(remaining)),
            Self::Rejected => f.write_str("it refused last: one call at a time"),
            Self::Cold(since) => write!(f, "back from an outage for {:.1} s", s(since)),
            Self::Limit(limit) => write!(f, "no more than {limit:.1} calls a second, as was told"),
            Self::ObservedLimit(rate) => write!(f, "a limit of {rate:.1} calls a second was found"),
            Self::ObservedLimitExpired => f.write_str("the limit that was found has faded"),
            Self::Shortage(ago) => write!(f, "its limit was used up {:.1} s ago", s(ago)),
            Self::RecentCalls(weight, ago) => write!(f, "{weight:.1} calls while cold, {:.1} s ago", s(ago)),
            Self::Slow(mean) => write!(f, "answers take {:.0} ms", *mean as f64 / 1e3),
            Self::Incomplete => f.write_str("something is lost: one call first"),
        }
    }
}
