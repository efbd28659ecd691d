//! The unfinished work for one engine, from the reservation of weights to the
//! end of the order.

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    command::EngineOrder,
    fleet::EngineState,
    ids::{FencingToken, ReplicaId, Timestamp},
};
use linnethitch_routing::{ReasonCode, placement::PlannedOrder};

/// An order that is committed to the ledger and not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IssuedOrder {
    /// The engine.
    pub replica: ReplicaId,
    /// The fencing token of its commit.
    pub token: FencingToken,
    /// The order.
    pub order: EngineOrder,
}

/// The answer of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine executes the order.
    Accepted,
    /// The engine has seen a higher token.
    Fenced,
    /// The engine rejects the order.
    Refused,
    /// It is unknown whether the engine received the order.
    NoAnswer,
}

/// The phase of an open order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// An earlier leader issued it; whether the engine has it is not known yet.
    Inherited,
    /// To be sent to the engine at this time.
    ToSend { at: Timestamp },
    /// Being sent to the engine.
    Sending,
    /// The engine has it; its effect is awaited.
    Accepted { at: Timestamp },
    /// The engine refused it. It is not sent again, and the engine gets no other
    /// order until this one times out.
    Refused,
    /// It has ended, and its end is to be committed to the ledger at this time.
    Ended { at: Timestamp },
    /// Its end is being committed to the ledger.
    Settling,
}

/// An open order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenOrder {
    pub(super) token: FencingToken,
    pub(super) order: EngineOrder,
    /// Time at which this leader first saw it.
    pub(super) seen_at: Timestamp,
    pub(super) phase: Phase,
}

/// The unfinished work for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Work {
    /// A transfer is being reserved at the weight store.
    Reserving(PlannedOrder),
    /// The order is to be issued at this time, when its weights are on the machine.
    ToIssue {
        planned: PlannedOrder,
        at: Timestamp,
    },
    /// The order is being committed to the ledger.
    Issuing(PlannedOrder),
    /// The order is committed.
    Open(OpenOrder),
}

impl Work {
    /// The order of the work.
    pub(super) fn order(&self) -> &EngineOrder {
        match self {
            Work::Reserving(planned) | Work::Issuing(planned) => &planned.order,
            Work::ToIssue { planned, .. } => &planned.order,
            Work::Open(open) => &open.order,
        }
    }

    /// Whether the work counts against the limit on weight transfers.
    pub(super) fn uses_transfer(&self) -> bool {
        let loads = matches!(self.order(), EngineOrder::LoadModel { .. });
        loads && !matches!(self, Work::Open(_))
    }
}

impl OpenOrder {
    /// The reason why the order has ended, by the state of the engine; `None` if it
    /// has not ended.
    pub(super) fn outcome(&self, engine: &EngineState) -> Option<ReasonCode> {
        if engine.fence > self.token {
            return Some(ReasonCode::OrderFenced);
        }
        let has_it = engine.fence == self.token;
        (has_it && is_in_effect(&self.order, engine)).then_some(ReasonCode::OrderInEffect)
    }
}

/// Whether the state of an engine is the one that the order requests.
fn is_in_effect(order: &EngineOrder, engine: &EngineState) -> bool {
    match order {
        EngineOrder::LoadModel { model, version } => {
            engine.model.as_ref() == Some(model) && engine.version == *version
        }
        EngineOrder::LoadAdapter { adapter, .. } => engine.adapters.contains(adapter),
        EngineOrder::ChangeRole(role) => engine.role == *role,
    }
}

/// Whether the fleet file still requests what an order loads. Roles are planned
/// again from the reported states of engines, so a change of role is never
/// outdated.
pub(super) fn is_still_requested(order: &EngineOrder, fleet: &Fleet) -> bool {
    let mut pools = fleet.models.iter();
    match order {
        EngineOrder::LoadModel { model, version } => {
            pools.any(|pool| pool.name == model.0 && pool.version == *version)
        }
        EngineOrder::LoadAdapter { adapter, version } => pools
            .flat_map(|pool| &pool.adapters)
            .any(|known| known.name == *adapter && known.version == *version),
        EngineOrder::ChangeRole(_) => true,
    }
}

/// A description of an order for the journal.
pub(super) fn describe(order: &EngineOrder) -> String {
    match order {
        EngineOrder::LoadModel { model, version } => format!("load model {model} {version}"),
        EngineOrder::LoadAdapter { adapter, version } => {
            format!("load adapter {adapter} {version}")
        }
        EngineOrder::ChangeRole(role) => format!("change role to {role:?}").to_lowercase(),
    }
}
