//! Limits of tenants: asks [`FleetQuota`] for leave, carries its messages, and counts what
//! is sent.

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

/// A gateway that does not answer within this is asked once more, and then no longer
/// waited for. Gateways are a few milliseconds apart.
const ANSWER_LIMIT: Duration = Duration::from_millis(12);
/// Leave that was given longer ago than this counts as of the send, in milliseconds: as
/// long as a lease of requests holds.
const LEAVE_MS: u64 = 1_000;
/// Leave that was used, in place of when it was given.
const USED: u64 = u64::MAX;

/// Limits of tenants at this gateway.
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

/// Leave to send a tenant's request once.
#[derive(Debug)]
pub(crate) struct Leave {
    given_ms: AtomicU64,
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

    /// Leave for a request of a tenant; where it is beyond the limit, when to come back.
    pub(crate) async fn admit(&self, tenant: &Tenant) -> Result<Leave, Duration> {
        let began = Instant::now();
        let (ticket, mut verdict) = self.ask(tenant);
        let verdict = loop {
            match timeout(ANSWER_LIMIT, &mut verdict).await {
                Ok(Ok(verdict)) => break verdict,
                // The teller is only dropped with this relay.
                Ok(Err(_)) => break QuotaVerdict::Admitted,
                Err(_) => self.no_answer(ticket, tenant),
            }
        };
        self.counters.quota_after(began.elapsed());
        match verdict {
            QuotaVerdict::Admitted => Ok(Leave {
                given_ms: AtomicU64::new(self.clock.now_ms()),
            }),
            QuotaVerdict::Refused { retry_after_ms } => Err(Duration::from_millis(retry_after_ms)),
        }
    }

    /// A tenant's request is about to be sent.
    pub(crate) fn count_send(&self, tenant: &Tenant, leave: &Leave) {
        let given_ms = leave.given_ms.swap(USED, Ordering::Relaxed);
        let now_ms = self.clock.now_ms();
        if given_ms == USED {
            self.with_view(|state, view| state.quota.record_resend(tenant, view));
        } else if now_ms > given_ms.saturating_add(LEAVE_MS) {
            self.with_view(|state, view| state.quota.record_late_send(tenant, view));
        }
    }

    /// What was about to be sent was not: no replica ran it.
    pub(crate) fn not_sent(&self, leave: &Leave) {
        leave.given_ms.store(self.clock.now_ms(), Ordering::Relaxed);
    }

    /// Takes what another gateway says of limits.
    pub(crate) fn take_message(&self, from: MachineId, message: QuotaMessage) {
        self.carry_out(|state, view| state.quota.handle_message(from, message, view));
    }

    pub(crate) fn upkeep(&self) {
        self.carry_out(|state, view| state.quota.run_maintenance(view));
    }

    fn ask(&self, tenant: &Tenant) -> (Ticket, oneshot::Receiver<QuotaVerdict>) {
        let (teller, verdict) = oneshot::channel();
        let mut asked = Ticket(0);
        self.carry_out(|state, view| {
            state.last_ticket += 1;
            asked = Ticket(state.last_ticket);
            state.waiting.insert(asked, teller);
            state.quota.request(asked, tenant, view)
        });
        (asked, verdict)
    }

    /// Nobody answered: the decision is made here, or somebody is asked once more.
    fn no_answer(&self, ticket: Ticket, tenant: &Tenant) {
        self.counters.quota_unanswered.inc();
        self.carry_out(|state, view| state.quota.answer_timed_out(ticket, tenant, view));
    }

    fn carry_out(&self, decide: impl FnOnce(&mut State, &QuotaView<'_>) -> Vec<QuotaAction>) {
        let actions = self.with_view(decide);
        for action in actions {
            match action {
                QuotaAction::Decide { ticket, verdict } => {
                    let waiting = self.state.lock().waiting.remove(&ticket);
                    if let Some(teller) = waiting {
                        // A caller who left meanwhile is not told.
                        let _ = teller.send(verdict);
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
