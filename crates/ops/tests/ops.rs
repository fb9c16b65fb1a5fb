//! The package's decisions, without a sender round them.

use ops::call::{Call, ID_LIMIT, NoCall, read};
use ops::door::{Door, LINGER};
use ops::figures::{End, Ends, Now};
use ops::held_out::{HeldOut, Past, Refused};
use proptest::prelude::*;

#[test]
fn calls_are_told_from_what_is_none() {
    let enter = |id: &str| Ok(Call::HoldOut(id.to_owned()));
    let long = "x".repeat(ID_LIMIT + 1);
    let too_long = format!("target={long}");
    for (method, path, query, expected) in [
        ("GET", "/status", None, Ok(Call::Status)),
        ("GET", "/status/metrics", Some("x=1"), Ok(Call::Metrics)),
        ("POST", "/standby", None, Ok(Call::Standby)),
        ("POST", "/active", None, Ok(Call::Active)),
        ("POST", "/maintenance/enter", Some("target=s-5be2a07c"), enter("s-5be2a07c")),
        ("POST", "/maintenance/enter", Some("a=b&target=a%20b%2Fc"), enter("a b/c")),
        ("POST", "/maintenance/exit", Some("target=e"), Ok(Call::PutBack("e".into()))),
        ("POST", "/maintenance/exit", Some("target="), Err(NoCall::Target)),
        ("POST", "/maintenance/enter", Some("target=a&target=b"), Err(NoCall::Target)),
        ("POST", "/maintenance/enter", Some(&too_long), Err(NoCall::Target)),
        ("POST", "/maintenance/enter", None, Err(NoCall::Target)),
        ("POST", "/status", None, Err(NoCall::Method)),
        ("GET", "/standby", None, Err(NoCall::Method)),
        ("GET", "/ready", None, Err(NoCall::Path)),
        ("GET", "/status/", None, Err(NoCall::Path)),
    ] {
        assert_eq!(read(method, path, query), expected, "{method} {path} {query:?}");
    }
}

#[test]
fn the_door_is_closed_for_good_by_the_end_of_the_process_alone() {
    let away = Door::Open.standby(5);
    assert_eq!(away.standby(9), away, "said once more it changes nothing");
    assert_eq!((away.ready(), away.last_answer()), (false, true));
    assert_eq!(away.close_idle_at(), Some(5 + LINGER));
    assert_eq!(away.active(), Door::Open);
    assert_eq!(Door::Open.close_idle_at(), None);
    assert_eq!((Door::Closing.standby(1), Door::Closing.active()), (Door::Closing, Door::Closing));
}

#[test]
fn figures_name_each_class_and_what_it_counts() {
    let mut ends = Ends::new(["a".to_owned(), "quo\"te".to_owned()]);
    ends.count("a", End::Fulfilled);
    ends.count("a", End::Fulfilled);
    ends.count("quo\"te", End::Faulted);
    ends.count("none", End::Throttled);
    let text = ends.text(Now { relayed: 3, open: 4, listed: 5, out_of_rotation: 6 });
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
    let mut held_out = HeldOut::new(8);
    assert_eq!(held_out.enter("abc"), Ok(true));
    assert_eq!(held_out.enter("abc"), Ok(false));
    assert_eq!(held_out.enter("defg"), Err(Refused::Full));
    assert_eq!(held_out.enter("def"), Ok(true));
    assert!(held_out.exit("abc") && !held_out.exit("abc"));
    assert_eq!(held_out.text(), "def\n");
}

#[test]
fn names_that_left_are_forgotten_oldest_first() {
    let mut past = Past::default();
    (0..5_000).for_each(|n| past.left(&n.to_string()));
    (0..10).for_each(|_| past.left("4999"));
    assert!(past.contains("4999") && past.contains("1000") && !past.contains("0"));
}

proptest! {
    /// Whatever a name holds, it is the same one after a restart.
    #[test]
    fn what_is_held_out_is_read_back(names in prop::collection::btree_set("(?s).{1,12}", 0..12)) {
        let mut held_out = HeldOut::new(10_000);
        for name in &names {
            prop_assert_eq!(held_out.enter(name), Ok(true));
        }
        let text = held_out.text();
        prop_assert_eq!(text.lines().count(), names.len());
        prop_assert_eq!(HeldOut::read(&text, 10_000), held_out);
    }

    /// A file of anything is read as some names.
    #[test]
    fn any_text_is_read(text in "(?s).{0,200}") {
        let read = HeldOut::read(&text, 10_000);
        prop_assert_eq!(HeldOut::read(&read.text(), 10_000), read);
    }
}
