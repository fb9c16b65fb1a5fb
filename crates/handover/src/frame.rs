//! The framing of messages between predecessor and successor.
//!
//! A frame is the length of its body as a big-endian `u32`, followed by the body: MessagePack with field names, so
//! that a process of another version can decode the fields that both versions have.

use serde::{Deserialize, Serialize};

/// Maximum length of a frame's body in bytes.
pub const MAX_BODY_LENGTH: usize = 256 << 20;

/// Why a message can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is longer than [`MAX_BODY_LENGTH`]. The process continues without a hand-over.
    #[error("a frame of {0} bytes exceeds the limit of {MAX_BODY_LENGTH} bytes")]
    TooLong(usize),
    /// The message can't be encoded.
    #[error("a hand-over message can't be encoded: {0}")]
    Write(#[source] rmp_serde::encode::Error),
    /// The body can't be decoded: the other process is of another version.
    #[error("a hand-over message of the other process can't be decoded: {0}")]
    Read(#[source] rmp_serde::decode::Error),
}

/// Encodes a message as a frame.
///
/// # Errors
/// Fails when the message can't be encoded or its body would be longer than [`MAX_BODY_LENGTH`].
pub fn write<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let body = rmp_serde::to_vec_named(message).map_err(Error::Write)?;
    let length = u32::try_from(body.len()).ok().filter(|_| body.len() <= MAX_BODY_LENGTH);
    let length = length.ok_or(Error::TooLong(body.len()))?;
    Ok([&length.to_be_bytes()[..], &body].concat())
}

/// Returns the length of the body that follows the first four bytes of a frame.
///
/// # Errors
/// Fails when the length exceeds [`MAX_BODY_LENGTH`]: the other process is not a sender.
pub fn body_length(prefix: [u8; 4]) -> Result<usize, Error> {
    let length = u32::from_be_bytes(prefix) as usize;
    if length <= MAX_BODY_LENGTH { Ok(length) } else { Err(Error::TooLong(length)) }
}

/// Decodes the body of a frame.
///
/// # Errors
/// Fails when the body is not a message that this version knows.
pub fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    rmp_serde::from_slice(body).map_err(Error::Read)
}
