//! The replicated state machine of the control members: configuration, files, jobs and
//! items, leases, idempotency keys and fenced orders.
//!
//! [`Ledger::apply`] applies committed commands in order. It reads no clock, socket or
//! random source: each command carries its time. Payloads (input lines, results, stored
//! answers) are in a [`linnethitch_storage::Payloads`] store; memory holds only the state
//! that decisions depend on. `docs/design/0005-item-ledger.md` explains the structure.

#![allow(missing_docs, reason = "rkyv's derive generates undocumented items")]

mod answer;
mod claims;
mod completion;
mod configuration;
mod expire;
mod files;
mod indexes;
mod job;
mod jobs;
mod leasing;
mod ledger;
pub mod limits;
mod line_index;
mod orders;
mod queries;
mod refusal;
mod results;
mod scheduler;
mod sessions;
mod snapshot;
mod starts;
mod stored_bytes;
mod timers;
mod views;

pub use answer::Answer;
pub use ledger::{Ledger, SafetyOverrides};
pub use orders::OpenOrder;
pub use snapshot::{OpenPayloads, Restorer, SnapshotScope, SnapshotWriter};
