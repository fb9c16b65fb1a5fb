//! The file `journal` of versions before 0.2: one file, each record framed by its length and checksum. It is read once.

use crate::record::Record;
use crate::state::State;

/// Its name.
pub const NAME: &str = "journal";
/// A frame's length and checksum.
const FRAME: usize = 8;

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

/// The record at the start, and what it takes up.
fn unframe(bytes: &[u8]) -> Option<(Record, usize)> {
    let end = (u32_at(bytes, 0)? as usize).checked_add(FRAME)?;
    let body = bytes.get(FRAME..end)?;
    let intact = crc32fast::hash(body) == u32_at(bytes, 4)?;
    Some((postcard::from_bytes(body).ok().filter(|_| intact)?, end))
}

/// Takes its records into a state, up to the first that can't be read, as that version did.
pub fn read(bytes: &[u8], state: &mut State) {
    let mut at = 0;
    while let Some((record, size)) = bytes.get(at..).and_then(unframe) {
        state.apply(record, 0);
        at += size;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::sim::{Fault, SimDisk};
    use crate::{Abandonment, AcceptedMessage, Journal, Options};

    fn write(records: &[Record]) -> Vec<u8> {
        let mut bytes = Vec::new();
        for record in records {
            let body = postcard::to_allocvec(record).unwrap();
            bytes.extend((body.len() as u32).to_le_bytes());
            bytes.extend(crc32fast::hash(&body).to_le_bytes());
            bytes.extend(body);
        }
        bytes
    }

    fn old() -> (Vec<u8>, State) {
        let taken = |id: &str| {
            std::sync::Arc::new(AcceptedMessage {
                id: id.into(),
                key: None,
                class: "order".into(),
                destination: 7,
                deadline: 9,
                body: vec![1; 100].into(),
            })
        };
        let begun = |message| Record::AttemptStarted { message, attempt: 0, endpoint: "e1".into(), at: 5 };
        let records = [
            Record::Accepted(1, taken("a")),
            Record::Accepted(2, taken("b")),
            begun(1),
            begun(2),
            Record::AttemptEnded { message: 1, attempt: 0, never_ran: true },
            Record::Abandoned(2, Abandonment::Undeliverable),
            Record::Accepted(3, taken("over")),
            Record::Completed(3),
        ];
        let mut state = State::default();
        let bytes = write(&records);
        read(&bytes, &mut state);
        assert_eq!(state.live().len(), 2);
        (bytes, state)
    }

    /// Guards against an earlier version's file that is lost, or taken in twice, wherever its carrying over ends.
    #[test]
    fn a_file_of_an_earlier_version_is_carried_over_once() {
        let (bytes, state) = old();
        for sync in [false, true] {
            let options = Options { limit: 100_000, sync, ..Options::default() };
            let whole = SimDisk::new();
            whole.put(NAME, &[&bytes[..], &bytes[..20]].concat());
            let (mut journal, report) =
                Journal::open_on(Box::new(whole.clone()), options.clone(), 1).unwrap();
            assert!(report.migrated && report.damaged.is_empty());
            assert_eq!(journal.live(), state.live());
            assert_eq!(journal.figures().used, whole.used());
            journal.append(1, &mut vec![Record::Completed(1)]).unwrap();
            journal.compact_step(1).unwrap();
            assert!(whole.bytes(NAME).is_none(), "it has gone");
            let (again, report) = Journal::open_on(Box::new(whole.clone()), options.clone(), 1).unwrap();
            assert_eq!(again.live(), journal.live());
            assert!(!report.migrated);
            for kill in 0..whole.operations() {
                for left in [0, 1, 60] {
                    let disk = SimDisk::new();
                    disk.put(NAME, &bytes);
                    disk.fail(kill, Fault::Kill(left));
                    if let Ok((mut journal, _)) = Journal::open_on(Box::new(disk.clone()), options.clone(), 1)
                    {
                        let _ =
                            journal.append(1, &mut vec![Record::Abandoned(1, Abandonment::Undeliverable)]);
                        let _ = journal.compact_step(1);
                    }
                    disk.restart();
                    disk.mend();
                    let (journal, report) = Journal::open_on(Box::new(disk), options.clone(), 1).unwrap();
                    assert!(report.damaged.is_empty(), "{kill}, {left}: {report}");
                    assert!(journal.live().len() == 2 && journal.live().contains_key(&1), "{kill}, {left}");
                    assert_eq!(journal.live()[&2], state.live()[&2], "{kill}, {left}");
                }
            }
        }
    }
}
