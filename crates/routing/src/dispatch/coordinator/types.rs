//! What a coordinator is asked and what it decides.

use linnethitch_protocol::{
    ids::MachineId,
    slots::{AskMode, Verdict},
};

/// A lease of a slot: its holder and the holder's number of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseKey {
    /// The gateway.
    pub holder: MachineId,
    /// Its number of the lease.
    pub number: u64,
}

/// The number of a batch item's run, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunNumber(pub u64);

/// When work is due. Work that is late waits for what can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// The time at which it is late, in milliseconds.
    pub at_ms: u64,
}

impl Due {
    /// Its place among others that wait: those on time by their due times, then
    /// late ones by the same.
    pub(super) fn turn(self, now_ms: u64) -> (bool, u64) {
        (self.at_ms <= now_ms, self.at_ms)
    }
}

/// What a replica is, as its coordinator needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoordinatedReplica {
    /// The key of its start.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it may be given new work.
    pub open: bool,
    /// Whether its zone is evacuated: nothing waits there either.
    pub evacuated: bool,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotAction {
    /// Answer the holder of a lease.
    Answer {
        /// The lease.
        key: LeaseKey,
        /// The replica.
        replica: String,
        /// What was decided.
        verdict: Verdict,
    },
    /// Say that a replica fails what it is given, or no longer does.
    ReportHealth {
        /// The replica.
        replica: String,
        /// Whether it is closed.
        closed: bool,
    },
    /// Stop an item's run; its slot is given to another.
    Stop(RunNumber),
    /// Begin an item's run at a replica.
    Start {
        /// The run that waited.
        run: RunNumber,
        /// The replica.
        replica: String,
    },
}

/// An online request that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The lease that it would have.
    pub key: LeaseKey,
    /// The replica.
    pub replica: String,
    /// When it is late.
    pub due: Due,
    /// Its rank; 0 is the highest.
    pub rank: u8,
    /// What happens when no slot is free.
    pub mode: AskMode,
}

/// A batch item that wants a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// Its run.
    pub run: RunNumber,
    /// Its service.
    pub service: String,
    /// When it has to begin to be done in time.
    pub due: Due,
    /// Replicas that failed it.
    pub avoid: Vec<String>,
    /// Replicas that it must not be given: those outside its homes.
    pub except: Vec<String>,
}
