//! The package's decisions, without a sender round them.

use admin::call::{AdminRequest, ID_LIMIT, InvalidRequest, read};
use admin::door::{AdmissionGate, LINGER};
use admin::figures::{FinalOutcome, Gauges, OutcomeCounts};
use admin::held_out::{EjectError, Ejections, RetiredNames};
use proptest::prelude::*;

#[test]
fn calls_are_told_from_what_is_none() {
    let enter = |id: &str| Ok(AdminRequest::Eject(id.to_owned()));
    let long = "x".repeat(ID_LIMIT + 1);
    let too_long = format!("target={long}");
    for (method, path, query, expected) in [
        ("GET", "/status", None, Ok(AdminRequest::Status)),
        ("GET", "/status/metrics", Some("x=1"), Ok(AdminRequest::Metrics)),
        ("POST", "/standby", None, Ok(AdminRequest::Standby)),
        ("POST", "/active", None, Ok(AdminRequest::Active)),
        ("POST", "/maintenance/enter", Some("target=s-5be2a07c"), enter("s-5be2a07c")),
        ("POST", "/maintenance/enter", Some("a=b&target=a%20b%2Fc"), enter("a b/c")),
        ("POST", "/maintenance/exit", Some("target=e"), Ok(AdminRequest::Reinstate("e".into()))),
        ("POST", "/maintenance/exit", Some("target="), Err(InvalidRequest::Target)),
        ("POST", "/maintenance/enter", Some("target=a&target=b"), Err(InvalidRequest::Target)),
        ("POST", "/maintenance/enter", Some(&too_long), Err(InvalidRequest::Target)),
        ("POST", "/maintenance/enter", None, Err(InvalidRequest::Target)),
        ("POST", "/status", None, Err(InvalidRequest::Method)),
        ("GET", "/standby", None, Err(InvalidRequest::Method)),
        ("GET", "/ready", None, Err(InvalidRequest::Path)),
        ("GET", "/status/", None, Err(InvalidRequest::Path)),
    ] {
        assert_eq!(read(method, path, query), expected, "{method} {path} {query:?}");
    }
}

#[test]
fn the_door_is_closed_for_good_by_the_end_of_the_process_alone() {
    let away = AdmissionGate::Open.standby(5);
    assert_eq!(away.standby(9), away, "said once more it changes nothing");
    assert_eq!((away.ready(), away.last_answer()), (false, true));
    assert_eq!(away.close_idle_at(), Some(5 + LINGER));
    assert_eq!(away.active(), AdmissionGate::Open);
    assert_eq!(AdmissionGate::Open.close_idle_at(), None);
    assert_eq!(
        (AdmissionGate::Closing.standby(1), AdmissionGate::Closing.active()),
        (AdmissionGate::Closing, AdmissionGate::Closing)
    );
}

#[test]
fn figures_name_each_class_and_what_it_counts() {
    let mut ends = OutcomeCounts::new(["a".to_owned(), "quo\"te".to_owned()]);
    ends.count("a", FinalOutcome::Fulfilled);
    ends.count("a", FinalOutcome::Fulfilled);
    ends.count("quo\"te", FinalOutcome::Faulted);
    ends.count("none", FinalOutcome::Throttled);
    let text = ends.text(Gauges { relayed: 3, open: 4, listed: 5, out_of_rotation: 6 });
    assert_eq!(
        text.lines().collect::<Vec<_>>(),
        [
            "svc_operations{priority=\"a\",status=\"fulfilled\"} 2",
            "svc_operations{priority=\"a\",status=\"throttled\"} 0",
            "svc_operations{priority=\"a\",status=\"faulted\"} 0",
            "svc_operations{priority=\"quo\\\"te\",status=\"fulfilled\"} 0",
            "svc_operations{priority=\"quo\\\"te\",status=\"throttled\"} 0",
            "svc_operations{priority=\"quo\\\"te\",status=\"faulted\"} 1",
            "svc_relayed 3",
            "svc_open_requests 4",
            "svc_registry_entries 5",
            "svc_out_of_rotation 6",
        ]
    );
}

#[test]
fn what_has_no_room_is_refused_and_changes_nothing() {
    let mut held_out = Ejections::new(8);
    assert_eq!(held_out.enter("abc"), Ok(true));
    assert_eq!(held_out.enter("abc"), Ok(false));
    assert_eq!(held_out.enter("defg"), Err(EjectError::Full));
    assert_eq!(held_out.enter("def"), Ok(true));
    assert!(held_out.exit("abc") && !held_out.exit("abc"));
    assert_eq!(held_out.text(), "def\n");
}

#[test]
fn names_that_left_are_forgotten_oldest_first() {
    let mut past = RetiredNames::default();
    (0..5_000).for_each(|n| past.left(&n.to_string()));
    (0..10).for_each(|_| past.left("4999"));
    assert!(past.contains("4999") && past.contains("1000") && !past.contains("0"));
}

proptest! {
    /// Whatever a name holds, it is the same one after a restart.
    #[test]
    fn what_is_held_out_is_read_back(names in prop::collection::btree_set("(?s).{1,12}", 0..12)) {
        let mut held_out = Ejections::new(10_000);
        for name in &names {
            prop_assert_eq!(held_out.enter(name), Ok(true));
        }
        let text = held_out.text();
        prop_assert_eq!(text.lines().count(), names.len());
        prop_assert_eq!(Ejections::read(&text, 10_000), held_out);
    }

    /// A file of anything is read as some names.
    #[test]
    fn any_text_is_read(text in "(?s).{0,200}") {
        let read = Ejections::read(&text, 10_000);
        prop_assert_eq!(Ejections::read(&read.text(), 10_000), read);
    }
}
