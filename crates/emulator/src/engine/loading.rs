//! Carrying out fenced orders.

use linnethitch_protocol::{command::EngineOrder, fleet::EngineState};

use super::model::EngineModel;
use crate::Time;

/// An accepted order that is not in effect yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    order: EngineOrder,
    /// When the load ends; `None` while running work is finished first.
    ends_at: Option<Time>,
}

/// Orders under way, one after the other.
#[derive(Debug, Default)]
pub(super) struct Loading {
    pending: Vec<PendingOrder>,
}

impl Loading {
    /// Takes an order on. Role changes are in effect at once.
    pub(super) fn accept(&mut self, order: EngineOrder, state: &mut EngineState) {
        match order {
            EngineOrder::ChangeRole(role) => state.role = role,
            EngineOrder::LoadModel { .. } => {
                // A later model replaces whatever was still to be loaded.
                self.pending.clear();
                self.pending.push(PendingOrder {
                    order,
                    ends_at: None,
                });
            }
            EngineOrder::LoadAdapter { .. } => self.pending.push(PendingOrder {
                order,
                ends_at: None,
            }),
        }
    }

    /// Whether a model is being loaded or waits to be, so that no new work is taken.
    pub(super) fn model_pending(&self) -> bool {
        self.pending
            .iter()
            .any(|pending| matches!(pending.order, EngineOrder::LoadModel { .. }))
    }

    /// When the load under way ends.
    pub(super) fn ends_at(&self) -> Option<Time> {
        self.pending.first().and_then(|pending| pending.ends_at)
    }

    /// Starts and ends loads that are due by `now`; whether a model was replaced.
    pub(super) fn progress(
        &mut self,
        now: Time,
        idle: bool,
        model: &EngineModel,
        state: &mut EngineState,
    ) -> bool {
        let mut replaced = false;
        let mut start = now;
        while let Some(first) = self.pending.first_mut() {
            let is_model = matches!(first.order, EngineOrder::LoadModel { .. });
            match first.ends_at {
                None if is_model && !idle => break,
                None => {
                    let micros = if is_model {
                        state.model = None;
                        model.load_model_micros
                    } else {
                        model.load_adapter_micros
                    };
                    first.ends_at = Some(start + micros);
                }
                Some(end) if end > now => break,
                Some(end) => {
                    let done = self.pending.remove(0);
                    replaced |= is_model;
                    put_in_effect(done.order, state);
                    start = end;
                }
            }
        }
        replaced
    }
}

fn put_in_effect(order: EngineOrder, state: &mut EngineState) {
    match order {
        EngineOrder::LoadModel { model, version } => {
            state.model = Some(model);
            state.version = version;
            state.adapters.clear();
        }
        EngineOrder::LoadAdapter { adapter, .. } => {
            if !state.adapters.contains(&adapter) {
                state.adapters.push(adapter);
            }
        }
        EngineOrder::ChangeRole(role) => state.role = role,
    }
}
