//! One coordinator for each tenant, which leases a few requests ahead.

use std::collections::{BTreeMap, HashMap};

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_tenants::{QuotaLimit, Tenant};

use super::{
    FleetQuota, QuotaAction, QuotaSettings, QuotaVerdict, QuotaView, Ticket,
    bucket::BucketLimit,
    coordinator::{Granted, QuotaCoordinator, Unleased, Wanted},
    decide,
    departed::Departed,
    even_shares::{EvenShares, part_among},
    lease::{LONGEST_REFUSAL_MS, Lease},
    witnesses::{Hearing, Silences, Witnessed},
};
use crate::dispatch::coordinator_of;

/// A lease may be used for so long, in milliseconds. A longer one saves messages and
/// widens the time between the count and the send.
const LEASE_MS: u64 = 1_000;
/// A refusal holds at this gateway for so long at least, in milliseconds, so that a flood
/// beyond the limit costs the coordinator 20 questions a second of each gateway at most.
const SHORTEST_REFUSAL_MS: u64 = 50;
/// Control counts as away after this, in milliseconds: its five members each say every
/// half second that they are there. It is less than the 1.2 s after which control takes a
/// silent gateway off the list and others count that gateway's tenants.
const AWAY_AFTER_MS: u64 = 1_000;
/// From then on a gateway tells the others that it does not hear control, in milliseconds.
const TELL_AWAY_AFTER_MS: u64 = 500;
/// How often it does so, in milliseconds. At 410 gateways that is 2,000 datagrams a second
/// of each, 100 KB, for as long as control is away.
const TELL_AWAY_EVERY_MS: u64 = 200;
/// A gateway that said so within this time is without control too, in milliseconds.
const WITHOUT_CONTROL_MS: u64 = 600;
/// Part of the gateways that are taken to be left alone at a time.
const LEFT_ALONE_PART: f64 = 0.1;
/// Part of what may be gone beyond a limit that they give out together.
const LEFT_ALONE_BEYOND: f64 = 0.4;
/// So many times as much does one give out that has just been left alone: all may be, but
/// no longer than 0.4 s before witnesses tell, a third of the time until control does.
const SUDDEN_TIMES: f64 = 3.0;
/// Callers who are refused since the coordinator is silent come back after this, in
/// milliseconds: control names another one within 1.2 s.
const SUCCESSOR_MS: u64 = 1_300;

/// Limits held by a coordinator for each tenant.
pub struct LeasedQuota {
    settings: QuotaSettings,
    leases: HashMap<String, Lease>,
    coordinator: QuotaCoordinator,
    /// What this gateway gives by itself where a coordinator is silent.
    fallback: EvenShares,
    /// Coordinators that did not answer.
    silences: Silences,
    /// Coordinators that this gateway is a witness of.
    hearing: Hearing,
    /// Whether it is heard as a coordinator itself.
    witnessed: Witnessed,
    /// Gateways that do not hear control either, and when each said so.
    without_control: BTreeMap<MachineId, u64>,
    told_away_ms: u64,
    /// Those that may count besides where control is not heard.
    departed: Departed,
}

impl LeasedQuota {
    /// No tenant has used anything.
    #[must_use]
    pub fn new(settings: QuotaSettings) -> Self {
        LeasedQuota {
            settings,
            leases: HashMap::new(),
            coordinator: QuotaCoordinator::new(settings),
            fallback: EvenShares::without_burst(),
            silences: Silences::default(),
            hearing: Hearing::default(),
            witnessed: Witnessed::default(),
            without_control: BTreeMap::new(),
            told_away_ms: 0,
            departed: Departed::default(),
        }
    }

    /// The part of limits that this gateway may give out as a coordinator: all of it while
    /// control tells everybody the same list and others hear this gateway, its even part
    /// where they do not, and without control the even parts of those that do not hear
    /// control either. The others may have a newer list, and another coordinator.
    fn share(&mut self, view: &QuotaView<'_>) -> f64 {
        self.witnessed.follow(view);
        if view.control_silent_ms < AWAY_AFTER_MS || view.gateways.is_empty() {
            let listed = self.coordinator.listed_share(view);
            if self.witnessed.is_heard(view.now_ms) {
                return listed;
            }
            return listed.min(1.0 / told(view) as f64);
        }
        let is_without = |machine: &&MachineId| {
            let said_ms = self.without_control.get(*machine);
            **machine == view.own
                || said_ms.is_some_and(|said| view.now_ms < said + WITHOUT_CONTROL_MS)
        };
        let without = view.gateways.iter().filter(is_without).count();
        without as f64 / self.departed.counting(view) as f64
    }

