//! Leases of replica slots, requested in datagrams between gateways.
//!
//! One gateway coordinates the slots of each replica. The other gateways request
//! slots from the coordinator, report when they release one, and periodically
//! list the leases that they hold. The protocol tolerates lost datagrams.

use rkyv::{Archive, Deserialize, Serialize};

use crate::{quota::QuotaMessage, streams::StreamRecord, suspicion::ReportedSuspicion};

/// What the requesting gateway does when no slot is free.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum AskMode {
    /// Tries another replica.
    Probe,
    /// Waits for a slot of this replica.
    Wait,
    /// Sends the request without waiting; the coordinator counts it over the slot limit.
    Force,
    /// Tries another replica, also when batch items could be preempted for a slot.
    FreeOnly,
    /// Waits for a slot of this replica until no other exclusive request has one: a request
    /// during which replicas ended must not run concurrently with another such request.
    Exclusive,
}

/// The outcome of a run at a replica, as reported to the coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RunOutcome {
    /// The replica sent a complete answer.
    Served,
    /// The replica could not be reached, closed the connection early, or failed the request.
    Failed,
    /// The replica sent nothing until the timeout.
    Silent,
    /// Says nothing about the replica: the request was not run, or its caller disconnected.
    #[default]
    Unknown,
}

/// A coordinator's decision on a slot request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Verdict {
    /// A slot is leased to the requesting gateway.
    Granted,
    /// Online requests have every slot; for [`AskMode::FreeOnly`], no slot is free.
    Full,
    /// The requesting gateway is notified when it is granted a slot.
    Queued,
    /// This gateway does not coordinate that replica.
    NotCoordinator,
}

/// The load of a replica, as counted by its coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct SlotLoad {
    /// The replica.
    pub replica: String,
    /// Maximum number of concurrent requests.
    pub slots: u16,
    /// Slots leased to online requests.
    pub online: u16,
    /// Slots leased to batch items.
    pub items: u16,
    /// Online requests waiting for a slot.
    pub waiting: u16,
    /// Whether the replica must receive no requests, because it fails them or because its
    /// zone is evacuated.
    pub closed: bool,
}

/// A lease that its holder still uses.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct HeldLease {
    /// The replica.
    pub replica: String,
    /// The number that the holder gave the lease.
    pub number: u64,
    /// Whether the lease was requested with [`AskMode::Exclusive`].
    pub exclusive: bool,
}

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum GatewayDatagram {
    /// Requests a slot.
    Ask {
        /// The number that the requesting gateway gave the lease.
        number: u64,
        /// The replica.
        replica: String,
        /// Time until the request is due, in milliseconds; 0 after the due time.
        due_in_ms: u32,
        /// Priority of the request; 0 is the highest.
        rank: u8,
        /// What to do when no slot is free.
        mode: AskMode,
    },
    /// The answer to a slot request; a queued request gets a second answer.
    Answer {
        /// The number that the requesting gateway gave the lease.
        number: u64,
        /// The decision.
        verdict: Verdict,
        /// Loads of the replicas that the answering gateway coordinates.
        loads: Vec<SlotLoad>,
    },
    /// Releases a slot or withdraws the request for one.
    End {
        /// The number that the requesting gateway gave the lease.
        number: u64,
        /// The outcome of the request.
        outcome: RunOutcome,
    },
    /// Every lease that the receiver granted and the sender still holds.
    Held {
        /// The leases.
        leases: Vec<HeldLease>,
    },
    /// Requests during which replicas ended, and requests cleared of that suspicion, as known
    /// to the sender. Control reports them as well, but later, and not while it has no leader.
    Suspicions(Vec<ReportedSuspicion>),
    /// A message about tenant limits.
    Quota(QuotaMessage),
    /// A stream has brought its first event; the receiver keeps the record. Third format.
    StreamBegan(Box<StreamRecord>),
    /// Asks for the record of a stream. Third format.
    FindStream {
        /// The number of the question.
        number: u64,
        /// The stream.
        stream: String,
    },
    /// The answer to [`GatewayDatagram::FindStream`]. Third format.
    StreamFound {
        /// The number of the question.
        number: u64,
        /// The record; `None` if the sender has none.
        record: Option<Box<StreamRecord>>,
    },
}

impl GatewayDatagram {
    /// Whether the message is about records of streams, which the third format added.
    #[must_use]
    pub fn is_about_streams(&self) -> bool {
        matches!(
            self,
            GatewayDatagram::StreamBegan(_)
                | GatewayDatagram::FindStream { .. }
                | GatewayDatagram::StreamFound { .. }
        )
    }
}
