//! One coordinator for each tenant, which leases a few requests ahead.

use std::collections::{BTreeMap, HashMap};

use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_tenants::{QuotaLimit, Tenant};

use super::{
    FleetQuota, QuotaAction, QuotaSettings, QuotaVerdict, QuotaView, Ticket,
    bucket::BucketLimit,
    coordinator::{LeaseGrant, LeaseRequest, QuotaCoordinator, UnleasedSends},
    decide,
    departed::DepartedGateways,
    even_shares::{EvenShares, even_share},
    lease::{Lease, MAX_RETRY_AFTER_MS},
    witnesses::{CoordinatorContacts, CoordinatorSilences, WitnessConfirmations},
};
use crate::dispatch::coordinator_of;

/// Validity of a lease, in milliseconds. A longer one saves messages and increases the time between
/// the count and the send.
const LEASE_MS: u64 = 1_000;
/// Minimum time for which a refusal holds at this gateway, in milliseconds, so that a flood over
/// the limit costs the coordinator at most 20 requests per second from each gateway.
const MIN_REFUSAL_MS: u64 = 50;
/// Control counts as unreachable after this time, in milliseconds: each of its five members sends a
/// heartbeat every half second. The time is shorter than the 1.2 s after which control removes a
/// silent gateway from the list and others count that gateway's tenants.
const CONTROL_LOST_AFTER_MS: u64 = 1_000;
/// From this time without contact to control a gateway reports that to the other gateways, in
/// milliseconds.
const REPORT_LOSS_AFTER_MS: u64 = 500;
/// Interval of these reports, in milliseconds. At 410 gateways each one sends 2,000 datagrams per
/// second, 100 KB, for as long as control is unreachable.
const REPORT_LOSS_EVERY_MS: u64 = 200;
/// A gateway that reported a loss of control within this time counts as without control, in
/// milliseconds.
const LOSS_REPORT_VALID_MS: u64 = 600;
/// Fraction of the gateways that are assumed to be isolated at the same time.
const ISOLATED_FRACTION: f64 = 0.1;
/// Fraction of the allowed overshoot that isolated gateways give out together.
const ISOLATED_OVERSHOOT: f64 = 0.4;
/// Factor by which a gateway gives out more just after it became isolated: all gateways may be, but
/// for no longer than 0.4 s until the witnesses report it, a third of the time until control does.
const EARLY_ISOLATION_FACTOR: f64 = 3.0;
/// Callers that are refused because the coordinator is silent retry after this time, in
/// milliseconds: control names another coordinator within 1.2 s.
const FAILOVER_RETRY_MS: u64 = 1_300;

/// Limits enforced by one coordinator for each tenant.
pub struct LeasedQuota {
    settings: QuotaSettings,
    leases: HashMap<String, Lease>,
    coordinator: QuotaCoordinator,
    /// What this gateway gives out itself while a coordinator is silent.
    fallback: EvenShares,
    /// Coordinators that did not answer.
    silences: CoordinatorSilences,
    /// Coordinators for which this gateway is a witness.
    contacts: CoordinatorContacts,
    /// Whether witnesses confirm contact with this gateway as a coordinator.
    confirmations: WitnessConfirmations,
    /// Gateways that reported a loss of control, and when.
    without_control: BTreeMap<MachineId, u64>,
    loss_reported_ms: u64,
    /// Departed gateways that may also count while control is unreachable.
    departed: DepartedGateways,
}

impl LeasedQuota {
    /// Creates a quota of which no tenant has used anything.
    #[must_use]
    pub fn new(settings: QuotaSettings) -> Self {
        LeasedQuota {
            settings,
            leases: HashMap::new(),
            coordinator: QuotaCoordinator::new(settings),
            fallback: EvenShares::without_burst(),
            silences: CoordinatorSilences::default(),
            contacts: CoordinatorContacts::default(),
            confirmations: WitnessConfirmations::default(),
            without_control: BTreeMap::new(),
            loss_reported_ms: 0,
            departed: DepartedGateways::default(),
        }
    }