    /// Tells the others that this gateway does not hear control.
    fn tell_away(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        let is_due = view.now_ms >= self.told_away_ms + TELL_AWAY_EVERY_MS;
        if view.control_silent_ms < TELL_AWAY_AFTER_MS || !is_due {
            return Vec::new();
        }
        self.told_away_ms = view.now_ms;
        let others = view.gateways.iter().filter(|machine| **machine != view.own);
        others
            .map(|to| QuotaAction::Send {
                to: *to,
                message: QuotaMessage::WithoutControl,
            })
            .collect()
    }

    /// Decides on those that wait by what is leased; the rest asks.
    fn serve(&mut self, tenant: &str, quota: QuotaLimit, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        let coordinator = coordinator_of(tenant, view.gateways);
        let is_silent = coordinator.is_some_and(|c| self.silences.is_silent(c, view.now_ms));
        let lease = self.leases.entry(tenant.to_owned()).or_default();
        lease.serve(view.now_ms, &mut actions);
        if lease.waiting.is_empty() {
            return actions;
        }
        if view.now_ms < lease.refused_until_ms {
            lease.refuse(quota, view, &mut actions);
            return actions;
        }
        match coordinator {
            Some(coordinator) if coordinator == view.own => {
                let wanted = lease.wanted(self.settings.window_ms, view.now_ms);
                let granted = self.grant(tenant, quota, wanted, view);
                actions.extend(self.take_grant(tenant, quota, granted, view));
            }
            Some(coordinator) if !is_silent => {
                actions.push(ask(
                    tenant,
                    lease.wanted(self.settings.window_ms, view.now_ms),
                    coordinator,
                ));
            }
            _ => self.fall_back(tenant, quota, view, &mut actions),
        }
        actions
    }

    fn grant(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        wanted: Wanted,
        view: &QuotaView<'_>,
    ) -> Granted {
        let share = self.share(view);
        self.coordinator.follow(view, share);
        self.coordinator
            .grant(tenant, quota, wanted, share, view.now_ms)
    }

    fn take_grant(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        granted: Granted,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        self.fallback.forget(tenant);
        let lease = self.leases.entry(tenant.to_owned()).or_default();
        lease.confirm();
        let mut actions = Vec::new();
        if granted.granted == 0 {
            let pause_ms = granted
                .retry_after_ms
                .clamp(SHORTEST_REFUSAL_MS, LONGEST_REFUSAL_MS);
            lease.refused_until_ms = view.now_ms + pause_ms;
            lease.refuse(quota, view, &mut actions);
            return actions;
        }
        lease.drop_expired(view.now_ms);
        lease.tokens += granted.granted;
        lease.until_ms = view.now_ms + LEASE_MS;
        lease.serve(view.now_ms, &mut actions);
        if !lease.waiting.is_empty() {
            // More came meanwhile than was asked for.
            actions.extend(self.serve(tenant, quota, view));
        }
        actions
    }

    /// Decides on all that wait by this gateway's part of the limit.
    fn fall_back(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        view: &QuotaView<'_>,
        actions: &mut Vec<QuotaAction>,
    ) {
        let part = self.apart(tenant, quota, view);
        let Some(lease) = self.leases.get_mut(tenant) else {
            return;
        };
        lease.tell_again();
        for ticket in std::mem::take(&mut lease.waiting) {
            let verdict = match self.fallback.take(tenant, part, view) {
                QuotaVerdict::Admitted => {
                    lease.admitted.add(1, view.now_ms);
                    lease.apart.add(1, view.now_ms);
                    QuotaVerdict::Admitted
                }
                QuotaVerdict::Refused { .. } => {
                    lease.refused.add(1, view.now_ms);
                    QuotaVerdict::Refused {
                        retry_after_ms: SUCCESSOR_MS,
                    }
                }
            };
            actions.push(decide(ticket, verdict));
        }
    }

