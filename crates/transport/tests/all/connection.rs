//! Messages, limits and termination of open connections.

use std::{net::SocketAddr, time::Duration};

use linnethitch_clock::testing::suspend_for;
use linnethitch_errors::ErrorKind;
use linnethitch_fault_proxy::{Direction, Mode, Network};
use linnethitch_protocol::{
    attach::{ControlMessage, GatewayMessage},
    format::Format,
    frame::{FrameKind, HEADER_BYTES},
    ids::{ReplicaId, Revision},
};
use linnethitch_transport::{ConnectionOptions, SendRefused, WireMessage};
use rstest::rstest;

use crate::support::{pair, quick};

/// Timeout for every expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

fn large(bytes: usize) -> GatewayMessage {
    GatewayMessage::Suspect(vec![ReplicaId("r".repeat(bytes))])
}

#[tokio::test]
async fn messages_arrive_in_order() {
    let (mut server, client) = pair(quick()).await;
    for revision in 0..1000 {
        let message = GatewayMessage::Confirm(Revision(revision));
        client.sender.send(&message).await.expect("sent");
    }
    for revision in 0..1000 {
        let message = server.receiver.receive().await.expect("open");
        assert_eq!(message, Some(GatewayMessage::Confirm(Revision(revision))));
    }
}

#[tokio::test]
async fn a_large_message_passes_and_an_oversized_one_is_refused() {
    let (mut server, client) = pair(quick()).await;
    client.sender.send(&large(8 << 20)).await.expect("sent");
    let received = server.receiver.receive().await.expect("open");
    assert_eq!(received, Some(large(8 << 20)));
    assert_eq!(
        client.sender.try_send(&large(17 << 20)),
        Err(SendRefused::NotEncodable(ErrorKind::BodyTooLarge))
    );
}

#[tokio::test]
async fn a_dropped_sender_delivers_what_is_queued_and_ends_cleanly() {
    let (mut server, client) = pair(quick()).await;
    let (sender, _receiver) = client.split();
    sender.try_send(&GatewayMessage::Heartbeat).expect("queued");
    drop(sender);
    let last = server.receiver.receive().await.expect("open");
    assert_eq!(last, Some(GatewayMessage::Heartbeat));
    assert_eq!(server.receiver.receive().await.expect("a clean end"), None);
}

#[tokio::test]
async fn keep_alive_frames_keep_an_idle_connection_open() {
    let (mut server, mut client) = pair(quick()).await;
    let quiet = Duration::from_millis(1000);
    let (server_end, client_end) = tokio::join!(
        tokio::time::timeout(quiet, server.receiver.receive()),
        tokio::time::timeout(quiet, client.receiver.receive())
    );
    assert!(server_end.is_err(), "nothing arrives and nothing breaks");
    assert!(client_end.is_err(), "nothing arrives and nothing breaks");
}

/// Guards against an idle timeout that restarts with each call of `receive`: the owner may wait
/// for other events too, and cancels the call whenever one of them occurs.
#[rstest]
#[case::nothing_else(None)]
#[case::a_timer_that_fires_sooner(Some(100))]
#[tokio::test]
async fn a_connection_to_a_silent_peer_ends_after_the_idle_timeout(#[case] timer_ms: Option<u64>) {
    let network = Network::start().expect("threads");
    let (listener, address) = crate::support::listen(quick()).await;
    let target = address.parse().expect("an address");
    let proxy = network.streams(any_port(), target).expect("a port");
    let identity = crate::support::own_identity();
    let proxied = proxy.address.to_string();
    let (server, client) = tokio::join!(
        async { listener.accept().await.establish().await },
        crate::support::dial(&proxied, &identity, quick())
    );
    let _server: crate::support::ServerSide = server.expect("accepted");
    let mut client = client.expect("connected");
    proxy.set(Mode::Silent(Direction::FromTarget));
    let timer = timer_ms.map_or(TIMEOUT, Duration::from_millis);
    let waiting = async {
        loop {
            tokio::select! {
                received = client.receiver.receive() => break received,
                () = tokio::time::sleep(timer) => {}
            }
        }
    };
    let ended = tokio::time::timeout(TIMEOUT, waiting).await;
    let report = ended.expect("it ends").expect_err("by an error");
    assert_eq!(*report.current_context(), ErrorKind::Io);
}

