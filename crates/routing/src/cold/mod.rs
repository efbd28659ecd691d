//! Requests to replicas that bear little for some time after a start.
//!
//! The requests that a cold replica gets in any second are bounded over the whole fleet,
//! whatever is cut off from what. Each gateway finds by itself whether it has a part of
//! the bound ([`Share`], [`is_holder`]) and keeps to that by its own sends alone: a send
//! counts until a second after its answer began, so that two that it may send beside each
//! other arrive more than a second apart however long either was under way. No message
//! passes and no gateway waits for another. Design note 0027 weighs it against a
//! coordinator's leave.
//!
//! Nothing here reads a clock or a socket. Times are steady, in milliseconds.

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

/// A gateway has no part for so long after control named the first gateways, in
/// milliseconds: what it sent before its start is under way, and not all are named yet.
const FIRST_MS: u64 = 3_000;
/// After so long without a word of control a replica may have started again unheard, in
/// milliseconds. Members of control are heard several times a second.
const SILENCE_MS: u64 = 3_000;

/// A replica of a service that declares what cold replicas bear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdReplica {
    /// The incarnation.
    pub id: String,
    /// Its service.
    pub service: String,
    /// How long a start stays cold, in milliseconds.
    pub start_ms: u64,
    /// What it bears while cold, in thousandths of a request a second.
    pub rate_milli: u64,
    /// How much longer it was cold when it said so, in milliseconds; 0 where it was warm.
    pub cold_ms: u64,
    /// The log entry by which that is known.
    pub changed_at: LogIndex,
}

/// What is believed of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdState {
    /// It bears what it can.
    Warm,
    /// It said that it is cold, or may have ended and started again.
    Cold,
    /// Control is silent: it is not known.
    Unsure,
}

impl ColdState {
    /// For logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ColdState::Warm => "warm",
            ColdState::Cold => "cold",
            ColdState::Unsure => "unsure",
        }
    }
}

/// Why nothing may be sent to a cold replica now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This gateway has known other gateways for a short time only, or none.
    NoPartYet,
    /// Other gateways have the parts of this replica.
    NoPart,
    /// Its part of this second is used.
    Used,
}

impl Refusal {
    /// For logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::NoPartYet => "no part yet",
            Refusal::NoPart => "no part",
            Refusal::Used => "part is used",
        }
    }
}

/// A replica whose state is another one now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The replica.
    pub replica: String,
    /// How much longer it counts as cold, in milliseconds; 0 where it is warm.
    pub cold_ms: u64,
}

/// The time, and what is known of control.
#[derive(Clone, Copy, Debug)]
pub struct ColdView {
    /// The time, in milliseconds.
    pub now_ms: u64,
    /// How long control has not been heard of, in milliseconds.
    pub control_silent_ms: u64,
}

#[derive(Clone, Debug)]
struct Known {
    told: ColdReplica,
    cold_until_ms: u64,
    /// This gateway's requests of any second while it is cold; 0 where others have the parts.
    part: u32,
    /// Whether it was cold when changes were asked for last.
    was_cold: bool,
    sends: RecentSends,
}

/// Every replica that may be cold, and what this gateway sends there.
#[derive(Clone, Debug)]
pub struct ColdReplicas {
    settings: ColdSettings,
    own: MachineId,
    /// When control named the first gateways.
    listed_ms: Option<u64>,
    gateways: KnownGateways,
    replicas: BTreeMap<String, Known>,
    /// Those off the list while it matters what was sent there, or that they may have ended:
    /// a displaced one may be back soon.
    dropped: BTreeMap<String, Known>,
    last_number: u64,
}