    /// What a gateway gives out by itself where the coordinator does not answer it: its even
    /// part. While control tells everybody the same list the coordinator may well answer the
    /// others and give out the whole limit to them; then all that are left alone, a tenth of the
    /// gateways or one, give out no more than a part of what may be gone beyond the limit, until
    /// witnesses say that nobody hears it. At 50 gateways whose coordinator is cut off under
    /// a flood that is 158 refused of 8,246 instead of 238.
    fn apart(&self, tenant: &str, quota: QuotaLimit, view: &QuotaView<'_>) -> BucketLimit {
        if view.control_silent_ms >= AWAY_AFTER_MS {
            return part_among(quota, self.departed.counting(view));
        }
        let part = part_among(quota, told(view));
        let coordinator = coordinator_of(tenant, view.gateways);
        if coordinator.is_some_and(|c| self.silences.nobody_hears(c, view.now_ms)) {
            return part;
        }
        let alone = (view.gateways.len() as f64 * LEFT_ALONE_PART).max(1.0);
        let window_s = self.settings.window_ms as f64 / 1_000.0;
        let is_sudden = coordinator.is_some_and(|c| self.silences.is_sudden(c, view.now_ms));
        let times = if is_sudden { SUDDEN_TIMES } else { 1.0 };
        let most = self.settings.beyond(quota) * LEFT_ALONE_BEYOND / alone / window_s * times;
        BucketLimit {
            rate: part.rate.min(most),
            ..part
        }
    }

    /// The limit was taken away while requests waited for leave.
    fn admit_unlimited(&mut self, tenant: &str) -> Vec<QuotaAction> {
        let lease = self.leases.remove(tenant);
        let waiting = lease.map(|lease| lease.waiting).unwrap_or_default();
        let admitted = waiting.into_iter();
        admitted
            .map(|ticket| decide(ticket, QuotaVerdict::Admitted))
            .collect()
    }

    fn take_ask(
        &mut self,
        from: MachineId,
        tenant: String,
        wanted: Wanted,
        view: &QuotaView<'_>,
    ) -> QuotaAction {
        let quota = view.tenants.get(&tenant).and_then(|tenant| tenant.quota);
        let is_own = coordinator_of(&tenant, view.gateways) == Some(view.own);
        let message = match quota {
            Some(quota) if is_own => {
                let granted = self.grant(&tenant, quota, wanted, view);
                QuotaMessage::Grant {
                    tenant,
                    granted: granted.granted,
                    again_in_ms: granted.retry_after_ms.min(LONGEST_REFUSAL_MS) as u32,
                }
            }
            _ => QuotaMessage::NotHere { tenant },
        };
        QuotaAction::Send { to: from, message }
    }
}

/// Gateways that control told of: those it hears and those that may be cut off.
fn told(view: &QuotaView<'_>) -> usize {
    (view.gateways.len() + view.silent_gateways.len()).max(1)
}

fn ask(tenant: &str, wanted: Wanted, to: MachineId) -> QuotaAction {
    QuotaAction::Send {
        to,
        message: QuotaMessage::Ask {
            tenant: tenant.to_owned(),
            want: wanted.want,
            sent_again: wanted.unleased.sent_again,
            sent_apart: wanted.unleased.sent_apart,
            sent_late: wanted.unleased.sent_late,
            unused: wanted.unused,
        },
    }
}

impl FleetQuota for LeasedQuota {
    fn request(
        &mut self,
        ticket: Ticket,
        tenant: &Tenant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        let Some(quota) = tenant.quota else {
            return vec![decide(ticket, QuotaVerdict::Admitted)];
        };
        let lease = self.leases.entry(tenant.name.clone()).or_default();
        lease.arrived.add(1, view.now_ms);
        let is_asked = !lease.waiting.is_empty();
        lease.waiting.push(ticket);
        if is_asked {
            // The answer that is on its way decides on this one too.
            return Vec::new();
        }
        self.serve(&tenant.name, quota, view)
    }

    fn answer_timed_out(
        &mut self,
        ticket: Ticket,
        tenant: &Tenant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        let Some(quota) = tenant.quota else {
            return vec![decide(ticket, QuotaVerdict::Admitted)];
        };
        let lease = self.leases.get(&tenant.name);
        if !lease.is_some_and(|lease| lease.waiting.contains(&ticket)) {
            // It was decided, or its tenant's limit came and went meanwhile.
            return vec![decide(ticket, QuotaVerdict::Admitted)];
        }
        let coordinator = coordinator_of(&tenant.name, view.gateways);
        let lease = self.leases.entry(tenant.name.clone()).or_default();
        if let Some(coordinator) = coordinator
            && !std::mem::replace(&mut lease.asked_again, true)
        {
            // A datagram is lost now and then: that is no reason to refuse.
            return vec![ask(
                &tenant.name,
                lease.wanted(self.settings.window_ms, view.now_ms),
                coordinator,
            )];
        }
        lease.asked_again = false;
        if let Some(coordinator) = coordinator {
            self.silences.note(coordinator, view.now_ms);
        }
        self.fall_back(&tenant.name, quota, view, &mut actions);
        actions
    }

