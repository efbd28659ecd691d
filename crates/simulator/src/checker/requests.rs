//! Checks of callers' requests with idempotency keys.

use std::collections::{BTreeMap, BTreeSet};

use linnethitch_protocol::ids::IdempotencyKey;

use super::{Checker, Invariant};
use crate::network::OnlineRequest;

/// Observed refusals and answers of requests, and their starts at back ends.
#[derive(Default)]
pub(crate) struct RequestRecords {
    starts: BTreeMap<IdempotencyKey, u32>,
    started: BTreeSet<(IdempotencyKey, u64)>,
    refused: BTreeSet<(IdempotencyKey, u64)>,
    answers: BTreeMap<IdempotencyKey, Vec<u8>>,
}

impl Checker {
    /// Checks and records that a back end starts a request.
    pub(crate) fn on_request_start(&mut self, request: &OnlineRequest) {
        self.jobs.executions += 1;
        let transmission = (request.key.clone(), request.number);
        let refused = self.requests.refused.contains(&transmission);
        self.requests.started.insert(transmission);
        let count = self.requests.starts.entry(request.key.clone()).or_default();
        *count += 1;
        let repeated = request.at_most_once && *count > 1;
        self.require(!repeated, Invariant::AtMostOnce, || {
            format!("the at-most-once request {} ran again", request.key)
        });
        self.require(!refused, Invariant::RefusedNeverRan, || {
            format!("{} was refused with executed: no and then ran", request.key)
        });
    }

    /// Checks and records that a gateway refuses a request with `executed: no`.
    pub(crate) fn on_request_refused(&mut self, request: &OnlineRequest) {
        let transmission = (request.key.clone(), request.number);
        let started = self.requests.started.contains(&transmission);
        self.require(!started, Invariant::RefusedNeverRan, || {
            format!("{} ran and is refused with executed: no", request.key)
        });
        self.requests.refused.insert(transmission);
    }

    /// Checks the answer that a caller received: the stored answer of a key is always the same.
    pub(crate) fn on_request_answered(&mut self, key: &IdempotencyKey, body: &[u8], stored: bool) {
        self.acknowledged += 1;
        if !stored {
            return;
        }
        let answers = &mut self.requests.answers;
        let first = answers.entry(key.clone()).or_insert_with(|| body.to_vec());
        let same = first == body;
        self.require(same, Invariant::OneAnswer, || {
            format!("{key} was answered in two ways")
        });
    }
}
