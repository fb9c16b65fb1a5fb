//! What goes over sockets today is, byte for byte, what was recorded.

use std::path::Path;

use golden::wire::{KINDS, today};

/// Guards peers of other versions, partners, clients, the platform and scripts against names that changed with the code's.
fn unchanged(kind: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("data/wire").join(format!("{kind}.txt"));
    let recorded = std::fs::read_to_string(path).expect("it was recorded");
    let today = today(kind).expect("a kind that is known");
    let mut lines = recorded.lines().zip(today.lines()).enumerate();
    if let Some((n, (before, now))) = lines.find(|(_, (before, now))| before != now) {
        panic!("{kind}.txt, line {}:\n  recorded {before}\n  today    {now}", n + 1);
    }
    assert_eq!(recorded, today, "{kind}.txt is of another length");
}

macro_rules! kinds {
    ($($kind:ident)*) => {
        $(
            #[test]
            fn $kind() {
                unchanged(stringify!($kind));
            }
        )*

        #[test]
        fn each_kind_has_its_test() {
            assert_eq!(KINDS.map(|(name, _)| name).to_vec(), [$(stringify!($kind)),*]);
        }
    };
}

kinds!(simulator actions settings gossip endpoints platform clients admin operators logs);
