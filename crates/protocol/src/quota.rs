//! Messages between gateways about tenant limits. The protocol tolerates lost datagrams.

use rkyv::{Archive, Deserialize, Serialize};

use crate::ids::MachineId;

/// A message between the gateways that count a tenant's requests.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// A gateway asks for permits for a tenant's requests.
    Ask {
        /// The tenant.
        tenant: String,
        /// Number of requested permits.
        requested: u32,
        /// Requests with a permit that were sent again since the last message.
        resent: u32,
        /// Requests that the gateway sent without a lease while no coordinator answered.
        sent_without_lease: u32,
        /// Requests with a permit that were sent long after it was granted.
        sent_late: u32,
        /// Permits that were granted but not used.
        unused: u32,
    },
    /// The answer.
    Grant {
        /// The tenant.
        tenant: String,
        /// Number of requests that may be sent.
        granted: u32,
        /// If no request may be sent: time until the next one may be, in milliseconds.
        retry_after_ms: u32,
    },
    /// The sender has had no contact with control for some time. Gateways without control count
    /// the senders of this message to determine the fraction of each limit that they may use.
    ControlUnreachable,
    /// A coordinator of tenant limits announces itself to its witnesses.
    WitnessRequest {
        /// When the message was sent, by the sender's clock, in milliseconds.
        sent_ms: u64,
    },
    /// Answer of a witness to [`Self::WitnessRequest`].
    WitnessResponse {
        /// The `sent_ms` of the request.
        sent_ms: u64,
    },
    /// A gateway that receives no answer from a coordinator asks one of the coordinator's
    /// witnesses whether the witness has contact with it.
    ContactQuery {
        /// The coordinator.
        coordinator: MachineId,
        /// When the query was sent, by the sender's clock, in milliseconds.
        asked_ms: u64,
    },
    /// The witness has had no contact with the coordinator for some time, during which the
    /// witness's own process was not paused.
    NoContact {
        /// The coordinator.
        coordinator: MachineId,
        /// The `asked_ms` of the query.
        asked_ms: u64,
    },
    /// The sender does not coordinate this tenant's limit.
    NotCoordinator {
        /// The tenant.
        tenant: String,
    },
}
