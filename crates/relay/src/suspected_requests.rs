//! What a gateway does about requests under which replicas ended: it asks for what is known
//! of one, tells others what it finds, and takes what they tell.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use linnethitch_clock::sleep;
use linnethitch_protocol::{ids::MachineId, slots::GatewayDatagram, suspicion::ToldSuspicion};
use linnethitch_registry::{EndedRun, EndsInRow, RequestFingerprint, Suspicion, is_almost_refused};
use rand::Rng as _;
use slog::info;

use crate::{exchange::Outgoing, shared::Shared, suspicions::TELL_LIMIT};

/// Gateways that are told again at a time what ends replicas; each of them tells others.
const MOST_TOLD_AGAIN: usize = 3;

/// Other gateways count as lost when none was heard of for so long, in milliseconds: each
/// has told its leases three times meanwhile.
const GATEWAYS_LOST_MS: u64 = 1_800;
/// Pause between two looks whether this gateway is still cut off.
const CUT_OFF_LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Suspicions in one datagram of 8 KiB at most: some 100 bytes each, 400 after sixty ends.
const MOST_IN_DATAGRAM: usize = 16;

impl Shared {
    /// Replicas that ended under copies of a request in a row; it is to be sent alone
    /// if there are any. `None` where it is refused. Waits until a replica where a copy
    /// has just broken off was asked.
    pub(crate) async fn known_ends(&self, outgoing: &Outgoing) -> Option<EndsInRow> {
        if !self.broken_runs.is_settled() {
            self.broken_runs.settled(&outgoing.fingerprint()).await;
        }
        self.ends(outgoing)
    }

    /// The same without waiting.
    pub(crate) fn ends(&self, outgoing: &Outgoing) -> Option<EndsInRow> {
        let fleet = self.gateway.fleet();
        if fleet.suspicions().is_empty() && self.news.is_empty() {
            return Some(EndsInRow::default());
        }
        match self.suspicion(&outgoing.fingerprint()) {
            Some(known) if known.is_refused() => None,
            Some(known) => Some(known.row),
            None => Some(EndsInRow::default()),
        }
    }

    fn suspicion(&self, fingerprint: &RequestFingerprint) -> Option<Suspicion> {
        let now_ms = self.clock.now_ms();
        self.news
            .suspicion(fingerprint, &self.gateway.fleet(), now_ms)
    }

    /// A replica ended under runs: this gateway acts on it before control tells it, and so
    /// do all others that are told by a datagram.
    pub(crate) fn note_ends<'a>(&self, replica: &str, runs: impl Iterator<Item = &'a EndedRun>) {
        let upto = self.gateway.fleet().up_to_index();
        let mut to_tell = Vec::new();
        for run in runs {
            let held = self.suspicion(&run.fingerprint);
            if let Some(news) = Suspicion::after_end(held.as_ref(), replica, run, upto) {
                to_tell.push(news.to_report());
                self.news.note(news, self.clock.now_ms());
            }
        }
        self.tell_suspicions(&self.gateway.other_gateways(), &to_tell);
    }

    /// Another gateway told what it knows of a request.
    pub(crate) fn take_told(&self, from: MachineId, told: ToldSuspicion) {
        let held = self.suspicion(&told.fingerprint);
        let held = held.map(|held| held.row).unwrap_or_default();
        if !told.row.outweighs(&held) {
            return;
        }
        info!(self.logger, "request: told that replicas end under it"; "from" => from.0,
            "content" => told.fingerprint.to_string(), "replica" => &told.replica,
            "ends" => told.row.lengths_ms.len(), "clearings" => told.row.clearings,
            "known_ends" => held.lengths_ms.len(), "known_clearings" => held.clearings);
        let upto = self.gateway.fleet().up_to_index();
        self.news
            .note(Suspicion::from_report(told, upto), self.clock.now_ms());
    }

    /// Another gateway was heard of.
    pub(crate) fn note_gateway_heard(&self) {
        let now_ms = self.clock.now_ms();
        self.gateways_heard_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Whether neither control nor any other gateway is heard of: what they know of requests
    /// under which replicas ended is not known here.
    fn is_cut_off(&self) -> bool {
        let heard_ms = self.gateways_heard_ms.load(Ordering::Relaxed);
        let silent_ms = self.clock.now_ms().saturating_sub(heard_ms);
        self.gateway.is_control_lost()
            && silent_ms >= GATEWAYS_LOST_MS
            && !self.gateway.other_gateways().is_empty()
    }

    /// Whether this gateway is cut off and one more end is enough for a request to be refused:
    /// others may know of it. Its caller may go to another gateway, which knows more.
    pub(crate) fn is_tried_alone_enough(&self, known_ends: &EndsInRow) -> bool {
        is_almost_refused(known_ends) && self.is_cut_off()
    }

    /// Waits while this gateway is cut off.
    pub(crate) async fn news_while_cut_off(&self) {
        while self.is_cut_off() {
            sleep(CUT_OFF_LOOK_INTERVAL).await;
        }
    }

    /// Tells a few other gateways again what is new here: datagrams are lost, and a gateway
    /// may have started since.
    pub(crate) fn tell_news_again(&self) {
        if self.news.is_empty() {
            return;
        }
        let fleet = self.gateway.fleet();
        let to_tell = self.news.to_tell(&fleet, self.clock.now_ms());
        let mut gateways = self.gateway.other_gateways();
        if gateways.len() > MOST_TOLD_AGAIN {
            let first = self.random.lock().random_range(0..gateways.len());
            gateways.rotate_left(first);
            gateways.truncate(MOST_TOLD_AGAIN);
        }
        self.tell_suspicions(&gateways, &to_tell);
    }

    fn tell_suspicions(&self, gateways: &[MachineId], to_tell: &[ToldSuspicion]) {
        for told in to_tell.chunks(MOST_IN_DATAGRAM) {
            let message = GatewayDatagram::Suspicions(told.to_vec());
            self.gateway.send_to_gateways(gateways, &message);
        }
    }

    /// A copy of a request came to a whole answer: it is no longer suspected.
    pub(crate) fn clear(self: &Arc<Self>, outgoing: &Outgoing) {
        let fleet = self.gateway.fleet();
        if fleet.suspicions().is_empty() && self.news.is_empty() {
            return;
        }
        let fingerprint = outgoing.fingerprint();
        let Some(held) = self.suspicion(&fingerprint).filter(Suspicion::is_open) else {
            return;
        };
        let cleared = held.cleared(fleet.up_to_index());
        info!(self.logger, "request: cleared of suspicion"; "request" => outgoing.id(),
            "content" => fingerprint.to_string(), "clearings" => cleared.row.clearings);
        let told = vec![cleared.to_report()];
        self.news.note(cleared, self.clock.now_ms());
        self.tell_suspicions(&self.gateway.other_gateways(), &told);
        let gateway = self.gateway.clone();
        // Where control does not hear of it, the next copy that ends well clears it.
        tokio::spawn(async move { gateway.report_cleared(fingerprint, TELL_LIMIT).await });
    }
}
