//! What frames contain.

use super::frame::Frame;
use super::route::EncodedRoute;
use super::{Chunk, VERSION, kind};
use crate::timestamp::{Boot, Timestamp};
use crate::{ListVersion, ListedEndpoint, Micros, RouteKey, RouteRecord};

/// A frame's content.
#[derive(Debug, Clone, PartialEq)]
pub enum Entry {
    /// The first frame of an append.
    Timestamp(Timestamp),
    /// An active wait: a Retry-After, or the sender's own backoff.
    Wait {
        /// The route that it is for.
        route: RouteKey,
        /// When it ends.
        until: Micros,
    },
    /// Some of a destination's routes.
    Routes {
        /// The destination.
        destination: u16,
        /// Whether they replace the routes that precede them.
        first: bool,
        /// The routes.
        routes: Vec<RouteRecord>,
    },
    /// Some of a destination's endpoints.
    Endpoints {
        /// The destination.
        destination: u16,
        /// Whether they replace the endpoints that precede them.
        first: bool,
        /// The endpoints.
        listed: Vec<ListedEndpoint>,
    },
    /// The list's version; all endpoints of the list up to it precede this frame.
    List(ListVersion),
    /// The baseline is complete: this generation has a record of each destination except the omitted ones.
    BaselineComplete {
        /// Destinations for which there was no space.
        omitted: u32,
    },
    /// A destination has no record any more.
    Removed(u16),
    /// A frame that this version can't decode.
    Unknown,
}

impl Frame<'_> {
    /// Decodes the frame. `version` is the generation's format version, `base` the wall time of the timestamp before the frame.
    pub fn read(&self, version: u16, base: Micros) -> Entry {
        self.decode(version, base).unwrap_or(Entry::Unknown)
    }

    fn decode(&self, version: u16, base: Micros) -> Option<Entry> {
        match self.kind {
            kind::TIMESTAMP => self.timestamp(),
            kind::WAIT => self.wait(),
            _ if version != VERSION => None,
            kind::ROUTES => {
                let chunk: Chunk<Vec<EncodedRoute>> = postcard::from_bytes(self.payload).ok()?;
                let routes = chunk.items.into_iter().map(|route| route.decode(base)).collect();
                Some(Entry::Routes { destination: chunk.destination, first: chunk.first, routes })
            }
            kind::ENDPOINTS => {
                let Chunk { destination, first, items } = postcard::from_bytes(self.payload).ok()?;
                Some(Entry::Endpoints { destination, first, listed: items })
            }
            kind::LIST => {
                Some(Entry::List(ListVersion { index: self.u64_at(0)?, confirmed_at: self.u64_at(8)? }))
            }
            kind::BASELINE => {
                let omitted = u32::from_le_bytes(self.payload.get(..4)?.try_into().ok()?);
                Some(Entry::BaselineComplete { omitted })
            }
            kind::REMOVED => Some(Entry::Removed(self.u16_at(0)?)),
            _ => None,
        }
    }

    fn timestamp(&self) -> Option<Entry> {
        let id = u128::from_le_bytes(self.payload.get(8..24)?.try_into().ok()?);
        let at = self.u64_at(24)?;
        let boot = (id != 0).then_some(Boot { id, at });
        Some(Entry::Timestamp(Timestamp { wall: self.u64_at(0)?, boot }))
    }

    fn wait(&self) -> Option<Entry> {
        let name = std::str::from_utf8(self.payload.get(10..)?).ok()?;
        let endpoint = (!name.is_empty()).then(|| name.to_owned());
        let route = RouteKey { destination: self.u16_at(0)?, endpoint };
        Some(Entry::Wait { route, until: self.u64_at(2)? })
    }

    fn u16_at(&self, at: usize) -> Option<u16> {
        self.payload.get(at..at + 2)?.try_into().ok().map(u16::from_le_bytes)
    }

    fn u64_at(&self, at: usize) -> Option<u64> {
        self.payload.get(at..at + 8)?.try_into().ok().map(u64::from_le_bytes)
    }
}
