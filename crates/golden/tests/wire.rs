//! Compares the bytes that the current code sends with the recorded ones.

use std::path::Path;

use golden::wire::{KINDS, current_text};

/// Asserts that the current code produces the recorded text of a kind. A name on the wire that changed together with a name in the
/// code would break peers of other versions, partners, clients, the platform and operators' scripts.
fn assert_unchanged(kind: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("data/wire").join(format!("{kind}.txt"));
    let recorded = std::fs::read_to_string(path).expect("the recorded file exists");
    let current_text = current_text(kind).expect("the kind exists");
    let mut lines = recorded.lines().zip(current_text.lines()).enumerate();
    if let Some((n, (recorded_line, current_line))) =
        lines.find(|(_, (recorded_line, current_line))| recorded_line != current_line)
    {
        panic!("{kind}.txt, line {}:\n  recorded {recorded_line}\n  current  {current_line}", n + 1);
    }
    assert_eq!(recorded, current_text, "{kind}.txt has another length");
}

macro_rules! kinds {
    ($($kind:ident)*) => {
        $(
            #[test]
            fn $kind() {
                assert_unchanged(stringify!($kind));
            }
        )*

        #[test]
        fn each_kind_has_a_test() {
            assert_eq!(KINDS.map(|(name, _)| name).to_vec(), [$(stringify!($kind)),*]);
        }
    };
}

kinds!(simulator actions settings gossip endpoints platform clients admin operators logs);
