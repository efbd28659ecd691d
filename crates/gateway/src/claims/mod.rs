//! Idempotency keys and at-most-once requests, implemented by claims in the ledger.

mod answers;
mod claim;
mod headers;

pub(crate) use answers::{Answered, MAX_STORED_BYTES, StreamRecord, outcome_unknown, replay};
pub(crate) use claim::{Claim, Claimed, claim};
pub(crate) use headers::{RunRules, idempotency_key, run_rules};
