//! Searches for a replica for an online request and leases one of its slots.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_protocol::slots::AskMode;
use linnethitch_routing::dispatch::{ChosenReplica, PromptPart, RequestNeeds, SoftwareNeed};

use crate::{
    cold_replicas::ColdUse,
    homes::HomeZones,
    shared::Shared,
    slots::{AskOutcome, SlotLease, SlotPriority},
};

/// Replicas that are asked for a free slot before a batch item is preempted.
const MAX_FREE_PROBES: usize = 3;
/// Cost of preempting an item, in milliseconds: the item's prompt of about 1,800 tokens is
/// processed again (21 ms at 85 tokens per millisecond) after two further calls. A replica where
/// the request would begin later than that is not tried instead.
const PREEMPTION_COST_MS: f64 = 30.0;
/// Replicas that are asked for a slot before the request queues for one.
const MAX_PROBES: usize = 4;
/// A request waits for a slot until its target time, but at least this long.
const MIN_SLOT_WAIT: Duration = Duration::from_millis(600);

/// The search for a replica for one request.
pub(crate) struct Search<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) service: &'a str,
    pub(crate) prompt: &'a [PromptPart],
    /// Set if replicas have ended under copies of this request or under its parts: a number of what
    /// is suspected, which chooses the replica. A replica runs at most one such request at a time.
    pub(crate) isolation_number: Option<u64>,
    /// Replicas that the request must not be sent to.
    pub(crate) except: &'a [String],
    /// Zones in which the request may be served.
    pub(crate) homes: &'a HomeZones,
    /// The software that the request may be served by.
    pub(crate) software: &'a SoftwareNeed,
    /// Priority rank; 0 is the highest.
    pub(crate) rank: u8,
    /// The time at which the request misses its target.
    pub(crate) due: Instant,
    /// Deadline of the request.
    pub(crate) deadline: Instant,
}

/// The replica and slot found for a request.
pub(crate) struct Placement {
    pub(crate) chosen: ChosenReplica,
    pub(crate) lease: SlotLease,
}

impl Search<'_> {
    /// The best replica with a free slot; if none of the replicas asked has one, a slot that the
    /// request waited for. `None` if no replica may be sent the request.
    pub(crate) async fn run(&self) -> Option<Placement> {
        if let Some(number) = self.isolation_number {
            return self.place_isolated(number).await;
        }
        if let Some(placed) = self.find_free(ColdUse::Never).await {
            return Some(placed);
        }
        // A cold replica with capacity is preferred over waiting for a warm one.
        if let Some(placed) = self.find_free(ColdUse::Only).await {
            return Some(placed);
        }
        let mut full = Vec::new();
        while full.len() < MAX_PROBES {
            let Some(chosen) = self.choose(&full, ColdUse::Never) else {
                break;
            };
            match self.ask(&chosen, AskMode::Probe).await {
                AskOutcome::Leased(lease) => return Some(Placement { chosen, lease }),
                AskOutcome::Full => full.push(chosen.id),
            }
        }
        self.wait().await
    }

    /// Waits for a slot. A replica that fails its requests rejects those in its queue, which then
    /// try another replica.
    async fn wait(&self) -> Option<Placement> {
        let mut failing = Vec::new();
        while failing.len() < MAX_PROBES {
            let warm = self.choose(&failing, ColdUse::Never);
            let chosen = warm.or_else(|| self.choose(&failing, ColdUse::Only))?;
            match self.ask(&chosen, AskMode::Wait).await {
                AskOutcome::Leased(lease) => return Some(Placement { chosen, lease }),
                AskOutcome::Full => failing.push(chosen.id),
            }
        }
        None
    }

    /// A slot of a replica that runs no other suspected request.
    async fn place_isolated(&self, number: u64) -> Option<Placement> {
        let need = self.need(self.except);
        let chosen = self.shared.choose_isolated(&need, number)?;
        match self.ask(&chosen, AskMode::Exclusive).await {
            AskOutcome::Leased(lease) => Some(Placement { chosen, lease }),
            AskOutcome::Full => None,
        }
    }

    /// A free slot at a replica that serves the request about as soon as the best replica.
    async fn find_free(&self, cold_use: ColdUse) -> Option<Placement> {
        let mut full: Vec<String> = Vec::new();
        let mut best_ms = None;
        while full.len() < MAX_FREE_PROBES {
            let chosen = self.choose(&full, cold_use)?;
            let best_ms = *best_ms.get_or_insert(chosen.expected_ms);
            if chosen.expected_ms > best_ms + PREEMPTION_COST_MS {
                return None;
            }
            match self.ask(&chosen, AskMode::FreeOnly).await {
                AskOutcome::Leased(lease) => return Some(Placement { chosen, lease }),
                AskOutcome::Full => full.push(chosen.id),
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
            software: self.software,
        }
    }

    async fn ask(&self, chosen: &ChosenReplica, mode: AskMode) -> AskOutcome {
        let slots = &self.shared.slots;
        let wait_until = self
            .due
            .max(Instant::now() + MIN_SLOT_WAIT)
            .min(self.deadline);
        let priority = SlotPriority {
            due: self.due,
            rank: self.rank,
            round_trip: self.shared.round_trip(&chosen.id),
        };
        let asked = slots.ask(&chosen.id, priority, mode, wait_until).await;
        self.shared
            .note_reported_loads(&slots.loads_of_same_service(&chosen.id));
        asked
    }
}
