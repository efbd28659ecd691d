//! A proxy of TCP connections.

use std::{net::SocketAddr, time::Duration};

use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{ReadHalf, WriteHalf},
    },
    sync::watch,
    time::sleep,
};

use crate::mode::{Mode, State, Way};

/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 16 * 1024;

/// Passes connections on, for ever.
pub(crate) async fn pass_all(
    listener: TcpListener,
    target: SocketAddr,
    states: watch::Receiver<State>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(pass_one(caller, target, states.clone()));
    }
}

async fn pass_one(caller: TcpStream, target: SocketAddr, states: watch::Receiver<State>) {
    let at_accept = *states.borrow();
    let swallows_all = at_accept.silences(Way::ToTarget) && at_accept.silences(Way::FromTarget);
    if swallows_all {
        return swallow(caller).await;
    }
    // Without the target the caller's connection ends, as at a port where nobody listens.
    if let Ok(target) = TcpStream::connect(target).await {
        join(caller, target, at_accept, states).await;
    }
}

/// Holds a connection open that never reached its target.
async fn swallow(mut caller: TcpStream) {
    let mut buffer = vec![0; PIECE_BYTES];
    while matches!(caller.read(&mut buffer).await, Ok(1..)) {}
}

async fn join(
    mut caller: TcpStream,
    mut target: TcpStream,
    at_accept: State,
    states: watch::Receiver<State>,
) {
    // A socket that takes no option passes bytes all the same.
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let resets = states.clone();
    let is_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_target, to_target) = target.split();
        let forth = Copy {
            direction: Way::ToTarget,
            at_accept,
            states: states.clone(),
        };
        let back = Copy {
            direction: Way::FromTarget,
            at_accept,
            states,
        };
        let both = async {
            tokio::join!(
                forth.run(from_caller, to_target),
                back.run(from_target, to_caller)
            )
        };
        tokio::select! {
            _ = both => false,
            () = reset_mode(resets) => true,
        }
    };
    if is_reset {
        for stream in [&caller, &target] {
            // Else it ends by a close in place of a reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Waits until connections are to be reset.
async fn reset_mode(mut states: watch::Receiver<State>) {
    let is_reset = states
        .wait_for(|state| state.mode == Mode::Reset)
        .await
        .is_ok();
    if !is_reset {
        // Nobody holds the proxy any more: it stays as it is.
        std::future::pending::<()>().await;
    }
}

/// One direction of a connection.
struct Copy {
    direction: Way,
    at_accept: State,
    states: watch::Receiver<State>,
}

impl Copy {
    async fn run(mut self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) {
        let mut buffer = vec![0; PIECE_BYTES];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            if self.may_pass().await && to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
        if self.may_pass().await {
            // The other side may be gone already.
            let _ = to.shutdown().await;
        }
    }

    /// Waits until a piece may go on; false where it is lost.
    async fn may_pass(&mut self) -> bool {
        loop {
            let state = *self.states.borrow_and_update();
            if state.is_silent(&self.at_accept, self.direction) {
                return false;
            }
            match state.mode {
                Mode::Hold => {
                    if self.states.changed().await.is_err() {
                        return false;
                    }
                }
                Mode::Delay(time) => {
                    sleep(time).await;
                    return true;
                }
                Mode::Pass | Mode::Reset | Mode::Silent(_) => return true,
            }
        }
    }
}
