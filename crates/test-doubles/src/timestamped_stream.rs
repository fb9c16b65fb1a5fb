//! When bytes came, as the system noted it: a partner that is read late, because the machine is busy, does not make its
//! callers late. Source: the kernel's notes on `SO_TIMESTAMPING` (software stamps of what is received).

use std::io::{self, IoSliceMut, Read};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::sys::socket::{
    ControlMessageOwned, MsgFlags, SockaddrIn, TimestampingFlag, Timestamps, recvmsg, setsockopt, sockopt,
};
use nix::sys::time::TimeSpec;

/// A stream that tells when the last bytes read from it came.
#[derive(Debug)]
pub struct Stamped {
    stream: TcpStream,
    arrived: SystemTime,
}

impl Stamped {
    /// Asks the system to note when bytes come.
    ///
    /// # Errors
    /// Fails where the system does not.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        let software =
            TimestampingFlag::SOF_TIMESTAMPING_RX_SOFTWARE | TimestampingFlag::SOF_TIMESTAMPING_SOFTWARE;
        setsockopt(&stream, sockopt::Timestamping, &software)?;
        Ok(Self { stream, arrived: SystemTime::now() })
    }

    /// When the last byte that was read came, by the wall's clock; when it was read, where the system tells nothing.
    pub fn came(&self) -> SystemTime {
        self.arrived
    }
}

impl Read for Stamped {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let mut notes = nix::cmsg_space!(Timestamps);
        let mut into = [IoSliceMut::new(buffer)];
        let fd = self.stream.as_raw_fd();
        let read = recvmsg::<SockaddrIn>(fd, &mut into, Some(&mut notes), MsgFlags::empty())?;
        self.arrived = SystemTime::now();
        for note in read.cmsgs()? {
            if let ControlMessageOwned::ScmTimestampsns(stamps) = note
                && stamps.system != TimeSpec::new(0, 0)
            {
                self.arrived = UNIX_EPOCH + Duration::from(stamps.system);
            }
        }
        Ok(read.bytes)
    }
}

#[cfg(test)]
mod tests;
