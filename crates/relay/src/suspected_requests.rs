//! Handling of requests under which replicas ended: reports findings to control and other
//! gateways, and handles theirs.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use linnethitch_clock::sleep;
use linnethitch_protocol::{ids::MachineId, slots::GatewayDatagram, suspicion::ReportedSuspicion};
use linnethitch_registry::{
    EndedRun, FleetView, RequestFingerprint, Suspicion, parse_incarnation_key,
};
use rand::Rng as _;
use slog::info;

use crate::{
    exchange::Outgoing, known_ends::KnownEnds, shared::Shared,
    suspicion_lookup::MAX_SUSPECTED_PARTS, suspicions::CONTROL_REPORT_TIMEOUT,
};

/// Gateways to which suspicions are resent at a time; each of them resends to others.
const MAX_RESEND_GATEWAYS: usize = 3;

/// Other gateways count as unreachable when there was no contact with any of them for this long,
/// in milliseconds. Each gateway reports its leases three times in this period.
const GATEWAY_CONTACT_TIMEOUT_MS: u64 = 1_800;
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum number of suspicions per datagram of 8 KiB: each takes about 100 bytes, 400 after
/// sixty ends.
const MAX_SUSPICIONS_PER_DATAGRAM: usize = 16;

impl Shared {
    pub(crate) fn suspicion(&self, fingerprint: &RequestFingerprint) -> Option<Suspicion> {
        let now_ms = self.clock.now_ms();
        self.suspicion_updates
            .suspicion(fingerprint, &self.gateway.fleet(), now_ms)
    }

