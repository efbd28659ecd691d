//! Reasons for the end of a connection between two nodes.

use std::fmt;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_transport::SendRefused;

/// Why a connection between two nodes ended.
#[derive(Debug)]
pub(crate) enum ConnectionEnd {
    /// The peer closed the connection between two messages.
    ByPeer,
    /// The connection broke, was silent for too long, or the peer sent invalid data.
    Broken(Report<ErrorKind>),
    /// The send queue refused a message.
    NotSent(SendRefused),
    /// This node is stopping.
    Stopping,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionEnd::ByPeer => formatter.write_str("closed by the peer"),
            ConnectionEnd::Broken(report) => write!(formatter, "{report:?}"),
            ConnectionEnd::NotSent(refused) => write!(formatter, "not sent: {refused:?}"),
            ConnectionEnd::Stopping => formatter.write_str("this node is stopping"),
        }
    }
}
