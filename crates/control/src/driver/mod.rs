//! The thread that owns a [`Member`](crate::member::Member), and how tasks reach it.
//!
//! Syncs block, so the member has a thread of its own. Tasks reach it through
//! one bounded queue and read its state from a shared view.

mod input;
mod notices;
mod room;
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

pub(crate) use input::{ChangeMark, Changes, Held};
use input::{Input, PendingCall};
use room::CallRoom;
use thread::{MemberThread, Shared};

/// Inputs that may wait for the member; senders wait when it is full.
const QUEUE_INPUTS: usize = 1_024;
/// Longest time for leadership to pass to another member before a planned stop.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(2);

/// What the member's thread works with.
pub(crate) struct DriverSetup {
    pub(crate) settings: MemberSettings,
    pub(crate) data_dir: PathBuf,
    /// The disk's id, should it have to be formatted.
    pub(crate) new_disk: DiskId,
    pub(crate) clock: Clock,
    pub(crate) links: PeerLinks,
    pub(crate) soft_state: SharedSoftState,
    pub(crate) logger: Logger,
}

/// How the thread ended.
pub(crate) type DriverEnd = oneshot::Receiver<Result<(), Report<ErrorKind>>>;

/// A member whose thread runs.
pub(crate) struct StartedDriver {
    pub(crate) driver: Driver,
    pub(crate) end: DriverEnd,
    /// The journal in the member's data folder.
    pub(crate) recorder: Recorder,
}

/// Reaches the member's thread. Clones share it.
#[derive(Clone)]
pub(crate) struct Driver {
    inputs: mpsc::Sender<Input>,
    room: CallRoom,
    view: Arc<ArcSwap<MemberView>>,
    marks: watch::Receiver<ChangeMark>,
}

impl Driver {
    /// Opens the member on a thread of its own.
    ///
    /// # Errors
    /// Those of [`Member::open`](crate::member::Member::open).
    pub(crate) async fn start(setup: DriverSetup) -> Result<StartedDriver, Report<ErrorKind>> {
        let (inputs, received) = mpsc::channel(QUEUE_INPUTS);
        let (marker, marks) = watch::channel(ChangeMark::default());
        let view = Arc::new(ArcSwap::from_pointee(MemberView::default()));
        let (opened, opening) = oneshot::channel();
        let (ended, end) = oneshot::channel();
        let shared = Shared {
            inputs: received,
            view: Arc::clone(&view),
            marker,
        };
        std::thread::Builder::new()
            .name("control-member".to_owned())
            .spawn(move || {
                let result = match MemberThread::open(setup, shared) {
                    Ok(thread) => {
                        // Whoever started this may have given up already.
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
            room: CallRoom::new(),
            view,
            marks,
        };
        Ok(StartedDriver {
            driver,
            end,
            recorder,
        })
    }

    /// The member's state, a few milliseconds old at most.
    pub(crate) fn view(&self) -> Arc<MemberView> {
        self.view.load_full()
    }

    /// Tells when something that gateways must hear of has changed.
    pub(crate) fn marks(&self) -> watch::Receiver<ChangeMark> {
        self.marks.clone()
    }

    /// Makes a call and waits for its answer.
    pub(crate) async fn call(&self, body: ControlCall) -> ControlAnswer {
        self.submit(body).await.wait().await
    }

    /// Hands a call in, waiting for room, in the order of submission.
    pub(crate) async fn submit(&self, body: ControlCall) -> PendingAnswer {
        let changes = matches!(body, ControlCall::Propose(_));
        let answer = self.try_submit(body).await;
        PendingAnswer { answer, changes }
    }

    async fn try_submit(&self, body: ControlCall) -> Option<oneshot::Receiver<ControlAnswer>> {
        let (reply, answer) = oneshot::channel();
        let permit = self.room.enter(&body).await?;
        let call = PendingCall { reply, permit };
        self.inputs.send(Input::Call { body, call }).await.ok()?;
        Some(answer)
    }

    /// Hands in a message of another machine, waiting for room; `false` when
    /// the member has stopped.
    pub(crate) async fn deliver(&self, from: MachineId, message: PeerMessage) -> bool {
        let input = Input::Peer { from, message };
        self.inputs.send(input).await.is_ok()
    }

    /// What a gateway that holds so much has not heard of yet.
    pub(crate) async fn changes_since(
        &self,
        held: Held,
        stopped_after: LogIndex,
    ) -> Option<Changes> {
        let (reply, answer) = oneshot::channel();
        let input = Input::Changes {
            held,
            stopped_after,
            reply,
        };
        self.inputs.send(input).await.ok()?;
        answer.await.ok()
    }

    /// What placement reads of the replicated state; empty when the member has stopped.
    pub(crate) async fn placement_view(&self) -> PlacementView {
        let (reply, answer) = oneshot::channel();
        if self.inputs.send(Input::Placement { reply }).await.is_err() {
            return PlacementView::default();
        }
        answer.await.unwrap_or_default()
    }

    /// Hands leadership over and ends the thread.
    pub(crate) async fn stop(&self) {
        // A thread that has ended already needs no telling.
        let _ = self.inputs.send(Input::Stop).await;
    }

    /// Ends the thread at once, as a crash would.
    pub(crate) async fn abort(&self) {
        // A thread that has ended already needs no telling.
        let _ = self.inputs.send(Input::Abort).await;
    }
}

/// The answer to a call that was handed in.
pub(crate) struct PendingAnswer {
    /// `None` when the member had stopped before.
    answer: Option<oneshot::Receiver<ControlAnswer>>,
    changes: bool,
}

impl PendingAnswer {
    /// Waits for the answer; a member that stops first leaves changes in doubt.
    pub(crate) async fn wait(self) -> ControlAnswer {
        match self.answer {
            Some(answer) => answer.await.unwrap_or_else(|_| stopped(self.changes)),
            None => stopped(false),
        }
    }
}

fn stopped(in_doubt: bool) -> ControlAnswer {
    let kind = if in_doubt {
        ErrorKind::ControlOutcomeUnknown
    } else {
        ErrorKind::ControlUnavailable
    };
    ControlAnswer::Refused(Refusal::new(kind, "this control member is stopping"))
}
