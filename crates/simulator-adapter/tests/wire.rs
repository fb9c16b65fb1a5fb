//! Decoding and encoding of frames, and errors on malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use decision::interface::*;
use simulator_adapter::{Decoder, Frame, Input, encode, read_frame, settings};

const SETTINGS: &str = r#"{
  "classes": [{"name": "a", "effect": "by_key", "group": "zone", "dedup_window_us": 9000000,
               "on_time_us": 2000000, "hard_limit_us": 9000000, "importance": 2.0, "late_worth": 0.25},
              {"name": "b", "effect": "once", "on_time_us": 1000000, "hard_limit_us": 8000000, "in_order": true}],
  "family_info": {"calls_out": 5, "own_limits": [true, false], "bundle_max": [1, 4], "decay": "halves"},
  "limits": {"max_open": 50, "try_limit": 3, "probing": true, "connect_timeout_us": 700000},
  "load_report": {"fields": ["q", "x1", "x0"]},
  "obligations": {"answer_slack_us": 20000, "cold_share": 0.2, "warm_within_us": 9000000,
                  "fall_multiple": 2.5, "overload_for_us": 2000000, "stop_sending_within_us": 250000},
  "skus": ["p", "q"], "weights": "nominal", "discovery": "ask", "period_us": 5000, "later": {"unknown": 1}
}"#;

fn record(code: u8, fields: &[(usize, &[u8])]) -> Vec<u8> {
    let mut record = vec![0; 48];
    record[0] = code;
    for (at, bytes) in fields {
        record[*at..at + bytes.len()].copy_from_slice(bytes);
    }
    record
}

fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut frame = Vec::new();
    frame.extend(((records.len() * 48 + tail.len()) as u32).to_le_bytes());
    frame.extend((records.len() as u32).to_le_bytes());
    frame.extend(77u64.to_le_bytes());
    records.iter().for_each(|r| frame.extend(r));
    frame.extend(tail);
    frame
}

fn boot(json: &str) -> Vec<u8> {
    let length = (json.len() as u32).to_le_bytes();
    frame(&[record(8, &[(1, &[3]), (3, &[9]), (15, &length)])], json.as_bytes())
}

fn decode(bytes: &[u8]) -> Result<Vec<(u16, Input)>, String> {
    let mut decoder = Decoder::default();
    let mut all = Vec::new();
    let mut input = bytes;
    while let Some(frame) = read_frame(&mut input).map_err(|e| e.to_string())? {
        all.extend(decoder.decode(&frame).map_err(|e| e.to_string())?);
    }
    Ok(all)
}

fn after_boot(records: &[Vec<u8>], tail: &[u8]) -> Result<Vec<Input>, String> {
    let mut bytes = boot(SETTINGS);
    bytes.extend(frame(records, tail));
    Ok(decode(&bytes)?.into_iter().skip(1).map(|(_, input)| input).collect())
}

#[test]
fn parses_settings_and_ignores_unknown_keys() {
    let s = settings(SETTINGS.as_bytes()).expect("valid settings");
    assert_eq!(
        s.classes[0].idempotency,
        Idempotency::Keyed { scope: IdempotencyScope::Zone, window: 9_000_000 }
    );
    assert_eq!((s.classes[0].priority_weight, s.classes[1].priority_weight), (2.0, 1.0));
    assert!(s.classes[1].in_order && s.polling_only && s.health_checks && !s.hedging);
    assert_eq!(s.kinds[0], DestinationKind { separate_routes: true, max_batch: 1 });
    assert_eq!(s.kinds[1], DestinationKind { separate_routes: false, max_batch: 4 });
    assert_eq!((s.report, s.weights, s.decay), ((Some(2), Some(1)), Weights::Nominal, Decay::Halving));
    assert_eq!((s.max_calls, s.max_messages, s.senders), (5, 50, 1));
}

