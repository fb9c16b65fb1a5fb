//! The byte format: round trips, damage and size limits.

use std::sync::Arc;

use super::*;
use crate::record::{Abandonment, AcceptedMessage, Attempt, LedgerEntry};

fn pending() -> PendingMessage {
    let message = Arc::new(AcceptedMessage {
        id: "id".into(),
        key: Some(String::new()),
        class: "note".into(),
        destination: 7,
        deadline: u64::MAX,
        body: vec![0, 255].into(),
    });
    let mut pending = PendingMessage::new(message, 0);
    pending.abandoned = Some(Abandonment::Deferred(9));
    pending.attempts = vec![
        Attempt { number: 0, endpoint: "e1".into(), at: 5, never_ran: true },
        Attempt { number: 2, endpoint: "".into(), at: 0, never_ran: false },
    ];
    pending
}

fn entries() -> Vec<LogEntry> {
    let pending = pending();
    let mut bare = pending.clone();
    (bare.abandoned, bare.attempts) = (None, vec![]);
    Arc::make_mut(&mut bare.message).key = None;
    vec![
        LogEntry::BatchStart { at: 3, records_before: 4, durable_bytes: 5 },
        LogEntry::Record(Record::Accepted(u32::MAX, pending.message.clone())),
        LogEntry::Record(Record::AttemptStarted { message: 1, attempt: 2, endpoint: "æ".into(), at: 3 }),
        LogEntry::Record(Record::AttemptEnded { message: 1, attempt: 2, never_ran: true }),
        LogEntry::Record(Record::Abandoned(1, Abandonment::Undeliverable)),
        LogEntry::Record(Record::Completed(1)),
        LogEntry::Record(Record::LedgerEntry(LedgerEntry { id: "x".into(), delivered: true, at: 8 })),
        LogEntry::Relocated(1, pending),
        LogEntry::Relocated(2, bare),
        LogEntry::Floor(9),
    ]
}

fn encoded(segment: u64, entries: &[LogEntry]) -> FrameWriter {
    let mut writer = FrameWriter::default();
    for entry in entries {
        match entry {
            LogEntry::BatchStart { at, records_before, durable_bytes } => {
                writer.batch_start(segment, *at, *records_before, *durable_bytes)
            }
            LogEntry::Record(record) => writer.record(segment, record).unwrap(),
            LogEntry::Relocated(message, pending) => writer.relocated(segment, *message, pending).unwrap(),
            LogEntry::Floor(floor) => writer.floor(segment, *floor),
        }
    }
    writer
}

fn read(segment: u64, bytes: &[u8]) -> (Vec<LogEntry>, usize) {
    let (mut entries, mut at) = (vec![], 0);
    while let Some(frame) = frame_at(segment, bytes, at) {
        entries.push(frame.read().unwrap());
        at = frame.end();
    }
    (entries, at)
}

#[test]
fn frames_round_trip_and_belong_to_their_segment() {
    let writer = encoded(3, &entries());
    assert_eq!(read(3, writer.bytes()), (entries(), writer.bytes().len()));
    assert_eq!(writer.frames() as usize, entries().len());
    assert_eq!(read(4, writer.bytes()).0, [], "bytes of another segment are not valid frames");
}

#[test]
fn truncated_frames_and_flipped_bits_are_rejected() {
    for entry in entries() {
        let bytes = encoded(1, std::slice::from_ref(&entry)).bytes().to_vec();
        for end in 0..bytes.len() {
            assert!(frame_at(1, &bytes[..end], 0).is_none());
        }
        for bit in 0..bytes.len() * 8 {
            let mut changed = bytes.clone();
            changed[bit / 8] ^= 1 << (bit % 8);
            assert!(frame_at(1, &changed, 0).is_none(), "bit {bit} of {entry:?}");
        }
    }
    assert!(frame_at(0, &[0; 64], 0).is_none(), "zeros are not a frame");
}

#[test]
fn header_errors_are_distinguished() {
    let header = SegmentHeader { sequence: 5, floor: 3, records_before: 77, created_at: 8 };
    let bytes = header.to_bytes();
    assert_eq!(SegmentHeader::read(&bytes), Ok(header));
    assert_eq!(SegmentHeader::read(&bytes[..HEADER_SIZE - 1]), Err(HeaderError::Truncated));
    for bit in 0..HEADER_SIZE * 8 {
        let mut changed = bytes;
        changed[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(SegmentHeader::read(&changed), Err(HeaderError::Corrupt), "bit {bit}");
    }
    let mut other = bytes;
    other[8] = 9;
    let crc = crc32fast::hash(&other[..HEADER_SIZE - 4]);
    other[HEADER_SIZE - 4..].copy_from_slice(&crc.to_le_bytes());
    assert_eq!(SegmentHeader::read(&other), Err(HeaderError::UnsupportedVersion(9)));
}

/// The intact batches after a damaged range are found, and nothing else. By them recovery distinguishes damage from a
/// torn write.
#[test]
fn batches_after_a_damaged_range_are_found() {
    let first = encoded(1, &entries()).bytes().to_vec();
    let mut both = first.clone();
    both.extend(encoded(1, &entries()).bytes());
    let found =
        |segment, from| batch_starts(segment, &both, from).map(|batch| batch.offset).collect::<Vec<_>>();
    assert_eq!(found(1, 0), [0, first.len()]);
    assert_eq!(found(1, 1), [first.len()]);
    assert_eq!(found(1, first.len() + 1), [], "no batch starts within the last batch");
    assert_eq!(found(2, 0), [], "batches of another segment are not found");
}

#[test]
fn a_record_that_is_too_long_leaves_nothing_in_the_buffer() {
    let mut writer = FrameWriter::default();
    let long = Record::AttemptStarted { message: 1, attempt: 0, endpoint: "e".repeat(70_000).into(), at: 0 };
    assert_eq!(writer.record(1, &long), Err(RecordTooLong));
    let mut big = pending();
    Arc::make_mut(&mut big.message).body = vec![0; MAX_FRAME_BODY].into();
    assert_eq!(writer.record(1, &Record::Accepted(1, big.message.clone())), Err(RecordTooLong));
    assert_eq!(writer.relocated(1, 1, &big), Err(RecordTooLong));
    assert_eq!((writer.bytes().len(), writer.frames()), (0, 0));
}

#[test]
fn relocated_size_is_the_encoded_size() {
    let mut pending = pending();
    pending.attempts.clear();
    let encoded = encoded(1, &[LogEntry::Relocated(1, pending.clone())]);
    assert_eq!(encoded.bytes().len() as u64, relocated_size(&pending.message));
}
