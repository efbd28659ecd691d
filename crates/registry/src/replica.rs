//! Replicas that register themselves.

use linnethitch_protocol::{format::Format, ids::LogIndex};
use rkyv::{Archive, Deserialize, Serialize};

use crate::incarnation_key::{incarnation_key, parse_incarnation_key};

/// What a replica may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ReplicaState {
    /// New work.
    Ready,
    /// Nothing new; it finishes what it has.
    Draining,
    /// Nothing; this incarnation does not come back.
    Ended,
    /// Nothing: another incarnation has registered at its address. It comes back if that
    /// one turns out not to be there, since its heartbeat came late.
    Displaced,
}

impl ReplicaState {
    /// Whether the replica is taken to be there.
    #[must_use]
    pub fn is_live(self) -> bool {
        matches!(self, ReplicaState::Ready | ReplicaState::Draining)
    }
}

/// What a replica says of itself. Its id and its start make one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// The replica. It may start again under its id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it listens, as IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// What it may be given.
    pub state: ReplicaState,
    /// Rises with each heartbeat of one start, so that a late one can be known.
    pub sequence: u64,
    /// Which start of the replica says it: a later start has a higher number. 0 where the
    /// replica does not tell.
    pub incarnation: u64,
    /// How much longer it is cold, in milliseconds, when it said so; 0 where it is warm.
    pub cold_ms: u64,
}

impl ReplicaChange {
    /// What a format keeps of it: the first neither starts nor cold times.
    #[must_use]
    pub fn reduced_to(self, format: Format) -> Self {
        match format {
            Format::First => ReplicaChange {
                incarnation: 0,
                cold_ms: 0,
                ..self
            },
            Format::Second => self,
        }
    }

    /// The key of the start that speaks.
    #[must_use]
    pub fn incarnation_key(&self) -> String {
        incarnation_key(&self.id, self.incarnation)
    }

    /// Whether a key names the start that speaks.
    #[must_use]
    pub fn is_of_incarnation(&self, key: &str) -> bool {
        parse_incarnation_key(key) == (self.id.as_str(), self.incarnation)
    }

    /// Whether it said that it is cold.
    pub(crate) fn is_cold(&self) -> bool {
        self.cold_ms > 0
    }

    /// Whether a heartbeat of the same start says something new beside its number. That
    /// less of the cold time is left says nothing new; that more is left does. Whether it
    /// became cold again since then only who knows when that was said can tell.
    #[must_use]
    pub fn differs_from(&self, held: &ReplicaChange) -> bool {
        self.state != held.state
            || self.address != held.address
            || self.service != held.service
            || self.slots != held.slots
            || self.zone != held.zone
            || self.cold_ms > held.cold_ms
            || self.is_cold() != held.is_cold()
    }
}

/// A replica as it is held.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaRecord {
    /// What it last said.
    pub reported: ReplicaChange,
    /// The log entry that changed it last.
    pub changed_at: LogIndex,
}
