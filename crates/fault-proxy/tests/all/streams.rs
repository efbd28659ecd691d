//! What each mode does to a TCP connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use linnethitch_fault_proxy::{Mode, Network, Proxy, Way};
use rstest::rstest;

/// Longest wait for bytes that are to come.
const LIMIT: Duration = Duration::from_secs(20);
/// A wait in which bytes that are lost do not come.
const SILENCE: Duration = Duration::from_millis(150);

/// A target that sends everything back, before a proxy.
fn echo() -> (Network, Proxy) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let target = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut buffer = [0; 64];
                while let Ok(read @ 1..) = stream.read(&mut buffer) {
                    if stream.write_all(&buffer[..read]).is_err() {
                        return;
                    }
                }
            });
        }
    });
    let network = Network::start().expect("threads");
    let proxy = network.streams(any_port(), target).expect("a port");
    (network, proxy)
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn open(proxy: &Proxy) -> TcpStream {
    TcpStream::connect(proxy.address).expect("the proxy listens")
}

/// Sends a byte; whether it comes back within a time.
fn comes_back(mut stream: &TcpStream, limit: Duration) -> bool {
    stream.set_read_timeout(Some(limit)).expect("an option");
    let sent = stream.write_all(b"x").is_ok();
    sent && matches!(stream.read(&mut [0; 1]), Ok(1))
}

#[rstest]
#[case::neither_way(Way::Both)]
#[case::no_requests(Way::ToTarget)]
#[case::no_answers(Way::FromTarget)]
fn a_silenced_connection_stays_silent_and_a_new_one_works(#[case] way: Way) {
    let (_network, proxy) = echo();
    let old = open(&proxy);
    assert!(comes_back(&old, LIMIT));
    proxy.set(Mode::Silent(way));
    assert!(!comes_back(&old, SILENCE));
    proxy.set(Mode::Pass);
    assert!(!comes_back(&old, SILENCE), "it is silent for good");
    assert!(comes_back(&open(&proxy), LIMIT));
}

#[test]
fn silence_of_what_is_open_spares_new_connections() {
    let (_network, proxy) = echo();
    let old = open(&proxy);
    assert!(comes_back(&old, LIMIT));
    proxy.silence_open(Way::Both);
    assert!(!comes_back(&old, SILENCE));
    assert!(comes_back(&open(&proxy), LIMIT));
}

#[test]
fn what_is_held_back_comes_afterwards() {
    let (_network, proxy) = echo();
    let stream = open(&proxy);
    assert!(comes_back(&stream, LIMIT));
    proxy.set(Mode::Hold);
    assert!(!comes_back(&stream, SILENCE));
    proxy.set(Mode::Pass);
    stream.set_read_timeout(Some(LIMIT)).expect("an option");
    let mut stream = &stream;
    assert_eq!(stream.read(&mut [0; 1]).expect("it comes"), 1);
}

#[test]
fn a_reset_ends_what_is_open() {
    let (_network, proxy) = echo();
    let stream = open(&proxy);
    assert!(comes_back(&stream, LIMIT));
    proxy.set(Mode::Reset);
    stream.set_read_timeout(Some(LIMIT)).expect("an option");
    let mut stream = &stream;
    assert!(stream.read(&mut [0; 1]).is_err(), "a reset, not a close");
}

#[test]
fn a_delayed_byte_comes() {
    let (_network, proxy) = echo();
    proxy.set(Mode::Delay(Duration::from_millis(20)));
    assert!(comes_back(&open(&proxy), LIMIT));
}
