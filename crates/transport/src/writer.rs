//! The task that writes queued frames to the socket.

use std::{sync::Arc, time::Duration};

use linnethitch_protocol::frame::{FrameKind, HEADER_BYTES, OPENING_FORMAT};
use tokio::{
    io::{AsyncWrite, AsyncWriteExt},
    sync::watch,
    time::timeout,
};

use crate::{options::ConnectionOptions, queue::SendQueue, traffic::Traffic};

/// Frames are combined into writes of about this many bytes.
const WRITE_BATCH_BYTES: usize = 64 * 1024;

/// A keep-alive frame: a frame of kind handshake without a payload.
pub(crate) fn keep_alive_frame() -> [u8; HEADER_BYTES] {
    let mut frame = [0; HEADER_BYTES];
    frame[4..6].copy_from_slice(&OPENING_FORMAT.number().to_le_bytes());
    frame[6..8].copy_from_slice(&(FrameKind::Handshake as u16).to_le_bytes());
    frame
}

/// Writes frames until the queue is closed and empty or the peer stops reading.
pub(crate) async fn write_frames<W>(
    mut socket: W,
    queue: Arc<SendQueue>,
    ended: watch::Sender<bool>,
    options: ConnectionOptions,
    traffic: Arc<Traffic>,
) where
    W: AsyncWrite + Unpin,
{
    while let Ok(()) = write_next(&mut socket, &queue, options, &traffic).await {}
    queue.close();
    ended.send_replace(true);
    // An error is ignored, since the peer may have closed the connection already.
    let _ = timeout(options.write_timeout, socket.shutdown()).await;
}

/// The queue is closed and empty, or a write failed or timed out.
struct Stopped;

async fn write_next<W>(
    socket: &mut W,
    queue: &SendQueue,
    options: ConnectionOptions,
    traffic: &Traffic,
) -> Result<(), Stopped>
where
    W: AsyncWrite + Unpin,
{
    let Ok(taken) = timeout(options.keep_alive, queue.take_all()).await else {
        write_bytes(socket, &keep_alive_frame(), options.write_timeout).await?;
        traffic.count_sent(FrameKind::Handshake, HEADER_BYTES);
        return Ok(());
    };
    let mut batch = Vec::new();
    for frame in taken.ok_or(Stopped)? {
        traffic.count_sent(frame.kind, frame.bytes.len());
        batch.extend_from_slice(&frame.bytes);
        if batch.len() >= WRITE_BATCH_BYTES {
            write_bytes(socket, &batch, options.write_timeout).await?;
            batch.clear();
        }
    }
    write_bytes(socket, &batch, options.write_timeout).await
}

/// Writes all bytes; each partial write must complete within the timeout.
async fn write_bytes<W>(
    socket: &mut W,
    mut bytes: &[u8],
    write_timeout: Duration,
) -> Result<(), Stopped>
where
    W: AsyncWrite + Unpin,
{
    while !bytes.is_empty() {
        match timeout(write_timeout, socket.write(bytes)).await {
            Ok(Ok(written)) if written > 0 => bytes = &bytes[written..],
            _ => return Err(Stopped),
        }
    }
    Ok(())
}
