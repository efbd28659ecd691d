//! Identifiers, one type each, so that they cannot be mixed up.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// Declares a number identifier.
macro_rules! number_id {
    ($( $(#[doc = $doc:literal])+ $name:ident($inner:ty); )+) => { $(
        $(#[doc = $doc])+
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    )+ };
}

/// Declares a text identifier.
macro_rules! text_id {
    ($( $(#[doc = $doc:literal])+ $name:ident; )+) => { $(
        $(#[doc = $doc])+
        #[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
        pub struct $name(pub String);

        impl $name {
            /// The text itself.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }
    )+ };
}

number_id! {
    /// A control machine, named in its settings file.
    MachineId(u32);
    /// Written once when a disk is formatted; never chosen again.
    DiskId(u64);
    /// A consensus term.
    Term(u64);
    /// A position in the replicated log, from 1.
    LogIndex(u64);
    /// A configuration revision, from 1; 0 means none yet.
    Revision(u64);
    /// One life of a gateway process as the ledger counts it.
    SessionEpoch(u64);
    /// A lease of items; grows with every lease of the ledger.
    LeaseEpoch(u64);
    /// The number of an item in its job, from 0: its line in the input file.
    ItemNumber(u32);
    /// Milliseconds since the Unix epoch.
    Timestamp(u64);
    /// A request on one connection, matched to its response.
    CallId(u64);
}

text_id! {
    /// A gateway process, unique in the fleet.
    GatewayId;
    /// A zone of the deployment.
    ZoneId;
    /// A tenant.
    TenantId;
    /// A served model as callers name it.
    ModelId;
    /// An application service.
    ServiceId;
    /// A back-end replica: the platform's machine name.
    ReplicaId;
    /// A batch job (`batch_…`).
    JobId;
    /// A stored file (`file-…`).
    FileId;
    /// One request of a caller (`req_…`).
    RequestId;
    /// A configuration change, made once by the operator's tool and kept over retries.
    ChangeId;
    /// The caller's `Idempotency-Key`.
    IdempotencyKey;
}

/// A consensus member: a machine together with the disk its state is on.
///
/// A machine with another disk is another member, so a blank disk can never
/// vote under the identity of the one that was lost.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct MemberId {
    /// The machine.
    pub machine: MachineId,
    /// The disk.
    pub disk: DiskId,
}

impl fmt::Display for MemberId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{:016x}", self.machine, self.disk.0)
    }
}

/// A fencing token: an order with a lower token than one seen is refused.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct FencingToken {
    /// The term of the leader that issued the order.
    pub term: Term,
    /// Grows with every order of the ledger.
    pub sequence: u64,
}
