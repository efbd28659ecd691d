//! What engines should load: the fleet file against what runs.
//!
//! [`plan`] is pure: from the file, the replicas, the orders under way and the
//! rate of the weight store it works out the next orders. Control calls it
//! again and again; each call moves the fleet one safe step.

mod models;
mod roles;

use linnethitch_config::fleet::Fleet;
use linnethitch_protocol::{
    command::EngineOrder,
    fleet::{BackEndKind, MachineState, ReplicaInfo},
    ids::{ReplicaId, Timestamp},
};

use crate::reason::ReasonCode;

/// Rules of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementSettings {
    /// An order that had no effect for this long is given again, in milliseconds.
    pub order_timeout_ms: u64,
    /// Of a model's serving replicas, percent that may be changed at once.
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

/// Whether a replica is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaHealth {
    /// It answers.
    Responding,
    /// It has not answered lately: it gets no orders and is not counted on,
    /// but is not replaced either.
    Unreachable,
    /// It has been silent for so long that it has to be replaced.
    Dead,
}

/// A replica as placement sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacedReplica {
    /// What it is and has loaded.
    pub info: ReplicaInfo,
    /// Whether it is there.
    pub health: ReplicaHealth,
    /// Online requests running or waiting on it.
    pub online: u32,
    /// Sequences that it runs at once.
    pub max_running: u32,
}

/// An order that was issued and is not settled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenOrder {
    /// To which engine.
    pub replica: ReplicaId,
    /// What it shall do.
    pub order: EngineOrder,
    /// When it was issued.
    pub issued_at: Timestamp,
}

/// An order to issue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// To which engine.
    pub replica: ReplicaId,
    /// What it shall do.
    pub order: EngineOrder,
    /// Why.
    pub reason: ReasonCode,
}

/// Orders to issue and what had to wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// To issue now.
    pub orders: Vec<PlannedOrder>,
    /// Changes that wait, each with its reason.
    pub postponed: Vec<PostponedChange>,
}

/// A change that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PostponedChange {
    /// The model.
    pub model: String,
    /// The zone.
    pub zone: String,
    /// Why.
    pub reason: ReasonCode,
}

/// An engine while a plan is made.
#[derive(Clone, Copy, Debug)]
struct Engine<'a> {
    placed: &'a PlacedReplica,
    order: Option<&'a EngineOrder>,
    planned: bool,
}

impl<'a> Engine<'a> {
    fn zone(&self) -> &'a str {
        self.placed.info.machine.zone.as_str()
    }

    /// Takes orders: it answers, stays, and none is under way.
    fn is_free(&self) -> bool {
        self.is_answering() && self.order.is_none() && !self.planned
    }

    fn is_answering(&self) -> bool {
        self.placed.health == ReplicaHealth::Responding && self.is_staying()
    }

    /// Neither dead nor leaving.
    fn is_staying(&self) -> bool {
        self.placed.health != ReplicaHealth::Dead
            && self.placed.info.machine.state == MachineState::Live
            && !self.placed.info.engine.leaving
    }

    fn loaded(&self) -> Option<&'a str> {
        self.placed.info.engine.model.as_ref().map(|id| id.as_str())
    }

    /// The model that it serves or is loading.
    fn model(&self) -> Option<&'a str> {
        match self.order {
            Some(EngineOrder::LoadModel { model, .. }) => Some(model.as_str()),
            _ => self.loaded(),
        }
    }

    /// Whether it gives up what it serves for an order under way.
    fn is_changing(&self) -> bool {
        self.planned || matches!(self.order, Some(EngineOrder::LoadModel { .. }))
    }

    /// Has the model loaded, or an order to load it.
    fn involves(&self, model: &str) -> bool {
        self.loaded() == Some(model) || self.model() == Some(model)
    }

    /// Serves the model now.
    fn serves(&self, model: &str) -> bool {
        self.is_answering() && !self.is_changing() && self.loaded() == Some(model)
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

/// Works out the orders that bring the fleet one step nearer to the file.
///
/// `loads_allowed` is how many model loads the weight store takes now.
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
            order: under_way(now, placed, open_orders, settings),
            planned: false,
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

fn under_way<'a>(
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
        self.engines[engine].planned = true;
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
