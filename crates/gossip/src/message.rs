//! Encoding of gossip messages: a version, a checksum, the sender's incarnation and clock, then parts, each with its tag and
//! length, so that parts with unknown tags can be skipped. A message that is damaged, of another version, or invalid is rejected
//! as a whole. The body of each part is a postcard value.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | version, [`VERSION`] |
//! | 4 | CRC-32 of all that follows, little-endian |
//! | 4 | the sender's incarnation |
//! | 4 | when it was sent, milliseconds of the sender's clock, wrapping |
//! | then, for each part: 1 | its tag |
//! | 1 | its length |
//! | that many | its body |

mod body;
mod error;

pub use error::Rejected;

use crate::counts::Count;
use crate::escrow::RequestId;
use crate::evidence::Evidence;
use crate::membership::{MemberUpdate, PingNumber};
use crate::{MAX_MESSAGE_BYTES, MemberIndex, Micros};

/// The version of messages that this package writes and reads.
pub const VERSION: u8 = 1;
/// Bytes before the first part.
const HEADER_BYTES: usize = 13;
/// Offset of the checksum, and of the first byte that it covers.
const CHECKSUM_AT: usize = 1;
const CHECKSUMMED_FROM: usize = 5;
const INCARNATION_AT: usize = 5;
const SENT_AT: usize = 9;
/// Tag and length of a part.
const PART_HEADER_BYTES: usize = 2;
const MICROS_PER_MILLI: Micros = 1_000;

/// One item of a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Part {
    /// Evidence on a destination.
    Evidence(u16, Evidence),
    /// Asks the receiver to acknowledge, with a digest of what the sender believes.
    Ping {
        /// Identifies the ping; the acknowledgement returns it.
        number: PingNumber,
        /// Digest of the sender's beliefs.
        digest: u32,
    },
    /// Acknowledges a ping.
    Ack {
        /// The ping's number.
        number: PingNumber,
        /// Digest of the sender's beliefs.
        digest: u32,
    },
    /// Asks the receiver to ping another member and to forward its acknowledgement.
    PingRequest {
        /// The member to ping.
        target: MemberIndex,
        /// The number of the requester's ping.
        number: PingNumber,
    },
    /// The state of a member.
    Member(MemberUpdate),
    /// Asks for units of a destination's quota.
    QuotaRequest {
        /// The destination whose quota is requested.
        destination: u16,
        /// Identifies the request; the grant returns it.
        request: RequestId,
        /// Requested units.
        units: u32,
    },
    /// Grants units to a request.
    QuotaGrant {
        /// The request's number.
        request: RequestId,
        /// Transferred units.
        units: u32,
    },
    /// The sender's own counts at a destination.
    Counts(u16, Count),
    /// Asks for all evidence.
    SyncRequest,
}

/// A message that is being encoded.
pub struct Writer {
    bytes: Vec<u8>,
    now: Micros,
}

impl Writer {
    /// Starts an empty message of a sender's incarnation that is sent now.
    pub fn new(incarnation: u32, now: Micros) -> Self {
        let mut bytes = vec![VERSION, 0, 0, 0, 0];
        bytes.extend(incarnation.to_le_bytes());
        bytes.extend(((now / MICROS_PER_MILLI) as u32).to_le_bytes());
        Self { bytes, now }
    }

    /// Adds a part. Returns false and leaves the message unchanged if the part doesn't fit or has expired.
    pub fn add(&mut self, part: &Part) -> bool {
        let Some((tag, body)) = body::encode(part, self.now) else { return false };
        if self.bytes.len() + PART_HEADER_BYTES + body.len() > MAX_MESSAGE_BYTES {
            return false;
        }
        self.bytes.extend([tag, body.len() as u8]);
        self.bytes.extend(body);
        true
    }

    /// Returns whether no part was added.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == HEADER_BYTES
    }

    /// Completes the checksum and returns the encoded message.
    pub fn finish(mut self) -> Vec<u8> {
        let checksum = crc32fast::hash(&self.bytes[CHECKSUMMED_FROM..]);
        self.bytes[CHECKSUM_AT..CHECKSUMMED_FROM].copy_from_slice(&checksum.to_le_bytes());
        self.bytes
    }
}

/// A part whose body is not decoded yet.
#[derive(Clone, Debug, PartialEq)]
struct EncodedPart {
    tag: u8,
    body: Vec<u8>,
}

/// A message whose checksum is valid.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Its sender's incarnation.
    pub incarnation: u32,
    /// When it was sent, in milliseconds on its sender's clock.
    pub sent_ms: u32,
    parts: Vec<EncodedPart>,
}

impl Message {
    /// Reads the header and splits the rest into parts, which are not decoded yet.
    ///
    /// # Errors
    /// Fails if the message has to be rejected.
    pub fn read(bytes: &[u8]) -> Result<Self, Rejected> {
        let Some((header, parts)) = bytes.split_at_checked(HEADER_BYTES) else {
            return Err(Rejected::Foreign);
        };
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Rejected::Foreign);
        }
        let word =
            |at: usize| u32::from_le_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]]);
        let version = header[0];
        if crc32fast::hash(&bytes[CHECKSUMMED_FROM..]) != word(CHECKSUM_AT) {
            return Err(if version == VERSION { Rejected::Damaged } else { Rejected::Foreign });
        }
        // Checked after the checksum, so that a valid message of another version is not reported as damaged.
        if version != VERSION {
            return Err(Rejected::Version(version));
        }
        Ok(Self { incarnation: word(INCARNATION_AT), sent_ms: word(SENT_AT), parts: split(parts)? })
    }

    /// Decodes the parts; those with unknown tags are skipped. Ages become times on the local clock, which are earlier by
    /// `delay`: how much longer than usual the message took.
    ///
    /// # Errors
    /// Fails if a part is invalid; all parts are then discarded.
    pub fn parts(&self, now: Micros, delay: Micros) -> Result<Vec<Part>, Rejected> {
        let decoder = body::Decoder { now, delay };
        let mut parts = Vec::with_capacity(self.parts.len());
        for encoded in &self.parts {
            parts.extend(decoder.decode(encoded.tag, &encoded.body)?);
        }
        Ok(parts)
    }
}

/// Splits the bytes after the header into parts.
fn split(mut bytes: &[u8]) -> Result<Vec<EncodedPart>, Rejected> {
    let mut parts = Vec::new();
    while let [tag, length, following @ ..] = bytes {
        let (body, following) = following.split_at_checked(usize::from(*length)).ok_or(Rejected::Invalid)?;
        parts.push(EncodedPart { tag: *tag, body: body.to_vec() });
        bytes = following;
    }
    if bytes.is_empty() { Ok(parts) } else { Err(Rejected::Invalid) }
}
