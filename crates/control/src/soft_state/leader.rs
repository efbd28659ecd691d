//! What a leader knows of all gateways through the members' digests.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::{
    attach::MemberDigest,
    ids::{GatewayId, MachineId, ReplicaId, Revision, Term},
    query::GatewayStatus,
};

use super::FleetVersion;

/// A gateway counts as live for this long after its last word, in milliseconds.
const LIVE_MS: u64 = 5_000;
/// A silent gateway is shown in `status` for this long, in milliseconds.
const SHOWN_MS: u64 = 60_000;
/// Replicas under suspicion at most.
const MAX_SUSPECTS: usize = 8_192;

/// A gateway and whether a change waits for its confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct KnownGateway {
    pub(super) status: GatewayStatus,
    pub(super) live: bool,
}

#[derive(Debug)]
struct Reported {
    revision: Revision,
    heard_ms: u64,
}

/// The leader's knowledge.
#[derive(Debug, Default)]
pub(super) struct LeaderView {
    term: Term,
    since_ms: u64,
    gateways: BTreeMap<GatewayId, Reported>,
    /// The version of this leader's fleet that each member holds.
    held: BTreeMap<MachineId, FleetVersion>,
    suspects: BTreeSet<ReplicaId>,
}

impl LeaderView {
    /// Begins to lead in a term; `false` when it already does.
    pub(super) fn begin(&mut self, term: Term, now_ms: u64) -> bool {
        if term == self.term {
            return false;
        }
        self.term = term;
        self.since_ms = now_ms;
        self.held.clear();
        true
    }

    /// The term that it leads in, or led in last.
    pub(super) fn term(&self) -> Term {
        self.term
    }

    /// The version that a member holds; `None` when it holds another leader's fleet.
    pub(super) fn held_by(&self, machine: MachineId) -> Option<FleetVersion> {
        self.held.get(&machine).copied()
    }

    pub(super) fn take_digest(&mut self, digest: MemberDigest, now_ms: u64) {
        if digest.fleet_term == self.term {
            let version = FleetVersion(digest.fleet_version);
            self.held.insert(digest.machine, version);
        } else {
            self.held.remove(&digest.machine);
        }
        for status in digest.gateways {
            self.note_gateway(status, now_ms);
        }
        let room = MAX_SUSPECTS.saturating_sub(self.suspects.len());
        self.suspects.extend(digest.suspects.into_iter().take(room));
        self.gateways
            .retain(|_, known| now_ms.saturating_sub(known.heard_ms) <= SHOWN_MS);
    }

    /// Replicas found dead or leaving by data paths since the last call.
    pub(super) fn take_suspects(&mut self) -> Vec<ReplicaId> {
        std::mem::take(&mut self.suspects).into_iter().collect()
    }

    /// A gateway that moves is told of by two members for a while: the newest word counts.
    fn note_gateway(&mut self, status: GatewayStatus, now_ms: u64) {
        let heard_ms = now_ms.saturating_sub(status.silent_ms);
        let reported = Reported {
            revision: status.revision,
            heard_ms,
        };
        match self.gateways.get_mut(&status.gateway) {
            Some(known) if known.heard_ms > heard_ms => {}
            Some(known) => *known = reported,
            None => {
                self.gateways.insert(status.gateway, reported);
            }
        }
    }

    /// All known gateways; those with a running session are known even when
    /// no digest has told of them, and count with revision 0 then.
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
                let silent_ms = now_ms.saturating_sub(reported.heard_ms);
                KnownGateway {
                    live: silent_ms < LIVE_MS || with_session.contains(gateway),
                    status: GatewayStatus {
                        gateway: gateway.clone(),
                        revision: reported.revision,
                        silent_ms,
                    },
                }
            })
            .collect();
        let unheard = with_session
            .into_iter()
            .filter(|gateway| !self.gateways.contains_key(*gateway));
        known.extend(unheard.map(|gateway| KnownGateway {
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
