//! What the leader knows of all gateways from the members' digests.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    attach::MemberDigest,
    ids::{GatewayId, MachineId, ReplicaId, Revision, Term},
    query::GatewayStatus,
};

use super::FleetVersion;

/// A gateway counts as live for this long after its last contact, in milliseconds.
const GATEWAY_LIVE_MS: u64 = 5_000;
/// A gateway without contact remains in the status for this long, in milliseconds.
const GATEWAY_SHOWN_MS: u64 = 60_000;
/// Maximum number of suspected replicas.
const MAX_SUSPECTS: usize = 8_192;

/// A gateway and whether a change must wait for its confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KnownGateway {
    pub(super) status: GatewayStatus,
    pub(super) live: bool,
}

#[derive(Debug)]
struct Reported {
    revision: Revision,
    last_contact_ms: u64,
}

/// The leader's knowledge.
#[derive(Debug, Default)]
pub(super) struct LeaderView {
    term: Term,
    since_ms: u64,
    gateways: BTreeMap<GatewayId, Reported>,
    /// The version of this leader's fleet that each member has received.
    member_versions: BTreeMap<MachineId, FleetVersion>,
    suspects: BTreeSet<ReplicaId>,
}

impl LeaderView {
    /// Starts leading in a term; returns `false` if it already leads in this term.
    pub(super) fn begin(&mut self, term: Term, now_ms: u64) -> bool {
        if term == self.term {
            return false;
        }
        self.term = term;
        self.since_ms = now_ms;
        self.member_versions.clear();
        true
    }

    /// The term in which this member leads or last led.
    pub(super) fn term(&self) -> Term {
        self.term
    }

    /// The version that a member has received; `None` if its fleet is from another leader.
    pub(super) fn version_of(&self, machine: MachineId) -> Option<FleetVersion> {
        self.member_versions.get(&machine).copied()
    }

    pub(super) fn take_digest(&mut self, digest: MemberDigest, now_ms: u64) {
        if digest.fleet_term == self.term {
            let version = FleetVersion(digest.fleet_version);
            self.member_versions.insert(digest.machine, version);
        } else {
            self.member_versions.remove(&digest.machine);
        }
        for status in digest.gateways {
            self.record_gateway(status, now_ms);
        }
        let capacity = MAX_SUSPECTS.saturating_sub(self.suspects.len());
        self.suspects
            .extend(digest.suspects.into_iter().take(capacity));
        self.gateways
            .retain(|_, known| now_ms.saturating_sub(known.last_contact_ms) <= GATEWAY_SHOWN_MS);
    }

    /// Removes and returns the replicas that data paths found dead or leaving since the last call.
    pub(super) fn take_suspects(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.suspects).into_iter().collect()
    }

    /// Records a gateway's status. While a gateway moves, two members report it: the report with
    /// the latest contact counts.
    fn record_gateway(&mut self, status: GatewayStatus, now_ms: u64) {
        let last_contact_ms = now_ms.saturating_sub(status.silent_ms);
        let reported = Reported {
            revision: status.revision,
            last_contact_ms,
        };
        match self.gateways.get_mut(&status.gateway) {
            Some(known) if known.last_contact_ms > last_contact_ms => {}
            Some(known) => *known = reported,
            None => {
                self.gateways.insert(status.gateway, reported);
            }
        }
    }

    /// All known gateways. A gateway with a running session that no digest has reported is
    /// included with revision 0.
    pub(super) fn gateways<'a>(
        &self,
        with_session: impl Iterator<Item = &'a GatewayId>,
        now_ms: u64,
    ) -> Vec<KnownGateway> {
        let with_session: BTreeSet<&GatewayId> = with_session.collect();
        let mut known: Vec<KnownGateway> = self
            .gateways
            .iter()
            .map(|(gateway, reported)| {
                let silent_ms = now_ms.saturating_sub(reported.last_contact_ms);
                KnownGateway {
                    live: silent_ms < GATEWAY_LIVE_MS || with_session.contains(gateway),
                    status: GatewayStatus {
                        gateway: gateway.clone(),
                        revision: reported.revision,
                        silent_ms,
                    },
                }
            })
            .collect();
        let unreported = with_session
            .into_iter()
            .filter(|gateway| !self.gateways.contains_key(*gateway));
        known.extend(unreported.map(|gateway| KnownGateway {
            live: true,
            status: GatewayStatus {
                gateway: gateway.clone(),
                revision: Revision(0),
                silent_ms: now_ms.saturating_sub(self.since_ms),
            },
        }));
        known
    }
}
