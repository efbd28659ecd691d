//! Gateways that say whether a coordinator is heard.
//!
//! A coordinator that fewer of its witnesses than it needs have answered lately gives out
//! its even part only; gateways that it does not answer give out theirs once enough
//! witnesses have not heard it for longer. Both numbers together are more than there are
//! witnesses, so that one stands for both sides and only one of them can be right.

use std::{cmp::Reverse, collections::BTreeMap};

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};

use super::{QuotaAction, QuotaView};
use crate::dispatch::spread;

/// Witnesses of a coordinator. With a tenth of the gateways cut off, four of five are left
/// in 92 of 100 cases.
const WITNESSES: usize = 5;
/// So many of a full set have to answer a coordinator, or one of a smaller set: with a third
/// of the gateways standing still they do in 95 of 100 cases.
const ANSWERS_NEEDED: usize = 2;
/// An answer counts for this long from when it was asked for, in milliseconds: two of three
/// datagrams may be lost.
const ANSWERED_MS: u64 = 300;
/// A coordinator counts as unheard after this, in milliseconds: longer than it takes one
/// that nobody hears to know it, by two clocks and the way between them.
const UNHEARD_MS: u64 = 400;
/// What a witness said of an unheard coordinator counts for this long from when it was
/// asked, in milliseconds: it is asked ten times a second.
const UNHEARD_FOR_MS: u64 = 200;
/// A coordinator that is answered again waits for this, in milliseconds, while the others
/// may still go by what witnesses said before.
const HOLD_MS: u64 = 250;
/// A gateway that control has not been heard of at for so long is off the others' lists,
/// where it hears of the next one, in milliseconds: control names others after 1.2 s.
const UNLISTED_AFTER_MS: u64 = 2_000;
/// A process that did nothing for so long may have missed what was sent to it, in
/// milliseconds.
const STOOD_STILL_MS: u64 = 300;
/// Witnesses are asked once a coordinator has not answered for so long, in milliseconds.
const ASK_AFTER_MS: u64 = 300;
/// A coordinator that did not answer is not asked for so long, in milliseconds.
const SILENT_FOR_MS: u64 = 300;
/// When a silence began is kept for so long after the coordinator was to be asked again.
const REMEMBERED_MS: u64 = 1_000;

/// The witnesses of a coordinator, in a fixed order.
fn witnesses_of(coordinator: MachineId, can_witness: &[MachineId]) -> Vec<MachineId> {
    let name = coordinator.to_string();
    let others = can_witness.iter().copied();
    let mut others: Vec<MachineId> = others.filter(|machine| *machine != coordinator).collect();
    others.sort_by_cached_key(|machine| Reverse((spread(u64::from(machine.0), &name), *machine)));
    others.truncate(WITNESSES);
    others
}

/// Witnesses that have to answer a coordinator.
fn needed_by_coordinator(witnesses: usize) -> usize {
    match witnesses {
        WITNESSES => ANSWERS_NEEDED,
        fewer => fewer.min(1),
    }
}

/// Witnesses that have to say that they do not hear it.
fn needed_by_askers(witnesses: usize) -> usize {
    witnesses + 1 - needed_by_coordinator(witnesses)
}

/// Whether this gateway is heard as a coordinator.
#[derive(Clone, Debug, Default)]
pub(super) struct Witnessed {
    listed: Vec<MachineId>,
    /// The witnesses, and when what each answered last was sent.
    answered: BTreeMap<MachineId, u64>,
    /// It does not count as heard before this.
    held_until_ms: u64,
}

