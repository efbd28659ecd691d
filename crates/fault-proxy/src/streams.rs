//! A proxy for TCP connections.

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

use crate::mode::{Direction, Mode, State};

/// Maximum size in bytes of a chunk that is forwarded.
const CHUNK_BYTES: usize = 16 * 1024;

/// Forwards connections until the runtime stops.
pub(crate) async fn forward_all(
    listener: TcpListener,
    target: SocketAddr,
    states: watch::Receiver<State>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        tokio::spawn(forward_one(caller, target, states.clone()));
    }
}

async fn forward_one(caller: TcpStream, target: SocketAddr, states: watch::Receiver<State>) {
    let at_accept = *states.borrow();
    let is_silent =
        at_accept.silences(Direction::ToTarget) && at_accept.silences(Direction::FromTarget);
    if is_silent {
        return discard(caller).await;
    }
    // If the target is unreachable, the caller's connection is closed, as at a port without a
    // listener.
    if let Ok(target) = TcpStream::connect(target).await {
        join(caller, target, at_accept, states).await;
    }
}

/// Keeps a connection open without connecting to the target, and discards its data.
async fn discard(mut caller: TcpStream) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while matches!(caller.read(&mut buffer).await, Ok(1..)) {}
}

async fn join(
    mut caller: TcpStream,
    mut target: TcpStream,
    at_accept: State,
    states: watch::Receiver<State>,
) {
    // Forwarding also works without this option.
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let resets = states.clone();
    let is_reset = {
        let (from_caller, to_caller) = caller.split();
        let (from_target, to_target) = target.split();
        let to_target_copy = Copy {
            direction: Direction::ToTarget,
            at_accept,
            states: states.clone(),
        };
        let to_caller_copy = Copy {
            direction: Direction::FromTarget,
            at_accept,
            states,
        };
        let both = async {
            tokio::join!(
                to_target_copy.run(from_caller, to_target),
                to_caller_copy.run(from_target, to_caller)
            )
        };
        tokio::select! {
            _ = both => false,
            () = wait_for_reset(resets) => true,
        }
    };
    if is_reset {
        for stream in [&caller, &target] {
            // Without this the connection is closed rather than reset.
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Waits until the mode is [`Mode::Reset`].
async fn wait_for_reset(mut states: watch::Receiver<State>) {
    let is_reset = states
        .wait_for(|state| state.mode == Mode::Reset)
        .await
        .is_ok();
    if !is_reset {
        // The proxy was dropped, so its mode does not change any more.
        std::future::pending::<()>().await;
    }
}

/// One direction of a connection.
struct Copy {
    direction: Direction,
    at_accept: State,
    states: watch::Receiver<State>,
}

impl Copy {
    async fn run(mut self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) {
        let mut buffer = vec![0; CHUNK_BYTES];
        while let Ok(read @ 1..) = from.read(&mut buffer).await {
            if self.may_forward().await && to.write_all(&buffer[..read]).await.is_err() {
                return;
            }
        }
        if self.may_forward().await {
            // The other side may already be closed.
            let _ = to.shutdown().await;
        }
    }

    /// Waits until a chunk may be forwarded; false if the chunk must be dropped.
    async fn may_forward(&mut self) -> bool {
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
                Mode::Delay(delay) => {
                    sleep(delay).await;
                    return true;
                }
                Mode::Pass | Mode::Reset | Mode::Silent(_) => return true,
            }
        }
    }
}
