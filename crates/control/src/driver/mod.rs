//! The thread that owns a [`Member`](crate::member::Member), and the interface of tasks to it.
//!
//! Syncs block, so the member runs on its own thread. Tasks send requests through a bounded
//! queue and read the member's state from a shared view.

mod call_memory;
mod input;
mod notices;
mod thread;

use std::{path::PathBuf, sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_placement::PlacementView;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, PeerMessage},
    command::Refusal,
    ids::{DiskId, LogIndex, MachineId},
};
use slog::Logger;
use tokio::sync::{mpsc, oneshot, watch};

use crate::{
    clock::Clock,
    member::{MemberSettings, MemberView},
    peers::PeerLinks,
    record::Recorder,
    soft_state::SharedSoftState,
};

use call_memory::CallMemory;
pub(crate) use input::{ChangeVersion, Changes, GatewayConfiguration};
use input::{Input, PendingCall};
use thread::{MemberThread, Shared};

/// Maximum number of inputs in the member's queue; senders wait while it is full.
const QUEUE_INPUTS: usize = 1_024;
/// Time limit for the transfer of leadership before a planned stop.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings and shared state of the member's thread.
pub(crate) struct DriverSetup {
    pub(crate) settings: MemberSettings,
    pub(crate) data_dir: PathBuf,
    /// The disk id to use if the data folder has to be formatted.
    pub(crate) new_disk: DiskId,
    pub(crate) clock: Clock,
    pub(crate) links: PeerLinks,
    pub(crate) soft_state: SharedSoftState,
    pub(crate) logger: Logger,
}

/// Resolves with the result of the thread when it ends.
pub(crate) type DriverEnd = oneshot::Receiver<Result<(), Report<ErrorKind>>>;

/// A member with a running thread.
pub(crate) struct StartedDriver {
    pub(crate) driver: Driver,
    pub(crate) end: DriverEnd,
    /// The journal in the member's data folder.
    pub(crate) recorder: Recorder,
}

/// Interface to the member's thread. Clones share the thread.
#[derive(Clone)]
pub(crate) struct Driver {
    inputs: mpsc::Sender<Input>,
    call_memory: CallMemory,
    view: Arc<ArcSwap<MemberView>>,
    changes: watch::Receiver<ChangeVersion>,
}

impl Driver {
    /// Opens the member on its own thread.
    ///
    /// # Errors
    /// Those of [`Member::open`](crate::member::Member::open).
    pub(crate) async fn start(setup: DriverSetup) -> Result<StartedDriver, Report<ErrorKind>> {
        let (inputs, received) = mpsc::channel(QUEUE_INPUTS);
        let (change_sender, changes) = watch::channel(ChangeVersion::default());
        let view = Arc::new(ArcSwap::from_pointee(MemberView::default()));
        let (opened, opening) = oneshot::channel();
        let (ended, end) = oneshot::channel();
        let shared = Shared {
            inputs: received,
            view: Arc::clone(&view),
            change_sender,
        };
        std::thread::Builder::new()
            .name("control-member".to_owned())
            .spawn(move || {
                let result = match MemberThread::open(setup, shared) {
                    Ok(thread) => {
                        // The receiver may have been dropped.
                        let _ = opened.send(Ok(thread.recorder()));
                        thread.run()
                    }
                    Err(report) => {
                        let _ = opened.send(Err(report));
                        Ok(())
                    }
                };
                let _ = ended.send(result);
            })
            .map_err(|error| Report::new(ErrorKind::Io).attach(error.to_string()))?;
        let recorder = opening
            .await
            .unwrap_or_else(|_| Err(Report::new(ErrorKind::Internal)))?;
        let driver = Driver {
            inputs,
            call_memory: CallMemory::new(),
            view,
            changes,
        };
        Ok(StartedDriver {
            driver,
            end,
            recorder,
        })
    }

    /// The member's state as of a few milliseconds ago.
    pub(crate) fn view(&self) -> Arc<MemberView> {
        self.view.load_full()
    }

    /// Subscribes to new revisions and stopped jobs.
    pub(crate) fn subscribe_changes(&self) -> watch::Receiver<ChangeVersion> {
        self.changes.clone()
    }

    /// Makes a call and waits for its answer.
    pub(crate) async fn call(&self, body: ControlCall) -> ControlAnswer {
        self.submit(body).await.wait().await
    }

    /// Submits a call, waiting for free memory; calls reach the member in the order of submission.
    pub(crate) async fn submit(&self, body: ControlCall) -> PendingAnswer {
        let is_change = matches!(body, ControlCall::Propose(_));
        let answer = self.try_submit(body).await;
        PendingAnswer { answer, is_change }
    }

    async fn try_submit(&self, body: ControlCall) -> Option<oneshot::Receiver<ControlAnswer>> {
        let (reply, answer) = oneshot::channel();
        let permit = self.call_memory.acquire(&body).await?;
        let call = PendingCall { reply, permit };
        self.inputs.send(Input::Call { body, call }).await.ok()?;
        Some(answer)
    }

    /// Passes a message from another machine to the member, waiting for space in the queue;
    /// returns `false` if the member has stopped.
    pub(crate) async fn deliver(&self, from: MachineId, message: PeerMessage) -> bool {
        let input = Input::Peer { from, message };
        self.inputs.send(input).await.is_ok()
    }

    /// The changes to send to a gateway with this configuration that knows the jobs stopped up
    /// to an index; `None` if the member has stopped.
    pub(crate) async fn changes_since(
        &self,
        configuration: GatewayConfiguration,
        stopped_after: LogIndex,
    ) -> Option<Changes> {
        let (reply, answer) = oneshot::channel();
        let input = Input::Changes {
            configuration,
            stopped_after,
            reply,
        };
        self.inputs.send(input).await.ok()?;
        answer.await.ok()
    }

    /// The part of the replicated state that placement reads; empty if the member has stopped.
    pub(crate) async fn placement_view(&self) -> PlacementView {
        let (reply, answer) = oneshot::channel();
        if self.inputs.send(Input::Placement { reply }).await.is_err() {
            return PlacementView::default();
        }
        answer.await.unwrap_or_default()
    }

    /// Transfers leadership and ends the thread.
    pub(crate) async fn stop(&self) {
        // Fails only if the thread has already ended.
        let _ = self.inputs.send(Input::Stop).await;
    }

    /// Ends the thread at once, as a crash would.
    pub(crate) async fn abort(&self) {
        // Fails only if the thread has already ended.
        let _ = self.inputs.send(Input::Abort).await;
    }
}

/// The pending answer to a submitted call.
pub(crate) struct PendingAnswer {
    /// `None` if the member had stopped before it took the call.
    answer: Option<oneshot::Receiver<ControlAnswer>>,
    is_change: bool,
}

impl PendingAnswer {
    /// Waits for the answer. If the member stops first, the outcome of a change is unknown.
    pub(crate) async fn wait(self) -> ControlAnswer {
        match self.answer {
            Some(answer) => answer
                .await
                .unwrap_or_else(|_| stopping_refusal(self.is_change)),
            None => stopping_refusal(false),
        }
    }
}

fn stopping_refusal(outcome_unknown: bool) -> ControlAnswer {
    let kind = if outcome_unknown {
        ErrorKind::ControlOutcomeUnknown
    } else {
        ErrorKind::ControlUnavailable
    };
    ControlAnswer::Refused(Refusal::new(kind, "this control member is stopping"))
}
