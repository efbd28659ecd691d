//! What is under way for one engine, from the reservation of weights to the
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
    /// To which engine.
    pub replica: ReplicaId,
    /// Its token.
    pub token: FencingToken,
    /// What the engine shall do.
    pub order: EngineOrder,
}

/// What an engine answered to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It carries the order out.
    Accepted,
    /// It has seen a higher token.
    Fenced,
    /// It will not carry the order out.
    Refused,
    /// Whether it got the order is not known.
    NoAnswer,
}

/// How far an order has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// An earlier leader issued it; whether the engine has it will show.
    Inherited,
    /// To be sent to the engine at that time.
    ToSend { at: Timestamp },
    /// Under way to the engine.
    Sending,
    /// The engine has it; its effect is awaited.
    Accepted { at: Timestamp },
    /// The engine refused it. It is not sent again, and nothing else is tried
    /// until it is given up.
    Refused,
    /// It is over, and the ledger is to be told at that time.
    Over { at: Timestamp },
    /// The ledger is being told.
    Settling,
}

/// An open order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OpenOrder {
    pub(super) token: FencingToken,
    pub(super) order: EngineOrder,
    /// When this leader first saw it.
    pub(super) seen_at: Timestamp,
    pub(super) phase: Phase,
}

/// What is under way for one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Work {
    /// The weight store is asked for a transfer.
    Reserving(PlannedOrder),
    /// The order is to be issued at that time, when its weights are there.
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
    /// What the engine is to do.
    pub(super) fn order(&self) -> &EngineOrder {
        match self {
            Work::Reserving(planned) | Work::Issuing(planned) => &planned.order,
            Work::ToIssue { planned, .. } => &planned.order,
            Work::Open(open) => &open.order,
        }
    }

    /// Whether it holds one of the weight transfers that may be under way.
    pub(super) fn awaits_weights(&self) -> bool {
        let loads = matches!(self.order(), EngineOrder::LoadModel { .. });
        loads && !matches!(self, Work::Open(_))
    }
}

impl OpenOrder {
    /// Whether the order is over by what the engine says of itself, and how.
    pub(super) fn outcome(&self, engine: &EngineState) -> Option<ReasonCode> {
        if engine.fence > self.token {
            return Some(ReasonCode::OrderFenced);
        }
        let has_it = engine.fence == self.token;
        (has_it && is_in_effect(&self.order, engine)).then_some(ReasonCode::OrderInEffect)
    }
}

/// Whether an engine is as the order wants it.
fn is_in_effect(order: &EngineOrder, engine: &EngineState) -> bool {
    match order {
        EngineOrder::LoadModel { model, version } => {
            engine.model.as_ref() == Some(model) && engine.version == *version
        }
        EngineOrder::LoadAdapter { adapter, .. } => engine.adapters.contains(adapter),
        EngineOrder::ChangeRole(role) => engine.role == *role,
    }
}

/// Whether the fleet file still names what an order loads. Roles are planned
/// anew from what engines say, so a change of role is never out of date.
pub(super) fn is_still_wanted(order: &EngineOrder, fleet: &Fleet) -> bool {
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

/// An order in words, for the journal.
pub(super) fn describe(order: &EngineOrder) -> String {
    match order {
        EngineOrder::LoadModel { model, version } => format!("load model {model} {version}"),
        EngineOrder::LoadAdapter { adapter, version } => {
            format!("load adapter {adapter} {version}")
        }
        EngineOrder::ChangeRole(role) => format!("change role to {role:?}").to_lowercase(),
    }
}
