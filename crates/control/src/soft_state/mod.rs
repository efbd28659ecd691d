//! Control state that is not replicated: attached gateways, replicas and their loads.
//! A restarted process rebuilds it within a second.
//!
//! Every member reports the gateways attached to it to the leader (a digest); the leader
//! sends replicas and loads to every member (a broadcast). No clock is read here: times
//! are passed in.

mod attached;
pub(crate) mod exchange;
mod fleet;
mod grants;
mod leader;

use std::sync::Arc;

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    attach::{Grant, LeaderBroadcast, MemberDigest},
    ids::{GatewayId, LogIndex, MachineId, ReplicaId, SessionEpoch, Term, Timestamp},
    query::{FleetStatus, ReplicaStatus},
};
use parking_lot::Mutex;

pub(crate) use attached::{AttachedGateways, ConnectionNumber};
pub(crate) use fleet::{FleetVersion, VersionedFleet};
use grants::GrantAllocator;
use leader::LeaderView;

use crate::member::MemberTime;

/// Soft state, shared by tasks and the member's thread.
pub(crate) type SharedSoftState = Arc<Mutex<SoftState>>;

/// The soft state of one member.
#[derive(Debug)]
pub(crate) struct SoftState {
    machine: MachineId,
    /// Gateways attached to this member.
    pub(crate) attached: AttachedGateways,
    /// Replicas and loads as received from the leader, or as found by placement on the leader.
    pub(crate) fleet: VersionedFleet,
    /// Term and version of the leader's fleet that `fleet` corresponds to.
    received: ReceivedFleet,
    leader: LeaderView,
    grants: GrantAllocator,
    /// Increases when gateways attached to this member are granted capacity.
    grants_version: u64,
}

/// Changes when there is something new for the gateways attached to this member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SoftStateVersion {
    fleet: FleetVersion,
    grants: u64,
}

/// Term and version of the leader's fleet that was received last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReceivedFleet {
    term: Term,
    version: FleetVersion,
}

impl SoftState {
    /// Soft state of a member that has received nothing yet.
    pub(crate) fn new(machine: MachineId) -> Self {
        SoftState {
            machine,
            attached: AttachedGateways::default(),
            fleet: VersionedFleet::default(),
            received: ReceivedFleet::default(),
            leader: LeaderView::default(),
            grants: GrantAllocator::default(),
            grants_version: 0,
        }
    }

    /// The report to the leader on the gateways attached to this member.
    pub(crate) fn digest(&mut self, now_ms: u64) -> MemberDigest {
        MemberDigest {
            machine: self.machine,
            gateways: self.attached.statuses(now_ms),
            loads: self.attached.take_loads(),
            suspects: self.attached.take_suspects(),
            grant_requests: self.attached.grant_requests(),
            fleet_term: self.received.term,
            fleet_version: self.received.version.0,
        }
    }

    /// Takes the digest of another member or of this one.
    pub(crate) fn take_digest(&mut self, mut digest: MemberDigest, now_ms: u64) {
        for known in &digest.loads {
            self.fleet.put_load(&known.replica, known.load);
        }
        let grant_requests = std::mem::take(&mut digest.grant_requests);
        self.grants
            .set_grant_requests(digest.machine, grant_requests, now_ms);
        self.leader.take_digest(digest, now_ms);
    }

    /// Removes and returns the replicas that data paths found dead or leaving since the last call.
    pub(crate) fn take_suspects(&mut self) -> Vec<ReplicaId> {
        self.leader.take_suspects()
    }

    /// The version of what is sent to the gateways attached to this member.
    pub(crate) fn version(&self) -> SoftStateVersion {
        SoftStateVersion {
            fleet: self.fleet.version(),
            grants: self.grants_version,
        }
    }

    /// Starts or continues leading in a term.
    pub(crate) fn lead(&mut self, term: Term, now_ms: u64) {
        if self.leader.begin(term, now_ms) {
            self.grants.begin(now_ms);
            self.received = ReceivedFleet {
                term,
                version: self.fleet.version(),
            };
        }
    }

    /// Grants batch capacity if an allocation is due.
    pub(crate) fn allocate_grants(&mut self, rules: &Fleet, now: MemberTime) {
        let now_ms = now.monotonic_ms;
        let allocated = self.grants.allocate(rules, &self.fleet, now_ms, now.wall);
        if allocated {
            self.store_grants(self.grants.grants_for(self.machine));
        }
    }

    fn store_grants(&mut self, grants: Vec<(GatewayId, Vec<Grant>)>) {
        self.grants_version += u64::from(!grants.is_empty());
        for (gateway, grants) in grants {
            self.attached.set_grants(&gateway, grants);
        }
    }

    /// The message of this leader to a member: the changes since the version in the member's last
    /// digest, or the full fleet.
    pub(crate) fn broadcast(&self, to: MachineId, applied: LogIndex) -> LeaderBroadcast {
        let term = self.leader.term();
        let delta = match self.leader.version_of(to) {
            Some(version) => self.fleet.since(version),
            None => self.fleet.full(),
        };
        LeaderBroadcast {
            applied,
            full: delta.full,
            changed: delta.changed,
            removed: delta.removed,
            loads: delta.loads,
            grants: self.grants.grants_for(to),
            term,
            base: delta.base.0,
            version: delta.version.0,
        }
    }

    /// Takes a broadcast of the leader; an outdated one is ignored.
    pub(crate) fn take_broadcast(&mut self, broadcast: LeaderBroadcast) {
        let same_leader = broadcast.term == self.received.term;
        if broadcast.term < self.received.term
            || (same_leader && broadcast.version < self.received.version.0)
        {
            return;
        }
        self.store_grants(broadcast.grants);
        if broadcast.version == 0 {
            // The leader has no list yet; the list of the previous leader remains.
            return;
        }
        if broadcast.full {
            self.fleet.replace(broadcast.changed);
        } else if same_leader && broadcast.base <= self.received.version.0 {
            for replica in &broadcast.removed {
                self.fleet.remove(replica);
            }
            for info in broadcast.changed {
                self.fleet.put(info);
            }
        } else {
            // The delta does not apply. The next digest reports the received version, and the
            // leader then sends what is missing.
            return;
        }
        for known in &broadcast.loads {
            self.fleet.put_load(&known.replica, known.load);
        }
        self.received = ReceivedFleet {
            term: broadcast.term,
            version: FleetVersion(broadcast.version),
        };
    }

    /// Adds gateways and replicas to a status. `sessions` are gateways with the epoch and the end
    /// of their sessions.
    pub(crate) fn complete_status<'a>(
        &self,
        status: &mut FleetStatus,
        sessions: impl Iterator<Item = (&'a GatewayId, SessionEpoch, Timestamp)>,
        now: MemberTime,
    ) {
        let running = sessions
            .filter(|(_, _, until)| *until > now.wall)
            .map(|(gateway, _, _)| gateway);
        let gateways = self.leader.gateways(running, now.monotonic_ms);
        let live = || gateways.iter().filter(|known| known.live);
        let revisions = || live().map(|known| known.status.revision);
        status.lowest_in_force = revisions().min().unwrap_or(status.revision);
        status.highest_in_force = revisions().max().unwrap_or(status.revision);
        status.gateways = gateways.into_iter().map(|known| known.status).collect();
        status.replicas = self.replica_statuses();
    }

    fn replica_statuses(&self) -> Vec<ReplicaStatus> {
        self.fleet.replicas().map(fleet::replica_status).collect()
    }
}
