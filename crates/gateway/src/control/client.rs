//! Calls to control, with timeouts and safe resends.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use linnethitch_clock::{Instant, timeout_at};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, GatewayMessage},
    command::{CommandBody, Outcome},
    ids::CallId,
    query::{Query, QueryAnswer},
};
use linnethitch_transport::MessageSender;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, oneshot, watch};

/// Wait before a call is sent again after a transient refusal or a lost connection.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// Maximum concurrent calls.
const MAX_CALLS: usize = 256;
/// When a caller may retry after control could not be reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An open connection to a control member.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    number: u64,
    sender: MessageSender<GatewayMessage>,
}

/// Sends calls over the connection that is open. Clones share the connection.
#[derive(Clone)]
pub(crate) struct ControlClient {
    shared: Arc<Shared>,
}

struct Shared {
    next_call: AtomicU64,
    next_link: AtomicU64,
    pending: Mutex<HashMap<CallId, oneshot::Sender<ControlAnswer>>>,
    link: watch::Sender<Option<Link>>,
    permits: Semaphore,
    /// Longest time for a call without a time of its own.
    timeout: Duration,
}

/// Removes a call from the pending calls when it ends in any way.
struct PendingCall<'a> {
    shared: &'a Shared,
    call: CallId,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.shared.pending.lock().remove(&self.call);
    }
}

impl ControlClient {
    /// Creates a client without a connection. `timeout` is the longest time for a call.
    pub(crate) fn new(timeout: Duration) -> Self {
        ControlClient {
            shared: Arc::new(Shared {
                next_call: AtomicU64::new(1),
                next_link: AtomicU64::new(1),
                pending: Mutex::default(),
                link: watch::Sender::new(None),
                permits: Semaphore::new(MAX_CALLS),
                timeout,
            }),
        }
    }

    /// Sets the connection to use; calls in flight are sent again over it.
    pub(crate) fn set_link(&self, sender: MessageSender<GatewayMessage>) {
        let number = self.shared.next_link.fetch_add(1, Ordering::Relaxed);
        self.shared.link.send_replace(Some(Link { number, sender }));
    }

    /// Records that the connection was lost.
    pub(crate) fn clear_link(&self) {
        self.shared.link.send_replace(None);
    }

    /// Whether a connection is open.
    pub(crate) fn is_attached(&self) -> bool {
        self.shared.link.borrow().is_some()
    }

    /// Sends a message that is not a call, if a connection is open and its buffer has space.
    pub(crate) fn notify(&self, message: &GatewayMessage) -> bool {
        let link = self.shared.link.borrow().clone();
        link.is_some_and(|link| link.sender.try_send(message).is_ok())
    }

    /// Passes an answer to the call that waits for it.
    pub(crate) fn on_answer(&self, call: CallId, answer: ControlAnswer) {
        if let Some(waiter) = self.shared.pending.lock().remove(&call) {
            let _ = waiter.send(answer);
        }
    }

    /// Commits a command. It is sent again until it is answered or the time is over. All commands
    /// are idempotent, since each carries the identifier of what it creates.
    pub(crate) async fn propose(&self, command: CommandBody) -> Result<Outcome, Failure> {
        self.propose_within(command, self.shared.timeout).await
    }

    /// Commits a command within the given time.
    pub(crate) async fn propose_within(
        &self,
        command: CommandBody,
        time: Duration,
    ) -> Result<Outcome, Failure> {
        match self.call(ControlCall::Propose(command), true, time).await? {
            ControlAnswer::Outcome(Outcome::Refused(refusal)) => Err(refusal.into()),
            ControlAnswer::Outcome(outcome) => Ok(outcome),
            _ => Err(unexpected()),
        }
    }

    /// Reads from control.
    pub(crate) async fn query(&self, query: Query) -> Result<QueryAnswer, Failure> {
        match self
            .call(ControlCall::Query(query), false, self.shared.timeout)
            .await?
        {
            ControlAnswer::Answer(answer) => Ok(answer),
            _ => Err(unexpected()),
        }
    }

    async fn call(
        &self,
        body: ControlCall,
        is_command: bool,
        time: Duration,
    ) -> Result<ControlAnswer, Failure> {
        let deadline = Instant::now() + time;
        let _permit = timeout_at(deadline, self.shared.permits.acquire())
            .await
            .map_err(|_| unavailable())?;
        let mut may_have_run = false;
        loop {
            let attempt = self.call_once(&body, &mut may_have_run);
            match timeout_at(deadline, attempt).await {
                Ok(Some(ControlAnswer::Refused(refusal))) => {
                    if !is_transient(refusal.kind()) {
                        return Err(refusal.into());
                    }
                    may_have_run |= refusal.kind() == ErrorKind::ControlOutcomeUnknown;
                }
                Ok(Some(answer)) => return Ok(answer),
                Ok(None) => {}
                Err(_) if is_command && may_have_run => return Err(outcome_unknown()),
                Err(_) => return Err(unavailable()),
            }
            tokio::time::sleep(RESEND_DELAY).await;
        }
    }

    /// Sends a call once over one connection; `None` when the connection was lost.
    async fn call_once(
        &self,
        body: &ControlCall,
        may_have_run: &mut bool,
    ) -> Option<ControlAnswer> {
        let mut links = self.shared.link.subscribe();
        let link = links.wait_for(Option::is_some).await.ok()?.clone()?;
        let call = CallId(self.shared.next_call.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        self.shared.pending.lock().insert(call, sender);
        let _pending = PendingCall {
            shared: &self.shared,
            call,
        };
        let message = GatewayMessage::Call {
            call,
            body: body.clone(),
        };
        link.sender.send(&message).await.ok()?;
        *may_have_run = true;
        tokio::select! {
            answer = answer => answer.ok(),
            _ = links.wait_for(|current| current.as_ref().map(|now| now.number) != Some(link.number)) => None,
        }
    }
}

/// Whether a call with this refusal may succeed when it is sent again.
fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ControlUnavailable | ErrorKind::ControlOutcomeUnknown
    )
}

fn unavailable() -> Failure {
    Failure::new(
        ErrorKind::ControlUnavailable,
        "control could not be reached",
    )
    .with_retry_after(RETRY_AFTER)
}

fn outcome_unknown() -> Failure {
    Failure::new(
        ErrorKind::ControlOutcomeUnknown,
        "the change was sent to control and its answer was lost",
    )
    .with_retry_after(RETRY_AFTER)
}

pub(crate) fn unexpected() -> Failure {
    Failure::new(
        ErrorKind::Internal,
        "control sent an answer of an unexpected kind",
    )
}
