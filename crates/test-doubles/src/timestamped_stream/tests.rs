use super::*;
use std::io::Write;
use std::net::TcpListener;

#[test]
fn arrival_time_does_not_depend_on_time_of_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let mut timestamped_stream = TimestampedStream::new(listener.accept().unwrap().0).unwrap();
    // The kernel starts to take timestamps only some time after the option is set.
    let has_timestamp = (0..50).any(|_| {
        let before = SystemTime::now();
        caller.write_all(b"call").unwrap();
        let after = SystemTime::now();
        std::thread::sleep(Duration::from_millis(100));
        timestamped_stream.read_exact(&mut [0; 4]).unwrap();
        assert!(timestamped_stream.last_arrival() >= before - Duration::from_millis(1));
        timestamped_stream.last_arrival() <= after + Duration::from_millis(50)
    });
    assert!(has_timestamp);
}
