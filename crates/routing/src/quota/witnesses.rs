//! Gateways that report whether they have contact with a coordinator.
//!
//! A coordinator that recently got answers from fewer of its witnesses than it needs gives out only
//! its even share. Gateways that the coordinator does not answer give out their own even shares
//! once enough witnesses have had no contact with it for longer than that. The two required numbers
//! together are larger than the number of witnesses, so at least one witness counts for both sides
//! and only one side can be right.

use std::{cmp::Reverse, collections::BTreeMap};

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};

use super::{QuotaAction, QuotaView};
use crate::dispatch::rendezvous_hash;

/// Number of witnesses of a coordinator. With a tenth of the gateways isolated, four of five remain
/// in 92 of 100 cases.
const WITNESSES: usize = 5;
/// Witnesses of a full set that must answer a coordinator; of a smaller set, one. With a third of
/// the gateways paused, enough answer in 95 of 100 cases.
const ANSWERS_NEEDED: usize = 2;
/// An answer counts for this time after the message that it answers was sent, in milliseconds: two
/// of three datagrams may be lost.
const ANSWER_VALID_MS: u64 = 300;
/// A witness counts a coordinator as unreachable after this time, in milliseconds. It is longer
/// than an isolated coordinator takes to notice that itself, including the intervals of two timers
/// and the network delay between them.
const CONTACT_TIMEOUT_MS: u64 = 400;
/// A witness's report of an unreachable coordinator counts for this time after it was requested, in
/// milliseconds; it is requested ten times per second.
const UNREACHABLE_REPORT_VALID_MS: u64 = 200;
/// A coordinator that is answered again waits for this time, in milliseconds, while other gateways
/// may still act on earlier reports of the witnesses.
const RECOVERY_HOLD_MS: u64 = 250;
/// A gateway without contact to control for this time is off the lists of the others when it
/// receives the next list, in milliseconds: control names others after 1.2 s.
const UNLISTED_AFTER_MS: u64 = 2_000;
/// A process that was paused for this time may have missed messages, in milliseconds.
const PROCESS_PAUSE_MS: u64 = 300;
/// Witnesses are asked once a coordinator has not answered for this time, in milliseconds.
const ASK_WITNESSES_AFTER_MS: u64 = 300;
/// A coordinator that did not answer is not asked again for this time, in milliseconds.
const COORDINATOR_RETRY_MS: u64 = 300;
/// The start of a silence is stored for this time after the coordinator could be asked again, in
/// milliseconds.
const SILENCE_RETENTION_MS: u64 = 1_000;

/// The witnesses of a coordinator, in a fixed order.
fn witnesses_of(coordinator: MachineId, can_witness: &[MachineId]) -> Vec<MachineId> {
    let name = coordinator.to_string();
    let others = can_witness.iter().copied();
    let mut others: Vec<MachineId> = others.filter(|machine| *machine != coordinator).collect();
    others.sort_by_cached_key(|machine| {
        Reverse((rendezvous_hash(u64::from(machine.0), &name), *machine))
    });
    others.truncate(WITNESSES);
    others
}

/// Number of witnesses that must answer a coordinator.
fn answers_needed(witnesses: usize) -> usize {
    match witnesses {
        WITNESSES => ANSWERS_NEEDED,
        fewer => fewer.min(1),
    }
}

/// Number of witnesses that must report a coordinator as unreachable.
fn reports_needed(witnesses: usize) -> usize {
    witnesses + 1 - answers_needed(witnesses)
}

/// Whether witnesses confirm contact with this gateway as a coordinator.
#[derive(Clone, Debug, Default)]
pub(super) struct WitnessConfirmations {
    listed: Vec<MachineId>,
    /// The witnesses, and the send time of the message that each one answered last.
    answered: BTreeMap<MachineId, u64>,
    /// Contact does not count as confirmed before this time.
    unconfirmed_until_ms: u64,
}

