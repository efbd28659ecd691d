//! Tenant limits: requests permits from [`FleetQuota`], carries its messages between gateways,
//! and counts sends.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use linnethitch_clock::{Instant, timeout};
use linnethitch_cluster::{Clock, GatewayNode};
use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage, slots::GatewayDatagram};
use linnethitch_routing::quota::{
    FleetQuota, LeasedQuota, QuotaAction, QuotaSettings, QuotaVerdict, QuotaView, Ticket,
};
use linnethitch_tenants::Tenant;
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::counters::Counters;

/// A gateway that does not answer within this time is asked once more and then no longer waited
/// for. Gateways are a few milliseconds apart.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(12);
/// A permit granted longer ago than this is counted at the time of the send, in milliseconds.
/// Equal to the duration of a lease of requests.
const PERMIT_MS: u64 = 1_000;
/// Marks a used permit, in place of its grant time.
const PERMIT_USED: u64 = u64::MAX;

/// Tenant limits at this gateway.
pub(crate) struct Quotas {
    gateway: GatewayNode,
    clock: Clock,
    counters: Arc<Counters>,
    state: Mutex<State>,
}

struct State {
    quota: Box<dyn FleetQuota>,
    waiting: HashMap<Ticket, oneshot::Sender<QuotaVerdict>>,
    last_ticket: u64,
}

/// Permit to send a tenant's request once.
#[derive(Debug)]
pub(crate) struct Permit {
    granted_ms: AtomicU64,
}

impl Quotas {
    pub(crate) fn new(
        gateway: GatewayNode,
        settings: QuotaSettings,
        counters: Arc<Counters>,
    ) -> Self {
        Quotas {
            clock: gateway.clock(),
            gateway,
            counters,
            state: Mutex::new(State {
                quota: Box::new(LeasedQuota::new(settings)),
                waiting: HashMap::new(),
                last_ticket: 0,
            }),
        }
    }

    /// Requests a permit for a tenant's request. If the tenant is over the limit, returns the
    /// time after which to retry.
    pub(crate) async fn admit(&self, tenant: &Tenant) -> Result<Permit, Duration> {
        let began = Instant::now();
        let (ticket, mut verdict) = self.ask(tenant);
        let verdict = loop {
            match timeout(ANSWER_TIMEOUT, &mut verdict).await {
                Ok(Ok(verdict)) => break verdict,
                // The sender is dropped only with this relay.
                Ok(Err(_)) => break QuotaVerdict::Admitted,
                Err(_) => self.handle_answer_timeout(ticket, tenant),
            }
        };
        self.counters.record_quota_wait(began.elapsed());
        match verdict {
            QuotaVerdict::Admitted => Ok(Permit {
                granted_ms: AtomicU64::new(self.clock.now_ms()),
            }),
            QuotaVerdict::Refused { retry_after_ms } => Err(Duration::from_millis(retry_after_ms)),
        }
    }

    /// Counts a tenant's request that is about to be sent.
    pub(crate) fn count_send(&self, tenant: &Tenant, permit: &Permit) {
        let granted_ms = permit.granted_ms.swap(PERMIT_USED, Ordering::Relaxed);
        let now_ms = self.clock.now_ms();
        if granted_ms == PERMIT_USED {
            self.with_view(|state, view| state.quota.record_resend(tenant, view));
        } else if now_ms > granted_ms.saturating_add(PERMIT_MS) {
            self.with_view(|state, view| state.quota.record_late_send(tenant, view));
        }
    }

    /// Makes the permit usable again: the request was not sent, or no replica ran it.
    pub(crate) fn not_sent(&self, permit: &Permit) {
        permit
            .granted_ms
            .store(self.clock.now_ms(), Ordering::Relaxed);
    }

    /// Handles a quota message from another gateway.
    pub(crate) fn handle_message(&self, from: MachineId, message: QuotaMessage) {
        self.apply_actions(|state, view| state.quota.handle_message(from, message, view));
    }

    pub(crate) fn run_maintenance(&self) {
        self.apply_actions(|state, view| state.quota.run_maintenance(view));
    }

    fn ask(&self, tenant: &Tenant) -> (Ticket, oneshot::Receiver<QuotaVerdict>) {
        let (sender, verdict) = oneshot::channel();
        let mut asked = Ticket(0);
        self.apply_actions(|state, view| {
            state.last_ticket += 1;
            asked = Ticket(state.last_ticket);
            state.waiting.insert(asked, sender);
            state.quota.request(asked, tenant, view)
        });
        (asked, verdict)
    }

    /// No answer in time: the quota decides locally or asks another gateway.
    fn handle_answer_timeout(&self, ticket: Ticket, tenant: &Tenant) {
        self.counters.quota_unanswered.inc();
        self.apply_actions(|state, view| state.quota.answer_timed_out(ticket, tenant, view));
    }

    fn apply_actions(&self, decide: impl FnOnce(&mut State, &QuotaView<'_>) -> Vec<QuotaAction>) {
        let actions = self.with_view(decide);
        for action in actions {
            match action {
                QuotaAction::Decide { ticket, verdict } => {
                    let waiting = self.state.lock().waiting.remove(&ticket);
                    if let Some(sender) = waiting {
                        // The caller may have disconnected.
                        let _ = sender.send(verdict);
                    }
                }
                QuotaAction::Send { to, message } => self.send(to, message),
            }
        }
    }

    fn with_view<T>(&self, act: impl FnOnce(&mut State, &QuotaView<'_>) -> T) -> T {
        let fleet = self.gateway.fleet();
        let gateways = self.gateway.coordinators();
        let witnesses = self.gateway.witnesses();
        let silent_gateways = self.gateway.silent_coordinators();
        let view = QuotaView {
            now_ms: self.clock.now_ms(),
            own: self.gateway.machine(),
            gateways: &gateways,
            witnesses: &witnesses,
            silent_gateways: &silent_gateways,
            control_silent_ms: self.gateway.control_silent_ms(),
            tenants: fleet.tenants(),
        };
        act(&mut self.state.lock(), &view)
    }

    fn send(&self, to: MachineId, message: QuotaMessage) {
        let datagram = GatewayDatagram::Quota(message);
        self.gateway.send_datagram(to, &datagram);
    }
}
