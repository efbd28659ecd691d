//! How each mode treats a TCP connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::Duration,
};

use linnethitch_fault_proxy::{Direction, Mode, Network, Proxy};
use rstest::rstest;

/// Timeout for expected bytes.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Wait after which bytes count as lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(150);

/// Starts a target that echoes all data, behind a proxy.
fn start_echo() -> (Network, Proxy) {
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

/// Sends a byte; returns whether it is echoed within the timeout.
fn is_echoed(mut stream: &TcpStream, timeout: Duration) -> bool {
    stream.set_read_timeout(Some(timeout)).expect("an option");
    let sent = stream.write_all(b"x").is_ok();
    sent && matches!(stream.read(&mut [0; 1]), Ok(1))
}

#[rstest]
#[case::neither_way(Direction::Both)]
#[case::no_requests(Direction::ToTarget)]
#[case::no_answers(Direction::FromTarget)]
fn a_silenced_connection_remains_silent_and_a_new_one_works(#[case] direction: Direction) {
    let (_network, proxy) = start_echo();
    let old = open(&proxy);
    assert!(is_echoed(&old, TIMEOUT));
    proxy.set(Mode::Silent(direction));
    assert!(!is_echoed(&old, LOSS_TIMEOUT));
    proxy.set(Mode::Pass);
    assert!(
        !is_echoed(&old, LOSS_TIMEOUT),
        "the old connection is permanently silent"
    );
    assert!(is_echoed(&open(&proxy), TIMEOUT));
}

#[test]
fn silencing_open_connections_does_not_affect_new_ones() {
    let (_network, proxy) = start_echo();
    let old = open(&proxy);
    assert!(is_echoed(&old, TIMEOUT));
    proxy.silence_open(Direction::Both);
    assert!(!is_echoed(&old, LOSS_TIMEOUT));
    assert!(is_echoed(&open(&proxy), TIMEOUT));
}

#[test]
fn held_bytes_arrive_after_the_mode_ends() {
    let (_network, proxy) = start_echo();
    let stream = open(&proxy);
    assert!(is_echoed(&stream, TIMEOUT));
    proxy.set(Mode::Hold);
    assert!(!is_echoed(&stream, LOSS_TIMEOUT));
    proxy.set(Mode::Pass);
    stream.set_read_timeout(Some(TIMEOUT)).expect("an option");
    let mut stream = &stream;
    assert_eq!(stream.read(&mut [0; 1]).expect("the byte arrives"), 1);
}

#[test]
fn a_reset_ends_open_connections() {
    let (_network, proxy) = start_echo();
    let stream = open(&proxy);
    assert!(is_echoed(&stream, TIMEOUT));
    proxy.set(Mode::Reset);
    stream.set_read_timeout(Some(TIMEOUT)).expect("an option");
    let mut stream = &stream;
    assert!(stream.read(&mut [0; 1]).is_err(), "a reset, not a close");
}

#[test]
fn a_delayed_byte_arrives() {
    let (_network, proxy) = start_echo();
    proxy.set(Mode::Delay(Duration::from_millis(20)));
    assert!(is_echoed(&open(&proxy), TIMEOUT));
}
