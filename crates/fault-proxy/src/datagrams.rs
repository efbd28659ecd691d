//! A proxy of datagrams.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddrV4},
    sync::Arc,
};

use tokio::{net::UdpSocket, sync::watch, time::sleep};

use crate::mode::{Mode, State, Way};

/// Longest datagram.
const MOST_BYTES: usize = 64 * 1024;

/// Passes datagrams on, for ever.
pub(crate) async fn pass_all(
    socket: UdpSocket,
    target: SocketAddrV4,
    states: watch::Receiver<State>,
) {
    let mut senders: HashMap<IpAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MOST_BYTES];
    while let Ok((read, from)) = socket.recv_from(&mut buffer).await {
        let state = *states.borrow();
        // What is held back or reset is lost: nobody sends a datagram again.
        let is_lost = matches!(state.mode, Mode::Hold | Mode::Reset);
        if is_lost || state.silences(Way::ToTarget) {
            continue;
        }
        let Some(sender) = sender_of(&mut senders, from.ip()).await else {
            continue;
        };
        let bytes = buffer[..read].to_vec();
        tokio::spawn(async move {
            if let Mode::Delay(time) = state.mode {
                sleep(time).await;
            }
            // A target that is gone takes nothing.
            let _ = sender.send_to(&bytes, target).await;
        });
    }
}

/// A socket at the address of a sender, so that the target knows who it was.
async fn sender_of(
    senders: &mut HashMap<IpAddr, Arc<UdpSocket>>,
    address: IpAddr,
) -> Option<Arc<UdpSocket>> {
    if let Some(sender) = senders.get(&address) {
        return Some(Arc::clone(sender));
    }
    let sender = Arc::new(UdpSocket::bind((address, 0)).await.ok()?);
    senders.insert(address, Arc::clone(&sender));
    Some(sender)
}
