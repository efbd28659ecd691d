//! Online requests that wait for a free slot at a back end.

use std::{collections::HashMap, sync::Arc, time::Duration};

use linnethitch_errors::Failure;
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::{
    Admission, ReasonCode, RoutingRefusal,
    admission::{AdmissionOutcome, AdmissionRefusal, Arrival, EntryId},
};
use tokio::sync::oneshot;

use crate::decisions::{Core, Decisions, Placement, RequestTarget, RoutingRequest, TenantPermit};

/// The refusal of a request, with the answer for its caller and the reason for the journal.
#[derive(Clone, Debug)]
pub(crate) struct RequestRefusal {
    /// The reason for the journal.
    pub(crate) reason: ReasonCode,
    /// The answer for the caller.
    pub(crate) failure: Failure,
}

type AdmissionResult = Result<Placement, RequestRefusal>;

/// The queue in front of one model or service.
pub(super) struct PoolQueue {
    pub(super) admission: Admission,
    waiting: HashMap<EntryId, Waiting>,
}

impl PoolQueue {
    /// Number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

struct Waiting {
    request: Arc<RoutingRequest>,
    result: oneshot::Sender<AdmissionResult>,
}

/// A waiting request. Dropping it, as when the caller disconnects, removes it from the queue.
struct QueuedRequest {
    decisions: Arc<Decisions>,
    target: RequestTarget,
    entry: EntryId,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut core = self.decisions.core.lock();
        if let Some(queue) = core.queues.get_mut(&self.target) {
            queue.admission.cancel(self.entry);
            queue.waiting.remove(&self.entry);
        }
    }
}

enum Offered {
    Placed(Box<Placement>),
    Queued(EntryId, oneshot::Receiver<AdmissionResult>),
}

impl Decisions {
    /// Places a new online request on a replica, after a wait in the queue if no slot is free.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &Arc<RoutingRequest>,
        permit: &TenantPermit,
    ) -> Result<AdmittedRequest, RequestRefusal> {
        let arrived = self.clock.now();
        let (entry, result) = match self.offer(request, permit)? {
            Offered::Placed(placement) => {
                return Ok(AdmittedRequest {
                    placement: *placement,
                    waited_ms: None,
                });
            }
            Offered::Queued(entry, result) => (entry, result),
        };
        let queued = QueuedRequest {
            decisions: Arc::clone(self),
            target: request.target.clone(),
            entry,
        };
        let result = self.await_result(result).await;
        drop(queued);
        result.map(|placement| AdmittedRequest {
            placement,
            waited_ms: Some(self.clock.now().0.saturating_sub(arrived.0)),
        })
    }

    /// Waits for the result, and serves the queues at intervals so that expired requests are
    /// refused.
    async fn await_result(
        self: &Arc<Self>,
        mut result: oneshot::Receiver<AdmissionResult>,
    ) -> AdmissionResult {
        loop {
            tokio::select! {
                received = &mut result => {
                    return received.unwrap_or_else(|_| Err(queue_entry_lost()));
                }
                () = tokio::time::sleep(QUEUE_CHECK_INTERVAL) => self.serve_queues(),
            }
        }
    }

    fn offer(
        self: &Arc<Self>,
        request: &Arc<RoutingRequest>,
        permit: &TenantPermit,
    ) -> Result<Offered, RequestRefusal> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        core.budget.on_request();
        let choice = core
            .choose(now, &request.profile(&[]))
            .map_err(|refusal| routing_refused(&refusal))?;
        let free_slot = core.has_free_slot(now, &choice);
        let arrival = Arrival {
            tenant: permit.tenant,
            weight: permit.weight,
            cost: request.prompt_tokens.saturating_add(request.output_tokens),
            deadline: request.deadline,
        };
        let queue = core.queue(&request.target);
        match queue.admission.offer(now, &arrival, free_slot) {
            AdmissionOutcome::Now => {
                let placement = self.place(&mut core, now, request, &choice);
                Ok(Offered::Placed(Box::new(placement)))
            }
            AdmissionOutcome::Refused(refusal) => Err(queue_refused(&refusal)),
            AdmissionOutcome::Queued(entry) => {
                let (sender, receiver) = oneshot::channel();
                let waiting = Waiting {
                    request: Arc::clone(request),
                    result: sender,
                };
                queue.waiting.insert(entry, waiting);
                Ok(Offered::Queued(entry, receiver))
            }
        }
    }

    /// Starts waiting requests for which a slot is free, and refuses those that waited too long.
    pub(crate) fn serve_queues(self: &Arc<Self>) {
        let results = self.collect_results();
        // Sent without holding the lock: a placement whose caller disconnected is dropped here,
        // and its drop takes the lock.
        for (sender, result) in results {
            let _ = sender.send(result);
        }
    }

    fn collect_results(
        self: &Arc<Self>,
    ) -> Vec<(oneshot::Sender<AdmissionResult>, AdmissionResult)> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        let targets: Vec<RequestTarget> = core
            .queues
            .iter()
            .filter(|(_, queue)| !queue.admission.is_empty())
            .map(|(target, _)| target.clone())
            .collect();
        let mut results = Vec::new();
        for target in targets {
            core.expire(now, &target, &mut results);
            while let Some((sender, result)) = self.start_next(&mut core, now, &target) {
                results.push((sender, result));
            }
        }
        results
    }

    /// Starts the next waiting request of a queue if a slot is free for it.
    fn start_next(
        self: &Arc<Self>,
        core: &mut Core,
        now: Timestamp,
        target: &RequestTarget,
    ) -> Option<(oneshot::Sender<AdmissionResult>, AdmissionResult)> {
        let queue = core.queues.get(target)?;
        let request = Arc::clone(&queue.waiting.get(&queue.admission.peek()?)?.request);
        let choice = core.choose(now, &request.profile(&[]));
        let result = match choice {
            Ok(choice) if core.has_free_slot(now, &choice) => {
                Ok(self.place(core, now, &request, &choice))
            }
            Ok(_) => return None,
            Err(refusal) => Err(routing_refused(&refusal)),
        };
        let queue = core.queues.get_mut(target)?;
        let entry = queue.admission.pop(now)?;
        let waiting = queue.waiting.remove(&entry)?;
        Some((waiting.result, result))
    }
}

