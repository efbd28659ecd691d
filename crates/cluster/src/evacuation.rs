//! Orders of operators to evacuate a zone, and to take that back.

use std::time::Duration;

use linnethitch_clock::Instant;
use linnethitch_protocol::ids::LogIndex;
use linnethitch_registry::{EvacuationOrder, RegistryAnswer, RegistryCommand};

use crate::control::{ControlNode, Unavailable};

/// What came of an order about a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOrderOutcome {
    /// The zone is as was asked, since this entry; 0 where it always was.
    Held(LogIndex),
    /// There is no such zone.
    Unknown,
    /// A node of a build that knows no evacuations would go on sending there; nothing was done.
    NotYet,
}

impl ControlNode {
    /// Asks that nothing more be sent to the replicas of a zone. A quorum holds that
    /// before this returns; a repeat is answered likewise.
    ///
    /// # Errors
    /// [`Unavailable`] when it is not known to be held by a quorum in time.
    pub async fn evacuate_zone(
        &self,
        zone: &str,
        limit: Duration,
    ) -> Result<ZoneOrderOutcome, Unavailable> {
        self.order_evacuation(zone, true, limit).await
    }

    /// Takes an evacuation back.
    ///
    /// # Errors
    /// As [`Self::evacuate_zone`].
    pub async fn restore_zone(
        &self,
        zone: &str,
        limit: Duration,
    ) -> Result<ZoneOrderOutcome, Unavailable> {
        self.order_evacuation(zone, false, limit).await
    }

    /// The log decides, also whether the zone is as asked already: what this member knows
    /// may be old. It only names the record upon which the order is given.
    async fn order_evacuation(
        &self,
        zone: &str,
        evacuated: bool,
        limit: Duration,
    ) -> Result<ZoneOrderOutcome, Unavailable> {
        let deadline = Instant::now() + limit;
        let mut seen = {
            let view = self.view();
            let evacuations = view.registry.evacuations();
            if !self.zones().has_zone(zone) && !evacuations.has_record(zone) {
                return Ok(ZoneOrderOutcome::Unknown);
            }
            evacuations.changed_at(zone)
        };
        let is_stored = self.wait_for_newest_format(deadline).await;
        if self.has_older_member() || self.has_older_gateway() {
            return Ok(ZoneOrderOutcome::NotYet);
        }
        if !is_stored {
            // A member that is cut off does not know.
            return Err(Unavailable);
        }
        loop {
            let order = EvacuationOrder {
                zone: zone.to_owned(),
                seen,
            };
            let command = if evacuated {
                RegistryCommand::EvacuateZone(order)
            } else {
                RegistryCommand::RestoreZone(order)
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let RegistryAnswer::ZoneState {
                evacuated: is_evacuated,
                changed_at,
            } = self.propose(command, remaining).await?
            else {
                return Err(Unavailable);
            };
            if is_evacuated == evacuated {
                return Ok(ZoneOrderOutcome::Held(changed_at));
            }
            // Another order was given since what this member knew.
            seen = changed_at;
        }
    }
}