impl ColdReplicas {
    /// Those of a gateway that has just started.
    #[must_use]
    pub fn new(settings: ColdSettings, own: MachineId) -> Self {
        ColdReplicas {
            settings,
            own,
            listed_ms: None,
            gateways: KnownGateways::default(),
            replicas: BTreeMap::new(),
            dropped: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Takes the gateways that control names.
    pub fn note_gateways(&mut self, listed: &[MachineId], now_ms: u64) {
        if !self.gateways.note(listed, now_ms) {
            return;
        }
        self.listed_ms.get_or_insert(now_ms);
        let listed = std::mem::take(&mut self.replicas);
        self.replicas = self.divided(listed);
        let dropped = std::mem::take(&mut self.dropped);
        self.dropped = self.divided(dropped);
    }

    /// Replicas with the parts of the gateways that are known now.
    fn divided(&self, mut replicas: BTreeMap<String, Known>) -> BTreeMap<String, Known> {
        for known in replicas.values_mut() {
            known.part = self.part_of(&known.told);
        }
        replicas
    }

    /// Replaces the list of replicas.
    pub fn set_replicas(&mut self, list: Vec<ColdReplica>, now_ms: u64) {
        let listed: BTreeSet<&str> = list.iter().map(|told| told.id.as_str()).collect();
        let held = self.replicas.keys();
        let left: Vec<String> = held
            .filter(|id| !listed.contains(id.as_str()))
            .cloned()
            .collect();
        left.iter().for_each(|id| self.remove(id, now_ms));
        list.into_iter().for_each(|told| self.put(told, now_ms));
    }

    /// Notes a replica, or what it says by now. What it says newly counts from now: how old
    /// it is is not known, so a replica counts as cold too long rather than too short.
    pub fn put(&mut self, told: ColdReplica, now_ms: u64) {
        let id = told.id.clone();
        let known = match self.replicas.remove(&id) {
            Some(known) if known.told.rate_milli == told.rate_milli => {
                known.told_again(told, now_ms)
            }
            Some(known) => Known {
                part: self.part_of(&told),
                ..known.told_again(told, now_ms)
            },
            None => self.listed_again_or_new(told, now_ms),
        };
        self.replicas.insert(id, known);
    }

    /// Takes a replica off the list.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        self.dropped.retain(|_, known| known.still_matters(now_ms));
        let Some((id, known)) = self.replicas.remove_entry(id) else {
            return;
        };
        let dropped = known.dropped(now_ms);
        if dropped.still_matters(now_ms) {
            self.dropped.insert(id, dropped);
        }
    }

    /// Whether any replica of a service may be cold.
    #[must_use]
    pub fn has_replicas_of(&self, service: &str) -> bool {
        let mut known = self.replicas.values();
        known.any(|known| known.told.service == service)
    }

    fn listed_again_or_new(&mut self, told: ColdReplica, now_ms: u64) -> Known {
        let part = self.part_of(&told);
        let cold_until_ms = now_ms + told.cold_ms;
        match self.dropped.remove(&told.id) {
            // That it is back may be the word of control, not its own.
            Some(known) => Known {
                part,
                cold_until_ms: known.cold_until_ms.max(cold_until_ms),
                told,
                ..known
            },
            None => Known {
                part,
                cold_until_ms,
                was_cold: false,
                sends: RecentSends::default(),
                told,
            },
        }
    }

    fn known(&self, replica: &str) -> Option<&Known> {
        let listed = self.replicas.get(replica);
        listed.or_else(|| self.dropped.get(replica))
    }

    fn known_mut(&mut self, replica: &str) -> Option<&mut Known> {
        let listed = self.replicas.get_mut(replica);
        listed.or_else(|| self.dropped.get_mut(replica))
    }

    /// A replica broke off or accepts no connection: it may have ended and be starting again
    /// under the same id.
    pub fn note_possible_restart(&mut self, replica: &str, now_ms: u64) {
        if let Some(known) = self.known_mut(replica) {
            known.cold_until_ms = known.cold_until_ms.max(now_ms + known.told.start_ms);
        }
    }

    /// What is believed of a replica.
    #[must_use]
    pub fn state(&self, replica: &str, view: ColdView) -> ColdState {
        let known = self.known(replica);
        known.map_or(ColdState::Warm, |known| known.state(view))
    }

    /// What keeps a request from all of these replicas: cold where one of them is, unsure
    /// where it is not known of any; warm where one is, and where there are none.
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

    /// A request is about to be sent. To a cold replica it may be only by this gateway's
    /// part.
    ///
    /// # Errors
    /// Why it may not.
    pub fn begin(&mut self, replica: &str, view: ColdView) -> Result<SendNumber, Refusal> {
        let may = self.may_send(replica, view);
        self.last_number += 1;
        let number = SendNumber(self.last_number);
        if let Some(known) = self.known_mut(replica) {
            may?;
            known.sends.drop_old(view.now_ms);
            known.sends.begin(number);
        }
        Ok(number)
    }

    /// What became of a send.
    pub fn end(&mut self, replica: &str, number: SendNumber, end: SendOutcome, now_ms: u64) {
        if let Some(known) = self.known_mut(replica) {
            known.sends.end(number, end, now_ms);
        }
    }

    /// Whether a request may be sent to a replica now.
    ///
    /// # Errors
    /// Why it may not.
    pub fn may_send(&self, replica: &str, view: ColdView) -> Result<(), Refusal> {
        let Some(known) = self.known(replica) else {
            return Ok(());
        };
        if known.state(view) == ColdState::Warm {
            return Ok(());
        }
        let sends = self.part(known, view)?;
        if known.sends.admit(sends, view.now_ms) {
            Ok(())
        } else {
            Err(Refusal::Used)
        }
    }

    /// This gateway's requests of any second to a cold replica.
    fn part(&self, known: &Known, view: ColdView) -> Result<u32, Refusal> {
        match self.listed_ms {
            Some(listed_ms) if listed_ms + FIRST_MS <= view.now_ms => {}
            _ => return Err(Refusal::NoPartYet),
        }
        if known.part == 0 {
            return Err(Refusal::NoPart);
        }
        Ok(known.part)
    }

    fn part_of(&self, told: &ColdReplica) -> u32 {
        let gateways = self.gateways.list();
        let most = self.settings.max_per_second(told.rate_milli);
        let share = Share::of(most, gateways.len());
        if is_holder(self.own, &told.id, gateways, share.holders) {
            share.sends
        } else {
            0
        }
    }

    /// Replicas of a service that are not warm.
    #[must_use]
    pub fn not_warm(&self, service: &str, view: ColdView) -> Vec<String> {
        let not_warm = self.of(service, view);
        not_warm.map(|known| known.told.id.clone()).collect()
    }

    /// Replicas of a service that are not warm and may be sent nothing now.
    #[must_use]
    pub fn blocked(&self, service: &str, view: ColdView) -> Vec<String> {
        let not_warm = self.of(service, view).map(|known| &known.told.id);
        let closed = not_warm.filter(|id| self.may_send(id, view).is_err());
        closed.cloned().collect()
    }

    /// When this gateway may send to one of these replicas that is not warm, in
    /// milliseconds: by its part, or since the replica will be warm. `None` where all
    /// are warm or it is not known.
    #[must_use]
    pub fn next_in_ms(&self, candidates: &[String], view: ColdView) -> Option<u64> {
        let known = candidates.iter().filter_map(|id| self.replicas.get(id));
        let not_warm = known.filter(|known| known.state(view) != ColdState::Warm);
        let waits = not_warm.filter_map(|known| {
            let warm_in_ms = known.warm_in_ms(view);
            let part = self.part(known, view).ok();
            let part_in_ms = part.and_then(|part| known.sends.next_in_ms(part, view.now_ms));
            warm_in_ms.into_iter().chain(part_in_ms).min()
        });
        waits.min()
    }

    /// Replicas that were cold when changes were asked for last.
    #[must_use]
    pub fn cold_count(&self) -> usize {
        let replicas = self.replicas.values();
        replicas.filter(|known| known.was_cold).count()
    }

    /// Replicas whose state is another one than when this was asked last.
    pub fn take_changes(&mut self, now_ms: u64) -> Vec<ColdChange> {
        let mut changes = Vec::new();
        for known in self.replicas.values_mut() {
            let is_cold = known.is_cold(now_ms);
            if is_cold == known.was_cold {
                continue;
            }
            known.was_cold = is_cold;
            changes.push(ColdChange {
                replica: known.told.id.clone(),
                cold_ms: known.cold_until_ms.saturating_sub(now_ms),
            });
        }
        changes
    }

    fn of(&self, service: &str, view: ColdView) -> impl Iterator<Item = &Known> {
        let replicas = self.replicas.values();
        replicas
            .filter(move |known| known.told.service == service)
            .filter(move |known| known.state(view) != ColdState::Warm)
    }
}

impl Known {
    fn told_again(self, told: ColdReplica, now_ms: u64) -> Self {
        let is_news = told.changed_at != self.told.changed_at;
        let cold_until_ms = if is_news {
            now_ms + told.cold_ms
        } else {
            self.cold_until_ms
        };
        Known {
            told,
            cold_until_ms,
            ..self
        }
    }

    /// What is kept of one that is off the list. A longer cold time that it told is told
    /// again when it is back.
    fn dropped(self, now_ms: u64) -> Known {
        let longest_ms = now_ms + self.told.start_ms;
        Known {
            cold_until_ms: self.cold_until_ms.min(longest_ms),
            ..self
        }
    }

    fn still_matters(&self, now_ms: u64) -> bool {
        self.is_cold(now_ms) || self.sends.is_any(now_ms)
    }

    fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.cold_until_ms
    }

    fn state(&self, view: ColdView) -> ColdState {
        if self.is_cold(view.now_ms) {
            ColdState::Cold
        } else if view.control_silent_ms > SILENCE_MS {
            ColdState::Unsure
        } else {
            ColdState::Warm
        }
    }

    /// When it will be warm, where that is known, in milliseconds.
    fn warm_in_ms(&self, view: ColdView) -> Option<u64> {
        let is_heard = view.control_silent_ms <= SILENCE_MS;
        is_heard.then(|| self.cold_until_ms.saturating_sub(view.now_ms))
    }
}
