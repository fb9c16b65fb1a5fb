use super::*;
use std::cell::RefCell;
use std::collections::BTreeMap;

use decision::interface::MessageId;

use super::updates::MAX_PENDING_ENTRIES;
use crate::discovery::endpoint_list::{EndpointList, EndpointListing as Listed};
use crate::ports::{CallMessage, WriteOptions};

/// A transport that stores addresses and does nothing else.
#[derive(Default)]
struct AddressBook(RefCell<BTreeMap<EndpointId, String>>);

impl Transport for AddressBook {
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

/// A directory, and the endpoints as the decision module has them after the directory's events.
struct Replica {
    directory: Directory,
    address_book: Rc<AddressBook>,
    listed_endpoints: BTreeMap<EndpointId, (u16, Listing)>,
}

impl Replica {
    fn new() -> Self {
        let (address_book, listed_endpoints) = (Rc::new(AddressBook::default()), BTreeMap::new());
        let directory =
            Directory::new(Names::default(), vec![], vec![address_book.clone()], Ejections::default());
        Self { directory, address_book, listed_endpoints }
    }

    fn apply_event(&mut self, event: Event) {
        let entries = match event {
            Event::EndpointList(entries) => {
                self.listed_endpoints.clear();
                entries
            }
            Event::EndpointChanges(entries) => entries,
            other => panic!("{other:?}"),
        };
        for entry in entries {
            if entry.listing == Listing::Gone {
                self.listed_endpoints.remove(&entry.endpoint);
            } else {
                self.listed_endpoints.insert(entry.endpoint, (entry.destination.0, entry.listing));
            }
        }
    }

    /// All listed endpoints by name, with their addresses. Checks that the transport stores no address of a forgotten one.
    fn listing(&self) -> Vec<String> {
        let address_book = self.address_book.0.borrow();
        assert_eq!(address_book.len(), self.directory.endpoints.len());
        let listing = self.listed_endpoints.iter().map(|(id, (group, listing))| {
            format!("{} {group} {listing:?} at {}", self.directory.name(*id), address_book[id])
        });
        listing.collect::<BTreeSet<_>>().into_iter().collect()
    }
}

fn list(rng: &mut fastrand::Rng) -> EndpointList {
    let snapshot = rng.u8(..3) == 0;
    let entry_count = rng.usize(1..30);
    let endpoints = (0..entry_count)
        .map(|_| Listed {
            name: format!("e{}", rng.u8(..40)),
            address: format!("address {}", rng.u8(..3)),
            zone: String::new(),
            kind: String::new(),
            group: rng.u16(..3),
            status: ["active", "active", "leaving", "left"][rng.usize(..4)].to_owned(),
            weight: 1.0,
        })
        .collect();
    EndpointList { index: 0, snapshot, endpoints }
}

/// Lists that are applied in slices have the same result as lists that are applied at once, also if further lists
/// arrive in between. LIST_SEED sets the first seed.
#[test]
fn applying_in_slices_has_same_result_as_at_once() {
    let first = std::env::var("LIST_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1);
    println!("LIST_SEED={first}");
    for seed in first..first + 300 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut at_once, mut sliced) = (Replica::new(), Replica::new());
        let referred = [format!("e{}", rng.u8(..40))];
        let referred = || referred.iter().map(String::as_str);
        for _ in 0..12 {
            let list = list(&mut rng);
            let event = at_once.directory.apply(&list, referred);
            at_once.apply_event(event);
            sliced.directory.enqueue(Arc::new(list)).unwrap();
            // Sometimes the next list arrives before this one is applied completely.
            let slices = if rng.bool() { rng.usize(..6) } else { usize::MAX };
            for _ in 0..slices {
                if !sliced.directory.has_pending() {
                    break;
                }
                let size = rng.usize(1..10);
                let event = sliced.directory.apply_slice(size, referred);
                // A name that moves to another destination brings two entries.
                assert!(matches!(&event, Event::EndpointChanges(entries) if entries.len() <= 2 * size));
                sliced.apply_event(event);
            }
            if !sliced.directory.has_pending() {
                assert_eq!(sliced.listing(), at_once.listing(), "seed {seed}");
            }
        }
        while sliced.directory.has_pending() {
            let event = sliced.directory.apply_slice(7, referred);
            sliced.apply_event(event);
        }
        assert_eq!(sliced.listing(), at_once.listing(), "seed {seed}");
    }
}

#[test]
fn pending_entries_are_bounded_and_full_list_recovers() {
    let mut replica = Replica::new();
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
    replica.directory.enqueue(Arc::new(list(MAX_PENDING_ENTRIES, false))).unwrap();
    assert_eq!(replica.directory.enqueue(Arc::new(list(1, false))), Err(TooManyPending));
    assert!(!replica.directory.has_pending());
    replica.directory.enqueue(Arc::new(list(MAX_PENDING_ENTRIES, false))).unwrap();
    replica.directory.enqueue(Arc::new(list(10, true))).unwrap();
    let event = replica.directory.apply_slice(SLICE_ENTRIES, || [].into_iter());
    replica.apply_event(event);
    assert_eq!((replica.directory.has_pending(), replica.listed_endpoints.len()), (false, 10));
    // A short list is applied at once, unless it removes many endpoints or another list is pending.
    assert!(
        !replica.directory.needs_slicing(&list(5, true))
            && replica.directory.needs_slicing(&list(SLICE_ENTRIES + 1, true))
    );
    replica.directory.apply(&list(2 * SLICE_ENTRIES, true), || [].into_iter());
    assert!(
        replica.directory.needs_slicing(&list(5, true)) && !replica.directory.needs_slicing(&list(5, false))
    );
    replica.directory.enqueue(Arc::new(list(5, true))).unwrap();
    assert!(replica.directory.needs_slicing(&list(5, false)));
}
