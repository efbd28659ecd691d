//! Requests to replicas that have little capacity for some time after a start.
//!
//! The number of requests that a cold replica gets in any second is bounded over the complete
//! fleet, under any partition. Each gateway determines by itself whether it has a share of the
//! bound ([`Share`], [`is_holder`]) and enforces the share by its own sends alone: a send counts
//! until a second after the start of its response, so that two sends that the share does not allow
//! together arrive more than a second apart, however long either was under way. This needs no
//! messages, and no gateway waits for another. Design note 0027 compares it with permits from a
//! coordinator.
//!
//! Nothing here reads a clock or a socket. Times are monotonic, in milliseconds.

mod known_gateways;
mod sends;
mod settings;
mod share;

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::{LogIndex, MachineId};

use self::{known_gateways::KnownGateways, sends::RecentSends};
pub use self::{
    sends::{SendNumber, SendOutcome},
    settings::ColdSettings,
    share::{Share, is_holder},
};

/// A gateway has no share for this time after control named the first gateways, in milliseconds:
/// requests that it sent before its start are still under way, and not all gateways are named yet.
const STARTUP_MS: u64 = 3_000;
/// After this time without contact to control a replica may have restarted unnoticed, in
/// milliseconds. Members of control send several messages per second.
const CONTROL_LOST_AFTER_MS: u64 = 3_000;

/// A replica of a service that declares the capacity of cold replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdReplica {
    /// The incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// How long a replica stays cold after a start, in milliseconds.
    pub start_ms: u64,
    /// Its capacity while cold, in thousandths of a request per second.
    pub rate_milli: u64,
    /// How much longer it would be cold when it reported that, in milliseconds; 0 if it was warm.
    pub cold_ms: u64,
    /// The log entry with that report.
    pub changed_at: LogIndex,
}

/// The assumed state of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// The replica has its full capacity.
    Warm,
    /// The replica reported to be cold, or may have ended and restarted.
    Cold,
    /// Control is silent, so the state is unknown.
    Unsure,
}

impl ColdState {
    /// The text for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ColdState::Warm => "warm",
            ColdState::Cold => "cold",
            ColdState::Unsure => "unsure",
        }
    }
}

/// Why no request may be sent to a cold replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This gateway has known other gateways only for a short time, or knows none.
    ShareNotReady,
    /// Other gateways have the shares of this replica.
    NoShare,
    /// This gateway's share of this second is used up.
    ShareUsed,
}

impl Refusal {
    /// The text for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::ShareNotReady => "no share yet",
            Refusal::NoShare => "no share",
            Refusal::ShareUsed => "share is used up",
        }
    }
}

/// A replica whose state has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The replica.
    pub replica: String,
    /// How much longer it counts as cold, in milliseconds; 0 if it is warm.
    pub cold_ms: u64,
}

/// The time, and what is known of control.
#[derive(Clone, Copy, Debug)]
pub struct ColdView {
    /// The time, in milliseconds.
    pub now_ms: u64,
    /// Time since the last contact with control, in milliseconds.
    pub control_silent_ms: u64,
}

#[derive(Clone, Debug)]
struct KnownReplica {
    report: ColdReplica,
    cold_until_ms: u64,
    /// Maximum number of requests of this gateway in any second while the replica is cold; 0 if
    /// other gateways have the shares.
    share: u32,
    /// Whether it was cold when changes were last requested.
    was_cold: bool,
    sends: RecentSends,
}

/// Every replica that may be cold, and this gateway's sends to each one.
#[derive(Clone, Debug)]
pub struct ColdReplicas {
    settings: ColdSettings,
    own: MachineId,
    /// When control named the first gateways.
    first_list_ms: Option<u64>,
    gateways: KnownGateways,
    replicas: BTreeMap<String, KnownReplica>,
    /// Replicas off the list whose earlier sends or possible restart still matter: a displaced
    /// replica may return soon.
    unlisted: BTreeMap<String, KnownReplica>,
    last_number: u64,
}

