//! Datagrams are accepted only from senders with the cluster key.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use linnethitch_protocol::{
    format::Format,
    frame::{self, FrameKind},
    slots::{GatewayDatagram, RunOutcome},
};
use linnethitch_transport::{ClusterIdentity, ClusterKey, Datagrams};
use rstest::rstest;
use tokio::net::UdpSocket;

const TIMEOUT: Duration = Duration::from_secs(20);

fn identity(name: &str, key: &str) -> ClusterIdentity {
    ClusterIdentity {
        name: name.to_owned(),
        key: ClusterKey::new(key).expect("long enough"),
    }
}

/// A socket on a free port, and its address.
fn bind(identity: ClusterIdentity) -> (Datagrams<GatewayDatagram>, SocketAddrV4) {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    let datagrams = Datagrams::bind(any, identity).expect("a free port");
    let address = datagrams.local_address().expect("it is bound");
    (datagrams, address)
}

fn end(number: u64) -> GatewayDatagram {
    GatewayDatagram::End {
        number,
        outcome: RunOutcome::Unknown,
    }
}

#[tokio::test]
async fn a_message_arrives_with_its_sender() {
    let (receiver, to) = bind(identity("fleet", "a key for tests only"));
    let (sender, from) = bind(identity("fleet", "a key for tests only"));
    sender.send(to, Format::NEWEST, &end(7));
    let received = tokio::time::timeout(TIMEOUT, receiver.receive()).await;
    let received = received.expect("in time").expect("the socket works");
    assert_eq!(received, (from, end(7)));
}

/// Datagrams of senders without the cluster's key or name are ignored; the first message that
/// is received comes from the member that sends afterwards.
#[rstest]
#[case::other_key("fleet", "another key for tests")]
#[case::other_cluster("other", "a key for tests only")]
#[tokio::test]
async fn messages_from_outside_the_cluster_are_ignored(#[case] name: &str, #[case] key: &str) {
    let (receiver, to) = bind(identity("fleet", "a key for tests only"));
    let (outsider, _) = bind(identity(name, key));
    let (member, _) = bind(identity("fleet", "a key for tests only"));
    outsider.send(to, Format::NEWEST, &end(1));
    member.send(to, Format::NEWEST, &end(2));
    let received = tokio::time::timeout(TIMEOUT, receiver.receive()).await;
    let (_, message) = received.expect("in time").expect("the socket works");
    assert_eq!(message, end(2));
}

#[rstest]
#[case::empty(Vec::new())]
#[case::short(vec![1, 2, 3])]
#[case::noise(vec![9; 200])]
#[case::without_a_proof(frame::write_frame(FrameKind::Slots, Format::NEWEST, &end(1)).expect("small"))]
#[tokio::test]
async fn invalid_datagrams_are_ignored(#[case] bytes: Vec<u8>) {
    let (receiver, to) = bind(identity("fleet", "a key for tests only"));
    let (member, _) = bind(identity("fleet", "a key for tests only"));
    let outsider = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    outsider.send_to(&bytes, to).await.expect("it is sent");
    member.send(to, Format::NEWEST, &end(2));
    let received = tokio::time::timeout(TIMEOUT, receiver.receive()).await;
    let (_, message) = received.expect("in time").expect("the socket works");
    assert_eq!(message, end(2));
}
