//! Reads a response through a [`CopyFilter`]: holds back what may be a second copy of the response before it.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::connection_reuse::{CopyFilter, Filtered};
use crate::stall_detector;

/// Bytes that are read at a time while a response may be a copy.
const READ_SIZE: usize = 4 * 1024;

/// The longest time between two parts of a copy. A response that breaks off is read after this time.
const MAX_GAP: Duration = Duration::from_millis(50);

/// A [`CopyFilter`], and bytes of the response that it has not let through yet.
#[derive(Debug)]
pub(super) struct ResponseFilter {
    filter: CopyFilter,
    /// Elapses when what may be a copy is read, unless more has arrived.
    hold: Option<Pin<Box<Sleep>>>,
    /// Bytes to be read before those of the stream.
    unread: Vec<u8>,
    /// It is known what is to be read: the rest of the response is not filtered.
    decided: bool,
    /// The time of a copy is over, and nothing has followed it: nothing is read any more.
    unconfirmed: bool,
}

impl ResponseFilter {
    pub(super) fn new(filter: CopyFilter) -> Self {
        Self { filter, hold: None, unread: Vec::new(), decided: false, unconfirmed: false }
    }

    /// Whether what arrived came too early to be the response, and nothing has followed it: it is not known whether the
    /// request was answered.
    pub(super) fn is_unconfirmed(&self) -> bool {
        !self.decided && self.filter.is_unconfirmed()
    }

    /// Whether the rest of the response can be read from the stream itself.
    pub(super) fn is_done(&self) -> bool {
        self.decided && self.unread.is_empty()
    }

    /// Reads from the stream what is not held back. `since_last_byte` is the time since the last byte of the request was
    /// sent.
    pub(super) fn poll_read(
        &mut self,
        stream: &mut TcpStream,
        since_last_byte: impl Fn() -> Duration,
        cx: &mut Context,
        buf: &mut ReadBuf,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_unread(stream, since_last_byte, cx))?;
        let size = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..size]);
        self.unread.drain(..size);
        Poll::Ready(Ok(()))
    }

    /// Reads from the stream until it is known what is to be read, or the stream has ended. Fails if that can't be known
    /// any more.
    fn poll_unread(
        &mut self,
        stream: &mut TcpStream,
        since_last_byte: impl Fn() -> Duration,
        cx: &mut Context,
    ) -> Poll<io::Result<()>> {
        while !self.decided {
            if self.unconfirmed {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
            let mut bytes = [0; READ_SIZE];
            let mut received = ReadBuf::new(&mut bytes);
            let read = Pin::new(&mut *stream).poll_read(cx, &mut received);
            // The data may have arrived earlier than now, while the process stalled.
            let after = since_last_byte().saturating_sub(stall_detector::max_read_delay());
            match read {
                Poll::Pending => {
                    let Some(hold) = &mut self.hold else { return Poll::Pending };
                    ready!(hold.as_mut().poll(cx));
                    self.nothing_follows();
                }
                Poll::Ready(result) if result.is_err() || received.filled().is_empty() => {
                    // What was held back is read before the end of the stream, which a later read returns again.
                    self.nothing_follows();
                    if self.decided && self.unread.is_empty() {
                        return Poll::Ready(result);
                    }
                }
                Poll::Ready(_) => match self.filter.arrived(received.filled(), after) {
                    Filtered::Incomplete => self.hold = Some(Box::pin(sleep(MAX_GAP))),
                    Filtered::Held => self.hold = Some(Box::pin(sleep(self.filter.hold()))),
                    Filtered::Read(bytes) => self.read(bytes),
                },
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Nothing follows what was held back.
    fn nothing_follows(&mut self) {
        if self.filter.is_unconfirmed() {
            self.unconfirmed = true;
        } else {
            self.read(self.filter.held().to_vec());
        }
    }

    /// These bytes are read, and then all that follows.
    fn read(&mut self, bytes: Vec<u8>) {
        self.unread = bytes;
        self.decided = true;
    }
}