impl ColdReplicas {
    /// The state of a gateway that has just started.
    #[must_use]
    pub fn new(settings: ColdSettings, own: MachineId) -> Self {
        ColdReplicas {
            settings,
            own,
            first_list_ms: None,
            gateways: KnownGateways::default(),
            replicas: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Records the gateways that control names.
    pub fn note_gateways(&mut self, listed: &[MachineId], now_ms: u64) {
        if !self.gateways.update(listed, now_ms) {
            return;
        }
        self.first_list_ms.get_or_insert(now_ms);
        let listed = std::mem::take(&mut self.replicas);
        self.replicas = self.with_current_shares(listed);
        let unlisted = std::mem::take(&mut self.unlisted);
        self.unlisted = self.with_current_shares(unlisted);
    }

    /// Replicas with their shares for the present list of gateways.
    fn with_current_shares(
        &self,
        mut replicas: BTreeMap<String, KnownReplica>,
    ) -> BTreeMap<String, KnownReplica> {
        for known in replicas.values_mut() {
            known.share = self.share_of(&known.report);
        }
        replicas
    }

    /// Replaces the list of replicas.
    pub fn set_replicas(&mut self, list: Vec<ColdReplica>, now_ms: u64) {
        let listed: BTreeSet<&str> = list.iter().map(|report| report.id.as_str()).collect();
        let known_ids = self.replicas.keys();
        let removed: Vec<String> = known_ids
            .filter(|id| !listed.contains(id.as_str()))
            .cloned()
            .collect();
        removed.iter().for_each(|id| self.remove(id, now_ms));
        list.into_iter().for_each(|report| self.put(report, now_ms));
    }

    /// Adds a replica or applies its newest report. A new report counts from now: its age is
    /// unknown, so a replica counts as cold for too long rather than too short a time.
    pub fn put(&mut self, report: ColdReplica, now_ms: u64) {
        let id = report.id.clone();
        let known = match self.replicas.remove(&id) {
            Some(known) if known.report.rate_milli == report.rate_milli => {
                known.updated(report, now_ms)
            }
            Some(known) => KnownReplica {
                share: self.share_of(&report),
                ..known.updated(report, now_ms)
            },
            None => self.relisted_or_new(report, now_ms),
        };
        self.replicas.insert(id, known);
    }

    /// Removes a replica from the list.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        self.unlisted.retain(|_, known| known.is_relevant(now_ms));
        let Some((id, known)) = self.replicas.remove_entry(id) else {
            return;
        };
        let unlisted = known.unlisted(now_ms);
        if unlisted.is_relevant(now_ms) {
            self.unlisted.insert(id, unlisted);
        }
    }

    /// Whether any replica of a service may be cold.
    #[must_use]
    pub fn has_replicas_of(&self, service: &str) -> bool {
        let mut known = self.replicas.values();
        known.any(|known| known.report.service == service)
    }

    fn relisted_or_new(&mut self, report: ColdReplica, now_ms: u64) -> KnownReplica {
        let share = self.share_of(&report);
        let cold_until_ms = now_ms + report.cold_ms;
        match self.unlisted.remove(&report.id) {
            // The report of its return may come from control rather than from the replica itself.
            Some(known) => KnownReplica {
                share,
                cold_until_ms: known.cold_until_ms.max(cold_until_ms),
                report,
                ..known
            },
            None => KnownReplica {
                share,
                cold_until_ms,
                was_cold: false,
                sends: RecentSends::default(),
                report,
            },
        }
    }

    fn known(&self, replica: &str) -> Option<&KnownReplica> {
        let listed = self.replicas.get(replica);
        listed.or_else(|| self.unlisted.get(replica))
    }

    fn known_mut(&mut self, replica: &str) -> Option<&mut KnownReplica> {
        let listed = self.replicas.get_mut(replica);
        listed.or_else(|| self.unlisted.get_mut(replica))
    }

    /// Records that a replica's connection broke or that it accepts none: it may have ended and be
    /// restarting under the same id.
    pub fn note_possible_restart(&mut self, replica: &str, now_ms: u64) {
        if let Some(known) = self.known_mut(replica) {
            known.cold_until_ms = known.cold_until_ms.max(now_ms + known.report.start_ms);
        }
    }

    /// The assumed state of a replica.
    #[must_use]
    pub fn state(&self, replica: &str, view: ColdView) -> ColdState {
        let known = self.known(replica);
        known.map_or(ColdState::Warm, |known| known.state(view))
    }

    /// The state that keeps a request from all of these replicas: cold if one of them is, otherwise
    /// unsure; warm if one of them is, and if there are none.
    #[must_use]
    pub fn state_of_all(&self, replicas: &[String], view: ColdView) -> ColdState {
        let states: Vec<ColdState> = replicas.iter().map(|id| self.state(id, view)).collect();
        if states.is_empty() || states.contains(&ColdState::Warm) {
            ColdState::Warm
        } else if states.contains(&ColdState::Cold) {
            ColdState::Cold
        } else {
            ColdState::Unsure
        }
    }

    /// Records that a request is about to be sent. To a cold replica it may be sent only within
    /// this gateway's share.
    ///
    /// # Errors
    /// Why it may not be sent.
    pub fn begin(&mut self, replica: &str, view: ColdView) -> Result<SendNumber, Refusal> {
        let allowed = self.may_send(replica, view);
        self.last_number += 1;
        let number = SendNumber(self.last_number);
        if let Some(known) = self.known_mut(replica) {
            allowed?;
            known.sends.prune(view.now_ms);
            known.sends.begin(number);
        }
        Ok(number)
    }

    /// Records the outcome of a send.
    pub fn end(&mut self, replica: &str, number: SendNumber, end: SendOutcome, now_ms: u64) {
        if let Some(known) = self.known_mut(replica) {
            known.sends.end(number, end, now_ms);
        }
    }

    /// Whether a request may be sent to a replica now.
    ///
    /// # Errors
    /// Why it may not be sent.
    pub fn may_send(&self, replica: &str, view: ColdView) -> Result<(), Refusal> {
        let Some(known) = self.known(replica) else {
            return Ok(());
        };
        if known.state(view) == ColdState::Warm {
            return Ok(());
        }
        let sends = self.current_share(known, view)?;
        if known.sends.allows(sends, view.now_ms) {
            Ok(())
        } else {
            Err(Refusal::ShareUsed)
        }
    }

    /// Maximum number of requests of this gateway to a cold replica in any second.
    fn current_share(&self, known: &KnownReplica, view: ColdView) -> Result<u32, Refusal> {
        match self.first_list_ms {
            Some(first_list_ms) if first_list_ms + STARTUP_MS <= view.now_ms => {}
            _ => return Err(Refusal::ShareNotReady),
        }
        if known.share == 0 {
            return Err(Refusal::NoShare);
        }
        Ok(known.share)
    }

    fn share_of(&self, report: &ColdReplica) -> u32 {
        let gateways = self.gateways.list();
        let max_sends = self.settings.max_per_second(report.rate_milli);
        let share = Share::of(max_sends, gateways.len());
        if is_holder(self.own, &report.id, gateways, share.holders) {
            share.sends
        } else {
            0
        }
    }

    /// Replicas of a service that are not warm.
    #[must_use]
    pub fn not_warm(&self, service: &str, view: ColdView) -> Vec<String> {
        let not_warm = self.not_warm_of(service, view);
        not_warm.map(|known| known.report.id.clone()).collect()
    }

    /// Replicas of a service that are not warm and may get no request now.
    #[must_use]
    pub fn blocked(&self, service: &str, view: ColdView) -> Vec<String> {
        let not_warm = self
            .not_warm_of(service, view)
            .map(|known| &known.report.id);
        let closed = not_warm.filter(|id| self.may_send(id, view).is_err());
        closed.cloned().collect()
    }

    /// Time until this gateway may send to one of these replicas that is not warm, in milliseconds:
    /// within its share, or because the replica will be warm. `None` if all are warm or the time is
    /// unknown.
    #[must_use]
    pub fn next_in_ms(&self, candidates: &[String], view: ColdView) -> Option<u64> {
        let known = candidates.iter().filter_map(|id| self.replicas.get(id));
        let not_warm = known.filter(|known| known.state(view) != ColdState::Warm);
        let waits = not_warm.filter_map(|known| {
            let warm_in_ms = known.warm_in_ms(view);
            let share = self.current_share(known, view).ok();
            let share_in_ms = share.and_then(|share| known.sends.next_in_ms(share, view.now_ms));
            warm_in_ms.into_iter().chain(share_in_ms).min()
        });
        waits.min()
    }

    /// Replicas that were cold when changes were last requested.
    #[must_use]
    pub fn cold_count(&self) -> usize {
        let replicas = self.replicas.values();
        replicas.filter(|known| known.was_cold).count()
    }

    /// Replicas whose state has changed since the last call.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for known in self.replicas.values_mut() {
            let is_cold = known.is_cold(now_ms);
            if is_cold == known.was_cold {
                continue;
            }
            known.was_cold = is_cold;
            changes.push(ColdChange {
                replica: known.report.id.clone(),
                cold_ms: known.cold_until_ms.saturating_sub(now_ms),
            });
        }
        changes
    }

    fn not_warm_of(&self, service: &str, view: ColdView) -> impl Iterator<Item = &KnownReplica> {
        let replicas = self.replicas.values();
        replicas
            .filter(move |known| known.report.service == service)
            .filter(move |known| known.state(view) != ColdState::Warm)
    }
}

