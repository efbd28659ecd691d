//! Finding a replica for an online request, and leasing one of its slots.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_protocol::slots::AskMode;
use linnethitch_routing::dispatch::{ChosenReplica, PromptPart, RequestNeeds};

use crate::{
    cold_replicas::ColdUse,
    exchange::Outgoing,
    homes::HomeZones,
    shared::Shared,
    slots::{Asked, Place, SlotLease},
};

/// Replicas that are asked for a free slot before an item is stopped.
const MOST_FREE_PROBES: usize = 3;
/// What stopping an item costs, in milliseconds: it reads its prompt of some 1,800
/// tokens again (21 ms at 85 tokens a millisecond) after two further calls. A
/// replica where the request would begin later than that is not tried instead.
const STOPPED_ITEM_COST_MS: f64 = 30.0;
/// Replicas that are asked for a slot before the request waits for one.
const MOST_PROBES: usize = 4;
/// A request waits for a slot until it is late, and for this long at least.
const SHORTEST_WAIT: Duration = Duration::from_millis(600);

/// What a request needs.
pub(crate) struct Search<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) service: &'a str,
    pub(crate) prompt: &'a [PromptPart],
    /// The request.
    pub(crate) outgoing: &'a Outgoing,
    /// Whether replicas ended under such requests: one of them runs at a time where it goes.
    pub(crate) alone: bool,
    /// Replicas that it must not be sent to (again).
    pub(crate) except: &'a [String],
    /// Zones in which it may be served.
    pub(crate) homes: &'a HomeZones,
    /// Its rank; 0 is the highest.
    pub(crate) rank: u8,
    /// When it is late.
    pub(crate) due: Instant,
    /// When its time is up.
    pub(crate) until: Instant,
}

/// Where a request goes.
pub(crate) struct Placed {
    pub(crate) chosen: ChosenReplica,
    pub(crate) lease: SlotLease,
}

impl Search<'_> {
    /// The best replica with a free slot; where none of those asked has one, a
    /// slot that it waited for. `None` when no replica may be given it.
    pub(crate) async fn run(&self) -> Option<Placed> {
        if self.alone {
            return self.place_apart().await;
        }
        if let Some(placed) = self.find_free(ColdUse::Never).await {
            return Some(placed);
        }
        // Before it waits at warm replicas it goes to a cold one, where it may.
        if let Some(placed) = self.find_free(ColdUse::Only).await {
            return Some(placed);
        }
        let mut full = Vec::new();
        while full.len() < MOST_PROBES {
            let Some(chosen) = self.choose(&full, ColdUse::Never) else {
                break;
            };
            match self.ask(&chosen, AskMode::Probe).await {
                Asked::Leased(lease) => return Some(Placed { chosen, lease }),
                Asked::Full => full.push(chosen.id),
            }
        }
        self.wait().await
    }

    /// A slot that it waited for. A replica that fails what it is given sends those that
    /// wait elsewhere.
    async fn wait(&self) -> Option<Placed> {
        let mut failing = Vec::new();
        while failing.len() < MOST_PROBES {
            let warm = self.choose(&failing, ColdUse::Never);
            let chosen = warm.or_else(|| self.choose(&failing, ColdUse::Only))?;
            match self.ask(&chosen, AskMode::Wait).await {
                Asked::Leased(lease) => return Some(Placed { chosen, lease }),
                Asked::Full => failing.push(chosen.id),
            }
        }
        None
    }

    /// A slot of a replica where no other suspected request runs.
    async fn place_apart(&self) -> Option<Placed> {
        let need = self.need(self.except);
        let chosen = self.shared.choose_apart(&need, self.outgoing)?;
        match self.ask(&chosen, AskMode::Alone).await {
            Asked::Leased(lease) => Some(Placed { chosen, lease }),
            Asked::Full => None,
        }
    }

    /// A slot that nobody has, at a replica that serves the request about as soon
    /// as the best one.
    async fn find_free(&self, cold_use: ColdUse) -> Option<Placed> {
        let mut taken: Vec<String> = Vec::new();
        let mut best_ms = None;
        while taken.len() < MOST_FREE_PROBES {
            let chosen = self.choose(&taken, cold_use)?;
            let best_ms = *best_ms.get_or_insert(chosen.expected_ms);
            if chosen.expected_ms > best_ms + STOPPED_ITEM_COST_MS {
                return None;
            }
            match self.ask(&chosen, AskMode::Free).await {
                Asked::Leased(lease) => return Some(Placed { chosen, lease }),
                Asked::Full => taken.push(chosen.id),
            }
        }
        None
    }

    fn choose(&self, full: &[String], cold_use: ColdUse) -> Option<ChosenReplica> {
        let except: Vec<String> = self.except.iter().chain(full).cloned().collect();
        self.shared.choose(&self.need(&except), cold_use)
    }

    fn need<'b>(&'b self, except: &'b [String]) -> RequestNeeds<'b> {
        RequestNeeds {
            service: self.service,
            prompt: self.prompt,
            except,
            homes: self.homes.as_ref(),
        }
    }

    async fn ask(&self, chosen: &ChosenReplica, mode: AskMode) -> Asked {
        let slots = &self.shared.slots;
        let wait_until = self.due.max(Instant::now() + SHORTEST_WAIT).min(self.until);
        let place = Place {
            due: self.due,
            rank: self.rank,
            round_trip: self.shared.round_trip(&chosen.id),
        };
        let asked = slots.ask(&chosen.id, place, mode, wait_until).await;
        self.shared.note_told(&slots.own_loads_beside(&chosen.id));
        asked
    }
}