/// Timers do not advance while the machine is suspended, but the time counts towards the peer's
/// idle timeout.
#[tokio::test]
async fn a_suspension_counts_towards_the_idle_timeout() {
    let long_timeout = ConnectionOptions {
        idle_timeout: Duration::from_secs(600),
        ..quick()
    };
    let network = Network::start().expect("threads");
    let (listener, address) = crate::support::listen(long_timeout).await;
    let target = address.parse().expect("an address");
    let proxy = network.streams(any_port(), target).expect("a port");
    let identity = crate::support::own_identity();
    let proxied = proxy.address.to_string();
    let (server, client) = tokio::join!(
        async { listener.accept().await.establish().await },
        crate::support::dial(&proxied, &identity, long_timeout)
    );
    let _server: crate::support::ServerSide = server.expect("accepted");
    let mut client = client.expect("connected");
    proxy.set(Mode::Silent(Direction::FromTarget));
    let waiting = tokio::spawn(async move { client.receiver.receive().await });
    tokio::task::yield_now().await;
    suspend_for(Duration::from_secs(601));
    let ended = tokio::time::timeout(TIMEOUT, waiting).await;
    let received = ended.expect("it ends").expect("it ran");
    let report = received.expect_err("by an error");
    assert_eq!(*report.current_context(), ErrorKind::Io);
}