impl WitnessConfirmations {
    /// Updates the list of gateways. New witnesses count as if they had answered: they have not had
    /// time to report anything else.
    pub(super) fn update(&mut self, view: &QuotaView<'_>) {
        if view.control_silent_ms >= UNLISTED_AFTER_MS {
            *self = WitnessConfirmations::default();
            return;
        }
        if self.listed == view.witnesses {
            return;
        }
        let witnesses = witnesses_of(view.own, view.witnesses).into_iter();
        let sent_ms = |machine: &MachineId| self.answered.get(machine).copied();
        self.answered = witnesses
            .map(|machine| (machine, sent_ms(&machine).unwrap_or(view.now_ms)))
            .collect();
        self.listed = view.witnesses.to_vec();
    }

    /// A gateway that counts no tenant needs no confirmation.
    pub(super) fn reset(&mut self, now_ms: u64) {
        self.unconfirmed_until_ms = 0;
        for sent_ms in self.answered.values_mut() {
            *sent_ms = now_ms;
        }
    }

    /// Notifies the witnesses that this gateway counts tenants.
    pub(super) fn notify_witnesses(&self, now_ms: u64) -> Vec<QuotaAction> {
        let message = QuotaMessage::WitnessRequest { sent_ms: now_ms };
        let witnesses = self.answered.keys();
        witnesses
            .map(|to| QuotaAction::Send {
                to: *to,
                message: message.clone(),
            })
            .collect()
    }

    /// Records a witness's answer. An answer to an earlier incarnation of this gateway, whose clock
    /// was further ahead, is ignored.
    pub(super) fn record_answer(&mut self, from: MachineId, sent_ms: u64, now_ms: u64) {
        // A time without answers also counts if nothing checked for it at that time.
        self.is_confirmed(now_ms);
        if sent_ms > now_ms {
            return;
        }
        if let Some(newest_ms) = self.answered.get_mut(&from) {
            *newest_ms = sent_ms.max(*newest_ms);
        }
    }

    /// Whether this gateway may give out more than its even share.
    pub(super) fn is_confirmed(&mut self, now_ms: u64) -> bool {
        let sent_ms = self.answered.values();
        let answers = sent_ms.filter(|sent_ms| now_ms < **sent_ms + ANSWER_VALID_MS);
        if answers.count() < answers_needed(self.answered.len()) {
            self.unconfirmed_until_ms = now_ms + RECOVERY_HOLD_MS;
        }
        now_ms >= self.unconfirmed_until_ms
    }
}

/// Coordinators that this gateway, as a witness, has contact with.
#[derive(Clone, Debug, Default)]
pub(super) struct CoordinatorContacts {
    last_contact_ms: BTreeMap<MachineId, u64>,
    /// Time since which this process was not paused.
    running_since_ms: u64,
    active_ms: u64,
}

impl CoordinatorContacts {
    /// Records that this process is running, and removes coordinators without recent contact.
    pub(super) fn record_activity(&mut self, now_ms: u64) {
        if now_ms > self.active_ms + PROCESS_PAUSE_MS {
            self.running_since_ms = now_ms;
        }
        self.active_ms = now_ms;
        self.last_contact_ms
            .retain(|_, contact_ms| now_ms < *contact_ms + CONTACT_TIMEOUT_MS);
    }

    /// Records a message of a coordinator that counts tenants.
    pub(super) fn record_contact(&mut self, from: MachineId, now_ms: u64) {
        self.last_contact_ms.insert(from, now_ms);
    }

    /// Whether there was no contact with a coordinator although this process was running.
    pub(super) fn is_unreachable(&mut self, coordinator: MachineId, now_ms: u64) -> bool {
        self.record_activity(now_ms);
        let is_running = now_ms >= self.running_since_ms + CONTACT_TIMEOUT_MS;
        is_running && !self.last_contact_ms.contains_key(&coordinator)
    }
}