    fn record_resend(&mut self, tenant: &Tenant, _: &QuotaView<'_>) {
        if tenant.quota.is_some() {
            let lease = self.leases.entry(tenant.name.clone()).or_default();
            lease.untold.sent_again += 1;
        }
    }

    fn record_late_send(&mut self, tenant: &Tenant, _: &QuotaView<'_>) {
        if tenant.quota.is_some() {
            let lease = self.leases.entry(tenant.name.clone()).or_default();
            lease.untold.sent_late += 1;
        }
    }

    fn handle_message(
        &mut self,
        from: MachineId,
        message: QuotaMessage,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        let quota_of = |tenant: &str| view.tenants.get(tenant).and_then(|t| t.quota);
        match message {
            QuotaMessage::Ask {
                tenant,
                want,
                sent_again,
                sent_apart,
                sent_late,
                unused,
            } => {
                let wanted = Wanted {
                    want,
                    unused,
                    unleased: Unleased {
                        sent_again,
                        sent_apart,
                        sent_late,
                    },
                };
                vec![self.take_ask(from, tenant, wanted, view)]
            }
            QuotaMessage::Grant {
                tenant,
                granted,
                again_in_ms,
            } => {
                self.silences.end(from);
                let granted = Granted {
                    granted,
                    retry_after_ms: u64::from(again_in_ms),
                };
                match quota_of(&tenant) {
                    Some(quota) => self.take_grant(&tenant, quota, granted, view),
                    None => self.admit_unlimited(&tenant),
                }
            }
            QuotaMessage::WithoutControl => {
                self.without_control.insert(from, view.now_ms);
                Vec::new()
            }
            QuotaMessage::Counting { sent_ms } => {
                self.hearing.hear(from, view.now_ms);
                let message = QuotaMessage::Witnessed { sent_ms };
                vec![QuotaAction::Send { to: from, message }]
            }
            QuotaMessage::Witnessed { sent_ms } => {
                self.witnessed.take_answer(from, sent_ms, view.now_ms);
                Vec::new()
            }
            QuotaMessage::IsHeard {
                coordinator,
                asked_ms,
            } => {
                if !self.hearing.misses(coordinator, view.now_ms) {
                    return Vec::new();
                }
                let message = QuotaMessage::Unheard {
                    coordinator,
                    asked_ms,
                };
                vec![QuotaAction::Send { to: from, message }]
            }
            QuotaMessage::Unheard {
                coordinator,
                asked_ms,
            } => {
                self.silences
                    .take_unheard(from, coordinator, asked_ms, view.now_ms);
                Vec::new()
            }
            QuotaMessage::NotHere { tenant } => {
                let mut actions = Vec::new();
                match quota_of(&tenant) {
                    Some(quota) => self.fall_back(&tenant, quota, view, &mut actions),
                    None => actions = self.admit_unlimited(&tenant),
                }
                actions
            }
        }
    }

    fn run_maintenance(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        self.departed.follow(view);
        let share = self.share(view);
        self.coordinator.follow(view, share);
        self.coordinator.run_maintenance(view);
        let now_ms = view.now_ms;
        let window_ms = self.settings.window_ms;
        self.without_control
            .retain(|_, said_ms| now_ms < *said_ms + WITHOUT_CONTROL_MS);
        for lease in self.leases.values_mut() {
            lease.arrived.keep(window_ms, now_ms);
            lease.admitted.keep(window_ms, now_ms);
            lease.refused.keep(window_ms, now_ms);
            lease.apart.keep(window_ms, now_ms);
        }
        self.leases.retain(|tenant, lease| {
            let is_listed = view.tenants.get(tenant).is_some();
            !lease.waiting.is_empty() || is_listed && !lease.is_idle()
        });
        let mut actions = self.tell_away(view);
        self.hearing.look(now_ms);
        if view.control_silent_ms < AWAY_AFTER_MS {
            // Without control it does not matter whether others hear them.
            actions.extend(self.silences.ask(&mut self.hearing, view));
        }
        if self.coordinator.is_counting() {
            actions.extend(self.witnessed.tell(now_ms));
        } else {
            self.witnessed.rest(now_ms);
        }
        actions
    }
}
