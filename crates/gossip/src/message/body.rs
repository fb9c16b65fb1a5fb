//! Bodies of parts. Each is a postcard value, encoded by position: the order and types of fields must not change, and neither
//! must the tags.

use serde::{Deserialize, Serialize};

use super::{Part, Rejected};
use crate::counts::Count;
use crate::escrow::RequestId;
use crate::evidence::{Evidence, Failure, FailureKind, Limit, Number};
use crate::membership::{MemberUpdate, PingNumber, State};
use crate::{MemberIndex, Micros};

/// Tags of parts.
mod tag {
    pub(super) const FAILURE: u8 = 1;
    pub(super) const CLEARED: u8 = 2;
    pub(super) const LIMIT: u8 = 3;
    pub(super) const WAIT: u8 = 4;
    pub(super) const PING: u8 = 5;
    pub(super) const ACK: u8 = 6;
    pub(super) const PING_REQUEST: u8 = 7;
    pub(super) const MEMBER: u8 = 8;
    pub(super) const QUOTA_REQUEST: u8 = 9;
    pub(super) const QUOTA_GRANT: u8 = 10;
    pub(super) const COUNTS: u8 = 11;
    pub(super) const SYNC_REQUEST: u8 = 12;
}

/// Resolution of ages, which are rounded down: evidence never appears older than it is.
const AGE_UNIT: Micros = 10_000;
/// Evidence of this age or more is not sent.
const MAX_AGE: Micros = 60_000_000;

/// Kinds of failure by their encoded number.
const FAILURE_KINDS: [FailureKind; 4] =
    [FailureKind::Unreachable, FailureKind::Failing, FailureKind::Silent, FailureKind::Shut];
/// States of members by their encoded number.
const STATES: [State; 3] = [State::Alive, State::Suspected, State::Gone];

#[derive(Serialize, Deserialize)]
struct FailureBody {
    destination: u16,
    origin: MemberIndex,
    number: Number,
    age: u32,
    kind: u8,
    calls: u8,
}

#[derive(Serialize, Deserialize)]
struct ClearedBody {
    destination: u16,
    origin: MemberIndex,
    number: Number,
    age: u32,
}

#[derive(Serialize, Deserialize)]
struct LimitBody {
    destination: u16,
    origin: MemberIndex,
    number: Number,
    age: u32,
    rate: f32,
}

#[derive(Serialize, Deserialize)]
struct WaitBody {
    destination: u16,
    remaining: u32,
}

/// The body of a ping and of its acknowledgement.
#[derive(Serialize, Deserialize)]
struct PingBody {
    number: PingNumber,
    digest: u32,
}

#[derive(Serialize, Deserialize)]
struct PingRequestBody {
    target: MemberIndex,
    number: PingNumber,
}

#[derive(Serialize, Deserialize)]
struct MemberBody {
    member: MemberIndex,
    incarnation: u32,
    state: u8,
}

#[derive(Serialize, Deserialize)]
struct QuotaRequestBody {
    destination: u16,
    request: RequestId,
    units: u32,
}

#[derive(Serialize, Deserialize)]
struct QuotaGrantBody {
    request: RequestId,
    units: u32,
}

#[derive(Serialize, Deserialize)]
struct CountsBody {
    destination: u16,
    count: Count,
}

/// Returns the time between two points in units of [`AGE_UNIT`], rounded down.
fn age_units(from: Micros, until: Micros) -> u32 {
    (until.saturating_sub(from) / AGE_UNIT) as u32
}

/// Encodes a part to its tag and body. Returns `None` if its evidence has expired.
pub(super) fn encode(part: &Part, now: Micros) -> Option<(u8, Vec<u8>)> {
    match *part {
        Part::Evidence(destination, evidence) => encode_evidence(destination, evidence, now),
        Part::Ping { number, digest } => encoded(tag::PING, &PingBody { number, digest }),
        Part::Ack { number, digest } => encoded(tag::ACK, &PingBody { number, digest }),
        Part::PingRequest { target, number } => {
            encoded(tag::PING_REQUEST, &PingRequestBody { target, number })
        }
        Part::Member(MemberUpdate { member, incarnation, state }) => {
            let state = STATES.iter().position(|known| *known == state).unwrap_or_default() as u8;
            encoded(tag::MEMBER, &MemberBody { member, incarnation, state })
        }
        Part::QuotaRequest { destination, request, units } => {
            encoded(tag::QUOTA_REQUEST, &QuotaRequestBody { destination, request, units })
        }
        Part::QuotaGrant { request, units } => encoded(tag::QUOTA_GRANT, &QuotaGrantBody { request, units }),
        Part::Counts(destination, count) => encoded(tag::COUNTS, &CountsBody { destination, count }),
        Part::SyncRequest => Some((tag::SYNC_REQUEST, Vec::new())),
    }
}

fn encoded(tag: u8, body: &impl Serialize) -> Option<(u8, Vec<u8>)> {
    postcard::to_stdvec(body).ok().map(|body| (tag, body))
}

