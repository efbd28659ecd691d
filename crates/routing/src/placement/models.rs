//! Planning of models, versions and adapters.

use linnethitch_config::fleet::{Adapter, ModelPool};
use linnethitch_protocol::{command::EngineOrder, ids::ModelId};

use super::{Engine, Planner};
use crate::reason::ReasonCode;

/// Maximum share of the remaining replicas' sequences that online requests may use during a
/// roll-out, in percent.
const ROLLOUT_MAX_LOAD_PERCENT: u32 = 80;

impl Planner<'_> {
    /// Loads models where fewer replicas run them than desired.
    pub(super) fn place_missing(&mut self) {
        let fleet = self.fleet;
        for pool in &fleet.models {
            for placement in &pool.placement {
                let present = self.present_in(&placement.zone, &pool.name);
                let missing = (placement.replicas as usize).saturating_sub(present);
                for _ in 0..missing {
                    self.place_one(pool, &placement.zone);
                }
            }
        }
    }

    /// Engines of a zone that serve or load the model.
    fn present_in(&self, zone: &str, model: &str) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.zone() == zone && engine.is_present())
            .filter(|engine| engine.model() == Some(model))
            .count()
    }

    fn place_one(&mut self, pool: &ModelPool, zone: &str) {
        let Some(engine) = self.spare_engine(zone) else {
            return self.postpone(&pool.name, zone, ReasonCode::PlacementMissing);
        };
        if self.loads_allowed == 0 {
            return self.postpone(&pool.name, zone, ReasonCode::WeightStoreBusy);
        }
        self.load(engine, pool, ReasonCode::PlacementMissing);
    }

    fn load(&mut self, engine: usize, pool: &ModelPool, reason: ReasonCode) {
        self.loads_allowed -= 1;
        let order = EngineOrder::LoadModel {
            model: ModelId(pool.name.clone()),
            version: pool.version.clone(),
        };
        self.order(engine, order, reason);
    }

    /// An engine of the zone that can load another model: an engine without a model
    /// if there is one, otherwise an engine whose model has surplus replicas there.
    fn spare_engine(&self, zone: &str) -> Option<usize> {
        let candidates = || {
            self.engines
                .iter()
                .enumerate()
                .filter(|(_, engine)| engine.zone() == zone && engine.is_free())
        };
        let empty = candidates().find(|(_, engine)| engine.loaded().is_none());
        let surplus = || {
            candidates()
                .filter(|(_, engine)| self.is_surplus(engine))
                .min_by_key(|(_, engine)| engine.placed.online)
        };
        empty.or_else(surplus).map(|(number, _)| number)
    }

    /// Whether the engine's model has more serving replicas in the zone than desired
    /// and the engine may be interrupted.
    fn is_surplus(&self, engine: &Engine<'_>) -> bool {
        let Some(model) = engine.loaded() else {
            return true;
        };
        let Some(pool) = self.fleet.models.iter().find(|pool| pool.name == model) else {
            return true;
        };
        let desired = desired_in(pool, engine.zone());
        let serving = self.serving(engine.zone(), model);
        serving > desired && self.may_interrupt(pool, engine)
    }

    fn serving(&self, zone: &str, model: &str) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.zone() == zone && engine.serves(model))
            .count()
    }

    /// Updates replicas with another version to the desired one, a few at a time.
    pub(super) fn update_versions(&mut self) {
        let fleet = self.fleet;
        for pool in &fleet.models {
            while let Some(engine) = self.outdated_replica(pool) {
                let zone = self.engines[engine].zone().to_owned();
                if !self.may_interrupt(pool, &self.engines[engine]) {
                    self.postpone(&pool.name, &zone, ReasonCode::CapacityGuard);
                    break;
                }
                if self.loads_allowed == 0 {
                    self.postpone(&pool.name, &zone, ReasonCode::WeightStoreBusy);
                    break;
                }
                self.load(engine, pool, ReasonCode::VersionBehind);
            }
        }
    }

    /// The least loaded free replica whose version is not the desired one.
    fn outdated_replica(&self, pool: &ModelPool) -> Option<usize> {
        self.engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| engine.is_free() && engine.serves(&pool.name))
            .filter(|(_, engine)| engine.placed.info.engine.version != pool.version)
            .min_by_key(|(_, engine)| engine.placed.online)
            .map(|(number, _)| number)
    }

    /// Whether a serving replica may stop serving for a while.
    ///
    /// The remaining replicas must carry the online load with a reserve, only a
    /// share of the pool changes at once, and a zone that should have several
    /// replicas keeps one that serves. The only serving replica may change if the
    /// fleet file requests at most one replica, because waiting would not help, and
    /// no other replica is changing.
    ///
    /// A replica counts as changing until the load is complete and its adapters are
    /// loaded.
    fn may_interrupt(&self, pool: &ModelPool, interrupted: &Engine<'_>) -> bool {
        let (serving, lacking_adapters): (Vec<&Engine<'_>>, Vec<&Engine<'_>>) = self
            .engines
            .iter()
            .filter(|engine| engine.serves(&pool.name))
            .partition(|engine| !lacks_adapters(pool, engine));
        let loading = self
            .engines
            .iter()
            .filter(|engine| engine.is_changing())
            .filter(|engine| engine.involves(&pool.name))
            .count();
        let changing = loading + lacking_adapters.len();
        if serving.len() <= 1 {
            return changing == 0 && desired_in_all(pool) <= 1;
        }
        let total = serving.len() + changing;
        let max_changing = (total * self.settings.max_changing_percent / 100).max(1);
        changing < max_changing
            && self.keeps_serving_in_zone(pool, interrupted)
            && others_carry_online(&serving, interrupted)
    }

    /// Whether the zone keeps a serving replica, if more than one is desired there.
    fn keeps_serving_in_zone(&self, pool: &ModelPool, interrupted: &Engine<'_>) -> bool {
        let others = self
            .serving(interrupted.zone(), &pool.name)
            .saturating_sub(1);
        others > 0 || desired_in(pool, interrupted.zone()) <= 1
    }

    /// Loads adapters that the fleet file lists and a replica lacks.
    pub(super) fn load_adapters(&mut self) {
        let fleet = self.fleet;
        for pool in &fleet.models {
            for number in 0..self.engines.len() {
                let engine = &self.engines[number];
                if !engine.is_free() || !engine.serves(&pool.name) {
                    continue;
                }
                let known = &engine.placed.info.engine.adapters;
                let missing = pool
                    .adapters
                    .iter()
                    .find(|adapter| !known.contains(&adapter.name));
                if let Some(adapter) = missing {
                    let order = EngineOrder::LoadAdapter {
                        adapter: adapter.name.clone(),
                        version: adapter.version.clone(),
                    };
                    self.order(number, order, ReasonCode::AdapterMissing);
                }
            }
        }
    }
}

