//! Why a connection between two nodes ended.

use std::fmt;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_transport::SendRefused;

/// Why a connection between two nodes ended.
#[derive(Debug)]
pub(crate) enum ConnectionEnd {
    /// The peer closed it between two messages.
    ByPeer,
    /// It broke, fell silent, or the peer sent something else than messages.
    Broken(Report<ErrorKind>),
    /// A message was refused by the send queue.
    NotSent(SendRefused),
    /// This node stops.
    Stopping,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionEnd::ByPeer => formatter.write_str("closed by the peer"),
            ConnectionEnd::Broken(report) => write!(formatter, "{report:?}"),
            ConnectionEnd::NotSent(refused) => write!(formatter, "not sent: {refused:?}"),
            ConnectionEnd::Stopping => formatter.write_str("this node stops"),
        }
    }
}
