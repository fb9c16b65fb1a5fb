//! Migration of the file of versions before 0.2, with the process killed at every operation.

use super::*;
use crate::sim::{Fault, SimDisk};
use crate::{Abandonment, AcceptedMessage, Journal, Options};

fn encode(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let body = postcard::to_allocvec(record).unwrap();
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
    }
    bytes
}

fn legacy_file() -> (Vec<u8>, State) {
    let message = |id: &str| {
        std::sync::Arc::new(AcceptedMessage {
            id: id.into(),
            key: None,
            class: "order".into(),
            destination: 7,
            deadline: 9,
            body: vec![1; 100].into(),
        })
    };
    let started = |message| Record::AttemptStarted { message, attempt: 0, endpoint: "e1".into(), at: 5 };
    let records = [
        Record::Accepted(1, message("a")),
        Record::Accepted(2, message("b")),
        started(1),
        started(2),
        Record::AttemptEnded { message: 1, attempt: 0, never_ran: true },
        Record::Abandoned(2, Abandonment::Undeliverable),
        Record::Accepted(3, message("completed")),
        Record::Completed(3),
    ];
    let mut state = State::default();
    let bytes = encode(&records);
    read(&bytes, &mut state);
    assert_eq!(state.live().len(), 2);
    (bytes, state)
}

/// An earlier version's file is neither lost nor applied twice if the process is killed at any operation of its
/// migration.
#[test]
fn a_legacy_file_is_migrated_once() {
    let (bytes, state) = legacy_file();
    for sync in [false, true] {
        let options = Options { limit: 100_000, sync, ..Options::default() };
        let disk = SimDisk::new();
        disk.put(FILE_NAME, &[&bytes[..], &bytes[..20]].concat());
        let (mut journal, report) = Journal::open_on(Box::new(disk.clone()), options.clone(), 1).unwrap();
        assert!(report.migrated && report.damaged.is_empty());
        assert_eq!(journal.live(), state.live());
        assert_eq!(journal.figures().used, disk.used());
        journal.append(1, &mut vec![Record::Completed(1)]).unwrap();
        journal.compact_step(1).unwrap();
        assert!(disk.bytes(FILE_NAME).is_none(), "the legacy file is removed");
        let (reopened, report) = Journal::open_on(Box::new(disk.clone()), options.clone(), 1).unwrap();
        assert_eq!(reopened.live(), journal.live());
        assert!(!report.migrated);
        for kill in 0..disk.operations() {
            for kept in [0, 1, 60] {
                let disk = SimDisk::new();
                disk.put(FILE_NAME, &bytes);
                disk.inject(kill, Fault::Kill(kept));
                if let Ok((mut journal, _)) = Journal::open_on(Box::new(disk.clone()), options.clone(), 1) {
                    let _ = journal.append(1, &mut vec![Record::Abandoned(1, Abandonment::Undeliverable)]);
                    let _ = journal.compact_step(1);
                }
                disk.restart();
                disk.clear_faults();
                let (journal, report) = Journal::open_on(Box::new(disk), options.clone(), 1).unwrap();
                assert!(report.damaged.is_empty(), "{kill}, {kept}: {report}");
                assert!(journal.live().len() == 2 && journal.live().contains_key(&1), "{kill}, {kept}");
                assert_eq!(journal.live()[&2], state.live()[&2], "{kill}, {kept}");
            }
        }
    }
}