    /// Records that a replica ended under runs. This gateway acts on it before control reports
    /// it, and so do all gateways that receive the datagram.
    pub(crate) fn note_ends<'a>(&self, replica: &str, runs: impl Iterator<Item = &'a EndedRun>) {
        let up_to_index = self.gateway.fleet().up_to_index();
        let mut to_send = Vec::new();
        for run in runs {
            let known = self.suspicion(&run.fingerprint);
            if let Some(suspicion) = Suspicion::after_end(known.as_ref(), replica, run, up_to_index)
            {
                to_send.push(suspicion.to_report());
                self.suspicion_updates.note(suspicion, self.clock.now_ms());
            } else if let Some(known) = known.filter(Suspicion::is_open) {
                // The end does not count, but others must know that it was running there.
                to_send.push(ReportedSuspicion {
                    replica: replica.to_owned(),
                    ..known.to_report()
                });
            }
        }
        self.send_suspicions(&self.gateway.other_gateways(), &to_send);
    }

    /// Records ends here and at all gateways, and reports them to control.
    pub(crate) fn report_ends(&self, replica: &str, runs: Vec<EndedRun>) {
        self.note_ends(replica, runs.iter());
        let gateway = self.gateway.clone();
        let replica = replica.to_owned();
        // Other gateways resend what control has not reported.
        tokio::spawn(async move {
            gateway
                .report_replica_ended(&replica, runs, CONTROL_REPORT_TIMEOUT)
                .await
        });
    }

    /// Records the ends that control has told of when this gateway starts, as one moment.
    pub(crate) fn note_recorded_ends(&self, fleet: &FleetView) {
        for record in fleet.suspicions().open() {
            self.note_reported_end(fleet, &record.replica, record.fingerprint);
        }
    }

    /// Records that a replica ended while it ran a suspect, for the weight of ends.
    fn note_reported_end(&self, fleet: &FleetView, replica: &str, suspect: RequestFingerprint) {
        let (id, _) = parse_incarnation_key(replica);
        let Some(record) = fleet.replica(id) else {
            return;
        };
        let now_ms = self.clock.now_ms();
        let mut evidence = self.end_evidence.lock();
        evidence.note_end(&record.reported.service, replica, [suspect], 0, now_ms);
    }

    /// Handles what another gateway knows of a request.
    pub(crate) fn handle_suspicion(&self, from: MachineId, reported: ReportedSuspicion) {
        if !reported.consecutive_ends.is_empty() {
            let fleet = self.gateway.fleet();
            self.note_reported_end(&fleet, &reported.replica, reported.fingerprint);
        }
        let known = self.consecutive_ends(&reported.fingerprint);
        if !reported.consecutive_ends.supersedes(&known) {
            return;
        }
        if reported.consecutive_ends.clearings > known.clearings {
            let now_ms = self.clock.now_ms();
            let mut evidence = self.end_evidence.lock();
            evidence.note_cleared(reported.fingerprint, now_ms);
        }
        info!(self.logger, "request: suspicion received from another gateway"; "from" => from.0,
            "content" => reported.fingerprint.to_string(), "replica" => &reported.replica,
            "ends" => reported.consecutive_ends.lengths_ms.len(), "clearings" => reported.consecutive_ends.clearings,
            "known_ends" => known.lengths_ms.len(), "known_clearings" => known.clearings);
        let up_to_index = self.gateway.fleet().up_to_index();
        self.suspicion_updates.note(
            Suspicion::from_report(reported, up_to_index),
            self.clock.now_ms(),
        );
    }

    /// Records contact with another gateway.
    pub(crate) fn note_gateway_contact(&self) {
        let now_ms = self.clock.now_ms();
        self.gateway_contact_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether neither control nor any other gateway is reachable, so that their findings on
    /// suspected requests are not known here.
    fn is_isolated(&self) -> bool {
        let contact_ms = self.gateway_contact_ms.load(Ordering::Relaxed);
        let silent_ms = self.clock.now_ms().saturating_sub(contact_ms);
        self.gateway.is_control_lost()
            && silent_ms >= GATEWAY_CONTACT_TIMEOUT_MS
            && !self.gateway.other_gateways().is_empty()
    }

    /// Whether this gateway is isolated and one more end would refuse the request: other gateways
    /// may know of such an end. The caller may retry at another gateway, which knows more.
    pub(crate) fn is_refused_while_isolated(&self, known_ends: &KnownEnds) -> bool {
        known_ends.is_almost_refused() && self.is_isolated()
    }

    /// Waits while this gateway is isolated.
    pub(crate) async fn wait_while_isolated(&self) {
        while self.is_isolated() {
            sleep(ISOLATION_POLL_INTERVAL).await;
        }
    }

    /// Resends recent updates to a few other gateways: datagrams may be lost, and a gateway may
    /// have started since.
    pub(crate) fn resend_suspicions(&self) {
        if self.suspicion_updates.is_empty() {
            return;
        }
        let fleet = self.gateway.fleet();
        let to_send = self
            .suspicion_updates
            .updates_to_send(&fleet, self.clock.now_ms());
        let mut gateways = self.gateway.other_gateways();
        if gateways.len() > MAX_RESEND_GATEWAYS {
            let first = self.random.lock().random_range(0..gateways.len());
            gateways.rotate_left(first);
            gateways.truncate(MAX_RESEND_GATEWAYS);
        }
        self.send_suspicions(&gateways, &to_send);
    }

    fn send_suspicions(&self, gateways: &[MachineId], to_send: &[ReportedSuspicion]) {
        for reported in to_send.chunks(MAX_SUSPICIONS_PER_DATAGRAM) {
            let message = GatewayDatagram::Suspicions(reported.to_vec());
            self.gateway.send_to_gateways(gateways, &message);
        }
    }

    /// Clears a request and its parts of suspicion: it received a complete response. A part is
    /// cleared only of ends that were known when the request was sent: a part may be sound at
    /// first and end replicas later.
    pub(crate) fn clear(self: &Arc<Self>, outgoing: &Outgoing, service: &str, known: &KnownEnds) {
        let fleet = self.gateway.fleet();
        if fleet.suspicions().is_empty() && self.suspicion_updates.is_empty() {
            return;
        }
        let up_to_index = fleet.up_to_index();
        let content = outgoing.fingerprint();
        let open = |key: &RequestFingerprint| self.suspicion(key).filter(Suspicion::is_open);
        let mut cleared: Vec<Suspicion> = Vec::new();
        cleared.extend(open(&content).map(|held| held.cleared(up_to_index)));
        let tried = known.tried_refusals.iter().map(|refusal| refusal.key);
        let mut refusals: Vec<RequestFingerprint> = tried.collect();
        refusals.push(RequestFingerprint::of_refused_request(&content));
        for part in outgoing.shared_parts.iter().take(MAX_SUSPECTED_PARTS) {
            let key = RequestFingerprint::of_part(service, *part);
            let held = open(&key);
            let held = held.and_then(|held| held.cleared_of(&known.of_part(&key), up_to_index));
            let Some(held) = held else { continue };
            cleared.push(held);
            refusals.push(RequestFingerprint::of_refused_part(service, *part));
        }
        refusals.sort_unstable();
        refusals.dedup();
        let refusals = refusals.iter().filter_map(open);
        cleared.extend(refusals.map(|held| held.cleared(up_to_index)));
        if cleared.is_empty() {
            return;
        }
        for suspicion in &cleared {
            info!(self.logger, "request: cleared of suspicion"; "request" => outgoing.id(),
                "content" => suspicion.fingerprint.to_string(), "is_part" => suspicion.fingerprint != content,
                "clearings" => suspicion.consecutive_ends.clearings, "ends" => suspicion.consecutive_ends.lengths_ms.len());
            let now_ms = self.clock.now_ms();
            let mut evidence = self.end_evidence.lock();
            evidence.note_cleared(suspicion.fingerprint, now_ms);
            drop(evidence);
            self.suspicion_updates.note(suspicion.clone(), now_ms);
        }
        let reported: Vec<ReportedSuspicion> = cleared.iter().map(Suspicion::to_report).collect();
        self.send_suspicions(&self.gateway.other_gateways(), &reported);
        let keys = cleared
            .iter()
            .map(|suspicion| suspicion.fingerprint)
            .collect();
        let gateway = self.gateway.clone();
        // If the report does not reach control, the next request that succeeds clears again.
        tokio::spawn(async move { gateway.report_cleared(keys, CONTROL_REPORT_TIMEOUT).await });
    }
}
