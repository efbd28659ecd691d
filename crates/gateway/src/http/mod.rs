//! The HTTP interface for callers.

pub(crate) mod page;
pub(crate) mod routes;

use std::time::Duration;

use linnethitch_config::settings::GatewayLimits;
use linnethitch_http_server::ConnectionLimits;
pub(crate) use linnethitch_http_server::{IncomingRequest, RequestHead, answer, body};

/// Longest time that a caller may go without reading from a response.
const WRITE_STALL_LIMIT: Duration = Duration::from_secs(30);

/// The limits of callers' connections from the settings.
pub(crate) fn connection_limits(limits: &GatewayLimits) -> ConnectionLimits {
    ConnectionLimits {
        header_bytes: limits.max_header_bytes as usize,
        header_time: Duration::from_millis(limits.header_timeout_ms),
        write_stall: WRITE_STALL_LIMIT,
    }
}
