//! Handling of requests under which replicas ended: looks up what is known of a request, reports
//! findings to control and other gateways, and handles theirs.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use linnethitch_clock::sleep;
use linnethitch_protocol::{ids::MachineId, slots::GatewayDatagram, suspicion::ReportedSuspicion};
use linnethitch_registry::{
    ConsecutiveEnds, EndedRun, RequestFingerprint, Suspicion, is_almost_refused,
};
use rand::Rng as _;
use slog::info;

use crate::{exchange::Outgoing, shared::Shared, suspicions::CONTROL_REPORT_TIMEOUT};

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
    /// Consecutive ends of replicas under copies of a request. If there are any, the request must
    /// run without other suspected requests. `None` if the request is refused. Waits until a
    /// replica where a copy was just interrupted has been probed.
    pub(crate) async fn known_ends(&self, outgoing: &Outgoing) -> Option<ConsecutiveEnds> {
        if !self.interrupted_runs.all_probed() {
            self.interrupted_runs
                .wait_until_probed(&outgoing.fingerprint())
                .await;
        }
        self.ends(outgoing)
    }

    /// Like [`Self::known_ends`], without waiting.
    pub(crate) fn ends(&self, outgoing: &Outgoing) -> Option<ConsecutiveEnds> {
        let fleet = self.gateway.fleet();
        if fleet.suspicions().is_empty() && self.suspicion_updates.is_empty() {
            return Some(ConsecutiveEnds::default());
        }
        match self.suspicion(&outgoing.fingerprint()) {
            Some(known) if known.is_refused() => None,
            Some(known) => Some(known.consecutive_ends),
            None => Some(ConsecutiveEnds::default()),
        }
    }

    fn suspicion(&self, fingerprint: &RequestFingerprint) -> Option<Suspicion> {
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
            }
        }
        self.send_suspicions(&self.gateway.other_gateways(), &to_send);
    }

    /// Handles what another gateway knows of a request.
    pub(crate) fn handle_suspicion(&self, from: MachineId, reported: ReportedSuspicion) {
        let known = self.suspicion(&reported.fingerprint);
        let known = known
            .map(|known| known.consecutive_ends)
            .unwrap_or_default();
        if !reported.consecutive_ends.supersedes(&known) {
            return;
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
    pub(crate) fn is_refused_while_isolated(&self, known_ends: &ConsecutiveEnds) -> bool {
        is_almost_refused(known_ends) && self.is_isolated()
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

    /// Clears a request of suspicion: a copy of it received a complete response.
    pub(crate) fn clear(self: &Arc<Self>, outgoing: &Outgoing) {
        let fleet = self.gateway.fleet();
        if fleet.suspicions().is_empty() && self.suspicion_updates.is_empty() {
            return;
        }
        let fingerprint = outgoing.fingerprint();
        let Some(known) = self.suspicion(&fingerprint).filter(Suspicion::is_open) else {
            return;
        };
        let cleared = known.cleared(fleet.up_to_index());
        info!(self.logger, "request: cleared of suspicion"; "request" => outgoing.id(),
            "content" => fingerprint.to_string(), "clearings" => cleared.consecutive_ends.clearings);
        let reported = vec![cleared.to_report()];
        self.suspicion_updates.note(cleared, self.clock.now_ms());
        self.send_suspicions(&self.gateway.other_gateways(), &reported);
        let gateway = self.gateway.clone();
        // If the report does not reach control, the next copy that succeeds clears the request.
        tokio::spawn(async move {
            gateway
                .report_cleared(fingerprint, CONTROL_REPORT_TIMEOUT)
                .await
        });
    }
}
