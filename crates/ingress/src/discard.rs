//! Reading of refused bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use linnethitch_clock::{Instant, timeout_at};

/// Maximum bytes that are read of a refused body.
const MAX_BYTES: usize = 16 * 1024 * 1024;
/// Maximum time for which a refused body is read.
const MAX_TIME: Duration = Duration::from_secs(5);

/// Reads the rest of a refused body and discards it, for a bounded number of bytes and time. Most
/// clients read the response only after they have sent the complete body; if the connection were
/// closed before, they would see a reset instead of the response.
pub async fn discard<B>(mut body: B)
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