impl Witnessed {
    /// Takes the list that is known now. Witnesses that are new count as if they had
    /// answered: they can have said nothing else yet.
    pub(super) fn follow(&mut self, view: &QuotaView<'_>) {
        if view.control_silent_ms >= UNLISTED_AFTER_MS {
            *self = Witnessed::default();
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

    /// Nobody needs to hear a gateway that counts nothing.
    pub(super) fn rest(&mut self, now_ms: u64) {
        self.held_until_ms = 0;
        for sent_ms in self.answered.values_mut() {
            *sent_ms = now_ms;
        }
    }

    /// Tells the witnesses that this gateway counts.
    pub(super) fn tell(&self, now_ms: u64) -> Vec<QuotaAction> {
        let message = QuotaMessage::Counting { sent_ms: now_ms };
        let witnesses = self.answered.keys();
        witnesses
            .map(|to| QuotaAction::Send {
                to: *to,
                message: message.clone(),
            })
            .collect()
    }

    /// Takes a witness's answer. One to an earlier start of this gateway, whose clock had gone
    /// on for longer, tells nothing.
    pub(super) fn take_answer(&mut self, from: MachineId, sent_ms: u64, now_ms: u64) {
        // A time without answers counts also where nobody looked in it.
        self.is_heard(now_ms);
        if sent_ms > now_ms {
            return;
        }
        if let Some(newest_ms) = self.answered.get_mut(&from) {
            *newest_ms = sent_ms.max(*newest_ms);
        }
    }

    /// Whether this gateway may give out more than its even part.
    pub(super) fn is_heard(&mut self, now_ms: u64) -> bool {
        let sent_ms = self.answered.values();
        let answers = sent_ms.filter(|sent_ms| now_ms < **sent_ms + ANSWERED_MS);
        if answers.count() < needed_by_coordinator(self.answered.len()) {
            self.held_until_ms = now_ms + HOLD_MS;
        }
        now_ms >= self.held_until_ms
    }
}

/// Which coordinators this gateway hears as a witness.
#[derive(Clone, Debug, Default)]
pub(super) struct Hearing {
    heard: BTreeMap<MachineId, u64>,
    /// Since when it has not stood still.
    awake_since_ms: u64,
    looked_ms: u64,
}

impl Hearing {
    /// Notes that this gateway is awake, and forgets coordinators that it does not hear.
    pub(super) fn look(&mut self, now_ms: u64) {
        if now_ms > self.looked_ms + STOOD_STILL_MS {
            self.awake_since_ms = now_ms;
        }
        self.looked_ms = now_ms;
        self.heard
            .retain(|_, heard_ms| now_ms < *heard_ms + UNHEARD_MS);
    }

    /// A coordinator says that it counts.
    pub(super) fn hear(&mut self, from: MachineId, now_ms: u64) {
        self.heard.insert(from, now_ms);
    }

    /// Whether a coordinator has not been heard though this gateway was awake.
    pub(super) fn misses(&mut self, coordinator: MachineId, now_ms: u64) -> bool {
        self.look(now_ms);
        let is_awake = now_ms >= self.awake_since_ms + UNHEARD_MS;
        is_awake && !self.heard.contains_key(&coordinator)
    }
}

#[derive(Clone, Debug)]
struct Silence {
    since_ms: u64,
    /// The coordinator is not asked before this.
    until_ms: u64,
    witnesses: Vec<MachineId>,
    /// Witnesses that do not hear it, and when those were asked.
    unheard: BTreeMap<MachineId, u64>,
}

/// Coordinators that do not answer this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct Silences {
    by_coordinator: BTreeMap<MachineId, Silence>,
}

impl Silences {
    /// A coordinator did not answer.
    pub(super) fn note(&mut self, coordinator: MachineId, now_ms: u64) {
        let silence = self.by_coordinator.entry(coordinator);
        let silence = silence.or_insert_with(|| Silence {
            since_ms: now_ms,
            until_ms: now_ms,
            witnesses: Vec::new(),
            unheard: BTreeMap::new(),
        });
        silence.until_ms = now_ms + SILENT_FOR_MS;
    }

    /// A coordinator answered.
    pub(super) fn end(&mut self, coordinator: MachineId) {
        self.by_coordinator.remove(&coordinator);
    }

    /// Whether a coordinator is not to be asked.
    pub(super) fn is_silent(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let silence = self.by_coordinator.get(&coordinator);
        silence.is_some_and(|silence| now_ms < silence.until_ms)
    }

    /// Asks the witnesses of those that have been silent for a while.
    pub(super) fn ask(&mut self, hearing: &mut Hearing, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        let now_ms = view.now_ms;
        self.by_coordinator.retain(|coordinator, silence| {
            now_ms < silence.until_ms + REMEMBERED_MS && view.gateways.contains(coordinator)
        });
        let mut actions = Vec::new();
        for (coordinator, silence) in &mut self.by_coordinator {
            if now_ms < silence.since_ms + ASK_AFTER_MS {
                continue;
            }
            silence.witnesses = witnesses_of(*coordinator, view.witnesses);
            for witness in &silence.witnesses {
                if *witness != view.own {
                    let message = QuotaMessage::IsHeard {
                        coordinator: *coordinator,
                        asked_ms: now_ms,
                    };
                    let to = *witness;
                    actions.push(QuotaAction::Send { to, message });
                } else if hearing.misses(*coordinator, now_ms) {
                    silence.unheard.insert(view.own, now_ms);
                }
            }
        }
        actions
    }

    /// A witness does not hear a coordinator. What an earlier start of this gateway asked, whose
    /// clock had gone on for longer, tells nothing.
    pub(super) fn take_unheard(
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
            silence.unheard.insert(from, asked_ms);
        }
    }

    /// Whether a coordinator fell silent so lately that its witnesses can't say so yet.
    pub(super) fn is_sudden(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let silence = self.by_coordinator.get(&coordinator);
        silence.is_some_and(|silence| now_ms < silence.since_ms + UNHEARD_MS)
    }

    /// Whether a coordinator knows by now that nobody hears it.
    pub(super) fn nobody_hears(&self, coordinator: MachineId, now_ms: u64) -> bool {
        let Some(silence) = self.by_coordinator.get(&coordinator) else {
            return false;
        };
        let says_so = |witness: &&MachineId| {
            let asked_ms = silence.unheard.get(*witness);
            asked_ms.is_some_and(|asked_ms| now_ms < asked_ms + UNHEARD_FOR_MS)
        };
        let saying = silence.witnesses.iter().filter(says_so).count();
        saying >= needed_by_askers(silence.witnesses.len())
    }
}
