//! Requests to a coordinator and its decisions.

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, Verdict},
};

/// Identifies a lease of a slot by its holder and the holder's number for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey {
    /// The gateway.
    pub holder: MachineId,
    /// The holder's number for the lease.
    pub number: u64,
}

/// The number of a batch item's run, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u64);

/// When work is due. Late work waits for work that can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// The time from which the work is late, in milliseconds.
    pub at_ms: u64,
}

impl Due {
    /// Order among waiting work: by due time, late work after the rest.
    pub(super) fn sort_key(self, now_ms: u64) -> (bool, u64) {
        (self.at_ms <= now_ms, self.at_ms)
    }
}

/// A replica in the form that its coordinator needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatedReplica {
    /// The key of its incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it may get new work.
    pub open: bool,
    /// Whether its zone is evacuated, in which case no request waits there either.
    pub evacuated: bool,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Answer the holder of a lease.
    Answer {
        /// The lease.
        key: LeaseKey,
        /// The replica.
        replica: String,
        /// The decision.
        verdict: Verdict,
    },
    /// Report that a replica was ejected or is available again.
    ReportHealth {
        /// The replica.
        replica: String,
        /// Whether the replica is ejected.
        closed: bool,
    },
    /// Stop an item's run; its slot is given to another request.
    Stop(RunNumber),
    /// Start an item's run at a replica.
    Start {
        /// The run that waited.
        run: RunNumber,
        /// The replica.
        replica: String,
    },
}

/// A request for a slot by an online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The lease under which the slot would be granted.
    pub key: LeaseKey,
    /// The replica.
    pub replica: String,
    /// When the request is due.
    pub due: Due,
    /// Its rank; 0 is the highest.
    pub rank: u8,
    /// What happens if no slot is free.
    pub mode: AskMode,
}

/// A batch item that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Its run.
    pub run: RunNumber,
    /// Its service.
    pub service: String,
    /// The latest start with which the item ends in time.
    pub due: Due,
    /// Replicas at which it failed.
    pub avoid: Vec<String>,
    /// Replicas that it must not use: those outside its home zones.
    pub except: Vec<String>,
}
