//! Which engine loads which model, version and adapter.

use linnethitch_config::fleet::{Adapter, ModelPool};
use linnethitch_protocol::{command::EngineOrder, ids::ModelId};

use super::{Engine, Planner};
use crate::reason::ReasonCode;

/// Of the sequences that serving replicas run at once, percent that online may
/// fill before a roll-out waits.
const ROLLOUT_MAX_LOAD_PERCENT: u32 = 80;

impl Planner<'_> {
    /// Loads models where fewer replicas run them than wanted.
    pub(super) fn place_missing(&mut self) {
        let fleet = self.fleet;
        for pool in &fleet.models {
            for placement in &pool.placement {
                let present = self.count(&placement.zone, &pool.name);
                let missing = (placement.replicas as usize).saturating_sub(present);
                for _ in 0..missing {
                    self.place_one(pool, &placement.zone);
                }
            }
        }
    }

    /// Engines of a zone that serve or load the model.
    fn count(&self, zone: &str, model: &str) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.zone() == zone && engine.is_staying())
            .filter(|engine| engine.model() == Some(model))
            .count()
    }

    fn place_one(&mut self, pool: &ModelPool, zone: &str) {
        let Some(engine) = self.spare(zone) else {
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

    /// An engine of the zone that can be given another model: an empty one
    /// first, then one whose model is not wanted there as often.
    fn spare(&self, zone: &str) -> Option<usize> {
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

    /// Whether its model runs more often in its zone than wanted, and still
    /// serves elsewhere when it goes.
    fn is_surplus(&self, engine: &Engine<'_>) -> bool {
        let Some(model) = engine.loaded() else {
            return true;
        };
        let Some(pool) = self.fleet.models.iter().find(|pool| pool.name == model) else {
            return true;
        };
        let wanted = wanted_in(pool, engine.zone());
        let serving = self.serving(engine.zone(), model);
        serving > wanted && self.may_take_away(pool, engine)
    }

    fn serving(&self, zone: &str, model: &str) -> usize {
        self.engines
            .iter()
            .filter(|engine| engine.zone() == zone && engine.serves(model))
            .count()
    }

    /// Moves replicas with an older version to the wanted one, few at a time.
    pub(super) fn update_versions(&mut self) {
        let fleet = self.fleet;
        for pool in &fleet.models {
            while let Some(engine) = self.behind(pool) {
                let zone = self.engines[engine].zone().to_owned();
                if !self.may_take_away(pool, &self.engines[engine]) {
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

    /// The least loaded free replica with another version than wanted.
    fn behind(&self, pool: &ModelPool) -> Option<usize> {
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
    /// The rest must carry the online load with room to spare, only a share of
    /// the pool changes at once, and a zone with several serving replicas
    /// keeps one. A pool's only replica may change when nothing runs on it or
    /// none else could ever serve: then waiting would not help.
    ///
    /// A replica is changing until its load is over and its adapters are there.
    fn may_take_away(&self, pool: &ModelPool, leaving: &Engine<'_>) -> bool {
        let (serving, unfinished): (Vec<&Engine<'_>>, Vec<&Engine<'_>>) = self
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
        let changing = loading + unfinished.len();
        if serving.len() <= 1 {
            return changing == 0 && wanted_in_all(pool) <= 1;
        }
        let whole = serving.len() + changing;
        let most_changing = (whole * self.settings.max_changing_percent / 100).max(1);
        changing < most_changing
            && self.keeps_zone(pool, leaving)
            && rest_carries_online(&serving, leaving)
    }

    /// A zone with other replicas of the model wanted keeps one that serves.
    fn keeps_zone(&self, pool: &ModelPool, leaving: &Engine<'_>) -> bool {
        let others = self.serving(leaving.zone(), &pool.name).saturating_sub(1);
        others > 0 || wanted_in(pool, leaving.zone()) <= 1
    }

    /// Loads adapters that the file names and a replica lacks.
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

/// Whether a replica has the wanted version, but not yet all its adapters.
fn lacks_adapters(pool: &ModelPool, engine: &Engine<'_>) -> bool {
    let state = &engine.placed.info.engine;
    let has = |adapter: &Adapter| state.adapters.contains(&adapter.name);
    state.version == pool.version && !pool.adapters.iter().all(has)
}

/// Replicas of the model wanted in a zone.
pub(super) fn wanted_in(pool: &ModelPool, zone: &str) -> usize {
    pool.placement
        .iter()
        .filter(|placement| placement.zone == zone)
        .map(|placement| placement.replicas as usize)
        .sum()
}

fn wanted_in_all(pool: &ModelPool) -> usize {
    pool.placement
        .iter()
        .map(|placement| placement.replicas as usize)
        .sum()
}

/// Whether the online requests of all fit the others with room to spare.
fn rest_carries_online(serving: &[&Engine<'_>], leaving: &Engine<'_>) -> bool {
    let online: u32 = serving.iter().map(|engine| engine.placed.online).sum();
    let capacity: u32 = serving
        .iter()
        .map(|engine| engine.placed.max_running)
        .sum::<u32>()
        .saturating_sub(leaving.placed.max_running);
    online * 100 <= capacity * ROLLOUT_MAX_LOAD_PERCENT
}