    /// The share of the limits that this gateway may give out as a coordinator: the complete limit
    /// while control sends everyone the same list and witnesses confirm contact with this gateway;
    /// its even share without that confirmation; without control, the even shares of the gateways
    /// that have no contact to control either. Other gateways may have a newer list and another
    /// coordinator.
    fn share(&mut self, view: &QuotaView<'_>) -> f64 {
        self.confirmations.update(view);
        if view.control_silent_ms < CONTROL_LOST_AFTER_MS || view.gateways.is_empty() {
            let listed = self.coordinator.listed_share(view);
            if self.confirmations.is_confirmed(view.now_ms) {
                return listed;
            }
            return listed.min(1.0 / known_gateways(view) as f64);
        }
        let lacks_control = |machine: &&MachineId| {
            let reported_ms = self.without_control.get(*machine);
            **machine == view.own
                || reported_ms.is_some_and(|reported| view.now_ms < reported + LOSS_REPORT_VALID_MS)
        };
        let without_control_count = view.gateways.iter().filter(lacks_control).count();
        without_control_count as f64 / self.departed.max_counting(view) as f64
    }

    /// Reports to the other gateways that this gateway has no contact to control.
    fn report_control_loss(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        let is_due = view.now_ms >= self.loss_reported_ms + REPORT_LOSS_EVERY_MS;
        if view.control_silent_ms < REPORT_LOSS_AFTER_MS || !is_due {
            return Vec::new();
        }
        self.loss_reported_ms = view.now_ms;
        let others = view.gateways.iter().filter(|machine| **machine != view.own);
        others
            .map(|to| QuotaAction::Send {
                to: *to,
                message: QuotaMessage::ControlUnreachable,
            })
            .collect()
    }

    /// Decides on waiting requests from the lease and asks the coordinator for the remaining ones.
    fn decide_waiting(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        let mut actions = Vec::new();
        let coordinator = coordinator_of(tenant, view.gateways);
        let is_silent = coordinator.is_some_and(|c| self.silences.is_silent(c, view.now_ms));
        let lease = self.leases.entry(tenant.to_owned()).or_default();
        lease.admit_waiting(view.now_ms, &mut actions);
        if lease.waiting.is_empty() {
            return actions;
        }
        if view.now_ms < lease.refused_until_ms {
            lease.refuse_waiting(quota, view, &mut actions);
            return actions;
        }
        match coordinator {
            Some(coordinator) if coordinator == view.own => {
                let request = lease.build_request(self.settings.window_ms, view.now_ms);
                let granted = self.grant(tenant, quota, request, view);
                actions.extend(self.apply_grant(tenant, quota, granted, view));
            }
            Some(coordinator) if !is_silent => {
                actions.push(ask(
                    tenant,
                    lease.build_request(self.settings.window_ms, view.now_ms),
                    coordinator,
                ));
            }
            _ => self.decide_locally(tenant, quota, view, &mut actions),
        }
        actions
    }

    fn grant(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        request: LeaseRequest,
        view: &QuotaView<'_>,
    ) -> LeaseGrant {
        let share = self.share(view);
        self.coordinator.update(view, share);
        self.coordinator
            .grant(tenant, quota, request, share, view.now_ms)
    }

