//! How far control's clock is from the gateway's.

use std::sync::atomic::{AtomicI64, Ordering};

use linnethitch_protocol::ids::Timestamp;
use tokio::sync::watch;

/// The offset as the newest freshness stamp shows it.
///
/// Ends of leases are times of control's clock and deadlines of items come from it, while the
/// gateway counts by its own. Clocks of machines may be hours apart; a stamp is off by its way
/// over the network only, and makes leases look shorter, never longer.
#[derive(Debug, Default)]
pub(crate) struct ClockOffset {
    /// Control's time less the gateway's, in milliseconds.
    milliseconds: AtomicI64,
    known: watch::Sender<bool>,
}

impl ClockOffset {
    /// A stamp of control's clock has just arrived.
    pub(crate) fn observe(&self, own: Timestamp, control: Timestamp) {
        let offset = i64::try_from(i128::from(control.0) - i128::from(own.0)).unwrap_or(0);
        self.milliseconds.store(offset, Ordering::Relaxed);
        self.known
            .send_if_modified(|known| !std::mem::replace(known, true));
    }

    /// Waits for the first stamp.
    pub(crate) async fn wait_until_known(&self) {
        // The sender lives as long as this does.
        let _ = self.known.subscribe().wait_for(|known| *known).await;
    }

    /// A time of the gateway's clock on control's.
    pub(crate) fn to_control(&self, own: Timestamp) -> Timestamp {
        Timestamp(own.0.saturating_add_signed(self.milliseconds()))
    }

    /// A time of control's clock on the gateway's.
    pub(crate) fn to_own(&self, control: Timestamp) -> Timestamp {
        let back = self.milliseconds().saturating_neg();
        Timestamp(control.0.saturating_add_signed(back))
    }

    fn milliseconds(&self) -> i64 {
        self.milliseconds.load(Ordering::Relaxed)
    }
}
