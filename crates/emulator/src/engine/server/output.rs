//! The output of a request from the engine to its caller.

use std::{collections::VecDeque, sync::Arc, time::Instant};

use tokio::{sync::mpsc, time::sleep_until};

use super::service::EngineService;
use crate::engine::{FinishReason, SequenceId};

/// An item of a request's output.
#[derive(Debug)]
pub(super) struct OutputItem {
    /// Earliest time at which the item may be sent.
    pub(super) release_at: Option<Instant>,
    /// Whether to swap the item with the next one.
    pub(super) out_of_order: bool,
    /// Whether to insert a token of another request before the item.
    pub(super) stray: bool,
    pub(super) kind: OutputKind,
}

/// The content of an output item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OutputKind {
    /// A token; the last one has the finish reason.
    Token {
        index: u32,
        finish: Option<FinishReason>,
    },
    /// A token of another request's answer.
    Stray { index: u32 },
    /// The answer is complete.
    End {
        reason: FinishReason,
        cached_tokens: u32,
    },
    /// A fault broke the stream; `cleanly` if it ends as if the answer were complete.
    Broken { cleanly: bool },
}

/// Receives the output of a request; cancels the request when dropped.
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

    /// The next item; `None` if the request was cancelled or the engine died.
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
