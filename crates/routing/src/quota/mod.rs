//! Limits of tenants, counted over all gateways of a fleet.
//!
//! A gateway asks [`FleetQuota`] before a tenant's request takes a slot, a place in a queue or time
//! of control. There are two implementations: [`EvenShares`] gives each gateway its share of the
//! limit and needs no messages; [`LeasedQuota`] has one coordinator for each tenant among the
//! gateways, which leases a few requests ahead, and falls back to even shares when the coordinator
//! is silent. Design note 0022 compares them.
//!
//! Nothing here reads a clock or a socket: callers pass a [`QuotaView`] and carry out the returned
//! [`QuotaAction`]s. Times are monotonic, in milliseconds.

mod bucket;
mod coordinator;
mod departed;
mod even_shares;
mod lease;
mod leased;
mod recent_count;
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
    /// The gateways that share the count, as last listed by control.
    pub gateways: &'a [MachineId],
    /// The listed gateways that can be witnesses of a coordinator: all except those of a build
    /// without witnesses.
    pub witnesses: &'a [MachineId],
    /// Further gateways with which control recently lost contact: they may be isolated and give out
    /// their even shares.
    pub silent_gateways: &'a [MachineId],
    /// Time since the last contact with control, in milliseconds. While there is contact, the other
    /// gateways have the same list.
    pub control_silent_ms: u64,
    /// The tenants in force here.
    pub tenants: &'a TenantDirectory,
}

/// The number of a request that waits for a decision, unique in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// The request may be sent.
    Admitted,
    /// The request is over the tenant's limit.
    Refused {
        /// Time until the tenant's rate has covered the requests that were refused before, in
        /// milliseconds.
        retry_after_ms: u64,
    },
}

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuotaAction {
    /// Pass the decision to a request.
    Decide {
        /// The request.
        ticket: Ticket,
        /// The decision.
        verdict: QuotaVerdict,
    },
    /// Send a message to another gateway; it may be lost.
    Send {
        /// The gateway.
        to: MachineId,
        /// The message.
        message: QuotaMessage,
    },
}

/// Enforces the limits of tenants at one gateway.
pub trait FleetQuota: Send {
    /// A request of a tenant arrived. It is decided immediately or waits for a message.
    fn request(
        &mut self,
        ticket: Ticket,
        tenant: &Tenant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction>;

    /// A request has waited too long for a message. The first time, the message may be requested
    /// again and the request waits further; the second time the request is decided.
    fn answer_timed_out(
        &mut self,
        ticket: Ticket,
        tenant: &Tenant,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction>;

    /// A tenant's request is sent again, or without having been admitted.
    fn record_resend(&mut self, tenant: &Tenant, view: &QuotaView<'_>);

    /// An admitted request is sent long after it was admitted.
    fn record_late_send(&mut self, tenant: &Tenant, view: &QuotaView<'_>);

    /// Handles a message of another gateway.
    fn handle_message(
        &mut self,
        from: MachineId,
        message: QuotaMessage,
        view: &QuotaView<'_>,
    ) -> Vec<QuotaAction>;

    /// Removes expired state and sends due messages; called ten times per second.
    fn run_maintenance(&mut self, view: &QuotaView<'_>) -> Vec<QuotaAction>;
}

fn decide(ticket: Ticket, verdict: QuotaVerdict) -> QuotaAction {
    QuotaAction::Decide { ticket, verdict }
}
