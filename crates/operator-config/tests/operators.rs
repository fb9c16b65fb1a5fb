//! Tests of the operators' file: defaults, errors with their lines, units, and renamed tables and keys.

use operator_config::{MAX_FILE_LENGTH, Operators, Size, Span, Sync};
use serde::Deserialize;

fn error(text: &str) -> String {
    Operators::parse(text).expect_err(text).to_string()
}

#[test]
fn omitted_settings_are_off() {
    assert_eq!(Operators::parse("").unwrap(), Operators::default());
    assert_eq!(Operators::parse("[journal]\n").unwrap().journal.sync, Sync::None);
    assert_eq!(Operators::parse("[journal]\nsync = \"group\"\n").unwrap().journal.sync, Sync::Group);
}

#[test]
fn errors_name_their_line_and_reason() {
    for (text, line, reason) in [
        ("[journal]\n\nsnc = \"none\"\n", "3: ", "unknown field `snc`, expected"),
        (
            "# one\n[jurnal]\n",
            "2: ",
            "unknown field `jurnal`, expected one of `journal`, `status`, `idle_destinations`, `health_snapshot`, \
             `cores`, `gossip`",
        ),
        ("[journal]\nsync = \"always\"\n", "2: ", "unknown variant `always`, expected `none` or `group`"),
        ("[status]\n\nevery = \"5ms\"\n", "3: ", "every 100ms"),
        ("[status]\nevery = 5\n", "2: ", "needs a unit"),
        ("[journal]\nsync = 3\n", "2: ", ""),
        ("[journal]\ndamage = \"skip\"\n", "2: ", "expected `suspect` or `refuse`"),
        ("[journal]\n\nretain = \"48h\"\n", "3: ", "needs ledger"),
        ("[journal]\nledger = \"1MB\"\n", "2: ", "without retain"),
        ("[journal]\nledger = \"1MB\"\nretain = \"0s\"\n", "3: ", "no time"),
        ("[journal]\nledger = 1000000\nretain = \"1h\"\n", "2: ", "a size needs a unit"),
        ("[idle_destinations]\nafter = \"10ms\"\n", "2: ", "less than a second"),
        ("[idle_destinations]\n\nactivations = 10\n", "3: ", "without after"),
        ("[idle_destinations]\nafter = \"10m\"\nactive = 0\n", "3: ", "no active destination"),
        ("[idle_destinations]\nafter = \"10m\"\nactivations = 0\n", "3: ", "no activations"),
        ("[idle_destinations]\nretain = \"5m\"\nafter = \"10m\"\n", "2: ", "before a destination is idle"),
        ("[health_snapshot]\nspan = \"1h\"\n", "2: ", "without on"),
        ("[health_snapshot]\non = true\nsize = \"1KiB\"\n", "3: ", "16KiB"),
        ("[health_snapshot]\non = true\nspan = \"0s\"\n", "3: ", "leave on out"),
        ("[health_snapshot]\nclock = \"sun\"\n", "2: ", "expected `wall` or `boot`"),
        ("[gossip]\ntransfers = true\n", "2: ", "no quota can be transferred"),
        ("[gossip]\nbytes = \"4kB\"\n", "2: ", "without on"),
        ("[gossip]\non = true\nbytes = \"15B\"\n", "3: ", "leave on out"),
        ("[gossip]\non = true\n[cores]\ncount = 2\n", "2: ", "leave [gossip] out"),
        ("[cores]\ncount = 0\n", "2: ", "one core at least"),
        ("[cores]\ncount = 65\n", "2: ", "64 cores at most"),
        ("[health_snapshot]\non = true\n[cores]\ncount = 2\n", "4: ", "there is one core"),
        ("[journal]\nsync = \n", "2: ", ""),
        ("[journal]\nsync = \"none\"\nsync = \"none\"\n", "3: ", "duplicate key"),
    ] {
        let message = error(text);
        assert!(
            message.starts_with(line) && message.contains(reason) && !message.contains('\n'),
            "{text}: {message}"
        );
    }
    assert!(error(&" ".repeat(MAX_FILE_LENGTH + 1)).contains("bytes"));
}

