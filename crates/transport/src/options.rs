//! Limits of a connection.

use std::time::Duration;

use linnethitch_protocol::format::Format;

/// Limits of a connection; every queue and every wait has one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Timeout of TCP connect and handshake together.
    pub open_timeout: Duration,
    /// Time without a sent frame after which a keep-alive frame is sent.
    pub keep_alive: Duration,
    /// The connection ends when no byte arrives from the peer for this time.
    pub idle_timeout: Duration,
    /// The connection ends when the peer accepts no byte for this time.
    pub write_timeout: Duration,
    /// Maximum number of frames in the send queue.
    pub queue_frames: usize,
    /// Maximum bytes in the send queue; an empty queue accepts one larger frame.
    pub queue_bytes: usize,
    /// The newest format to use, even if this build supports a newer one.
    pub newest_format: Format,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        ConnectionOptions {
            open_timeout: Duration::from_secs(2),
            keep_alive: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(4),
            write_timeout: Duration::from_secs(5),
            queue_frames: 1024,
            queue_bytes: 32 * 1024 * 1024,
            newest_format: Format::NEWEST,
        }
    }
}
