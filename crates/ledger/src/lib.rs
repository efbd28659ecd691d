//! The replicated state machine: configuration, files, jobs and items, leases,
//! idempotency keys and fenced orders.
//!
//! [`Ledger::apply`] takes committed commands one after the other and reads
//! neither a clock nor a socket nor a random source: time comes with each
//! command. Payloads (input lines, results, kept answers) lie in a
//! [`linnethitch_storage::Payloads`] store; memory holds what decides.
//! `docs/design/0005-item-ledger.md` argues the structure.

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
mod stored_bytes;
mod timers;
mod views;

pub use answer::Answer;
pub use ledger::{Ledger, SafetyOverrides};
pub use orders::OpenOrder;
pub use snapshot::{OpenPayloads, Restorer, SnapshotScope, SnapshotWriter};
