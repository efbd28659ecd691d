//! Planning of engine roles: prefill, decode, or mixed.

use linnethitch_config::fleet::ModelPool;
use linnethitch_protocol::{command::EngineOrder, fleet::EngineRole};

use super::{Planner, models::desired_in};
use crate::reason::ReasonCode;

/// Desired replicas per role in a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RoleCounts {
    prefill: usize,
    decode: usize,
    mixed: usize,
}

impl Planner<'_> {
    /// Changes roles, one replica per pool and zone at a time.
    pub(super) fn change_roles(&mut self) {
        let fleet = self.fleet;
        for pool in &fleet.models {
            for placement in &pool.placement {
                self.change_role_in(pool, &placement.zone);
            }
        }
    }

    fn change_role_in(&mut self, pool: &ModelPool, zone: &str) {
        let changing = self
            .engines
            .iter()
            .any(|engine| engine.zone() == zone && self.changes_role(engine.order));
        if changing {
            return;
        }
        let desired = desired_roles(pool, zone);
        let current = |role| {
            self.engines
                .iter()
                .filter(|engine| engine.zone() == zone && engine.serves(&pool.name))
                .filter(|engine| engine.placed.info.engine.role == role)
                .count()
        };
        let all = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
        let lacking = all
            .into_iter()
            .find(|role| current(*role) < desired.of(*role));
        let surplus = all
            .into_iter()
            .find(|role| current(*role) > desired.of(*role));
        let (Some(to), Some(from)) = (lacking, surplus) else {
            return;
        };
        let engine = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.zone() == zone && engine.is_free())
            .filter(|(_, engine)| engine.serves(&pool.name))
            .filter(|(_, engine)| engine.placed.info.engine.role == from)
            .min_by_key(|(_, engine)| engine.placed.online)
            .map(|(number, _)| number);
        if let Some(engine) = engine {
            self.order(engine, EngineOrder::ChangeRole(to), ReasonCode::RoleDiffers);
        }
    }

    fn changes_role(&self, order: Option<&EngineOrder>) -> bool {
        matches!(order, Some(EngineOrder::ChangeRole(_)))
    }
}

impl RoleCounts {
    fn of(self, role: EngineRole) -> usize {
        match role {
            EngineRole::Mixed => self.mixed,
            EngineRole::Prefill => self.prefill,
            EngineRole::Decode => self.decode,
        }
    }
}

/// The desired roles in a zone. A split needs a replica of each role, so a zone with
/// one replica stays mixed.
fn desired_roles(pool: &ModelPool, zone: &str) -> RoleCounts {
    let replicas = desired_in(pool, zone);
    let percent = usize::from(pool.prefill_percent.min(100));
    if percent == 0 || replicas < 2 {
        return RoleCounts {
            prefill: 0,
            decode: 0,
            mixed: replicas,
        };
    }
    let prefill = (replicas * percent).div_ceil(100).clamp(1, replicas - 1);
    RoleCounts {
        prefill,
        decode: replicas - prefill,
        mixed: 0,
    }
}