/// A file that was written for an earlier version, with the old names, fails with the same reason at the same line.
#[test]
fn errors_are_the_same_under_old_names() {
    for (text, line, reason) in [
        ("[dormant]\nafter = \"10ms\"\n", "2: ", "less than a second"),
        ("[dormant]\n\nwakes = 10\n", "3: ", "without after"),
        ("[dormant]\nafter = \"10m\"\nawake = 0\n", "3: ", "no active destination"),
        ("[dormant]\nafter = \"10m\"\nwakes = 0\n", "3: ", "no activations"),
        ("[dormant]\nremember = \"5m\"\nafter = \"10m\"\n", "2: ", "before a destination is idle"),
        ("[known]\nspan = \"1h\"\n", "2: ", "without on"),
        ("[known]\non = true\nsize = \"1KiB\"\n", "3: ", "16KiB"),
        ("[known]\non = true\nspan = \"0s\"\n", "3: ", "leave on out"),
        ("[known]\nclock = \"sun\"\n", "2: ", "expected `wall` or `boot`"),
        ("[known]\non = true\n[cores]\ncount = 2\n", "4: ", "there is one core"),
        ("[known]\n\nspam = \"1h\"\n", "3: ", "unknown field `spam`, expected one of `on`, `size`"),
        ("[shared]\nlends = true\n", "2: ", "no quota can be transferred"),
    ] {
        let message = error(text);
        assert!(message.starts_with(line) && message.contains(reason), "{text}: {message}");
    }
}

/// Parses every renamed table and key under its new and its old name.
#[test]
fn old_names_are_accepted_with_a_warning_for_each() {
    const NEW_NAMES: &str = "[idle_destinations]\nafter = \"10m\"\nretain = \"1h\"\nactive = 7\nactivations = 8\n\
                       [health_snapshot]\non = true\nsize = \"64KiB\"\n\
                       [gossip]\non = true\ntransfers = true\n";
    const OLD_NAMES: &str = "[dormant]\nafter = \"10m\"\nremember = \"1h\"\nawake = 7\nwakes = 8\n\
                       [known]\non = true\nsize = \"64KiB\"\n\
                       [shared]\non = true\nlends = true\n";
    let new = Operators::parse(NEW_NAMES).unwrap();
    let old = Operators::parse(OLD_NAMES).unwrap();
    assert_eq!(new.warnings, []);
    assert_eq!(new.idle_destinations.active, Some(7));
    assert_eq!(new.idle_destinations.activations, Some(8));
    assert!(new.gossip.transfers && new.health_snapshot.on);
    let warnings: Vec<String> = old.warnings.iter().map(ToString::to_string).collect();
    assert_eq!(
        warnings,
        [
            "1: [dormant] is now named [idle_destinations]",
            "3: [idle_destinations] remember is now named [idle_destinations] retain",
            "4: [idle_destinations] awake is now named [idle_destinations] active",
            "5: [idle_destinations] wakes is now named [idle_destinations] activations",
            "6: [known] is now named [health_snapshot]",
            "9: [shared] is now named [gossip]",
            "11: [gossip] lends is now named [gossip] transfers",
        ]
    );
    assert_eq!(Operators { warnings: Vec::new(), ..old }, new);
}

#[test]
fn old_keys_are_accepted_under_the_new_table_name() {
    let operators = Operators::parse("[gossip]\non = true\nlends = true\n").unwrap();
    assert!(operators.gossip.transfers);
    assert_eq!(operators.warnings.len(), 1);
}

#[test]
fn old_and_new_name_together_are_an_error() {
    for (text, expected) in [
        (
            "[known]\non = true\n[health_snapshot]\non = true\n",
            "1: [known] is the old name of [health_snapshot], which is there too: leave [known] out",
        ),
        (
            "[dormant]\nafter = \"10m\"\nwakes = 8\nactivations = 8\n",
            "3: [idle_destinations] wakes is the old name of [idle_destinations] activations, which is there too: \
             leave [idle_destinations] wakes out",
        ),
        (
            "[gossip]\ntransfers = true\nlends = true\non = true\n",
            "3: [gossip] lends is the old name of [gossip] transfers, which is there too: leave [gossip] lends out",
        ),
    ] {
        assert_eq!(error(text), expected);
    }
}

#[test]
fn quantities_need_their_units() {
    #[derive(Deserialize, Debug)]
    struct Quantities {
        span: Option<Span>,
        size: Option<Size>,
    }
    let parse = |text: &str| toml::from_str::<Quantities>(text).map_err(|e| e.message().to_owned());
    assert_eq!(parse("span = \"250ms\"").unwrap().span.unwrap().micros, 250_000);
    assert_eq!(parse("span = \"2 h\"").unwrap().span.unwrap().micros, 7_200_000_000);
    assert_eq!(parse("size = \"64KiB\"").unwrap().size.unwrap().bytes, 65_536);
    for (text, reason) in [
        ("span = 4", "a span of time needs a unit (us, ms, s, m, h, d), as in \"90s\""),
        ("span = 0.5", "is no unit of a span of time"),
        ("span = \"4 weeks\"", "\"weeks\" is no unit of a span of time"),
        ("span = \"s\"", "a whole number and a unit"),
        ("span = \"99999999999999999d\"", "beyond"),
        ("size = \"3\"", "a size needs a unit"),
        ("size = \"3 ms\"", "\"ms\" is no unit of a size"),
    ] {
        let message = parse(text).expect_err(text);
        assert!(message.contains(reason), "{text}: {message}");
    }
}
