//! The output of one request on its way to its caller.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use tokio::{sync::mpsc, time::sleep_until};

use super::service::EngineService;
use crate::engine::{FinishReason, SequenceId};

/// Something of a request's output.
#[derive(Debug)]
pub(super) struct OutputItem {
    /// It may not leave earlier.
    pub(super) release_at: Option<Instant>,
    /// It is to be swapped with its neighbour.
    pub(super) out_of_order: bool,
    /// A token of another request is to be put before it.
    pub(super) stray: bool,
    pub(super) kind: OutputKind,
}

/// What it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputKind {
    /// A token; the last one says why the answer ends.
    Token {
        index: u32,
        finish: Option<FinishReason>,
    },
    /// A token of another request's answer.
    Stray { index: u32 },
    /// The whole answer is out.
    End {
        reason: FinishReason,
        cached_tokens: u32,
    },
    /// The stream broke.
    Broken { cleanly: bool },
}

/// Receives a request's output; cancels the request when dropped.
pub(super) struct OutputReceiver {
    service: Arc<EngineService>,
    id: SequenceId,
    receiver: mpsc::UnboundedReceiver<OutputItem>,
    ready: VecDeque<OutputKind>,
}

impl OutputReceiver {
    pub(super) fn new(
        service: Arc<EngineService>,
        id: SequenceId,
        receiver: mpsc::UnboundedReceiver<OutputItem>,
    ) -> OutputReceiver {
        OutputReceiver {
            service,
            id,
            receiver,
            ready: VecDeque::new(),
        }
    }

    /// The next item; `None` when the request was cancelled or the engine died.
    pub(super) async fn next(&mut self) -> Option<OutputKind> {
        if let Some(kind) = self.ready.pop_front() {
            return Some(kind);
        }
        let item = self.receive().await?;
        let OutputKind::Token { index, finish } = item.kind else {
            return Some(item.kind);
        };
        if item.stray && index == 1 {
            self.ready.push_back(item.kind);
            return Some(OutputKind::Stray { index });
        }
        if item.out_of_order && finish.is_none() {
            let following = self.receive().await?;
            self.ready.push_back(item.kind);
            if !matches!(following.kind, OutputKind::Token { finish: None, .. }) {
                self.ready.push_back(following.kind);
                return self.ready.pop_front();
            }
            return Some(following.kind);
        }
        Some(item.kind)
    }

    async fn receive(&mut self) -> Option<OutputItem> {
        let item = self.receiver.recv().await?;
        if let Some(at) = item.release_at {
            sleep_until(at.into()).await;
        }
        Some(item)
    }
}

impl Drop for OutputReceiver {
    fn drop(&mut self) {
        self.service.cancel(self.id);
    }
}