/// Guards against a false idle timeout: after a process pause longer than the idle timeout, the
/// data that the peer sent in the meantime must be read before the timeout is checked.
#[tokio::test]
async fn data_received_during_a_process_pause_prevents_the_idle_timeout() {
    let long_timeout = ConnectionOptions {
        idle_timeout: TIMEOUT,
        ..quick()
    };
    let (listener, address) = crate::support::listen(long_timeout).await;
    let identity = crate::support::own_identity();
    let accepting = async { listener.accept().await.establish().await };
    let (server, client) = tokio::join!(
        accepting,
        crate::support::dial(&address, &identity, quick())
    );
    let server: crate::support::ServerSide = server.expect("accepted");
    let mut client = client.expect("connected");
    let sent = ControlMessage::CancelJobs(Vec::new());
    server.sender.send(&sent).await.expect("sent");
    tokio::time::sleep(Duration::from_millis(50)).await;
    std::thread::sleep(quick().idle_timeout * 2);
    let received = client
        .receiver
        .receive()
        .await
        .expect("the connection is open");
    assert_eq!(received, Some(sent));
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

#[tokio::test]
async fn a_peer_that_does_not_read_ends_its_connection() {
    let options = ConnectionOptions {
        queue_frames: 8,
        ..quick()
    };
    let (server, mut client) = pair(options).await;
    let filled = loop {
        match client.sender.try_send(&large(1 << 20)) {
            Ok(()) => tokio::task::yield_now().await,
            Err(reason) => break reason,
        }
    };
    assert_eq!(filled, SendRefused::Full);
    let end = client
        .receiver
        .receive()
        .await
        .expect_err("the connection ended");
    assert_eq!(*end.current_context(), ErrorKind::Io);
    assert_eq!(
        client.sender.send(&GatewayMessage::Heartbeat).await,
        Err(SendRefused::Closed)
    );
    drop(server);
}

#[tokio::test]
async fn send_waits_for_queue_capacity() {
    let options = ConnectionOptions {
        queue_frames: 2,
        ..quick()
    };
    let (mut server, client) = pair(options).await;
    let sending = async {
        for _ in 0..64 {
            client.sender.send(&large(1 << 20)).await.expect("sent");
        }
    };
    let receiving = async {
        for _ in 0..64 {
            server.receiver.receive().await.expect("open");
        }
    };
    tokio::join!(sending, receiving);
}

#[tokio::test]
async fn only_soft_state_is_dropped_for_newer_soft_state() {
    let options = ConnectionOptions {
        queue_frames: 4,
        write_timeout: Duration::from_secs(20),
        idle_timeout: Duration::from_secs(20),
        ..quick()
    };
    let (mut server, client) = pair(options).await;
    while client.sender.try_send(&large(4 << 20)).is_ok() {
        tokio::task::yield_now().await;
    }
    assert_eq!(
        client.sender.send_soft(&GatewayMessage::Heartbeat),
        Err(SendRefused::Full),
        "messages that are not soft state are not dropped"
    );
    let mut received = 0;
    while client.sender.dropped() == 0 {
        client
            .sender
            .send_soft(&GatewayMessage::Confirm(Revision(received)))
            .ok();
        if client.sender.dropped() == 0 && received < 8 {
            let _ = server.receiver.receive().await;
        }
        received += 1;
        assert!(received < 100_000, "the queue never filled with soft state");
    }
}

#[rstest]
#[case::truncated_in_the_header(HEADER_BYTES - 1, ErrorKind::Io)]
#[case::truncated_in_the_payload(HEADER_BYTES + 1, ErrorKind::Io)]
#[tokio::test]
async fn a_truncated_frame_is_an_error_and_not_a_clean_end(
    #[case] bytes: usize,
    #[case] expected: ErrorKind,
) {
    let frame = GatewayMessage::Confirm(Revision(7))
        .to_frame(Format::NEWEST)
        .expect("a frame");
    let report = receive_raw(&frame[..bytes]).await.expect_err("broken");
    assert_eq!(*report.current_context(), expected);
}

#[rstest]
#[case::payload_byte(HEADER_BYTES, ErrorKind::Corrupted)]
#[case::kind(6, ErrorKind::MalformedRequest)]
#[case::version(5, ErrorKind::MalformedRequest)]
#[case::length(3, ErrorKind::MalformedRequest)]
#[tokio::test]
async fn a_damaged_frame_is_refused(#[case] position: usize, #[case] expected: ErrorKind) {
    let mut frame = GatewayMessage::Confirm(Revision(7))
        .to_frame(Format::NEWEST)
        .expect("a frame");
    frame[position] ^= 0x55;
    let report = receive_raw(&frame).await.expect_err("refused");
    assert_eq!(*report.current_context(), expected, "{report:?}");
}

#[tokio::test]
async fn a_frame_of_another_kind_is_refused() {
    let mut frame = GatewayMessage::Heartbeat
        .to_frame(Format::NEWEST)
        .expect("a frame");
    frame[6..8].copy_from_slice(&(FrameKind::Peer as u16).to_le_bytes());
    let report = receive_raw(&frame).await.expect_err("refused");
    assert_eq!(*report.current_context(), ErrorKind::MalformedRequest);
}

/// Returns what a server receives from a peer that writes these bytes after the handshake and
/// then closes the connection.
async fn receive_raw(
    bytes: &[u8],
) -> Result<Option<GatewayMessage>, error_stack::Report<ErrorKind>> {
    let (listener, address) = crate::support::listen(quick()).await;
    let relay = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let relay_address = relay.local_addr().expect("an address").to_string();
    // The relay forwards the handshake, then sends its own bytes instead of the client's.
    let relaying = async {
        let (mut inner, _) = relay.accept().await.expect("accepted");
        let mut outer = tokio::net::TcpStream::connect(&address)
            .await
            .expect("connected");
        relay_handshake(&mut inner, &mut outer).await;
        tokio::io::AsyncWriteExt::write_all(&mut outer, bytes)
            .await
            .expect("written");
    };
    let identity = crate::support::own_identity();
    let (server, client, ()) = tokio::join!(
        async { listener.accept().await.establish().await },
        crate::support::dial(&relay_address, &identity, quick()),
        relaying
    );
    let mut server: crate::support::ServerSide = server.expect("accepted");
    let _client = client.expect("connected");
    server.receiver.receive().await
}

/// Forwards the four messages of a handshake between initiator and responder.
async fn relay_handshake(
    initiator: &mut tokio::net::TcpStream,
    responder: &mut tokio::net::TcpStream,
) {
    for step in 0..4 {
        if step % 2 == 0 {
            relay_frame(initiator, responder).await;
        } else {
            relay_frame(responder, initiator).await;
        }
    }
}

async fn relay_frame(from: &mut tokio::net::TcpStream, to: &mut tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut header = [0; HEADER_BYTES];
    from.read_exact(&mut header).await.expect("a header");
    let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]);
    let mut payload = vec![0; length as usize];
    from.read_exact(&mut payload).await.expect("a payload");
    to.write_all(&header).await.expect("written");
    to.write_all(&payload).await.expect("written");
}
