//! Sessions of gateways with their leases and claims.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::{GatewayId, ItemNumber, LeaseEpoch, SessionEpoch, Timestamp};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{claims::ClaimKey, job::JobNumber};

/// An item under lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub(crate) struct LeasedEntry {
    /// The item's job.
    pub(crate) job: JobNumber,
    /// The item's number in the job.
    pub(crate) item: ItemNumber,
}

/// Items leased by one command.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct Lease {
    /// The gateway's sequence number of the command.
    pub(crate) sequence: u64,
    /// Items still under lease, sorted.
    pub(crate) items: Vec<LeasedEntry>,
}

/// A session: one incarnation of a gateway process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Session {
    /// The session's epoch.
    pub(crate) epoch: SessionEpoch,
    /// The nonce with which the gateway opened the session.
    pub(crate) nonce: u64,
    /// When the session ends unless it is renewed.
    pub(crate) until: Timestamp,
    /// The highest sequence number of a lease command so far.
    pub(crate) highest_sequence: u64,
    /// Leases with items.
    pub(crate) leases: BTreeMap<LeaseEpoch, Lease>,
    /// Running claims.
    pub(crate) claims: BTreeSet<ClaimKey>,
    /// Number of items under lease.
    pub(crate) leased: u32,
}

impl Session {
    /// A session without leases and claims.
    pub(crate) fn new(epoch: SessionEpoch, nonce: u64, until: Timestamp) -> Self {
        Session {
            epoch,
            nonce,
            until,
            highest_sequence: 0,
            leases: BTreeMap::new(),
            claims: BTreeSet::new(),
            leased: 0,
        }
    }

    /// The lease with a sequence number, if the lease still has items.
    pub(crate) fn lease_of_sequence(&self, sequence: u64) -> Option<LeaseEpoch> {
        let mut leases = self.leases.iter();
        let found = leases.find(|(_, lease)| lease.sequence == sequence);
        found.map(|(epoch, _)| *epoch)
    }

    /// Whether the item is under this lease.
    pub(crate) fn holds(&self, epoch: LeaseEpoch, entry: LeasedEntry) -> bool {
        let lease = self.leases.get(&epoch);
        lease.is_some_and(|lease| lease.items.binary_search(&entry).is_ok())
    }

    /// Removes an item from its lease; returns whether the item was under this lease.
    pub(crate) fn return_item(&mut self, epoch: LeaseEpoch, entry: LeasedEntry) -> bool {
        let Some(lease) = self.leases.get_mut(&epoch) else {
            return false;
        };
        let Ok(position) = lease.items.binary_search(&entry) else {
            return false;
        };
        lease.items.remove(position);
        if lease.items.is_empty() {
            self.leases.remove(&epoch);
        }
        self.leased = self.leased.saturating_sub(1);
        true
    }
}

/// All sessions, at most one per gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Sessions {
    /// Sessions by gateway.
    pub(crate) by_gateway: BTreeMap<GatewayId, Session>,
}

impl Sessions {
    /// The gateway's session, if it is running and has this epoch.
    pub(crate) fn running(
        &mut self,
        gateway: &GatewayId,
        epoch: SessionEpoch,
    ) -> Option<&mut Session> {
        let session = self.by_gateway.get_mut(gateway)?;
        (session.epoch == epoch).then_some(session)
    }

    /// Whether an item is under this lease in any session.
    pub(crate) fn is_leased(&self, epoch: LeaseEpoch, entry: LeasedEntry) -> bool {
        let mut sessions = self.by_gateway.values();
        sessions.any(|session| session.holds(epoch, entry))
    }

    /// When the last lease of a job's items ends, unless it is renewed.
    pub(crate) fn last_lease_end(&self, job: JobNumber) -> Timestamp {
        let holding = self.by_gateway.values().filter(|session| {
            let mut items = session.leases.values().flat_map(|lease| &lease.items);
            items.any(|entry| entry.job == job)
        });
        holding
            .map(|session| session.until)
            .max()
            .unwrap_or_default()
    }

    /// Number of items under lease.
    pub(crate) fn leased_items(&self) -> u64 {
        let sessions = self.by_gateway.values();
        sessions.map(|session| u64::from(session.leased)).sum()
    }
}
