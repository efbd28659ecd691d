//! What a control member knows about the format that its group stores in, and about nodes of older
//! builds.

use std::time::Duration;

use linnethitch_clock::{Instant, sleep};
use linnethitch_group::StateMachine;
use linnethitch_protocol::format::Format;

use crate::control::ControlNode;

/// Interval at which the stored format is checked.
const FORMAT_POLL_INTERVAL: Duration = Duration::from_millis(20);

impl ControlNode {
    /// The format in which control stores, as this member knows it.
    pub(crate) fn stored_format(&self) -> Format {
        self.view().registry.format()
    }

    /// Whether a control member is known to run a build that does not support a format.
    pub(crate) fn has_member_below(&self, format: Format) -> bool {
        let is_below = |member| {
            let link_format = self.links.format_with(member);
            link_format.is_some_and(|link_format| link_format < format)
        };
        self.view().members.iter().copied().any(is_below)
    }

    /// Whether a gateway runs a build that does not support a format.
    pub(crate) fn has_gateway_below(&self, format: Format) -> bool {
        let now_ms = self.clock.now_ms();
        let presence = self.shared.presence.lock();
        !presence.gateways_read(format, now_ms)
    }

    /// Waits until control stores in a format, which happens soon after its start, or is known not
    /// to. False if it does not store in the format by the deadline.
    pub(crate) async fn wait_for_format(&self, format: Format, deadline: Instant) -> bool {
        while self.stored_format() < format && !self.has_member_below(format) {
            if Instant::now() + FORMAT_POLL_INTERVAL > deadline {
                return false;
            }
            sleep(FORMAT_POLL_INTERVAL).await;
        }
        self.stored_format() >= format
    }
}
