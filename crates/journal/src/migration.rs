//! Migration of an earlier version's file: writes the state that results from it as the first segment.

use std::io;

use crate::disk::Disk;
use crate::format::{FrameWriter, HEADER_SIZE, SegmentHeader};
use crate::record::Micros;
use crate::segment::{BLOCK_SIZE, Segment, file_name, size_on_disk};
use crate::state::State;
use crate::store::Options;

/// Name of the new segment's file until it is complete.
pub const FILE_NAME: &str = "journal.new";
/// Bytes of encoded frames after which they are written.
const CHUNK_SIZE: usize = 1 << 20;
/// Sequence number of the first segment.
const FIRST_SEQUENCE: u64 = 1;

/// Writes a state as the first segment. `used` bytes of the limit are already occupied.
///
/// # Errors
/// Fails when the segment does not fit within the limit, or the system fails. The segment does not exist then.
pub fn write_first_segment(
    disk: &mut dyn Disk,
    options: &Options,
    state: &State,
    used: u64,
    now: Micros,
) -> io::Result<Segment> {
    let mut output = Output { disk, segment: Segment::new(FIRST_SEQUENCE, 0), limit: options.limit, used };
    output.create(now)?;
    let mut writer = FrameWriter::default();
    writer.batch_start(FIRST_SEQUENCE, now, 0, 0);
    for (message, pending) in state.live() {
        writer.relocated(FIRST_SEQUENCE, *message, pending).map_err(io::Error::other)?;
        output.segment.messages.push(*message);
        if writer.bytes().len() > CHUNK_SIZE {
            output.write(&mut writer)?;
        }
    }
    output.write(&mut writer)?;
    output.complete(options.sync)
}

/// The new segment's file while it is written.
struct Output<'a> {
    disk: &'a mut dyn Disk,
    segment: Segment,
    limit: u64,
    used: u64,
}

impl Output<'_> {
    fn create(&mut self, now: Micros) -> io::Result<()> {
        let header = SegmentHeader {
            sequence: FIRST_SEQUENCE,
            floor: FIRST_SEQUENCE,
            records_before: 0,
            created_at: now,
        };
        self.disk.create(FILE_NAME)?;
        self.disk.append(FILE_NAME, &header.to_bytes())?;
        self.segment.length = HEADER_SIZE as u64;
        Ok(())
    }

    /// Appends the writer's frames and clears it.
    fn write(&mut self, writer: &mut FrameWriter) -> io::Result<()> {
        self.segment.length += writer.length();
        self.segment.records += writer.frames();
        if self.used + size_on_disk(self.segment.length) + BLOCK_SIZE > self.limit {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.disk.append(FILE_NAME, writer.bytes())?;
        writer.clear();
        Ok(())
    }

    /// Gives the complete file its name as a segment.
    fn complete(self, sync: bool) -> io::Result<Segment> {
        if sync {
            self.disk.sync(FILE_NAME)?;
        }
        self.disk.rename(FILE_NAME, &file_name(FIRST_SEQUENCE))?;
        if sync {
            self.disk.sync_names()?;
        }
        Ok(self.segment)
    }
}
