//! The offset of control's clock from the gateway's.

use std::sync::atomic::{AtomicI64, Ordering};

use linnethitch_protocol::ids::Timestamp;
use tokio::sync::watch;

/// The offset according to the newest freshness stamp.
///
/// Ends of leases and deadlines of items are times of control's clock, while the gateway uses its
/// own. Clocks of machines may be hours apart. The error of the offset is the network delay of the
/// stamp, which makes leases appear shorter, never longer.
#[derive(Debug, Default)]
pub(crate) struct ClockOffset {
    /// Control's time minus the gateway's, in milliseconds.
    milliseconds: AtomicI64,
    known: watch::Sender<bool>,
}

impl ClockOffset {
    /// Records a stamp of control's clock that has just arrived.
    pub(crate) fn observe(&self, own: Timestamp, control: Timestamp) {
        let offset = i64::try_from(i128::from(control.0) - i128::from(own.0)).unwrap_or(0);
        self.milliseconds.store(offset, Ordering::Relaxed);
        self.known
            .send_if_modified(|known| !std::mem::replace(known, true));
    }

    /// Waits for the first stamp.
    pub(crate) async fn wait_until_known(&self) {
        // The wait cannot fail: `self` owns the sender.
        let _ = self.known.subscribe().wait_for(|known| *known).await;
    }

    /// Converts a time of the gateway's clock to control's.
    pub(crate) fn to_control(&self, own: Timestamp) -> Timestamp {
        Timestamp(own.0.saturating_add_signed(self.milliseconds()))
    }

    /// Converts a time of control's clock to the gateway's.
    pub(crate) fn to_own(&self, control: Timestamp) -> Timestamp {
        let negated = self.milliseconds().saturating_neg();
        Timestamp(control.0.saturating_add_signed(negated))
    }

    fn milliseconds(&self) -> i64 {
        self.milliseconds.load(Ordering::Relaxed)
    }
}
