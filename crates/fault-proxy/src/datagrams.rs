//! A proxy for datagrams.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddrV4},
    sync::Arc,
};

use tokio::{net::UdpSocket, sync::watch, time::sleep};

use crate::mode::{Direction, Mode, State};

/// Buffer size, larger than any datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Forwards datagrams until the runtime stops.
pub(crate) async fn forward_all(
    socket: UdpSocket,
    target: SocketAddrV4,
    states: watch::Receiver<State>,
) {
    let mut sockets: HashMap<IpAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    while let Ok((read, from)) = socket.recv_from(&mut buffer).await {
        let state = *states.borrow();
        // Held or reset datagrams are lost, since there is no retransmission of datagrams.
        let is_lost = matches!(state.mode, Mode::Hold | Mode::Reset);
        if is_lost || state.silences(Direction::ToTarget) {
            continue;
        }
        let Some(socket) = socket_for(&mut sockets, from.ip()).await else {
            continue;
        };
        let bytes = buffer[..read].to_vec();
        tokio::spawn(async move {
            if let Mode::Delay(delay) = state.mode {
                sleep(delay).await;
            }
            // A target that has ended receives nothing.
            let _ = socket.send_to(&bytes, target).await;
        });
    }
}

/// Returns a socket bound to the address of a sender, so that the target sees this address.
async fn socket_for(
    sockets: &mut HashMap<IpAddr, Arc<UdpSocket>>,
    address: IpAddr,
) -> Option<Arc<UdpSocket>> {
    if let Some(socket) = sockets.get(&address) {
        return Some(Arc::clone(socket));
    }
    let socket = Arc::new(UdpSocket::bind((address, 0)).await.ok()?);
    sockets.insert(address, Arc::clone(&socket));
    Some(socket)
}
