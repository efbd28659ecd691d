//! The engines that run batch items, and the requests on their way to them.

use std::collections::BTreeMap;

use linnethitch_placement::WithdrawalAnswer;
use linnethitch_protocol::{
    command::SentRequest,
    ids::{ItemNumber, JobId, RequestId},
};
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::checker::Checker;

/// Share of withdrawals before which the engine has restarted.
const RESTARTED_SHARE: f64 = 0.1;

/// A request that has not arrived yet. It arrives even if its gateway dies.
pub(crate) struct InFlight {
    pub(crate) arrives_at_ms: u64,
    pub(crate) request: RequestId,
    pub(crate) job: JobId,
    pub(crate) item: ItemNumber,
    pub(crate) at_most_once: bool,
}

/// What an engine knows of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Known {
    Started,
    Withdrawn,
}

/// All engines of a run.
#[derive(Default)]
pub(crate) struct Engines {
    incarnation: u64,
    in_flight: Vec<InFlight>,
    known: BTreeMap<RequestId, Known>,
}

impl Engines {
    /// The incarnation that the engines name.
    pub(crate) fn incarnation(&self) -> String {
        self.incarnation.to_string()
    }

    /// Sends a request.
    pub(crate) fn send(&mut self, request: InFlight) {
        self.in_flight.push(request);
    }

    /// Starts the requests that have arrived, unless they were withdrawn.
    pub(crate) fn deliver_due(&mut self, now_ms: u64, checker: &mut Checker) {
        let is_due = |request: &mut InFlight| request.arrives_at_ms <= now_ms;
        for arrived in self.in_flight.extract_if(.., is_due) {
            let known = self.known.entry(arrived.request).or_insert(Known::Started);
            if *known == Known::Started {
                checker.on_item_start(&arrived.job, arrived.item, arrived.at_most_once);
            }
        }
    }

    /// What the engine of a request knows of it; `None` if it has restarted.
    pub(crate) fn known(&self, request: &RequestId) -> Option<Known> {
        self.known.get(request).copied()
    }

    /// Withdraws a request. Engines that have restarted know nothing of earlier requests.
    pub(crate) fn withdraw(
        &mut self,
        sent: &SentRequest,
        random: &mut Pcg64Mcg,
    ) -> WithdrawalAnswer {
        if random.random_bool(RESTARTED_SHARE) {
            self.incarnation += 1;
            self.known.clear();
        }
        let known = self.known.entry(sent.request.clone());
        let known = known.or_insert(Known::Withdrawn);
        WithdrawalAnswer {
            started: Some(*known == Known::Started),
            incarnation: Some(self.incarnation()),
        }
    }
}
