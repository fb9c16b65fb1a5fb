//! Tests of requests, metrics, ejections and the admission gate, without a sender.

use admin::ejections::{EjectError, Ejections, RetiredNames};
use admin::gate::{AdmissionGate, IDLE_CLOSE_DELAY};
use admin::metrics::{FinalOutcome, Gauges, OutcomeCounts};
use admin::request::{AdminRequest, ID_LIMIT, InvalidRequest, parse};
use proptest::prelude::*;

#[test]
fn requests_are_parsed_and_validated() {
    let eject = |id: &str| Ok(AdminRequest::Eject(id.to_owned()));
    let long_id = "x".repeat(ID_LIMIT + 1);
    let too_long = format!("target={long_id}");
    for (method, path, query, expected) in [
        ("GET", "/status", None, Ok(AdminRequest::Status)),
        ("GET", "/status/metrics", Some("x=1"), Ok(AdminRequest::Metrics)),
        ("POST", "/standby", None, Ok(AdminRequest::Standby)),
        ("POST", "/active", None, Ok(AdminRequest::Active)),
        ("POST", "/maintenance/enter", Some("target=s-5be2a07c"), eject("s-5be2a07c")),
        ("POST", "/maintenance/enter", Some("a=b&target=a%20b%2Fc"), eject("a b/c")),
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
        assert_eq!(parse(method, path, query), expected, "{method} {path} {query:?}");
    }
}

#[test]
fn standby_is_reversible_and_closing_is_not() {
    let standby = AdmissionGate::Open.standby(5);
    assert_eq!(standby.standby(9), standby, "entering standby again has no effect");
    assert_eq!((standby.ready(), standby.last_answer()), (false, true));
    assert_eq!(standby.close_idle_at(), Some(5 + IDLE_CLOSE_DELAY));
    assert_eq!(standby.active(), AdmissionGate::Open);
    assert_eq!(AdmissionGate::Open.close_idle_at(), None);
    assert_eq!(
        (AdmissionGate::Closing.standby(1), AdmissionGate::Closing.active()),
        (AdmissionGate::Closing, AdmissionGate::Closing)
    );
}

#[test]
fn metrics_text_has_all_counts_of_each_class() {
    let mut counts = OutcomeCounts::new(["a".to_owned(), "quo\"te".to_owned()]);
    counts.count("a", FinalOutcome::Fulfilled);
    counts.count("a", FinalOutcome::Fulfilled);
    counts.count("quo\"te", FinalOutcome::Faulted);
    counts.count("none", FinalOutcome::Throttled);
    let text = counts.text(Gauges { relayed: 3, open: 4, listed: 5, out_of_rotation: 6 });
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
fn ejection_beyond_the_size_limit_fails_without_effect() {
    let mut ejections = Ejections::new(8);
    assert_eq!(ejections.eject("abc"), Ok(true));
    assert_eq!(ejections.eject("abc"), Ok(false));
    assert_eq!(ejections.eject("defg"), Err(EjectError::LimitReached));
    assert_eq!(ejections.eject("def"), Ok(true));
    assert!(ejections.reinstate("abc") && !ejections.reinstate("abc"));
    assert_eq!(ejections.text(), "def\n");
}

#[test]
fn oldest_retired_names_are_evicted_first() {
    let mut retired = RetiredNames::default();
    (0..5_000).for_each(|n| retired.insert(&n.to_string()));
    (0..10).for_each(|_| retired.insert("4999"));
    assert!(retired.contains("4999") && retired.contains("1000") && !retired.contains("0"));
}

proptest! {
    /// Names with any characters survive a restart.
    #[test]
    fn ejections_round_trip(names in prop::collection::btree_set("(?s).{1,12}", 0..12)) {
        let mut ejections = Ejections::new(10_000);
        for name in &names {
            prop_assert_eq!(ejections.eject(name), Ok(true));
        }
        let text = ejections.text();
        prop_assert_eq!(text.lines().count(), names.len());
        prop_assert_eq!(Ejections::read(&text, 10_000), ejections);
    }

    /// Parsing an arbitrary text does not panic, and the names that it yields round-trip.
    #[test]
    fn names_parsed_from_arbitrary_text_round_trip(text in "(?s).{0,200}") {
        let parsed = Ejections::read(&text, 10_000);
        prop_assert_eq!(Ejections::read(&parsed.text(), 10_000), parsed);
    }
}
