//! Leases of replicas' slots, asked for in datagrams between gateways.
//!
//! Each replica has one gateway that coordinates its slots. The others ask it
//! for a slot, tell it when they give one back, and from time to time which
//! ones they hold. Datagrams may be lost: nothing here has to arrive.

use rkyv::{Archive, Deserialize, Serialize};

use crate::{quota::QuotaMessage, suspicion::ReportedSuspicion};

/// What an asker does when no slot is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum AskMode {
    /// It tries another replica.
    Probe,
    /// It waits for one here.
    Wait,
    /// It sends its request all the same, which has to be counted.
    Force,
    /// It tries another replica, and does so too where batch items have the slots.
    FreeOnly,
    /// It waits for a slot here while no other such request has one: a request under
    /// which replicas ended must not run beside another one.
    Exclusive,
}

/// How a run at a replica came out, as its coordinator needs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RunOutcome {
    /// With the replica's whole answer.
    Served,
    /// The replica could not be reached, broke off, or failed it.
    Failed,
    /// The replica said nothing for long.
    Silent,
    /// It tells nothing of the replica: it was not run, or its caller left.
    #[default]
    Unknown,
}

/// What a coordinator answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Verdict {
    /// A slot is the asker's.
    Granted,
    /// Online requests have every slot; asked for a free one, no slot is free.
    Full,
    /// The asker is told when a slot is its own.
    Queued,
    /// This gateway does not coordinate that replica.
    NotCoordinator,
}

/// What is under way at a replica, as its coordinator counts it.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SlotLoad {
    /// The replica.
    pub replica: String,
    /// Requests that it works on at once.
    pub slots: u16,
    /// Slots leased to online requests.
    pub online: u16,
    /// Slots that batch items have.
    pub items: u16,
    /// Online requests that wait for a slot.
    pub waiting: u16,
    /// Whether nothing is to be sent there: it fails what it is given, or its zone is
    /// evacuated.
    pub closed: bool,
}

/// A lease that its holder still uses.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct HeldLease {
    /// The replica.
    pub replica: String,
    /// The holder's number of the lease.
    pub number: u64,
    /// Whether it was asked for by [`AskMode::Exclusive`].
    pub exclusive: bool,
}

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// A request needs a slot.
    Ask {
        /// The asker's number of the lease.
        number: u64,
        /// The replica.
        replica: String,
        /// Time until the request is late, in milliseconds; 0 when it is.
        due_in_ms: u32,
        /// Its rank; 0 is the highest.
        rank: u8,
        /// What happens when none is free.
        mode: AskMode,
    },
    /// The answer; a queued asker gets a second one.
    Answer {
        /// The asker's number of the lease.
        number: u64,
        /// What was decided.
        verdict: Verdict,
        /// Load of the replicas that the answering gateway coordinates.
        loads: Vec<SlotLoad>,
    },
    /// A slot is given back, or no longer asked for.
    End {
        /// The asker's number of the lease.
        number: u64,
        /// How the request came out.
        outcome: RunOutcome,
    },
    /// Every lease that the sender holds of the receiver.
    Held {
        /// The leases.
        leases: Vec<HeldLease>,
    },
    /// What the sender knows of requests under which replicas ended, or which were cleared
    /// of that. Control tells it too, a little later, and not at all while it has no leader.
    Suspicions(Vec<ReportedSuspicion>),
    /// About tenants' limits.
    Quota(QuotaMessage),
}
