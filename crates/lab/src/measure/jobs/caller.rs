//! A connection to a control member that makes calls as a gateway does.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, ControlMessage, GatewayMessage},
    command::{CommandBody, Outcome},
    ids::{CallId, GatewayId, Revision, SessionEpoch, ZoneId},
};
use linnethitch_transport::{
    ClusterIdentity, Connection, ConnectionOptions, MessageReceiver, MessageSender, Traffic,
    connect,
};
use tokio::{sync::oneshot, task::JoinHandle};

/// Delay before a command that failed with a retryable error is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(50);
/// Time for which a command is resent before its error is returned.
const RESEND_TIMEOUT: Duration = Duration::from_secs(60);

type Pending = Arc<Mutex<HashMap<CallId, oneshot::Sender<ControlAnswer>>>>;

/// A caller that is attached to a control member.
pub(super) struct Caller {
    pub(super) gateway: GatewayId,
    sender: MessageSender<GatewayMessage>,
    pending: Pending,
    next_call: AtomicU64,
    reader: JoinHandle<()>,
}

impl Drop for Caller {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

impl Caller {
    /// Attaches to a member.
    ///
    /// # Errors
    /// `Io` when the member cannot be reached.
    pub(super) async fn attach(
        address: SocketAddr,
        identity: &ClusterIdentity,
        name: &str,
    ) -> Result<Self, Report<ErrorKind>> {
        let gateway = GatewayId(name.to_owned());
        let traffic = Arc::new(Traffic::default());
        let options = ConnectionOptions::default();
        let connection: Connection<ControlMessage, GatewayMessage> =
            connect(&address.to_string(), identity, options, traffic).await?;
        let (sender, receiver) = connection.split();
        let attach = GatewayMessage::Attach {
            gateway: gateway.clone(),
            zone: ZoneId::from("zone-1"),
            revision: Revision(0),
            digest: 0,
        };
        send(&sender, &attach).await?;
        let pending = Pending::default();
        let reader = tokio::spawn(read_answers(receiver, Arc::clone(&pending)));
        Ok(Caller {
            gateway,
            sender,
            pending,
            next_call: AtomicU64::new(1),
            reader,
        })
    }

    /// Makes a call.
    ///
    /// # Errors
    /// `ControlUnavailable` when the connection is lost.
    pub(super) async fn call(&self, body: ControlCall) -> Result<ControlAnswer, Report<ErrorKind>> {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        lock(&self.pending).insert(call, reply);
        send(&self.sender, &GatewayMessage::Call { call, body }).await?;
        answer
            .await
            .map_err(|_| Report::new(ErrorKind::ControlUnavailable))
    }

    /// Commits a command and resends it after retryable errors, as gateways do.
    ///
    /// # Errors
    /// The kind of the refusal.
    pub(super) async fn propose(&self, command: CommandBody) -> Result<Outcome, Report<ErrorKind>> {
        let started = Instant::now();
        loop {
            match self.propose_once(command.clone()).await {
                Err(report) if is_retryable(&report) && started.elapsed() < RESEND_TIMEOUT => {
                    tokio::time::sleep(RESEND_DELAY).await;
                }
                outcome => return outcome,
            }
        }
    }

    /// Commits a command that is sent only once.
    ///
    /// # Errors
    /// The kind of the refusal.
    pub(super) async fn propose_once(
        &self,
        command: CommandBody,
    ) -> Result<Outcome, Report<ErrorKind>> {
        match self.call(ControlCall::Propose(command)).await? {
            ControlAnswer::Outcome(Outcome::Refused(refusal)) | ControlAnswer::Refused(refusal) => {
                Err(Report::new(refusal.kind()).attach(refusal.message))
            }
            ControlAnswer::Outcome(outcome) => Ok(outcome),
            ControlAnswer::Answer(_) => Err(Report::new(ErrorKind::Internal)),
        }
    }

    /// Opens the caller's session.
    ///
    /// # Errors
    /// The kind of the refusal.
    pub(super) async fn open_session(&self) -> Result<SessionEpoch, Report<ErrorKind>> {
        let command = CommandBody::OpenSession {
            gateway: self.gateway.clone(),
            nonce: 1,
        };
        match self.propose(command).await? {
            Outcome::Session(session) => Ok(session),
            _ => Err(Report::new(ErrorKind::Internal)),
        }
    }
}

fn is_retryable(report: &Report<ErrorKind>) -> bool {
    matches!(
        report.current_context(),
        ErrorKind::ControlUnavailable | ErrorKind::ControlOutcomeUnknown | ErrorKind::Overloaded
    )
}

async fn send(
    sender: &MessageSender<GatewayMessage>,
    message: &GatewayMessage,
) -> Result<(), Report<ErrorKind>> {
    sender.send(message).await.map_err(|refused| {
        Report::new(ErrorKind::ControlUnavailable).attach(format!("{refused:?}"))
    })
}

/// Passes answers to their calls; calls that are still pending when the connection ends fail.
async fn read_answers(mut receiver: MessageReceiver<ControlMessage>, pending: Pending) {
    while let Ok(Some(message)) = receiver.receive().await {
        if let ControlMessage::Answer { call, body } = message
            && let Some(reply) = lock(&pending).remove(&call)
        {
            // The call may have been abandoned.
            let _ = reply.send(body);
        }
    }
    lock(&pending).clear();
}

fn lock(
    pending: &Pending,
) -> std::sync::MutexGuard<'_, HashMap<CallId, oneshot::Sender<ControlAnswer>>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}
