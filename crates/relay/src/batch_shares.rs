//! How much of the slots batch items may take, online requests included.

/// Shares of slots, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BatchShares {
    /// Of a service: items begin up to here.
    pub(crate) start: f64,
    /// Of a service: beyond this, items give way to online requests.
    pub(crate) room: f64,
    /// Of one replica: what an item and all others may fill.
    pub(crate) replica: f64,
}

impl BatchShares {
    /// Where a gateway knows only its own work: slots stay free for the online
    /// requests of others, which it cannot see.
    pub(crate) const BLIND: Self = BatchShares {
        start: 0.7,
        room: 0.85,
        replica: 0.7,
    };
    /// Where control tells what all others have. Engines are hardly slower when
    /// they are full, so that a free slot is lost work.
    pub(crate) const INFORMED: Self = BatchShares {
        start: 0.85,
        room: 0.95,
        replica: 0.9,
    };
    /// Of an item that is due soon: it gives way to nothing.
    pub(crate) const URGENT: Self = BatchShares {
        start: 0.95,
        room: 1.0,
        replica: 0.95,
    };
}
