//! Peers that the handshake accepts or refuses, and key files.

use std::io::Write;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::frame::HEADER_BYTES;
use linnethitch_transport::ClusterKey;
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::support::{ServerSide, dial, identity, listen, own_identity, quick};

#[rstest]
#[case::wrong_key("granite", "fedcba9876543210")]
#[case::other_cluster("hanbit", "0123456789abcdef")]
#[case::both("hanbit", "fedcba9876543210")]
#[tokio::test]
async fn a_peer_of_another_cluster_is_refused_on_both_sides(#[case] name: &str, #[case] key: &str) {
    let (listener, address) = listen(quick()).await;
    let outsider = identity(name, key);
    let accepting = async {
        let accepted: Result<ServerSide, _> = listener.accept().await.establish().await;
        accepted
    };
    let (server, client) = tokio::join!(accepting, dial(&address, &outsider, quick()));
    let server = server.expect_err("the listener refuses");
    let client = client.expect_err("the connecting side is notified");
    assert_eq!(*server.current_context(), ErrorKind::PeerRefused);
    assert_eq!(*client.current_context(), ErrorKind::PeerRefused);
}

/// A first message that does not belong to the handshake.
enum InvalidOpening {
    Http,
    FutureVersion,
    OversizedLength,
    OtherKind,
    Silence,
    Hangup,
}

impl InvalidOpening {
    fn bytes(&self) -> Vec<u8> {
        let header = |length: u32, version: u16, kind: u16| {
            let mut bytes = length.to_le_bytes().to_vec();
            bytes.extend(version.to_le_bytes());
            bytes.extend(kind.to_le_bytes());
            bytes.extend(0_u32.to_le_bytes());
            assert_eq!(bytes.len(), HEADER_BYTES);
            bytes
        };
        match self {
            InvalidOpening::Http => b"GET / HTTP/1.1\r\nHost: here\r\n\r\n".to_vec(),
            InvalidOpening::FutureVersion => header(8, 999, 1),
            InvalidOpening::OversizedLength => header(8 * 1024 * 1024, 1, 1),
            InvalidOpening::OtherKind => header(8, 1, 4),
            InvalidOpening::Silence | InvalidOpening::Hangup => Vec::new(),
        }
    }
}

#[rstest]
#[case::http(InvalidOpening::Http, ErrorKind::PeerRefused)]
#[case::future_version(InvalidOpening::FutureVersion, ErrorKind::PeerRefused)]
#[case::oversized_length(InvalidOpening::OversizedLength, ErrorKind::PeerRefused)]
#[case::other_kind(InvalidOpening::OtherKind, ErrorKind::PeerRefused)]
#[case::silence(InvalidOpening::Silence, ErrorKind::Io)]
#[case::hangup(InvalidOpening::Hangup, ErrorKind::Io)]
#[tokio::test]
async fn an_invalid_first_message_ends_the_handshake(
    #[case] opening: InvalidOpening,
    #[case] expected: ErrorKind,
) {
    let (listener, address) = listen(quick()).await;
    let mut stream = TcpStream::connect(&address).await.expect("connected");
    stream.write_all(&opening.bytes()).await.expect("written");
    if matches!(opening, InvalidOpening::Hangup) {
        drop(stream);
    }
    let result: Result<ServerSide, _> = listener.accept().await.establish().await;
    let report = result.expect_err("refused");
    assert_eq!(*report.current_context(), expected, "{report:?}");
}

#[tokio::test]
async fn a_listener_without_the_key_receives_no_proof() {
    let (listener, address) = listen(quick()).await;
    let relay = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let relay_address = relay.local_addr().expect("an address").to_string();
    // The relay echoes the initiator's first message instead of sending a challenge.
    let echo = async {
        let (mut stream, _) = relay.accept().await.expect("accepted");
        let mut bytes = vec![0; 4096];
        let read = stream.read(&mut bytes).await.expect("read");
        stream.write_all(&bytes[..read]).await.expect("written");
        let remaining = stream.read(&mut bytes).await.unwrap_or(0);
        assert_eq!(remaining, 0, "no proof follows an echo");
    };
    let own = own_identity();
    let (_, client) = tokio::join!(echo, dial(&relay_address, &own, quick()));
    assert_eq!(
        *client.expect_err("refused").current_context(),
        ErrorKind::PeerRefused
    );
    drop((listener, address));
}

#[rstest]
#[case::plain("0123456789abcdef", true)]
#[case::line_feed("0123456789abcdef\n", true)]
#[case::too_short("short\n", false)]
#[case::empty("", false)]
fn a_key_file_is_read_without_surrounding_space(#[case] content: &str, #[case] accepted: bool) {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(content.as_bytes()).expect("written");
    let key = ClusterKey::from_file(file.path());
    assert_eq!(key.is_ok(), accepted);
    if let Ok(key) = key {
        assert_eq!(key, ClusterKey::new("0123456789abcdef").expect("a key"));
        assert!(!format!("{key:?}").contains("0123"));
    }
}
