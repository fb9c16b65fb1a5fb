//! How a message is written: its length in four bytes, the most significant first, then MessagePack with the fields'
//! names, so that another version reads what it has in common.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A frame has at most so many bytes; how many a state takes at large size was not measured.
pub const LIMIT: usize = 256 << 20;

/// Why there is no message.
#[derive(Debug)]
pub enum Error {
    /// It would be longer than [`LIMIT`]: the process goes on without handing over.
    TooLong(usize),
    /// It can't be written.
    Write(rmp_serde::encode::Error),
    /// It can't be read: the other process is another version.
    Read(rmp_serde::decode::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::TooLong(length) => write!(f, "a frame of {length} bytes, where {LIMIT} are the most"),
            Self::Write(e) => write!(f, "a message can't be written: {e}"),
            Self::Read(e) => write!(f, "what the other process says can't be read: {e}"),
        }
    }
}

impl std::error::Error for Error {}

/// The frame of a message.
///
/// # Errors
/// Fails when it would be too long.
pub fn write<T: Serialize>(message: &T) -> Result<Vec<u8>, Error> {
    let body = rmp_serde::to_vec_named(message).map_err(Error::Write)?;
    let length = length(body.len())?;
    Ok([&length.to_be_bytes()[..], &body].concat())
}

/// The length of the body that follows.
///
/// # Errors
/// Fails when it is beyond the limit: what speaks there is no sender.
pub fn body_length(head: [u8; 4]) -> Result<usize, Error> {
    let told = u32::from_be_bytes(head) as usize;
    length(told).map(|_| told)
}

fn length(bytes: usize) -> Result<u32, Error> {
    let fits = u32::try_from(bytes).ok().filter(|_| bytes <= LIMIT);
    fits.ok_or(Error::TooLong(bytes))
}

/// The message of a body.
///
/// # Errors
/// Fails when it is none that this version knows.
pub fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Error> {
    rmp_serde::from_slice(body).map_err(Error::Read)
}
