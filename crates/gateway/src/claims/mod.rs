//! Idempotency keys and at-most-once requests, held by claims in the ledger.

mod claim;
mod headers;

pub(crate) use claim::{Claim, Claimed, claim};
pub(crate) use headers::{RunRules, idempotency_key, run_rules};