/// A request that was placed on a replica.
pub(crate) struct AdmittedRequest {
    /// Its placement.
    pub(crate) placement: Placement,
    /// Time in the queue, if it was queued.
    pub(crate) waited_ms: Option<u64>,
}

/// Time between two checks of the queues by a waiting request.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Core {
    fn queue(&mut self, target: &RequestTarget) -> &mut PoolQueue {
        let policy = &self.policy;
        self.queues
            .entry(target.clone())
            .or_insert_with(|| PoolQueue {
                admission: Admission::new(policy),
                waiting: HashMap::new(),
            })
    }

    fn expire(
        &mut self,
        now: Timestamp,
        target: &RequestTarget,
        results: &mut Vec<(oneshot::Sender<AdmissionResult>, AdmissionResult)>,
    ) {
        let Some(queue) = self.queues.get_mut(target) else {
            return;
        };
        while let Some((entry, refusal)) = queue.admission.pop_expired(now) {
            if let Some(waiting) = queue.waiting.remove(&entry) {
                results.push((waiting.result, Err(queue_refused(&refusal))));
            }
        }
    }
}

/// The refusal of a request that no replica can take.
pub(crate) fn routing_refused(refusal: &RoutingRefusal) -> RequestRefusal {
    let failure = Failure::new(refusal.kind(), refusal.reason.description().trim());
    RequestRefusal {
        reason: refusal.reason,
        failure: match refusal.retry_after_ms {
            Some(milliseconds) => failure.with_retry_after(Duration::from_millis(milliseconds)),
            None => failure,
        },
    }
}

fn queue_refused(refusal: &AdmissionRefusal) -> RequestRefusal {
    RequestRefusal {
        reason: refusal.reason,
        failure: Failure::new(refusal.kind(), refusal.reason.description().trim())
            .with_retry_after(Duration::from_millis(refusal.retry_after_ms)),
    }
}

fn queue_entry_lost() -> RequestRefusal {
    RequestRefusal {
        reason: ReasonCode::QueueTimeout,
        failure: Failure::from(linnethitch_errors::ErrorKind::Internal),
    }
}
