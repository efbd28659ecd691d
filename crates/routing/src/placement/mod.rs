//! Plans which engine loads what, by comparing the fleet file with the running replicas.
//!
//! [`plan`] is a pure function of the fleet file, the replicas, the open orders
//! and the loads that the weight store accepts now; it returns the next orders.
//! Control calls it repeatedly, and each call moves the fleet one safe step
//! towards the file.

mod models;
mod roles;

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    command::EngineOrder,
    fleet::{BackEndKind, MachineState, ReplicaInfo},
    ids::{ReplicaId, Timestamp},
};

use crate::reason::ReasonCode;

/// Settings of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// Time after which an order without effect is issued again, in milliseconds.
    pub order_timeout_ms: u64,
    /// Maximum share of a model's replicas that may be changing at once, in percent.
    pub max_changing_percent: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            order_timeout_ms: 60_000,
            max_changing_percent: 25,
        }
    }
}

/// Reachability of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// The replica responds.
    Responding,
    /// The replica has not responded recently. It gets no orders and does not count as serving,
    /// but it is not replaced yet.
    Unreachable,
    /// The replica has been unreachable for so long that it must be replaced.
    Dead,
}

/// A replica as input of the planner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// The machine and the state of its engine.
    pub info: ReplicaInfo,
    /// Reachability of the replica.
    pub health: ReplicaHealth,
    /// Online requests running or waiting on the replica.
    pub online: u32,
    /// Maximum number of concurrently running sequences.
    pub max_running: u32,
}

/// An order that was issued and is not completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenOrder {
    /// The replica that receives the order.
    pub replica: ReplicaId,
    /// The order.
    pub order: EngineOrder,
    /// When the order was issued.
    pub issued_at: Timestamp,
}

/// An order to issue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// The replica that receives the order.
    pub replica: ReplicaId,
    /// The order.
    pub order: EngineOrder,
    /// The reason.
    pub reason: ReasonCode,
}

/// Orders to issue and postponed changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Orders to issue now.
    pub orders: Vec<PlannedOrder>,
    /// Postponed changes, each with its reason.
    pub postponed: Vec<PostponedChange>,
}

/// A postponed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PostponedChange {
    /// The model.
    pub model: String,
    /// The zone.
    pub zone: String,
    /// The reason.
    pub reason: ReasonCode,
}

/// An engine during planning.
#[derive(Clone, Copy, Debug)]
struct Engine<'a> {
    placed: &'a PlacedReplica,
    order: Option<&'a EngineOrder>,
    has_planned_order: bool,
}

impl<'a> Engine<'a> {
    fn zone(&self) -> &'a str {
        self.placed.info.machine.zone.as_str()
    }

    /// Can receive an order: it responds, is not leaving, and has no open or planned order.
    fn is_free(&self) -> bool {
        self.is_responding() && self.order.is_none() && !self.has_planned_order
    }

    fn is_responding(&self) -> bool {
        self.placed.health == ReplicaHealth::Responding && self.is_present()
    }

    /// Neither dead nor leaving.
    fn is_present(&self) -> bool {
        self.placed.health != ReplicaHealth::Dead
            && self.placed.info.machine.state == MachineState::Live
            && !self.placed.info.engine.leaving
    }

    fn loaded(&self) -> Option<&'a str> {
        self.placed.info.engine.model.as_ref().map(|id| id.as_str())
    }

    /// The model that the engine serves or is loading.
    fn model(&self) -> Option<&'a str> {
        match self.order {
            Some(EngineOrder::LoadModel { model, .. }) => Some(model.as_str()),
            _ => self.loaded(),
        }
    }

    /// Whether an open or planned order changes what the engine serves.
    fn is_changing(&self) -> bool {
        self.has_planned_order || matches!(self.order, Some(EngineOrder::LoadModel { .. }))
    }

    /// Whether the engine has loaded the model or has an order to load it.
    fn involves(&self, model: &str) -> bool {
        self.loaded() == Some(model) || self.model() == Some(model)
    }

    /// Whether the engine serves the model now.
    fn serves(&self, model: &str) -> bool {
        self.is_responding() && !self.is_changing() && self.loaded() == Some(model)
    }
}

/// The state of one call of [`plan`].
struct Planner<'a> {
    fleet: &'a Fleet,
    engines: Vec<Engine<'a>>,
    loads_allowed: usize,
    settings: PlacementSettings,
    plan: Plan,
}

/// Plans the orders that bring the fleet one step closer to the file.
///
/// `loads_allowed` is the number of model loads that the weight store accepts now.
/// Replicas are considered in the given order, so equal input gives an equal
/// plan.
#[must_use]
pub fn plan(
    now: Timestamp,
    fleet: &Fleet,
    replicas: &[PlacedReplica],
    open_orders: &[OpenOrder],
    loads_allowed: usize,
    settings: PlacementSettings,
) -> Plan {
    let engines = replicas
        .iter()
        .filter(|placed| placed.info.machine.kind == BackEndKind::Engine)
        .map(|placed| Engine {
            placed,
            order: open_order_of(now, placed, open_orders, settings),
            has_planned_order: false,
        })
        .collect();
    let mut planner = Planner {
        fleet,
        engines,
        loads_allowed,
        settings,
        plan: Plan::default(),
    };
    planner.place_missing();
    planner.update_versions();
    planner.load_adapters();
    planner.change_roles();
    planner.plan
}

fn open_order_of<'a>(
    now: Timestamp,
    placed: &PlacedReplica,
    open_orders: &'a [OpenOrder],
    settings: PlacementSettings,
) -> Option<&'a EngineOrder> {
    open_orders
        .iter()
        .filter(|open| open.replica == placed.info.machine.replica)
        .filter(|open| now.0.saturating_sub(open.issued_at.0) < settings.order_timeout_ms)
        .map(|open| &open.order)
        .next_back()
}

impl Planner<'_> {
    fn order(&mut self, engine: usize, order: EngineOrder, reason: ReasonCode) {
        let replica = self.engines[engine].placed.info.machine.replica.clone();
        self.engines[engine].has_planned_order = true;
        self.plan.orders.push(PlannedOrder {
            replica,
            order,
            reason,
        });
    }

    fn postpone(&mut self, model: &str, zone: &str, reason: ReasonCode) {
        self.plan.postponed.push(PostponedChange {
            model: model.to_owned(),
            zone: zone.to_owned(),
            reason,
        });
    }
}