    fn apply_grant(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        granted: LeaseGrant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction> {
        self.fallback.remove(tenant);
        let lease = self.leases.entry(tenant.to_owned()).or_default();
        lease.confirm();
        let mut actions = Vec::new();
        if granted.granted == 0 {
            let pause_ms = granted
                .retry_after_ms
                .clamp(MIN_REFUSAL_MS, MAX_RETRY_AFTER_MS);
            lease.refused_until_ms = view.now_ms + pause_ms;
            lease.refuse_waiting(quota, view, &mut actions);
            return actions;
        }
        lease.drop_expired(view.now_ms);
        lease.tokens += granted.granted;
        lease.expires_ms = view.now_ms + LEASE_MS;
        lease.admit_waiting(view.now_ms, &mut actions);
        if !lease.waiting.is_empty() {
            // More requests arrived in the meantime than were asked for.
            actions.extend(self.decide_waiting(tenant, quota, view));
        }
        actions
    }

    /// Decides on all waiting requests from this gateway's share of the limit.
    fn decide_locally(
        &mut self,
        tenant: &str,
        quota: QuotaLimit,
        view: &QuotaView<'_>,
        actions: &mut Vec<QuotaAction>,
    ) {
        let limit = self.isolated_limit(tenant, quota, view);
        let Some(lease) = self.leases.get_mut(tenant) else {
            return;
        };
        lease.report_again();
        for ticket in std::mem::take(&mut lease.waiting) {
            let verdict = match self.fallback.take(tenant, limit, view) {
                QuotaVerdict::Admitted => {
                    lease.admitted.add(1, view.now_ms);
                    lease.sent_without_lease.add(1, view.now_ms);
                    QuotaVerdict::Admitted
                }
                QuotaVerdict::Refused { .. } => {
                    lease.refused.add(1, view.now_ms);
                    QuotaVerdict::Refused {
                        retry_after_ms: FAILOVER_RETRY_MS,
                    }
                }
            };
            actions.push(decide(ticket, verdict));
        }
    }

    /// The limit that a gateway applies itself when the coordinator does not answer it: its even
    /// share. While control sends everyone the same list, the coordinator may still answer the
    /// other gateways and give out the complete limit to them. The isolated gateways, assumed to be
    /// a tenth of all or one, then give out no more than a fraction of the allowed overshoot, until
    /// witnesses report that none of them has contact with the coordinator. At 50 gateways whose
    /// coordinator is isolated under a flood, 158 requests of 8,246 are refused this way instead of
    /// 238.
    fn isolated_limit(&self, tenant: &str, quota: QuotaLimit, view: &QuotaView<'_>) -> BucketLimit {
        if view.control_silent_ms >= CONTROL_LOST_AFTER_MS {
            return even_share(quota, self.departed.max_counting(view));
        }
        let limit = even_share(quota, known_gateways(view));
        let coordinator = coordinator_of(tenant, view.gateways);
        if coordinator.is_some_and(|c| self.silences.is_confirmed_unreachable(c, view.now_ms)) {
            return limit;
        }
        let isolated = (view.gateways.len() as f64 * ISOLATED_FRACTION).max(1.0);
        let window_s = self.settings.window_ms as f64 / 1_000.0;
        let is_recent = coordinator.is_some_and(|c| self.silences.is_recent(c, view.now_ms));
        let factor = if is_recent {
            EARLY_ISOLATION_FACTOR
        } else {
            1.0
        };
        let max_rate =
            self.settings.max_overshoot(quota) * ISOLATED_OVERSHOOT / isolated / window_s * factor;
        BucketLimit {
            rate: limit.rate.min(max_rate),
            ..limit
        }
    }

    /// Admits the waiting requests of a tenant whose limit was removed.
    fn admit_unlimited(&mut self, tenant: &str) -> Vec<QuotaAction> {
        let lease = self.leases.remove(tenant);
        let waiting = lease.map(|lease| lease.waiting).unwrap_or_default();
        let admitted = waiting.into_iter();
        admitted
            .map(|ticket| decide(ticket, QuotaVerdict::Admitted))
            .collect()
    }

    fn handle_ask(
        &mut self,
        from: MachineId,
        tenant: String,
        request: LeaseRequest,
        view: &QuotaView<'_>,
    ) -> QuotaAction {
        let quota = view.tenants.get(&tenant).and_then(|tenant| tenant.quota);
        let is_own = coordinator_of(&tenant, view.gateways) == Some(view.own);
        let message = match quota {
            Some(quota) if is_own => {
                let granted = self.grant(&tenant, quota, request, view);
                QuotaMessage::Grant {
                    tenant,
                    granted: granted.granted,
                    retry_after_ms: granted.retry_after_ms.min(MAX_RETRY_AFTER_MS) as u32,
                }
            }
            _ => QuotaMessage::NotCoordinator { tenant },
        };
        QuotaAction::Send { to: from, message }
    }
}

/// Number of gateways that control named: those in contact and those that may be isolated.
fn known_gateways(view: &QuotaView<'_>) -> usize {
    (view.gateways.len() + view.silent_gateways.len()).max(1)
}

fn ask(tenant: &str, request: LeaseRequest, to: MachineId) -> QuotaAction {
    QuotaAction::Send {
        to,
        message: QuotaMessage::Ask {
            tenant: tenant.to_owned(),
            requested: request.requested,
            resent: request.unleased.resent,
            sent_without_lease: request.unleased.sent_without_lease,
            sent_late: request.unleased.sent_late,
            unused: request.unused,
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
            // The pending answer covers this request too.
            return Vec::new();
        }
        self.decide_waiting(&tenant.name, quota, view)
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
            // The request was decided, or the tenant's limit was removed and set again in the
            // meantime.
            return vec![decide(ticket, QuotaVerdict::Admitted)];
        }
        let coordinator = coordinator_of(&tenant.name, view.gateways);
        let lease = self.leases.entry(tenant.name.clone()).or_default();
        if let Some(coordinator) = coordinator
            && !std::mem::replace(&mut lease.retried, true)
        {
            // Occasional loss of a datagram is no reason to refuse.
            return vec![ask(
                &tenant.name,
                lease.build_request(self.settings.window_ms, view.now_ms),
                coordinator,
            )];
        }
        lease.retried = false;
        if let Some(coordinator) = coordinator {
            self.silences.record(coordinator, view.now_ms);
        }
        self.decide_locally(&tenant.name, quota, view, &mut actions);
        actions
    }

