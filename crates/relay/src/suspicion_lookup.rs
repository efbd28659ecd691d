//! What is known of a request when it is to be sent: ends of replicas under it and under its
//! parts, and whether it is refused because of them.

use std::time::Duration;

use linnethitch_clock::sleep;
use linnethitch_registry::{
    ConsecutiveEnds, EndsOfRefusal, PartVerdict, RequestFingerprint, Suspicion, WeighedEnds,
    refusal, try_after_ms,
};
use linnethitch_routing::PartShare;
use slog::info;

use crate::{
    exchange::Outgoing,
    known_ends::{KnownEnds, PartEnds, RefusalRecord, RefusedBy},
    shared::Shared,
};

/// Maximum number of parts per request that are suspected when its replica ends.
pub(crate) const MAX_SUSPECTED_PARTS: usize = 16;

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

    pub(crate) fn consecutive_ends(&self, fingerprint: &RequestFingerprint) -> ConsecutiveEnds {
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
        let known = self.suspicion(&fingerprint);
        if let Some(refused) = refused_ends(current.as_ref(), known.as_ref()) {
            let tried = self.tried_refusal(refusal_key, refused);
            tried_refusals.push(tried.ok_or(RefusedBy::Content)?);
            return Ok(known
                .map(|known| known.consecutive_ends)
                .unwrap_or_default());
        }
        let Some(known) = known else {
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
        let mean_weight = weighed.weight / ends as f64;
        let run = refusal(refusal_key, current.as_ref(), mean_weight);
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
        if let Some(refused) = refused_ends(current.as_ref(), known.as_ref()) {
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
        let mean_weight = weighed.weight / ends.lengths_ms.len() as f64;
        let run = refusal(refusal_key, current.as_ref(), mean_weight);
        self.report_ends(&known.replica, vec![run]);
        Err(RefusedBy::Part(part))
    }
}

/// The ends of a refusal that holds. It does not where the suspect has been cleared since, which
/// gateways of earlier builds report without the refusal.
fn refused_ends<'a>(
    refusal: Option<&'a Suspicion>,
    suspect: Option<&Suspicion>,
) -> Option<&'a ConsecutiveEnds> {
    let refusal = refusal.filter(|refusal| refusal.is_refused())?;
    let is_cleared = suspect.is_some_and(|suspect| !suspect.is_open());
    (!is_cleared).then_some(&refusal.consecutive_ends)
}