fn encode_evidence(destination: u16, evidence: Evidence, now: Micros) -> Option<(u8, Vec<u8>)> {
    let age = |at: Micros| (now.saturating_sub(at) < MAX_AGE).then(|| age_units(at, now));
    match evidence {
        Evidence::Failure(origin, Failure { number, at, kind, calls }) => {
            let kind = FAILURE_KINDS.iter().position(|known| *known == kind).unwrap_or_default() as u8;
            let body = FailureBody { destination, origin, number, age: age(at)?, kind, calls };
            encoded(tag::FAILURE, &body)
        }
        Evidence::Cleared(origin, number, at) => {
            encoded(tag::CLEARED, &ClearedBody { destination, origin, number, age: age(at)? })
        }
        Evidence::Limit(Limit { origin, number, at, rate }) => {
            encoded(tag::LIMIT, &LimitBody { destination, origin, number, age: age(at)?, rate })
        }
        Evidence::Wait(until) if until > now => {
            // Unlike ages, the remaining time is rounded up.
            let remaining = age_units(now, until + AGE_UNIT - 1);
            encoded(tag::WAIT, &WaitBody { destination, remaining })
        }
        Evidence::Wait(_) => None,
    }
}

/// Decodes the bodies of one message.
pub(super) struct Decoder {
    /// When the message was received.
    pub(super) now: Micros,
    /// How much longer than usual the message took.
    pub(super) delay: Micros,
}

impl Decoder {
    /// Decodes one part. Returns `None` if its tag is unknown.
    pub(super) fn decode(&self, tag: u8, bytes: &[u8]) -> Result<Option<Part>, Rejected> {
        let part = match tag {
            tag::FAILURE => self.failure(bytes)?,
            tag::CLEARED => self.cleared(bytes)?,
            tag::LIMIT => self.limit(bytes)?,
            tag::WAIT => self.wait(bytes)?,
            tag::PING => {
                let PingBody { number, digest } = decoded(bytes)?;
                Part::Ping { number, digest }
            }
            tag::ACK => {
                let PingBody { number, digest } = decoded(bytes)?;
                Part::Ack { number, digest }
            }
            tag::PING_REQUEST => {
                let PingRequestBody { target, number } = decoded(bytes)?;
                Part::PingRequest { target, number }
            }
            tag::MEMBER => member(bytes)?,
            tag::QUOTA_REQUEST => {
                let QuotaRequestBody { destination, request, units } = decoded(bytes)?;
                Part::QuotaRequest { destination, request, units }
            }
            tag::QUOTA_GRANT => {
                let QuotaGrantBody { request, units } = decoded(bytes)?;
                Part::QuotaGrant { request, units }
            }
            tag::COUNTS => counts(bytes)?,
            tag::SYNC_REQUEST if bytes.is_empty() => Part::SyncRequest,
            tag::SYNC_REQUEST => return Err(Rejected::Invalid),
            _ => return Ok(None),
        };
        Ok(Some(part))
    }

    /// Converts an age at the time of sending to a time on the local clock.
    fn time(&self, age: u32) -> Result<Micros, Rejected> {
        let age = Micros::from(age) * AGE_UNIT;
        require(age < MAX_AGE)?;
        Ok(self.now.saturating_sub(age + self.delay))
    }

    fn failure(&self, bytes: &[u8]) -> Result<Part, Rejected> {
        let FailureBody { destination, origin, number, age, kind, calls } = decoded(bytes)?;
        let kind = *FAILURE_KINDS.get(usize::from(kind)).ok_or(Rejected::Invalid)?;
        require(calls > 0)?;
        let failure = Failure { number, at: self.time(age)?, kind, calls };
        Ok(Part::Evidence(destination, Evidence::Failure(origin, failure)))
    }

    fn cleared(&self, bytes: &[u8]) -> Result<Part, Rejected> {
        let ClearedBody { destination, origin, number, age } = decoded(bytes)?;
        Ok(Part::Evidence(destination, Evidence::Cleared(origin, number, self.time(age)?)))
    }

    fn limit(&self, bytes: &[u8]) -> Result<Part, Rejected> {
        let LimitBody { destination, origin, number, age, rate } = decoded(bytes)?;
        require(rate.is_finite() && rate > 0.0)?;
        let limit = Limit { origin, number, at: self.time(age)?, rate };
        Ok(Part::Evidence(destination, Evidence::Limit(limit)))
    }

    fn wait(&self, bytes: &[u8]) -> Result<Part, Rejected> {
        let WaitBody { destination, remaining } = decoded(bytes)?;
        let remaining = Micros::from(remaining) * AGE_UNIT;
        require(remaining <= MAX_AGE)?;
        Ok(Part::Evidence(destination, Evidence::Wait(self.now + remaining)))
    }
}

fn member(bytes: &[u8]) -> Result<Part, Rejected> {
    let MemberBody { member, incarnation, state } = decoded(bytes)?;
    let state = *STATES.get(usize::from(state)).ok_or(Rejected::Invalid)?;
    Ok(Part::Member(MemberUpdate { member, incarnation, state }))
}

fn counts(bytes: &[u8]) -> Result<Part, Rejected> {
    let CountsBody { destination, count } = decoded(bytes)?;
    let unsuccessful = count.rejected.checked_add(count.failed).ok_or(Rejected::Invalid)?;
    require(unsuccessful <= count.calls)?;
    Ok(Part::Counts(destination, count))
}

/// Rejects the message unless the condition holds.
fn require(valid: bool) -> Result<(), Rejected> {
    if valid { Ok(()) } else { Err(Rejected::Invalid) }
}

/// Decodes a body, which must take up all of the bytes.
fn decoded<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, Rejected> {
    match postcard::take_from_bytes(bytes) {
        Ok((body, [])) => Ok(body),
        _ => Err(Rejected::Invalid),
    }
}