    fn record_resend(&mut self, tenant: &Tenant, _: &QuotaView<'_>) {
        if tenant.quota.is_some() {
            let lease = self.leases.entry(tenant.name.clone()).or_default();
            lease.unreported.resent += 1;
        }
    }

    fn record_late_send(&mut self, tenant: &Tenant, _: &QuotaView<'_>) {
        if tenant.quota.is_some() {
            let lease = self.leases.entry(tenant.name.clone()).or_default();
            lease.unreported.sent_late += 1;
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
                requested,
                resent,
                sent_without_lease,
                sent_late,
                unused,
            } => {
                let request = LeaseRequest {
                    requested,
                    unused,
                    unleased: UnleasedSends {
                        resent,
                        sent_without_lease,
                        sent_late,
                    },
                };
                vec![self.handle_ask(from, tenant, request, view)]
            }
            QuotaMessage::Grant {
                tenant,
                granted,
                retry_after_ms,
            } => {
                self.silences.record_answer(from);
                let granted = LeaseGrant {
                    granted,
                    retry_after_ms: u64::from(retry_after_ms),
                };
                match quota_of(&tenant) {
                    Some(quota) => self.apply_grant(&tenant, quota, granted, view),
                    None => self.admit_unlimited(&tenant),
                }
            }
            QuotaMessage::ControlUnreachable => {
                self.without_control.insert(from, view.now_ms);
                Vec::new()
            }
            QuotaMessage::WitnessRequest { sent_ms } => {
                self.contacts.record_contact(from, view.now_ms);
                let message = QuotaMessage::WitnessResponse { sent_ms };
                vec![QuotaAction::Send { to: from, message }]
            }
            QuotaMessage::WitnessResponse { sent_ms } => {
                self.confirmations.record_answer(from, sent_ms, view.now_ms);
                Vec::new()
            }
            QuotaMessage::ContactQuery {
                coordinator,
                asked_ms,
            } => {
                if !self.contacts.is_unreachable(coordinator, view.now_ms) {
                    return Vec::new();
                }
                let message = QuotaMessage::NoContact {
                    coordinator,
                    asked_ms,
                };
                vec![QuotaAction::Send { to: from, message }]
            }
            QuotaMessage::NoContact {
                coordinator,
                asked_ms,
            } => {
                self.silences
                    .record_unreachable(from, coordinator, asked_ms, view.now_ms);
                Vec::new()
            }
            QuotaMessage::NotCoordinator { tenant } => {
                let mut actions = Vec::new();
                match quota_of(&tenant) {
                    Some(quota) => self.decide_locally(&tenant, quota, view, &mut actions),
                    None => actions = self.admit_unlimited(&tenant),
                }
                actions
            }
        }
    }

    fn run_maintenance(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction> {
        self.departed.update(view);
        let share = self.share(view);
        self.coordinator.update(view, share);
        self.coordinator.run_maintenance(view);
        let now_ms = view.now_ms;
        let window_ms = self.settings.window_ms;
        self.without_control
            .retain(|_, reported_ms| now_ms < *reported_ms + LOSS_REPORT_VALID_MS);
        for lease in self.leases.values_mut() {
            lease.arrived.prune(window_ms, now_ms);
            lease.admitted.prune(window_ms, now_ms);
            lease.refused.prune(window_ms, now_ms);
            lease.sent_without_lease.prune(window_ms, now_ms);
        }
        self.leases.retain(|tenant, lease| {
            let is_listed = view.tenants.get(tenant).is_some();
            !lease.waiting.is_empty() || is_listed && !lease.is_idle()
        });
        let mut actions = self.report_control_loss(view);
        self.contacts.record_activity(now_ms);
        if view.control_silent_ms < CONTROL_LOST_AFTER_MS {
            // Without control it makes no difference whether others have contact with the
            // coordinators.
            actions.extend(self.silences.ask_witnesses(&mut self.contacts, view));
        }
        if self.coordinator.is_counting() {
            actions.extend(self.confirmations.notify_witnesses(now_ms));
        } else {
            self.confirmations.reset(now_ms);
        }
        actions
    }
}
