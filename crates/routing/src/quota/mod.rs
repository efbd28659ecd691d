//! Limits of tenants, counted over all gateways of a fleet.
//!
//! [`FleetQuota`] is what a gateway asks before a tenant's request takes a slot, a place in
//! a queue or time of control. Two ways stand behind it: [`EvenShares`] gives each gateway
//! its part of the limit and needs no message; [`LeasedQuota`] has one coordinator for each
//! tenant among the gateways, which leases a few requests ahead, and falls back to even
//! parts where the coordinator is silent. Design note 0022 compares them.
//!
//! Nothing here reads a clock or a socket: callers pass a [`QuotaView`] and carry out the
//! returned [`QuotaAction`]s. Times are steady, in milliseconds.

mod bucket;
mod coordinator;
mod demand;
mod departed;
mod even_shares;
mod lease;
mod leased;
mod settings;
mod shares;
mod witnesses;

pub use even_shares::EvenShares;
pub use leased::LeasedQuota;
use linnethitch_protocol::{ids::MachineId, quota::QuotaMessage};
use linnethitch_tenants::{Tenant, TenantDirectory};
pub use settings::QuotaSettings;

/// What a gateway knows when it decides.
#[derive(Clone, Copy, Debug)]
pub struct QuotaView<'a> {
    /// The time, in milliseconds.
    pub now_ms: u64,
    /// This gateway.
    pub own: MachineId,
    /// The gateways that share the count, as control told last.
    pub gateways: &'a [MachineId],
    /// Those of them that can be witnesses of a coordinator: all but those of a build that
    /// knows none.
    pub witnesses: &'a [MachineId],
    /// Gateways besides that control no longer hears though it did lately: they may be cut
    /// off and give out their even parts.
    pub silent_gateways: &'a [MachineId],
    /// How long control has not been heard of, in milliseconds. While it is, the list is
    /// the one that the others have.
    pub control_silent_ms: u64,
    /// The tenants in force here.
    pub tenants: &'a TenantDirectory,
}

/// The number of a request that waits for a decision, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What was decided on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// It may be sent.
    Admitted,
    /// It is beyond the tenant's limit.
    Refused {
        /// When the tenant's rate will have made up for those refused before it, in
        /// milliseconds.
        retry_after_ms: u64,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaAction {
    /// Tell a request.
    Decide {
        /// The request.
        ticket: Ticket,
        /// What was decided.
        verdict: QuotaVerdict,
    },
    /// Send a message to another gateway; it may not arrive.
    Send {
        /// The gateway.
        to: MachineId,
        /// The message.
        message: QuotaMessage,
    },
}

/// Holds tenants to their limits at one gateway.
pub trait FleetQuota: Send {
    /// A request of a tenant arrived. It is decided at once, or waits for a message.
    fn request(
        &mut self,
        ticket: Ticket,
        tenant: &Tenant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction>;

    /// A request has waited long for a message. It is decided now, or the message is asked
    /// for once more and it waits again; the second time it is decided.
    fn answer_timed_out(
        &mut self,
        ticket: Ticket,
        tenant: &Tenant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction>;

    /// A tenant's request is sent again, or without having been admitted.
    fn record_resend(&mut self, tenant: &Tenant, view: &QuotaView<'_>);

    /// An admitted request is sent only now, long after it was admitted.
    fn record_late_send(&mut self, tenant: &Tenant, view: &QuotaView<'_>);

    /// Another gateway says something.
    fn handle_message(
        &mut self,
        from: MachineId,
        message: QuotaMessage,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction>;

    /// Forgets what no longer matters; called ten times a second.
    fn run_maintenance(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction>;
}

/// A decision on a request.
fn decide(ticket: Ticket, verdict: QuotaVerdict) -> QuotaAction {
    QuotaAction::Decide { ticket, verdict }
}
