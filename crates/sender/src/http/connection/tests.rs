use super::*;
use std::io::{Read, Write};

/// A request must not be written to a connection that the endpoint has just closed. The runtime is not polled between
/// the close and the check, so that only a peek at the socket itself detects the close.
#[test]
fn connection_closed_right_after_its_response_is_not_usable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (close, closing) = std::sync::mpsc::channel::<()>();
    let endpoint = std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
        stream.write_all(b"HTTP/1.1 200 X\r\ncontent-length: 0\r\n\r\n").unwrap();
        closing.recv().unwrap();
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut conn = Connection::open(address).await.unwrap();
        let request = Request::get("/").header("host", "e").body(Bytes::new()).unwrap();
        let answer = conn.send(request).await.ok().unwrap();
        assert!(conn.body(answer.into_body()).await.is_ok());
        assert!(conn.usable().await, "the connection is still open");
        close.send(()).unwrap();
        endpoint.join().unwrap();
        assert!(!conn.usable().await);
    });
}

/// A Retry-After may arrive while the last byte is delayed: the byte is then not sent, and the error says so.
#[test]
fn last_byte_is_withheld_without_permit() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = std::thread::spawn(move || {
        let mut received = Vec::new();
        let _ = listener.accept().unwrap().0.read_to_end(&mut received);
        received
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut conn = Connection::open(address).await.unwrap();
        let request = Request::post("/").header("host", "e").body(Bytes::from("order")).unwrap();
        let (may_run, denied) = (Rc::default(), Box::pin(std::future::ready(false)));
        let options = SendOptions { last_byte_delay: Duration::from_millis(1), ..SendOptions::default() };
        let answer = conn.send_delayed(request, options, &may_run, denied).await;
        assert!(matches!(answer, Err(ExchangeError::NotSent)));
        assert!(!may_run.get());
    });
    let received = String::from_utf8(endpoint.join().unwrap()).unwrap();
    assert!(received.ends_with("\r\n\r\norde"), "{received}");
}
