//! What control knows without replicating it: attached gateways, replicas and
//! their loads. It is lost with a process and learned again within a second.
//!
//! Every member tells the leader of the gateways attached to it (a digest);
//! the leader tells every member of replicas and loads (a broadcast). No
//! clock is read here: times are passed in.

mod attached;
mod fleet;
mod grants;
mod leader;
pub(crate) mod rounds;

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
use grants::GrantDesk;
use leader::LeaderView;

use crate::member::MemberTime;

/// Soft state that tasks and the member's thread share.
pub(crate) type SharedSoftState = Arc<Mutex<SoftState>>;

/// The soft state of one member.
#[derive(Debug)]
pub(crate) struct SoftState {
    machine: MachineId,
    /// Gateways attached here.
    pub(crate) attached: AttachedGateways,
    /// Replicas and loads as the leader tells them, or as found where this member leads.
    pub(crate) fleet: VersionedFleet,
    /// Whose fleet this is, and its version as the leader counts.
    held: HeldFleet,
    leader: LeaderView,
    grants: GrantDesk,
    /// Grows when gateways attached here are granted capacity.
    granted: u64,
}

/// Grows when something has changed that gateways attached here must hear of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SoftMark {
    fleet: FleetVersion,
    granted: u64,
}

/// The leader's count of what was received last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HeldFleet {
    term: Term,
    version: FleetVersion,
}

impl SoftState {
    /// Nothing known yet.
    pub(crate) fn new(machine: MachineId) -> Self {
        SoftState {
            machine,
            attached: AttachedGateways::default(),
            fleet: VersionedFleet::default(),
            held: HeldFleet::default(),
            leader: LeaderView::default(),
            grants: GrantDesk::default(),
            granted: 0,
        }
    }

    /// What the leader must hear of the gateways attached here.
    pub(crate) fn digest(&mut self, now_ms: u64) -> MemberDigest {
        MemberDigest {
            machine: self.machine,
            gateways: self.attached.statuses(now_ms),
            loads: self.attached.take_loads(),
            suspects: self.attached.take_suspects(),
            wishes: self.attached.wishes(),
            fleet_term: self.held.term,
            fleet_version: self.held.version.0,
        }
    }

    /// Takes what another member, or this one, tells of its gateways.
    pub(crate) fn take_digest(&mut self, mut digest: MemberDigest, now_ms: u64) {
        for known in &digest.loads {
            self.fleet.put_load(&known.replica, known.load);
        }
        let wishes = std::mem::take(&mut digest.wishes);
        self.grants.take_wishes(digest.machine, wishes, now_ms);
        self.leader.take_digest(digest, now_ms);
    }

    /// Replicas that data paths found dead or leaving since the last call.
    pub(crate) fn take_suspects(&mut self) -> Vec<ReplicaId> {
        self.leader.take_suspects()
    }

    /// What gateways attached here must hear of.
    pub(crate) fn mark(&self) -> SoftMark {
        SoftMark {
            fleet: self.fleet.version(),
            granted: self.granted,
        }
    }

    /// Begins or goes on to lead in a term.
    pub(crate) fn lead(&mut self, term: Term, now_ms: u64) {
        if self.leader.begin(term, now_ms) {
            self.grants.begin(now_ms);
            self.held = HeldFleet {
                term,
                version: self.fleet.version(),
            };
        }
    }

    /// Grants batch capacity where that is due.
    pub(crate) fn allocate_grants(&mut self, rules: &Fleet, now: MemberTime) {
        let now_ms = now.monotonic_ms;
        let allocated = self.grants.allocate(rules, &self.fleet, now_ms, now.wall);
        if allocated {
            self.pass_grants_on(self.grants.of(self.machine));
        }
    }

    fn pass_grants_on(&mut self, grants: Vec<(GatewayId, Vec<Grant>)>) {
        self.granted += u64::from(!grants.is_empty());
        for (gateway, grants) in grants {
            self.attached.grant(&gateway, grants);
        }
    }

    /// What a member must hear of this leader, given what its last digest said it holds.
    pub(crate) fn broadcast(&self, to: MachineId, applied: LogIndex) -> LeaderBroadcast {
        let term = self.leader.term();
        let delta = match self.leader.held_by(to) {
            Some(version) => self.fleet.since(version),
            None => self.fleet.whole(),
        };
        LeaderBroadcast {
            applied,
            full: delta.full,
            changed: delta.changed,
            removed: delta.removed,
            loads: delta.loads,
            grants: self.grants.of(to),
            term,
            base: delta.base.0,
            version: delta.version.0,
        }
    }

    /// Takes what the leader tells.
    pub(crate) fn take_broadcast(&mut self, broadcast: LeaderBroadcast) {
        let same_leader = broadcast.term == self.held.term;
        if broadcast.term < self.held.term
            || (same_leader && broadcast.version < self.held.version.0)
        {
            return;
        }
        self.pass_grants_on(broadcast.grants);
        if broadcast.version == 0 {
            // The leader knows of no list yet; what an earlier one told stays.
            return;
        }
        if broadcast.full {
            self.fleet.replace(broadcast.changed);
        } else if same_leader && broadcast.base <= self.held.version.0 {
            for replica in &broadcast.removed {
                self.fleet.remove(replica);
            }
            for info in broadcast.changed {
                self.fleet.put(info);
            }
        } else {
            // The next digest says what is held, and the leader sends everything.
            return;
        }
        for known in &broadcast.loads {
            self.fleet.put_load(&known.replica, known.load);
        }
        self.held = HeldFleet {
            term: broadcast.term,
            version: FleetVersion(broadcast.version),
        };
    }

    /// Adds gateways and replicas to a status.
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
