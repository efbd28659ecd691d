//! Handling of requests under which replicas ended: looks up what is known of a request, reports
//! findings to control and other gateways, and handles theirs.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use linnethitch_clock::sleep;
use linnethitch_protocol::{ids::MachineId, slots::GatewayDatagram, suspicion::ReportedSuspicion};
use linnethitch_registry::{
    ConsecutiveEnds, EndedRun, EndsOfRefusal, FleetView, PartVerdict, RequestFingerprint,
    Suspicion, WeighedEnds, parse_incarnation_key, refusal, try_after_ms,
};
use linnethitch_routing::PartShare;
use rand::Rng as _;
use slog::info;

use crate::{
    exchange::Outgoing,
    known_ends::{KnownEnds, PartEnds, RefusalRecord, RefusedBy},
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
    /// refused. Waits until a replica where a copy was just interrupted has been probed, and until
    /// other gateways had time to tell what else ended with it.
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
        loop {
            match self.ends(outgoing, route, service) {
                Err(RefusedBy::Unsettled(settles_in_ms)) => {
                    sleep(Duration::from_millis(settles_in_ms)).await;
                }
                known => return known,
            }
        }
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
        let mut tried_refusals = Vec::new();
        let content = self.content_ends(outgoing, service, &mut tried_refusals)?;
        let parts = outgoing.shared_parts.iter().take(MAX_SUSPECTED_PARTS);
        let parts: Vec<PartEnds> = parts
            .map(|part| self.part_ends(*part, route, service, &mut tried_refusals))
            .collect::<Result<_, _>>()?;
        Ok(KnownEnds::of_request(content, parts, tried_refusals))
    }

    /// Ends under copies of a request, or why it is refused.
    fn content_ends(
        &self,
        outgoing: &Outgoing,
        service: &str,
        tried_refusals: &mut Vec<RefusalRecord>,
    ) -> Result<ConsecutiveEnds, RefusedBy> {
        let fingerprint = outgoing.fingerprint();
        let refusal_key = RequestFingerprint::of_refused_request(&fingerprint);
        let current = self.suspicion(&refusal_key);
        if let Some(refused) = refused_ends(current.as_ref()) {
            let tried = self.tried_refusal(refusal_key, refused);
            tried_refusals.push(tried.ok_or(RefusedBy::Content)?);
            return Ok(self.consecutive_ends(&fingerprint));
        }
        let Some(known) = self.suspicion(&fingerprint) else {
            return Ok(ConsecutiveEnds::default());
        };
        let Some(EndsOfRefusal { ends, needed }) = known.ends_of_refusal() else {
            return Ok(known.consecutive_ends);
        };
        let weighed = self.weigh(service, &fingerprint, ends);
        if !weighed.suffices(needed) {
            return Ok(known.consecutive_ends);
        }
        if weighed.settles_in_ms > 0 {
            return Err(RefusedBy::Unsettled(weighed.settles_in_ms));
        }
        info!(self.logger, "request content: refused"; "content" => fingerprint.to_string(),
            "service" => service, "ends" => ends, "weight" => weighed.weight,
            "clearings" => known.consecutive_ends.clearings, "replica" => &known.replica);
        let run = refusal(refusal_key, current.as_ref());
        self.report_ends(&known.replica, vec![run]);
        Err(RefusedBy::Content)
    }

    /// The refusal in spite of which a request is tried now; `None` if no try is due.
    fn tried_refusal(
        &self,
        key: RequestFingerprint,
        ends: &ConsecutiveEnds,
    ) -> Option<RefusalRecord> {
        let elapsed_ms = self.since_last_end_ms(key, ends.lengths_ms.len());
        let is_due = elapsed_ms >= try_after_ms(ends)?;
        is_due.then(|| RefusalRecord {
            key,
            ends: ends.clone(),
        })
    }

    /// Time since this gateway learned of the last of this number of ends, in milliseconds.
    pub(crate) fn since_last_end_ms(&self, fingerprint: RequestFingerprint, ends: usize) -> u64 {
        let noted_at_ms = self.suspicion_updates.noted_at_ms(&fingerprint, ends);
        let now_ms = self.clock.now_ms();
        self.last_ends
            .elapsed_ms(fingerprint, ends, noted_at_ms, now_ms)
    }

    fn weigh(&self, service: &str, suspect: &RequestFingerprint, ends: usize) -> WeighedEnds {
        let now_ms = self.clock.now_ms();
        let evidence = self.end_evidence.lock();
        evidence.weigh(service, suspect, ends, now_ms)
    }

    /// What is known of one part, and what is done with requests because of it, or why they are
    /// refused.
    fn part_ends(
        &self,
        part: u64,
        route: &str,
        service: &str,
        tried_refusals: &mut Vec<RefusalRecord>,
    ) -> Result<PartEnds, RefusedBy> {
        let key = RequestFingerprint::of_part(service, part);
        let refusal_key = RequestFingerprint::of_refused_part(service, part);
        let current = self.suspicion(&refusal_key);
        let known = self.suspicion(&key);
        let ends = known.as_ref().map(|known| known.consecutive_ends.clone());
        let ends = ends.unwrap_or_default();
        let share = self.part_shares.lock().share(route, part);
        let of_verdict = |verdict| PartEnds {
            part,
            key,
            ends: ends.clone(),
            verdict,
            is_common: share == PartShare::Common,
        };
        if let Some(refused) = refused_ends(current.as_ref()) {
            let tried = self.tried_refusal(refusal_key, refused);
            tried_refusals.push(tried.ok_or(RefusedBy::Part(part))?);
            return Ok(of_verdict(PartVerdict::RunsAlone));
        }
        let served = self.served_by(service);
        let now_ms = self.clock.now_ms();
        let updates = &self.suspicion_updates;
        let since = updates.since_first_end(&key, &ends, served, now_ms);
        // A part that was refused before is tried again by one request at a time.
        let was_refused = current.as_ref().is_some_and(Suspicion::is_open);
        let is_rare = share == PartShare::Rare || was_refused;
        let weighed = self.weigh(service, &key, ends.lengths_ms.len());
        let verdict = PartVerdict::of(&ends.lengths_ms, weighed.weight, is_rare, since);
        let (PartVerdict::Refused, Some(known)) = (verdict, &known) else {
            return Ok(of_verdict(verdict));
        };
        if weighed.settles_in_ms > 0 {
            return Err(RefusedBy::Unsettled(weighed.settles_in_ms));
        }
        info!(self.logger, "part of prompts: refused"; "part" => format!("{part:x}"),
            "route" => route, "service" => service, "ends" => ends.lengths_ms.len(),
            "weight" => weighed.weight, "clearings" => ends.clearings,
            "replica" => &known.replica, "is_rare" => is_rare,
            "uncleared_ms" => since.uncleared_ms, "served" => since.served);
        let run = refusal(refusal_key, current.as_ref());
        self.report_ends(&known.replica, vec![run]);
        Err(RefusedBy::Part(part))
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

/// The ends of a refusal that holds.
fn refused_ends(refusal: Option<&Suspicion>) -> Option<&ConsecutiveEnds> {
    let refusal = refusal.filter(|refusal| refusal.is_refused())?;
    Some(&refusal.consecutive_ends)
}