#[test]
fn decodes_message() {
    let fields: &[(usize, &[u8])] = &[
        (1, &[3]),
        (3, &7u32.to_le_bytes()),
        (7, &1u16.to_le_bytes()),
        (13, &99u64.to_le_bytes()),
        (21, &5_000u32.to_le_bytes()),
        (29, &12f32.to_le_bytes()),
    ];
    let expected = Message {
        id: MessageId(7),
        class: 1,
        tenant: 0,
        key: Some(99),
        remaining_time: 5_000,
        hint: None,
        destination: DestinationId(12),
    };
    assert_eq!(after_boot(&[record(3, fields)], b""), Ok(vec![Input::Event(Event::Accepted(expected))]));
}

#[test]
fn decodes_outcome_with_retry_after_in_milliseconds() {
    let fields: &[(usize, &[u8])] =
        &[(1, &[3]), (3, &[7]), (7, &[2]), (9, &250u32.to_le_bytes()), (13, &[1]), (15, &[1, 2, 3, 4, 5, 6])];
    let inputs = after_boot(&[record(7, fields)], b"").expect("valid frame");
    let Input::Event(Event::AttemptCompleted { outcome, attempt, endpoint, terminal, .. }) = &inputs[0]
    else {
        panic!("{inputs:?}")
    };
    assert_eq!((*outcome, *attempt, *terminal), (Outcome::Rejected(Some(250_000)), 1, false));
    assert_eq!(*endpoint, EndpointId([1, 2, 3, 4, 5, 6]));
}

#[test]
fn resolves_list_numbers_in_order_of_records() {
    let mut entries = vec![0u8; 48];
    entries[15] = 1;
    entries[24 + 15] = 2;
    let list = |offset: u8| record(4, &[(5, &[offset, 0, 0, 0, 1, 0, 0, 0])]);
    let list_update = record(6, &[(1, &[3]), (3, &[2])]);
    let inputs = after_boot(&[list(0), list_update.clone(), list(24), list_update], &entries)
        .expect("a list number may be reused");
    let listing = |input: &Input| match input {
        Input::Event(Event::EndpointList(list)) => list[0].listing,
        other => panic!("{other:?}"),
    };
    assert_eq!((listing(&inputs[0]), listing(&inputs[1])), (Listing::Ready, Listing::Draining));
}

#[test]
fn encodes_actions_in_the_documented_format() {
    let endpoint = EndpointId([0x0a, 0x12, 0x4a, 0x07, 0x5b, 0x1b]);
    let message = MessageId(0x5d3a_91c4);
    let reply = encode(&[
        (
            3,
            vec![Action::Attempt {
                message,
                endpoint,
                timeout: 80_000,
                send_within: 80_000,
                last_byte_delay: 0,
                new_connection: false,
            }],
        ),
        (5, vec![Action::Log("ab".into()), Action::WatchEndpoints]),
    ]);
    assert_eq!(reply[..8], [74, 0, 0, 0, 3, 0, 0, 0]);
    let attempt =
        [0x41, 3, 0, 0xc4, 0x91, 0x3a, 0x5d, 0x0a, 0x12, 0x4a, 0x07, 0x5b, 0x1b, 0x80, 0x38, 0x01, 0];
    assert_eq!(reply[8..25], attempt);
    assert_eq!(reply[32..46], [0x49, 5, 0, 0, 0, 0, 0, 2, 0, 0, 0, 0, 0, 0]);
    assert_eq!(reply[56..60], [0x4b, 5, 0, 1]);
    assert_eq!(reply[80..], *b"ab");
    let message = MessageId(1);
    let all = vec![
        Action::Reject { message, retry_after: 5 },
        Action::Fail(message),
        Action::Cancel { message, attempt: 2 },
        Action::SetTimer { at: 9, token: 1 },
        Action::HealthCheck(endpoint),
        Action::CloseIdleConnections(endpoint),
        Action::SendGossip { to: None, content: vec![1] },
        Action::FetchEndpoints,
    ];
    let reply = encode(&[(0, all)]);
    let codes: Vec<u8> = reply[8..8 + 8 * 24].chunks(24).map(|r| r[0]).collect();
    assert_eq!(codes, [66, 67, 68, 69, 70, 71, 72, 76]);
}

