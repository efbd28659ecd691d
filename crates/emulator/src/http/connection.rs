//! A TCP connection that can be broken from outside, as when its process dies.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Fails every operation once its token is cancelled.
pub(super) struct BreakableConnection {
    stream: TcpStream,
    broken: Pin<Box<WaitForCancellationFutureOwned>>,
    token: CancellationToken,
}

impl BreakableConnection {
    pub(super) fn new(stream: TcpStream, token: CancellationToken) -> BreakableConnection {
        BreakableConnection {
            stream,
            broken: Box::pin(token.clone().cancelled_owned()),
            token,
        }
    }

    fn check(&self) -> io::Result<()> {
        if self.token.is_cancelled() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

impl AsyncRead for BreakableConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.broken.as_mut().poll(context).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for BreakableConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
