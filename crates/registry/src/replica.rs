//! Replicas that register themselves.

use linnethitch_protocol::{format::Format, ids::LogIndex};
use rkyv::{Archive, Deserialize, Serialize, with::Skip};

use crate::incarnation_key::{incarnation_key, parse_incarnation_key};

/// The state of a replica, which decides about its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ReplicaState {
    /// It takes new work.
    Ready,
    /// It takes no new work and finishes its running work.
    Draining,
    /// It gets no work; this incarnation does not return.
    Ended,
    /// It gets no work: another incarnation has registered at its address. It becomes ready
    /// again if the other one is not at the address, that is, its heartbeat was delayed.
    Displaced,
}

impl ReplicaState {
    /// Whether the replica counts as running.
    #[must_use]
    pub fn is_live(self) -> bool {
        matches!(self, ReplicaState::Ready | ReplicaState::Draining)
    }
}

/// The report of a replica about itself. Its id and its incarnation number identify one
/// incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// The replica's id, which it keeps when it restarts.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The address where it listens, as IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it executes at the same time.
    pub slots: u32,
    /// Whether it takes work.
    pub state: ReplicaState,
    /// Rises with each heartbeat of one incarnation, so that a delayed heartbeat is detected.
    pub sequence: u64,
    /// The number of the reporting incarnation: each restart has a higher one. 0 if the
    /// replica does not report it.
    pub incarnation: u64,
    /// The remaining time for which it is cold, at the time of the report, in milliseconds;
    /// 0 if it is warm.
    pub cold_ms: u64,
    /// The version of its software; `None` if it is not reported. What two versions generate
    /// must not be joined. Stored and sent beside the report, see [`crate::software`].
    #[rkyv(with = Skip)]
    pub software: Option<String>,
}

impl ReplicaChange {
    /// The report with only the fields that a format stores: the first format has neither
    /// incarnations nor cold times, the first two have no software versions.
    #[must_use]
    pub fn reduced_to(self, format: Format) -> Self {
        match format {
            Format::First => ReplicaChange {
                incarnation: 0,
                cold_ms: 0,
                software: None,
                ..self
            },
            Format::Second => ReplicaChange {
                software: None,
                ..self
            },
            Format::Third | Format::Fourth => self,
        }
    }

    /// The key of the reporting incarnation.
    #[must_use]
    pub fn incarnation_key(&self) -> String {
        incarnation_key(&self.id, self.incarnation)
    }

    /// Whether a key names the reporting incarnation.
    #[must_use]
    pub fn is_of_incarnation(&self, key: &str) -> bool {
        parse_incarnation_key(key) == (self.id.as_str(), self.incarnation)
    }

    /// Whether it reported that it is cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.cold_ms > 0
    }

    /// Whether a heartbeat of the same incarnation changes more than its sequence number. A
    /// shorter remaining cold time is no change, a longer one is. Whether the replica became
    /// cold again in the meantime needs the time of the earlier report, which the caller has.
    #[must_use]
    pub fn differs_from(&self, current: &ReplicaChange) -> bool {
        self.state != current.state
            || self.address != current.address
            || self.service != current.service
            || self.slots != current.slots
            || self.zone != current.zone
            || self.software != current.software
            || self.cold_ms > current.cold_ms
            || self.is_cold() != current.is_cold()
    }
}

/// The record of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// Its last report.
    pub reported: ReplicaChange,
    /// The log entry that changed it last.
    pub changed_at: LogIndex,
}
