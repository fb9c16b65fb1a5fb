use super::*;
use std::io::{Read, Write};

/// Guards against a request on what the endpoint has just closed: no turn of the runtime lies between.
#[test]
fn a_connection_closed_right_after_its_answer_is_not_usable() {
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
        assert!(conn.usable().await, "it stands open");
        close.send(()).unwrap();
        endpoint.join().unwrap();
        assert!(!conn.usable().await);
    });
}

/// Guards a wait that is told while the last byte is held back: nothing of it leaves, and it is known that nothing has.
#[test]
fn a_last_byte_that_may_not_leave_any_more_stays() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = std::thread::spawn(move || {
        let mut came = Vec::new();
        let _ = listener.accept().unwrap().0.read_to_end(&mut came);
        came
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let mut conn = Connection::open(address).await.unwrap();
        let request = Request::post("/").header("host", "e").body(Bytes::from("order")).unwrap();
        let (may_run, no) = (Rc::default(), Box::pin(std::future::ready(false)));
        let hold = Duration::from_millis(1);
        let answer = conn.send_paced(request, hold, false, &may_run, no).await;
        assert!(matches!(answer, Err(ExchangeError::NotSent)));
        assert!(!may_run.get());
    });
    let came = String::from_utf8(endpoint.join().unwrap()).unwrap();
    assert!(came.ends_with("\r\n\r\norde"), "{came}");
}
