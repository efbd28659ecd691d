//! What gateways say to each other of tenants' limits. Datagrams may be lost: nothing
//! here has to arrive.

use rkyv::{Archive, Deserialize, Serialize};

use crate::ids::MachineId;

/// A message between the gateways that count a tenant's requests.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// A gateway needs leave for requests of a tenant.
    Ask {
        /// The tenant.
        tenant: String,
        /// Requests that it wants leave for.
        requested: u32,
        /// Repeats of requests that had leave, since it asked last.
        resent: u32,
        /// Requests that it gave leave to by itself while nobody answered it.
        sent_without_lease: u32,
        /// Requests that had leave and were sent long after it was given.
        sent_late: u32,
        /// Requests that were granted and did not come.
        unused: u32,
    },
    /// The answer.
    Grant {
        /// The tenant.
        tenant: String,
        /// Requests that may be sent.
        granted: u32,
        /// Where none: when the next may be, in milliseconds.
        retry_after_ms: u32,
    },
    /// The sender has not heard of control for a while. Those who say so count what the
    /// others of them may use.
    ControlUnreachable,
    /// A gateway that counts tenants says so to its witnesses.
    WitnessRequest {
        /// When it was sent, by the sender's clock, in milliseconds.
        sent_ms: u64,
    },
    /// A witness answers that.
    WitnessResponse {
        /// The time that it was sent, as it was told.
        sent_ms: u64,
    },
    /// A gateway that a coordinator does not answer asks a witness of that one.
    ContactQuery {
        /// The coordinator.
        coordinator: MachineId,
        /// When it was asked, by the sender's clock, in milliseconds.
        asked_ms: u64,
    },
    /// The witness has not heard the coordinator for a while in which it was awake itself.
    NoContact {
        /// The coordinator.
        coordinator: MachineId,
        /// The time that it was asked, as it was told.
        asked_ms: u64,
    },
    /// The gateway that was asked does not count this tenant's requests.
    NotCoordinator {
        /// The tenant.
        tenant: String,
    },
}
