//! Execution of fenced orders.

use linnethitch_protocol::{command::EngineOrder, fleet::EngineState};

use super::model::EngineModel;
use crate::Time;

/// An accepted order that has not taken effect yet.
#[derive(Clone, Debug)]
struct PendingOrder {
    order: EngineOrder,
    /// When the load ends; `None` before it starts, while running requests are drained or an
    /// earlier load is in progress.
    ends_at: Option<Time>,
}

/// Pending orders, executed one after the other.
#[derive(Debug, Default)]
pub(super) struct Loading {
    pending: Vec<PendingOrder>,
}

impl Loading {
    /// Accepts an order. Role changes take effect at once.
    pub(super) fn accept(&mut self, order: EngineOrder, state: &mut EngineState) {
        match order {
            EngineOrder::ChangeRole(role) => state.role = role,
            EngineOrder::LoadModel { .. } => {
                // A later model replaces all pending loads.
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

    /// Whether the load of a model is pending or in progress; the engine refuses new requests
    /// meanwhile.
    pub(super) fn model_pending(&self) -> bool {
        self.pending
            .iter()
            .any(|pending| matches!(pending.order, EngineOrder::LoadModel { .. }))
    }

    /// When the load in progress ends.
    pub(super) fn ends_at(&self) -> Option<Time> {
        self.pending.first().and_then(|pending| pending.ends_at)
    }

    /// Starts and ends the loads that are due by `now`, and returns whether a model was replaced.
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
                    apply_order(done.order, state);
                    start = end;
                }
            }
        }
        replaced
    }
}

fn apply_order(order: EngineOrder, state: &mut EngineState) {
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
