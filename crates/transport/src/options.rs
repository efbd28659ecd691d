//! Limits of a connection.

use std::time::Duration;

use linnethitch_protocol::format::Format;

/// Limits of a connection; every queue and every wait is bounded by one of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Longest time for TCP connect and handshake together.
    pub open_timeout: Duration,
    /// A keep-alive frame is sent after this long without another frame.
    pub keep_alive: Duration,
    /// The connection ends after this long without a byte from the peer.
    pub idle_timeout: Duration,
    /// The connection ends when the peer takes no byte for this long.
    pub write_timeout: Duration,
    /// Most frames in the send queue.
    pub queue_frames: usize,
    /// Most bytes in the send queue; one larger frame is let through when it is empty.
    pub queue_bytes: usize,
    /// The newest format that is spoken, whatever newer one this build knows.
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
