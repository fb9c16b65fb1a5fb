//! Arrival times of received bytes, taken from the kernel (`SO_TIMESTAMPING`, software timestamps on receive; see the
//! kernel's documentation of that option). A test double that reads late because the machine is busy would otherwise make
//! its callers appear late.

use std::io::{self, IoSliceMut, Read};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::sys::socket::{
    ControlMessageOwned, MsgFlags, SockaddrIn, TimestampingFlag, Timestamps, recvmsg, setsockopt, sockopt,
};
use nix::sys::time::TimeSpec;

/// A stream that knows when the bytes last read from it arrived.
#[derive(Debug)]
pub struct TimestampedStream {
    stream: TcpStream,
    arrived: SystemTime,
}

impl TimestampedStream {
    /// Enables the kernel's receive timestamps on the stream.
    ///
    /// # Errors
    /// Fails if the system does not support them.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        let flags =
            TimestampingFlag::SOF_TIMESTAMPING_RX_SOFTWARE | TimestampingFlag::SOF_TIMESTAMPING_SOFTWARE;
        setsockopt(&stream, sockopt::Timestamping, &flags)?;
        Ok(Self { stream, arrived: SystemTime::now() })
    }

    /// Returns when the last byte that was read arrived, by the wall clock; without a kernel timestamp, when it was read.
    pub fn last_arrival(&self) -> SystemTime {
        self.arrived
    }
}

impl Read for TimestampedStream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut control_messages = nix::cmsg_space!(Timestamps);
        let mut buffers = [IoSliceMut::new(buffer)];
        let fd = self.stream.as_raw_fd();
        let read = recvmsg::<SockaddrIn>(fd, &mut buffers, Some(&mut control_messages), MsgFlags::empty())?;
        self.arrived = SystemTime::now();
        for control_message in read.cmsgs()? {
            if let ControlMessageOwned::ScmTimestampsns(timestamps) = control_message
                && timestamps.system != TimeSpec::new(0, 0)
            {
                self.arrived = UNIX_EPOCH + Duration::from(timestamps.system);
            }
        }
        Ok(read.bytes)
    }
}

#[cfg(test)]
mod tests;