/// Whether a replica has the desired version, but not yet all adapters.
fn lacks_adapters(pool: &ModelPool, engine: &Engine<'_>) -> bool {
    let state = &engine.placed.info.engine;
    let has = |adapter: &Adapter| state.adapters.contains(&adapter.name);
    state.version == pool.version && !pool.adapters.iter().all(has)
}

/// Desired replicas of the model in a zone.
pub(super) fn desired_in(pool: &ModelPool, zone: &str) -> usize {
    pool.placement
        .iter()
        .filter(|placement| placement.zone == zone)
        .map(|placement| placement.replicas as usize)
        .sum()
}

fn desired_in_all(pool: &ModelPool) -> usize {
    pool.placement
        .iter()
        .map(|placement| placement.replicas as usize)
        .sum()
}

/// Whether the other replicas can carry the online requests of all, with a reserve.
fn others_carry_online(serving: &[&Engine<'_>], interrupted: &Engine<'_>) -> bool {
    let online: u32 = serving.iter().map(|engine| engine.placed.online).sum();
    let capacity: u32 = serving
        .iter()
        .map(|engine| engine.placed.max_running)
        .sum::<u32>()
        .saturating_sub(interrupted.placed.max_running);
    online * 100 <= capacity * ROLLOUT_MAX_LOAD_PERCENT
}