#[test]
fn accepts_empty_batches() {
    assert_eq!(decode(&frame(&[], b"")), Ok(vec![]));
    assert_eq!(decode(b""), Ok(vec![]));
}

#[test]
fn errors_name_the_malformed_part() {
    let list_update = record(6, &[(1, &[3]), (3, &[2])]);
    let cases: Vec<(Result<Vec<Input>, String>, &str)> = vec![
        (after_boot(&[record(99, &[])], b""), "unknown event code 99"),
        (after_boot(&[list_update], b""), "list 0, which was never told"),
        (after_boot(&[record(4, &[(5, &[9, 0, 0, 0, 1])])], b""), "outside the tail"),
        (after_boot(&[record(4, &[(1, &[16])])], b""), "list number 16 out of range"),
        (after_boot(&[], b"xx"), "over-long frame"),
        (after_boot(&[record(7, &[(1, &[3]), (7, &[8])])], b""), "unknown outcome 8"),
        (after_boot(&[record(7, &[(1, &[3]), (26, &[5])])], b""), "load report with 5 values"),
        (after_boot(&[record(3, &[(1, &[3]), (7, &[2])])], b""), "message of class 2"),
        (after_boot(&[record(3, &[(1, &[3]), (29, &0.5f32.to_le_bytes())])], b""), "destination 0.5"),
        (after_boot(&[record(10, &[(1, &[4])])], b""), "never started"),
    ];
    for (result, text) in cases {
        let error = result.expect_err(text);
        assert!(error.contains(text) && !error.contains('\n'), "{error:?} does not name {text:?}");
    }
    for (bytes, text) in [
        (&frame(&[], b"abc")[..18], "truncated frame"),
        (&frame(&[], b"")[..7], "truncated frame header"),
        (&[0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0][..], "cannot hold 1 records"),
        (&boot("{")[..], "settings: "),
        (&boot("{}")[..], "missing field"),
        (&boot(&SETTINGS.replace("once", "maybe"))[..], "unknown effect"),
    ] {
        let error = decode(bytes).expect_err(text);
        assert!(error.contains(text) && !error.contains('\n'), "{error:?} does not name {text:?}");
    }
    let truncated = Frame { now: 0, count: 1, body: vec![] };
    assert!(Decoder::default().decode(&truncated).is_err());
}

fn adapter(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_myrtleyard-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter did not start");
    child
        .stdin
        .take()
        .expect("standard input is piped")
        .write_all(input)
        .expect("the adapter did not read its input");
    child.wait_with_output().expect("the adapter did not exit")
}

#[test]
fn adapter_answers_each_batch_and_exits_at_end_of_input() {
    let mut input = frame(&[], b"");
    input.extend(boot(SETTINGS));
    // The instance is killed and started in one batch; then an outcome arrives for a message that it no longer has.
    let length = (SETTINGS.len() as u32).to_le_bytes();
    let boot_record = record(8, &[(1, &[3]), (15, &length)]);
    input.extend(frame(&[record(9, &[(1, &[3])]), boot_record], SETTINGS.as_bytes()));
    input.extend(frame(&[record(7, &[(1, &[3])]), record(10, &[(1, &[3])])], b""));
    let output = adapter(&input);
    assert!(output.status.success());
    assert!(output.stderr.is_empty());
    let mut remaining = &output.stdout[..];
    let mut replies = 0;
    while !remaining.is_empty() {
        let length = u32::from_le_bytes([remaining[0], remaining[1], remaining[2], remaining[3]]) as usize;
        remaining = &remaining[8 + length..];
        replies += 1;
    }
    assert_eq!(replies, 4);
}

#[test]
fn adapter_reports_an_error_in_one_line_and_exits() {
    let mut input = frame(&[], b"");
    input.extend(frame(&[record(99, &[])], b""));
    let output = adapter(&input);
    assert!(!output.status.success());
    let text = String::from_utf8(output.stderr).expect("the error is UTF-8");
    assert_eq!(text, "myrtleyard-adapter: unknown event code 99\n");
    assert_eq!(output.stdout, [0; 8], "the reply to the good batch and nothing more");
}
