//! Idempotency keys and at-most-once requests, held by claims in the ledger.

mod answers;
mod claim;
mod headers;

pub(crate) use answers::{Answered, MAX_STORED_BYTES, Record, outcome_unknown, replay};
pub(crate) use claim::{Claim, Claimed, claim};
pub(crate) use headers::{RunRules, idempotency_key, run_rules};
