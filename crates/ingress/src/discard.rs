//! Bodies of requests that are refused before they were read.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use linnethitch_clock::{Instant, timeout_at};
use tokio::runtime::Handle;

/// Maximum bytes that are read of a refused body.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time for which a refused body is read.
const MAX_TIME: Duration = Duration::from_secs(5);

/// The body of a client's request. If it is dropped before its end, the rest is read in the
/// background and discarded, for a bounded number of bytes and time. Most clients read the
/// response only after they have sent the complete body; if the connection were closed before,
/// they would see a reset instead of the response.
#[derive(Debug)]
pub struct ClientBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    /// `None` once its end was read.
    body: Option<B>,
}

impl<B> ClientBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    /// Wraps the body of a client's request.
    pub fn new(body: B) -> Self {
        ClientBody { body: Some(body) }
    }
}

impl<B> Drop for ClientBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    fn drop(&mut self) {
        let unfinished = self.body.take().filter(|body| !body.is_end_stream());
        // Without a runtime the process is ending, and so is the connection.
        if let (Some(body), Ok(runtime)) = (unfinished, Handle::try_current()) {
            runtime.spawn(discard(body));
        }
    }
}

impl<B> Body for ClientBody<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let Some(body) = &mut self.body else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) {
            self.body = None;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(B::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.body
            .as_ref()
            .map_or_else(SizeHint::default, B::size_hint)
    }
}

async fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    let deadline = Instant::now() + MAX_TIME;
    let mut remaining = MAX_BYTES;
    while let Ok(Some(Ok(frame))) = timeout_at(deadline, body.frame()).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        match remaining.checked_sub(length) {
            Some(after_frame) => remaining = after_frame,
            None => return,
        }
    }
}
