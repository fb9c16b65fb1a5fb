//! Reasons why observations are trusted, or are not.

use std::fmt;

use crate::Micros;

/// Why an observation of a route is trusted, or is not.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Reason {
    /// A wait (a Retry-After, or the sender's own backoff) is active for this time.
    WaitRuns(Micros),
    /// It was unhealthy: one call first, then slow start; the trial is due after this time.
    Unhealthy(Micros),
    /// It rejected the last call: one call at a time until one is accepted.
    Rejected,
    /// It first responded after an outage this long ago, and may be in slow start.
    Cold(Micros),
    /// A reported limit, in calls per second: a bound on what the list implies.
    Limit(f64),
    /// A limit observed by rejections, in calls per second, including its growth since.
    ObservedLimit(f64),
    /// A limit observed by rejections has grown so far that it does not count any more.
    ObservedLimitExpired,
    /// The limit was exhausted or lowered this long ago.
    Shortage(Micros),
    /// The weight of recent calls to a route that was unhealthy or in slow start, and how long ago the last was sent.
    RecentCalls(f64, Micros),
    /// Its mean latency is long.
    Slow(Micros),
    /// Records may be lost, or the clocks are unreliable: it starts with one call.
    Incomplete,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let s = |span: &Micros| *span as f64 / 1e6;
        match self {
            Self::WaitRuns(remaining) => write!(f, "a wait runs for {:.1} s", s(remaining)),
            Self::Unhealthy(0) => f.write_str("it was ill: one trial call first"),
            Self::Unhealthy(remaining) => {
                write!(f, "it was ill: the trial call is due in {:.1} s", s(remaining))
            }
            Self::Rejected => f.write_str("it rejected the last call: one call at a time"),
            Self::Cold(since) => write!(f, "its outage ended {:.1} s ago, slow start may apply", s(since)),
            Self::Limit(limit) => write!(f, "the reported limit is {limit:.1} calls a second"),
            Self::ObservedLimit(rate) => {
                write!(f, "the limit observed by rejections is {rate:.1} calls a second")
            }
            Self::ObservedLimitExpired => f.write_str("the limit observed by rejections has expired"),
            Self::Shortage(ago) => write!(f, "its limit was exhausted or lowered {:.1} s ago", s(ago)),
            Self::RecentCalls(weight, ago) => {
                write!(f, "calls of weight {weight:.1} were sent recently, the last {:.1} s ago", s(ago))
            }
            Self::Slow(mean) => write!(f, "the mean latency is {:.0} ms", *mean as f64 / 1e3),
            Self::Incomplete => {
                f.write_str("records may be lost or the clocks are unreliable: one call first")
            }
        }
    }
}
