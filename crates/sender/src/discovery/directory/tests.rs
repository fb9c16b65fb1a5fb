use super::*;
use std::cell::RefCell;
use std::collections::BTreeMap;

use decision::interface::MessageId;

use crate::ports::{CallMessage, WriteOptions};

/// Where endpoints are, and nothing else.
#[derive(Default)]
struct Places(RefCell<BTreeMap<EndpointId, String>>);

impl Transport for Places {
    fn set_address(&self, endpoint: EndpointId, address: &str) -> bool {
        self.0.borrow_mut().insert(endpoint, address.to_owned());
        true
    }
    fn address(&self, endpoint: EndpointId) -> Option<String> {
        self.0.borrow().get(&endpoint).cloned()
    }
    fn forget(&self, endpoint: EndpointId) {
        self.0.borrow_mut().remove(&endpoint);
    }
    fn start(&self, _: (RouteId, EndpointId), _: Vec<CallMessage>, _: WriteOptions) {}
    fn cancel(&self, _: MessageId, _: u16) {}
    fn probe(&self, _: EndpointId) {}
    fn close_idle(&self, _: EndpointId) {}
    fn messages_written(&self) -> u64 {
        0
    }
    fn attempts_in_flight(&self) -> usize {
        0
    }
    fn outstanding_attempts(&self) -> Vec<(MessageId, u16, EndpointId)> {
        vec![]
    }
}

/// A directory, and what the module knows by what it was told.
struct Side {
    directory: Directory,
    places: Rc<Places>,
    told: BTreeMap<EndpointId, (u16, Listing)>,
}

impl Side {
    fn new() -> Self {
        let (places, told) = (Rc::new(Places::default()), BTreeMap::new());
        let directory = Directory::new(Names::default(), vec![], vec![places.clone()], Ejections::default());
        Self { directory, places, told }
    }

    fn hear(&mut self, event: Event) {
        let entries = match event {
            Event::EndpointList(entries) => {
                self.told.clear();
                entries
            }
            Event::EndpointChanges(entries) => entries,
            other => panic!("{other:?}"),
        };
        for entry in entries {
            if entry.listing == Listing::Gone {
                self.told.remove(&entry.endpoint);
            } else {
                self.told.insert(entry.endpoint, (entry.destination.0, entry.listing));
            }
        }
    }

    /// All that is listed, by name, with its place. No place is left of what is forgotten.
    fn all(&self) -> Vec<String> {
        let places = self.places.0.borrow();
        assert_eq!(places.len(), self.directory.endpoints.len());
        let all = self.told.iter().map(|(id, (group, listing))| {
            format!("{} {group} {listing:?} at {}", self.directory.name(*id), places[id])
        });
        all.collect::<BTreeSet<_>>().into_iter().collect()
    }
}

fn list(rng: &mut fastrand::Rng) -> EndpointList {
    let snapshot = rng.u8(..3) == 0;
    let most = rng.usize(1..30);
    let endpoints = (0..most)
        .map(|_| Listed {
            name: format!("e{}", rng.u8(..40)),
            address: format!("place {}", rng.u8(..3)),
            zone: String::new(),
            kind: String::new(),
            group: rng.u16(..3),
            status: ["active", "active", "leaving", "left"][rng.usize(..4)].to_owned(),
            weight: 1.0,
        })
        .collect();
    EndpointList { index: 0, snapshot, endpoints }
}

/// Bit by bit and at once come to the same, whatever comes in between. Another first seed in LIST_SEED gives other
/// runs.
#[test]
fn a_list_that_is_taken_in_bit_by_bit_comes_to_the_same() {
    let first = std::env::var("LIST_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("LIST_SEED={first}");
    for seed in first..first + 300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut once, mut bits) = (Side::new(), Side::new());
        let referred = [format!("e{}", rng.u8(..40))];
        let referred = || referred.iter().map(String::as_str);
        for _ in 0..12 {
            let list = list(&mut rng);
            let said = once.directory.apply(&list, referred);
            once.hear(said);
            bits.directory.enqueue(Arc::new(list)).unwrap();
            // Now and then the next one comes before this one is at its end.
            let patience = if rng.bool() { rng.usize(..6) } else { usize::MAX };
            for _ in 0..patience {
                if !bits.directory.has_pending() {
                    break;
                }
                let size = rng.usize(1..10);
                let said = bits.directory.apply_slice(size, referred);
                // A name that moves to another destination brings two entries.
                assert!(matches!(&said, Event::EndpointChanges(entries) if entries.len() <= 2 * size));
                bits.hear(said);
            }
            if !bits.directory.has_pending() {
                assert_eq!(bits.all(), once.all(), "seed {seed}");
            }
        }
        while bits.directory.has_pending() {
            let said = bits.directory.apply_slice(7, referred);
            bits.hear(said);
        }
        assert_eq!(bits.all(), once.all(), "seed {seed}");
    }
}

#[test]
fn what_waits_is_bounded_and_a_whole_list_makes_up_for_it() {
    let mut side = Side::new();
    let entry = |n: usize| Listed {
        name: format!("e{n}"),
        address: String::new(),
        zone: String::new(),
        kind: String::new(),
        group: 1,
        status: "active".to_owned(),
        weight: 1.0,
    };
    let list = |count: usize, snapshot| EndpointList {
        index: 0,
        snapshot,
        endpoints: (0..count).map(entry).collect(),
    };
    side.directory.enqueue(Arc::new(list(MAX_PENDING_ENTRIES, false))).unwrap();
    assert_eq!(side.directory.enqueue(Arc::new(list(1, false))), Err(TooManyPending));
    assert!(!side.directory.has_pending());
    side.directory.enqueue(Arc::new(list(MAX_PENDING_ENTRIES, false))).unwrap();
    side.directory.enqueue(Arc::new(list(10, true))).unwrap();
    let said = side.directory.apply_slice(SLICE_ENTRIES, || [].into_iter());
    side.hear(said);
    assert_eq!((side.directory.has_pending(), side.told.len()), (false, 10));
    // Short ones come at once, unless they take much away or come behind what waits.
    assert!(
        !side.directory.needs_slicing(&list(5, true))
            && side.directory.needs_slicing(&list(SLICE_ENTRIES + 1, true))
    );
    side.directory.apply(&list(2 * SLICE_ENTRIES, true), || [].into_iter());
    assert!(side.directory.needs_slicing(&list(5, true)) && !side.directory.needs_slicing(&list(5, false)));
    side.directory.enqueue(Arc::new(list(5, true))).unwrap();
    assert!(side.directory.needs_slicing(&list(5, false)));
}
