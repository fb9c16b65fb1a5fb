//! Encoding of appends.

use serde::Serialize;

use super::frame::checksum;
use super::route::EncodedRoute;
use super::{Chunk, FRAME_HEADER_BYTES, MAX_FRAME_BYTES, MAX_TEXT_BYTES, TIMESTAMP_BYTES, kind};
use crate::timestamp::{Boot, Timestamp};
use crate::{DestinationRecord, ListVersion, ListedEndpoint, Micros};

/// Maximum number of routes or endpoints in one frame.
const CHUNK_ITEMS: usize = 32;

/// Encodes the frames of one append.
#[derive(Debug, Default)]
pub struct Writer {
    sequence: u64,
    /// The time that other times are encoded relative to.
    base: Micros,
    bytes: Vec<u8>,
}

impl Writer {
    /// Begins an append to that generation.
    pub fn begin(&mut self, sequence: u64, timestamp: &Timestamp) {
        (self.sequence, self.base) = (sequence, timestamp.wall);
        self.bytes.clear();
        let boot = timestamp.boot.unwrap_or(Boot { id: 0, at: 0 });
        let (wall, id, at) = (timestamp.wall.to_le_bytes(), boot.id.to_le_bytes(), boot.at.to_le_bytes());
        self.frame(kind::TIMESTAMP, &[&wall, &id, &at]);
    }

    /// Returns the frames encoded so far.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Discards the bytes beyond that length.
    pub fn truncate(&mut self, length: usize) {
        self.bytes.truncate(length);
    }

    /// Returns whether there is no frame besides the timestamp.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() <= FRAME_HEADER_BYTES + 1 + TIMESTAMP_BYTES
    }

    /// Adds a frame, unless it would be longer than [`MAX_FRAME_BYTES`].
    fn frame(&mut self, kind: u8, parts: &[&[u8]]) {
        let start = self.bytes.len();
        self.bytes.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
        self.bytes.push(kind);
        parts.iter().for_each(|part| self.bytes.extend_from_slice(part));
        let body = start + FRAME_HEADER_BYTES;
        let length = self.bytes.len() - body;
        if length > MAX_FRAME_BYTES {
            self.bytes.truncate(start);
            return;
        }
        let crc = checksum(self.sequence, &self.bytes[body..]);
        self.bytes[start..start + 4].copy_from_slice(&(length as u32).to_le_bytes());
        self.bytes[start + 4..body].copy_from_slice(&crc.to_le_bytes());
    }

    /// Adds the items of a destination, in as many frames as they need.
    fn chunks<T: Serialize>(&mut self, kind: u8, destination: u16, items: &[T]) {
        let mut first = true;
        for items in items.chunks(CHUNK_ITEMS) {
            let chunk = Chunk { destination, first, items };
            first = false;
            if let Ok(bytes) = postcard::to_allocvec(&chunk) {
                self.frame(kind, &[&bytes]);
            }
        }
    }

    /// Adds a destination's record. Each active wait is a frame of its own, in the layout that every version reads.
    pub fn destination(&mut self, destination: u16, record: &DestinationRecord) {
        self.waits(destination, record);
        let named = record.routes.iter().filter(|route| route.endpoint.as_deref().is_none_or(fits));
        let routes: Vec<_> = named.map(|route| EncodedRoute::encode(route, self.base)).collect();
        self.chunks(kind::ROUTES, destination, &routes);
        let listed: Vec<_> = record.listed.iter().filter(|listed| has_short_texts(listed)).collect();
        self.chunks(kind::ENDPOINTS, destination, &listed);
    }

    fn waits(&mut self, destination: u16, record: &DestinationRecord) {
        let base = self.base;
        for route in record.routes.iter().filter(|route| route.snapshot.wait_until > base) {
            let endpoint = route.endpoint.as_deref().unwrap_or_default();
            if fits(endpoint) {
                let (destination, until) =
                    (destination.to_le_bytes(), route.snapshot.wait_until.to_le_bytes());
                self.frame(kind::WAIT, &[&destination, &until, endpoint.as_bytes()]);
            }
        }
    }

    /// Adds the list's version. The frames of all its endpoints must precede it.
    pub fn list(&mut self, list: ListVersion) {
        self.frame(kind::LIST, &[&list.index.to_le_bytes(), &list.confirmed_at.to_le_bytes()]);
    }

    /// Completes the baseline, with the number of destinations that there was no space for.
    pub fn baseline_complete(&mut self, omitted: u32) {
        self.frame(kind::BASELINE, &[&omitted.to_le_bytes()]);
    }

    /// Adds a frame which states that a destination has no record any more.
    pub fn removed(&mut self, destination: u16) {
        self.frame(kind::REMOVED, &[&destination.to_le_bytes()]);
    }
}

fn fits(text: &str) -> bool {
    text.len() <= MAX_TEXT_BYTES
}

fn has_short_texts(listed: &ListedEndpoint) -> bool {
    [&listed.name, &listed.address, &listed.zone, &listed.kind].into_iter().all(|text| fits(text))
}
