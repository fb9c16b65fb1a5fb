//! The framing of messages between the two processes.
//!
//! A frame is the length of its body as a big-endian `u32`, followed by the body: MessagePack with field names, so that
//! another version reads the fields that both know.

use serde::{Deserialize, Serialize};

/// Longest body of a frame in bytes.
pub const MAX_BODY_LENGTH: usize = 256 << 20;

/// Why a message can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than [`MAX_BODY_LENGTH`]. The process goes on without handing over.
    #[error("a frame of {0} bytes, where {MAX_BODY_LENGTH} are the most")]
    TooLong(usize),
    /// The message can't be encoded.
    #[error("a message can't be written: {0}")]
    Write(#[source] rmp_serde::encode::Error),
    /// The body can't be decoded: the other process is of another version.
    #[error("what the other process says can't be read: {0}")]
    Read(#[source] rmp_serde::decode::Error),
}

/// Encodes a message as a frame.
///
/// # Errors
/// Fails when the body would be too long.
pub fn write<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let body = rmp_serde::to_vec_named(message).map_err(Error::Write)?;
    let length = u32::try_from(body.len()).ok().filter(|_| body.len() <= MAX_BODY_LENGTH);
    let length = length.ok_or(Error::TooLong(body.len()))?;
    Ok([&length.to_be_bytes()[..], &body].concat())
}

/// The length of the body that follows the first four bytes of a frame.
///
/// # Errors
/// Fails when the body is too long: the other side is not a sender.
pub fn body_length(prefix: [u8; 4]) -> Result<usize, Error> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length <= MAX_BODY_LENGTH { Ok(length) } else { Err(Error::TooLong(length)) }
}

/// Decodes the body of a frame.
///
/// # Errors
/// Fails when it is no message that this version knows.
pub fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    rmp_serde::from_slice(body).map_err(Error::Read)
}