#[derive(Clone, Debug)]
struct Silence {
    since_ms: u64,
    /// The coordinator is not asked before this time.
    ask_again_ms: u64,
    witnesses: Vec<MachineId>,
    /// Witnesses without contact to the coordinator, and when they were asked.
    unreachable_reports: BTreeMap<MachineId, u64>,
}

/// Coordinators that do not answer this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct CoordinatorSilences {
    by_coordinator: BTreeMap<MachineId, Silence>,
}

impl CoordinatorSilences {
    /// Records that a coordinator did not answer.
    pub(super) fn record(&mut self, coordinator: MachineId, now_ms: u64) {
        let silence = self.by_coordinator.entry(coordinator);
        let silence = silence.or_insert_with(|| Silence {
            since_ms: now_ms,
            ask_again_ms: now_ms,
            witnesses: Vec::new(),
            unreachable_reports: BTreeMap::new(),
        });
        silence.ask_again_ms = now_ms + COORDINATOR_RETRY_MS;
    }

    /// Records that a coordinator answered.
    pub(super) fn record_answer(&mut self, coordinator: MachineId) {
        self.by_coordinator.remove(&coordinator);
    }

    /// Whether a coordinator should not be asked now.
    pub(super) fn is_silent(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let silence = self.by_coordinator.get(&coordinator);
        silence.is_some_and(|silence| now_ms < silence.ask_again_ms)
    }

    /// Asks the witnesses of coordinators that have been silent for a while.
    pub(super) fn ask_witnesses(
        &mut self,
        contacts: &mut CoordinatorContacts,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        let now_ms = view.now_ms;
        self.by_coordinator.retain(|coordinator, silence| {
            now_ms < silence.ask_again_ms + SILENCE_RETENTION_MS
                && view.gateways.contains(coordinator)
        });
        let mut actions = Vec::new();
        for (coordinator, silence) in &mut self.by_coordinator {
            if now_ms < silence.since_ms + ASK_WITNESSES_AFTER_MS {
                continue;
            }
            silence.witnesses = witnesses_of(*coordinator, view.witnesses);
            for witness in &silence.witnesses {
                if *witness != view.own {
                    let message = QuotaMessage::ContactQuery {
                        coordinator: *coordinator,
                        asked_ms: now_ms,
                    };
                    let to = *witness;
                    actions.push(QuotaAction::Send { to, message });
                } else if contacts.is_unreachable(*coordinator, now_ms) {
                    silence.unreachable_reports.insert(view.own, now_ms);
                }
            }
        }
        actions
    }

    /// Records that a witness has no contact with a coordinator. The answer to a request of an
    /// earlier incarnation of this gateway, whose clock was further ahead, is ignored.
    pub(super) fn record_unreachable(
        &mut self,
        from: MachineId,
        coordinator: MachineId,
        asked_ms: u64,
        now_ms: u64,
    ) {
        if asked_ms > now_ms {
            return;
        }
        if let Some(silence) = self.by_coordinator.get_mut(&coordinator) {
            silence.unreachable_reports.insert(from, asked_ms);
        }
    }

    /// Whether a coordinator became silent so recently that its witnesses cannot report it yet.
    pub(super) fn is_recent(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let silence = self.by_coordinator.get(&coordinator);
        silence.is_some_and(|silence| now_ms < silence.since_ms + CONTACT_TIMEOUT_MS)
    }

    /// Whether enough witnesses report a coordinator as unreachable that the coordinator knows it
    /// too by now.
    pub(super) fn is_confirmed_unreachable(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let Some(silence) = self.by_coordinator.get(&coordinator) else {
            return false;
        };
        let reports_unreachable = |witness: &&MachineId| {
            let asked_ms = silence.unreachable_reports.get(*witness);
            asked_ms.is_some_and(|asked_ms| now_ms < asked_ms + UNREACHABLE_REPORT_VALID_MS)
        };
        let reports = silence.witnesses.iter().filter(reports_unreachable).count();
        reports >= reports_needed(silence.witnesses.len())
    }
}
