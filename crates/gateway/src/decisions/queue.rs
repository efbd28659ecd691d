//! Online requests that wait for room at a back end.

use std::{collections::HashMap, sync::Arc, time::Duration};

use linnethitch_errors::Failure;
use linnethitch_protocol::ids::Timestamp;
use linnethitch_routing::{
    Admission, ReasonCode, RoutingRefusal,
    admission::{AdmissionOutcome, AdmissionRefusal, Arrival, EntryId},
};
use tokio::sync::oneshot;

use crate::decisions::{Core, Decisions, Placement, RequestTarget, RoutingRequest, TenantPermit};

/// A request that is not run, with the answer for its caller and the reason for the journal.
#[derive(Clone, Debug)]
pub(crate) struct RequestRefusal {
    /// Why.
    pub(crate) reason: ReasonCode,
    /// What the caller is told.
    pub(crate) failure: Failure,
}

type Verdict = Result<Placement, RequestRefusal>;

/// The queue in front of one model or service.
pub(super) struct PoolQueue {
    pub(super) admission: Admission,
    waiting: HashMap<EntryId, Waiting>,
}

impl PoolQueue {
    /// Requests that wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }
}

struct Waiting {
    request: Arc<RoutingRequest>,
    verdict: oneshot::Sender<Verdict>,
}

/// Takes a waiting request out when its caller goes away.
struct QueuePlace {
    decisions: Arc<Decisions>,
    target: RequestTarget,
    entry: EntryId,
}

impl Drop for QueuePlace {
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
    Queued(EntryId, oneshot::Receiver<Verdict>),
}

impl Decisions {
    /// Gives a new online request its place at a replica, after a wait in the queue if need be.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        request: &Arc<RoutingRequest>,
        pass: &TenantPermit,
    ) -> Result<AdmittedRequest, RequestRefusal> {
        let arrived = self.clock.now();
        let (entry, verdict) = match self.offer(request, pass)? {
            Offered::Placed(placement) => {
                return Ok(AdmittedRequest {
                    placement: *placement,
                    waited_ms: None,
                });
            }
            Offered::Queued(entry, verdict) => (entry, verdict),
        };
        let place = QueuePlace {
            decisions: Arc::clone(self),
            target: request.target.clone(),
            entry,
        };
        let verdict = self.await_verdict(verdict).await;
        drop(place);
        verdict.map(|placement| AdmittedRequest {
            placement,
            waited_ms: Some(self.clock.now().0.saturating_sub(arrived.0)),
        })
    }

    /// Waits for the verdict; looks at the clock so that nobody waits past its time.
    async fn await_verdict(self: &Arc<Self>, mut verdict: oneshot::Receiver<Verdict>) -> Verdict {
        loop {
            tokio::select! {
                received = &mut verdict => {
                    return received.unwrap_or_else(|_| Err(queue_lost()));
                }
                () = tokio::time::sleep(QUEUE_CHECK_INTERVAL) => self.serve_queues(),
            }
        }
    }

    fn offer(
        self: &Arc<Self>,
        request: &Arc<RoutingRequest>,
        pass: &TenantPermit,
    ) -> Result<Offered, RequestRefusal> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        core.budget.on_request();
        let choice = core
            .choose(now, &request.profile(&[]))
            .map_err(|none| no_choice(&none))?;
        let room = core.has_room(now, &choice);
        let arrival = Arrival {
            tenant: pass.tenant,
            weight: pass.weight,
            cost: request.prompt_tokens.saturating_add(request.output_tokens),
            deadline: request.deadline,
        };
        let queue = core.queue(&request.target);
        match queue.admission.offer(now, &arrival, room) {
            AdmissionOutcome::Now => {
                let placement = self.place(&mut core, now, request, &choice);
                Ok(Offered::Placed(Box::new(placement)))
            }
            AdmissionOutcome::Refused(refusal) => Err(queue_refused(&refusal)),
            AdmissionOutcome::Queued(entry) => {
                let (sender, receiver) = oneshot::channel();
                let waiting = Waiting {
                    request: Arc::clone(request),
                    verdict: sender,
                };
                queue.waiting.insert(entry, waiting);
                Ok(Offered::Queued(entry, receiver))
            }
        }
    }

    /// Lets waiting requests start where there is room, and refuses those that waited too long.
    pub(crate) fn serve_queues(self: &Arc<Self>) {
        let verdicts = self.collect_verdicts();
        // Sent outside of the lock: a placement whose caller went away takes it when dropped.
        for (sender, verdict) in verdicts {
            let _ = sender.send(verdict);
        }
    }

    fn collect_verdicts(self: &Arc<Self>) -> Vec<(oneshot::Sender<Verdict>, Verdict)> {
        let now = self.clock.now();
        let mut core = self.core.lock();
        let targets: Vec<RequestTarget> = core
            .queues
            .iter()
            .filter(|(_, queue)| !queue.admission.is_empty())
            .map(|(target, _)| target.clone())
            .collect();
        let mut verdicts = Vec::new();
        for target in targets {
            core.expire(now, &target, &mut verdicts);
            while let Some((sender, verdict)) = self.start_next(&mut core, now, &target) {
                verdicts.push((sender, verdict));
            }
        }
        verdicts
    }

    /// Starts the next waiting request of a queue if there is room for it.
    fn start_next(
        self: &Arc<Self>,
        core: &mut Core,
        now: Timestamp,
        target: &RequestTarget,
    ) -> Option<(oneshot::Sender<Verdict>, Verdict)> {
        let queue = core.queues.get(target)?;
        let request = Arc::clone(&queue.waiting.get(&queue.admission.peek()?)?.request);
        let choice = core.choose(now, &request.profile(&[]));
        let verdict = match choice {
            Ok(choice) if core.has_room(now, &choice) => {
                Ok(self.place(core, now, &request, &choice))
            }
            Ok(_) => return None,
            Err(none) => Err(no_choice(&none)),
        };
        let queue = core.queues.get_mut(target)?;
        let entry = queue.admission.pop(now)?;
        let waiting = queue.waiting.remove(&entry)?;
        Some((waiting.verdict, verdict))
    }
}

/// A request that may run.
pub(crate) struct AdmittedRequest {
    /// Its place.
    pub(crate) placement: Placement,
    /// How long it waited, if it did.
    pub(crate) waited_ms: Option<u64>,
}

/// How often a waiting request looks at the clock.
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
        verdicts: &mut Vec<(oneshot::Sender<Verdict>, Verdict)>,
    ) {
        let Some(queue) = self.queues.get_mut(target) else {
            return;
        };
        while let Some((entry, refusal)) = queue.admission.pop_expired(now) {
            if let Some(waiting) = queue.waiting.remove(&entry) {
                verdicts.push((waiting.verdict, Err(queue_refused(&refusal))));
            }
        }
    }
}

/// What a caller is told when no replica can take its request.
pub(crate) fn no_choice(none: &RoutingRefusal) -> RequestRefusal {
    let failure = Failure::new(none.kind(), none.reason.description().trim());
    RequestRefusal {
        reason: none.reason,
        failure: match none.retry_after_ms {
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

fn queue_lost() -> RequestRefusal {
    RequestRefusal {
        reason: ReasonCode::QueueTimeout,
        failure: Failure::from(linnethitch_errors::ErrorKind::Internal),
    }
}
