//! Handling of requests under which replicas ended: looks up what is known of a request, reports
//! findings to control and other gateways, and handles theirs.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use linnethitch_clock::sleep;
use linnethitch_protocol::{ids::MachineId, slots::GatewayDatagram, suspicion::ReportedSuspicion};
use linnethitch_registry::{ConsecutiveEnds, EndedRun, PartVerdict, RequestFingerprint, Suspicion};
use linnethitch_routing::PartShare;
use rand::Rng as _;
use slog::info;

use crate::{
    exchange::Outgoing,
    known_ends::{KnownEnds, PartEnds, RefusedBy},
    shared::Shared,
    suspicions::CONTROL_REPORT_TIMEOUT,
};

/// Maximum number of parts per request that are suspected when its replica ends.
pub(crate) const MAX_SUSPECTED_PARTS: usize = 16;

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
    /// Counts a request of a route for how common its parts are.
    pub(crate) fn note_parts(&self, route: &str, outgoing: &Outgoing) {
        if !outgoing.shared_parts.is_empty() {
            self.part_shares.lock().note(route, &outgoing.shared_parts);
        }
    }

    /// Consecutive ends of replicas under copies of a request and under its parts, or why it is
    /// refused. Waits until a replica where a copy was just interrupted has been probed.
    pub(crate) async fn known_ends(
        &self,
        outgoing: &Outgoing,
        route: &str,
        service: &str,
    ) -> Result<KnownEnds, RefusedBy> {
        if !self.interrupted_runs.all_probed() {
            self.interrupted_runs
                .wait_until_probed(&outgoing.fingerprint())
                .await;
        }
        self.ends(outgoing, route, service)
    }

    /// Ends of replicas under a batch item. Waits like [`Self::known_ends`].
    pub(crate) async fn known_ends_of_item(&self, item: RequestFingerprint) -> ConsecutiveEnds {
        if !self.interrupted_runs.all_probed() {
            self.interrupted_runs.wait_until_probed(&item).await;
        }
        self.consecutive_ends(&item)
    }

    fn consecutive_ends(&self, fingerprint: &RequestFingerprint) -> ConsecutiveEnds {
        let known = self.suspicion(fingerprint);
        known
            .map(|known| known.consecutive_ends)
            .unwrap_or_default()
    }

    /// Like [`Self::known_ends`], without waiting.
    pub(crate) fn ends(
        &self,
        outgoing: &Outgoing,
        route: &str,
        service: &str,
    ) -> Result<KnownEnds, RefusedBy> {
        let fleet = self.gateway.fleet();
        if fleet.suspicions().is_empty() && self.suspicion_updates.is_empty() {
            return Ok(KnownEnds::default());
        }
        if let Some(item) = &outgoing.item {
            let ends = self.consecutive_ends(&item.fingerprint);
            return Ok(KnownEnds::of_item(ends));
        }
        let content = match self.suspicion(&outgoing.fingerprint()) {
            Some(known) if known.is_refused() => return Err(RefusedBy::Content),
            Some(known) => known.consecutive_ends,
            None => ConsecutiveEnds::default(),
        };
        let parts = outgoing.shared_parts.iter().take(MAX_SUSPECTED_PARTS);
        let parts: Vec<PartEnds> = parts
            .map(|part| self.part_ends(*part, route, service))
            .collect();
        let refused = parts
            .iter()
            .find(|part| part.verdict == PartVerdict::Refused);
        match refused {
            Some(refused) => Err(RefusedBy::Part(refused.part)),
            None => Ok(KnownEnds::of_request(content, parts)),
        }
    }

    /// What is known of one part, and what is done with requests because of it.
    fn part_ends(&self, part: u64, route: &str, service: &str) -> PartEnds {
        let key = RequestFingerprint::of_part(service, part);
        let refusal_key = RequestFingerprint::of_refused_part(service, part);
        let refusal = self.suspicion(&refusal_key);
        let known = self.suspicion(&key);
        let ends = known.as_ref().map(|known| known.consecutive_ends.clone());
        let ends = ends.unwrap_or_default();
        let share = self.part_shares.lock().share(route, part);
        let verdict = if refusal.as_ref().is_some_and(Suspicion::is_refused) {
            PartVerdict::Refused
        } else {
            let served = self.served_by(service);
            let now_ms = self.clock.now_ms();
            let updates = &self.suspicion_updates;
            let since = updates.since_first_end(&key, &ends, served, now_ms);
            // A part that was refused before is tried again by one request at a time.
            let was_refused = refusal.as_ref().is_some_and(Suspicion::is_open);
            let is_rare = share == PartShare::Rare || was_refused;
            let verdict = PartVerdict::of(&ends.lengths_ms, is_rare, since);
            if let (PartVerdict::Refused, Some(known)) = (verdict, &known) {
                info!(self.logger, "part of prompts: refused"; "part" => format!("{part:x}"),
                    "route" => route, "service" => service, "ends" => ends.lengths_ms.len(),
                    "clearings" => ends.clearings, "replica" => &known.replica, "is_rare" => is_rare,
                    "uncleared_ms" => since.uncleared_ms, "served" => since.served);
                let run = Suspicion::refusal(refusal_key, refusal.as_ref());
                self.report_ends(&known.replica, vec![run]);
            }
            verdict
        };
        PartEnds {
            part,
            key,
            ends,
            verdict,
            is_common: share == PartShare::Common,
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

    /// Records ends here and at all gateways, and reports them to control.
    fn report_ends(&self, replica: &str, runs: Vec<EndedRun>) {
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

    /// Handles what another gateway knows of a request.
    pub(crate) fn handle_suspicion(&self, from: MachineId, reported: ReportedSuspicion) {
        let known = self.consecutive_ends(&reported.fingerprint);
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
        for part in outgoing.shared_parts.iter().take(MAX_SUSPECTED_PARTS) {
            let key = RequestFingerprint::of_part(service, *part);
            let held = open(&key);
            let held = held.and_then(|held| held.cleared_of(&known.of_part(&key), up_to_index));
            let Some(held) = held else { continue };
            cleared.push(held);
            let refusal = open(&RequestFingerprint::of_refused_part(service, *part));
            cleared.extend(refusal.map(|held| held.cleared(up_to_index)));
        }
        if cleared.is_empty() {
            return;
        }
        for suspicion in &cleared {
            info!(self.logger, "request: cleared of suspicion"; "request" => outgoing.id(),
                "content" => suspicion.fingerprint.to_string(), "is_part" => suspicion.fingerprint != content,
                "clearings" => suspicion.consecutive_ends.clearings, "ends" => suspicion.consecutive_ends.lengths_ms.len());
            self.suspicion_updates
                .note(suspicion.clone(), self.clock.now_ms());
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
