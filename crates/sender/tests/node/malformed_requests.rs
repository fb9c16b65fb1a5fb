//! Malformed and invalid requests: each is answered with an error, nothing is accepted, and no other request is affected.

use test_doubles::*;

use super::program;

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

/// Returns a valid submission in which the first occurrence of `from` is replaced by `to`.
fn submission_with_replaced(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(submission("bad", "order", 7, 20_000)).unwrap();
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1).into_bytes()
}

/// A malformed request must not be accepted as a message. Each follows a valid request on the same connection, which is still
/// answered, and the next connection works as before.
#[test]
fn rejects_malformed_requests_without_side_effects() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let cases: Vec<(&str, Vec<u8>, u16)> = vec![
        ("not HTTP", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n".to_vec(), 400),
        ("no version", b"POST /order\r\n\r\n".to_vec(), 400),
        ("unsupported method", submission_with_replaced("POST ", "PUT "), 404),
        ("unknown class", submission_with_replaced("POST /order", "POST /other"), 400),
        ("conflicting classes", submission_with_replaced("Req-Kind: order", "Req-Kind: note"), 400),
        ("missing id", submission_with_replaced("Req-Id: bad\r\n", ""), 400),
        ("empty id", submission_with_replaced("Req-Id: bad", "Req-Id:  "), 400),
        ("missing destination", submission_with_replaced("dest=7", "from=7"), 400),
        ("malformed destination", submission_with_replaced("dest=7", "dest=+7"), 400),
        ("destination out of range", submission_with_replaced("dest=7", "dest=70000"), 400),
        ("missing deadline", submission_with_replaced("Req-Deadline-Ms: 20000\r\n", ""), 400),
        ("malformed deadline", submission_with_replaced("20000", "2e4"), 400),
        ("deadline beyond the limit of its class", submission_with_replaced("20000", "24002"), 400),
        ("expired deadline", submission_with_replaced("20000", "0"), 503),
        ("malformed length", submission_with_replaced("Content-Length: 11", "Content-Length: 1x"), 400),
        (
            "conflicting lengths",
            submission_with_replaced("Content-Length: 11", "Content-Length: 11\r\nContent-Length: 12"),
            400,
        ),
        ("body too large", submission_with_replaced("Content-Length: 11", "Content-Length: 65537"), 413),
        (
            "body shorter than declared",
            submission_with_replaced("Content-Length: 11", "Content-Length: 12"),
            400,
        ),
        ("chunked body", submission_with_replaced("Content-Length: 11", "Transfer-Encoding: chunked"), 400),
    ];
    let before = node.journal_length();
    for (case, request, status) in cases {
        let mut client = Client::new(&node);
        assert_eq!(client.ask(READY).status(), 200, "{case}: the valid request before it");
        client.write(&request);
        let answer = client.answer().unwrap_or_else(|| panic!("{case}: no answer"));
        assert_eq!(answer.status(), status, "{case}");
    }
    // A truncated head and a truncated body: the client is gone, so there is nobody to answer.
    for cut in [20, submission("bad", "order", 7, 20_000).len() - 1] {
        let mut client = Client::new(&node);
        assert_eq!(client.ask(READY).status(), 200);
        client.write(&submission("bad", "order", 7, 20_000)[..cut]);
    }
    assert_eq!(node.journal_length(), before, "nothing was accepted");
    // The bytes beyond the declared length are read as a further request, which is malformed: the first one stays accepted.
    let mut request_with_excess = submission("longer", "note", 7, 20_000);
    request_with_excess.extend(b"and more\r\n\r\n");
    let mut client = Client::new(&node);
    client.write(&request_with_excess);
    assert_eq!(client.answer().unwrap().status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "longer");
    call.reply(status(200));
    assert!(!endpoint.has_unread_request(), "nothing else was forwarded");
}

/// A second submission with the id of a pending message is the same message: both get 202, and there is one call.
#[test]
fn duplicate_id_is_one_message() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    let call = endpoint.next();
    assert_eq!(node.submit("a", "order", 7, 20_000).status(), 202);
    let before = node.journal_length();
    call.reply(status(200));
    wait_until(|| node.journal_length() > before);
    assert!(!endpoint.has_unread_request());
}