impl KnownReplica {
    fn updated(self, report: ColdReplica, now_ms: u64) -> Self {
        let is_new_report = report.changed_at != self.report.changed_at;
        let cold_until_ms = if is_new_report {
            now_ms + report.cold_ms
        } else {
            self.cold_until_ms
        };
        KnownReplica {
            report,
            cold_until_ms,
            ..self
        }
    }

    /// The state to retain for a replica that is off the list. A longer cold time that it reported
    /// will be reported again when it returns.
    fn unlisted(self, now_ms: u64) -> KnownReplica {
        let longest_ms = now_ms + self.report.start_ms;
        KnownReplica {
            cold_until_ms: self.cold_until_ms.min(longest_ms),
            ..self
        }
    }

    fn is_relevant(&self, now_ms: u64) -> bool {
        self.is_cold(now_ms) || self.sends.has_counted(now_ms)
    }

    fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    fn state(&self, view: ColdView) -> ColdState {
        if self.is_cold(view.now_ms) {
            ColdState::Cold
        } else if view.control_silent_ms > CONTROL_LOST_AFTER_MS {
            ColdState::Unsure
        } else {
            ColdState::Warm
        }
    }

    /// Time until it is warm, in milliseconds; `None` if that is unknown.
    fn warm_in_ms(&self, view: ColdView) -> Option<u64> {
        let has_contact = view.control_silent_ms <= CONTROL_LOST_AFTER_MS;
        has_contact.then(|| self.cold_until_ms.saturating_sub(view.now_ms))
    }
}
