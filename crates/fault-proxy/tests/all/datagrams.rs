//! How a proxy treats datagrams.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    time::Duration,
};

use linnethitch_fault_proxy::{Direction, Mode, Network, Proxy};

/// Timeout for an expected datagram.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Wait after which a datagram counts as lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(150);

fn bound(address: Ipv4Addr) -> UdpSocket {
    let socket = UdpSocket::bind((address, 0)).expect("a port");
    socket.set_read_timeout(Some(TIMEOUT)).expect("an option");
    socket
}

fn address_of(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("an address") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("bound to an IPv4 address"),
    }
}

fn start(network: &Network, target: &UdpSocket) -> Proxy {
    let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
    network.datagrams(any, address_of(target)).expect("a port")
}

#[test]
fn a_datagram_arrives_from_the_address_of_its_sender() {
    let network = Network::start().expect("threads");
    let target = bound(Ipv4Addr::LOCALHOST);
    let sender = bound(Ipv4Addr::new(127, 0, 0, 2));
    let proxy = start(&network, &target);
    sender.send_to(b"kept", proxy.address).expect("sent");
    let mut buffer = [0; 16];
    let (read, from) = target.recv_from(&mut buffer).expect("the datagram arrives");
    assert_eq!(&buffer[..read], b"kept");
    assert_eq!(from.ip(), sender.local_addr().expect("an address").ip());
}

#[test]
fn a_datagram_is_dropped_in_silent_mode() {
    let network = Network::start().expect("threads");
    let target = bound(Ipv4Addr::LOCALHOST);
    let sender = bound(Ipv4Addr::LOCALHOST);
    let proxy = start(&network, &target);
    proxy.set(Mode::Silent(Direction::Both));
    sender.send_to(b"lost", proxy.address).expect("sent");
    target
        .set_read_timeout(Some(LOSS_TIMEOUT))
        .expect("an option");
    assert!(target.recv_from(&mut [0; 16]).is_err());
}
