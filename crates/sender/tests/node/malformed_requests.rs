//! What can't be meant as a message: told so, with nothing taken on, and no other request harmed.

use test_doubles::*;

use super::program;

const READY: &[u8] = b"GET /ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n";

/// A request with that much changed.
fn changed(from: &str, to: &str) -> Vec<u8> {
    let text = String::from_utf8(submission("bad", "order", 7, 20_000)).unwrap();
    assert!(text.contains(from), "{from}");
    text.replacen(from, to, 1).into_bytes()
}

/// Guards what is taken on against what nobody can have meant. Each comes behind a good request on its connection, which is
/// answered; the next connection is as good as ever.
#[test]
fn what_is_no_message_is_told_so_and_leaves_nothing_behind() {
    let (platform, endpoint) = (Platform::new(), ScriptedServer::new());
    let node = Node::start(&program(), &platform, &[listing("e1", 7, "plain", endpoint.address)], |_| {});
    let cases: Vec<(&str, Vec<u8>, u16)> = vec![
        ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 hello\r\n\r\n".to_vec(), 400),
        ("no version", b"POST /order\r\n\r\n".to_vec(), 400),
        ("another method", changed("POST ", "PUT "), 404),
        ("an unknown class", changed("POST /order", "POST /other"), 400),
        ("two classes", changed("Req-Kind: order", "Req-Kind: note"), 400),
        ("no id", changed("Req-Id: bad\r\n", ""), 400),
        ("an empty id", changed("Req-Id: bad", "Req-Id:  "), 400),
        ("no destination", changed("dest=7", "from=7"), 400),
        ("a destination that is no number", changed("dest=7", "dest=+7"), 400),
        ("a destination over all numbers", changed("dest=7", "dest=70000"), 400),
        ("no deadline", changed("Req-Deadline-Ms: 20000\r\n", ""), 400),
        ("a deadline that is no number", changed("20000", "2e4"), 400),
        ("a deadline beyond its class's", changed("20000", "24002"), 400),
        ("a deadline that is past", changed("20000", "0"), 503),
        ("a length that is no number", changed("Content-Length: 11", "Content-Length: 1x"), 400),
        ("two lengths", changed("Content-Length: 11", "Content-Length: 11\r\nContent-Length: 12"), 400),
        ("a body that is longer than may be", changed("Content-Length: 11", "Content-Length: 65537"), 413),
        ("a body that is shorter than told", changed("Content-Length: 11", "Content-Length: 12"), 400),
        ("chunks", changed("Content-Length: 11", "Transfer-Encoding: chunked"), 400),
    ];
    let before = node.journal_length();
    for (what, text, status) in cases {
        let mut client = Client::new(&node);
        assert_eq!(client.ask(READY).status(), 200, "{what}: a good one before it");
        client.write(&text);
        let answer = client.answer().unwrap_or_else(|| panic!("{what}: no answer"));
        assert_eq!(answer.status(), status, "{what}");
    }
    // A head that is cut, and a body that is: nobody is there to be told.
    for cut in [20, submission("bad", "order", 7, 20_000).len() - 1] {
        let mut client = Client::new(&node);
        assert_eq!(client.ask(READY).status(), 200);
        client.write(&submission("bad", "order", 7, 20_000)[..cut]);
    }
    assert_eq!(node.journal_length(), before, "nothing was taken on");
    // What is longer than told is another request, and none: the first one holds.
    let mut longer = submission("longer", "note", 7, 20_000);
    longer.extend(b"and more\r\n\r\n");
    let mut client = Client::new(&node);
    client.write(&longer);
    assert_eq!(client.answer().unwrap().status(), 202);
    let call = endpoint.next();
    assert_eq!(call.http.headers["req-id"], "longer");
    call.reply(status(200));
    assert!(!endpoint.has_unread_request(), "nothing else went on");
}

/// An id that is held already is the same message: one call, and both are told that it is taken on.
#[test]
fn an_id_that_comes_twice_is_one_message() {
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
