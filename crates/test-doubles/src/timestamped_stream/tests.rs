use super::*;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn bytes_that_are_read_late_came_when_they_came() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut stamped = Stamped::new(listener.accept().unwrap().0).unwrap();
    // The system begins to note it somewhat after it was asked to.
    let noted = (0..50).any(|_| {
        let before = SystemTime::now();
        caller.write_all(b"call").unwrap();
        let after = SystemTime::now();
        std::thread::sleep(Duration::from_millis(100));
        stamped.read_exact(&mut [0; 4]).unwrap();
        assert!(stamped.came() >= before - Duration::from_millis(1));
        stamped.came() <= after + Duration::from_millis(50)
    });
    assert!(noted);
}
