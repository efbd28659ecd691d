//! Operator orders to evacuate a zone and to take an evacuation back.

use std::time::Duration;

use linnethitch_clock::Instant;
use linnethitch_protocol::{format::Format, ids::LogIndex};
use linnethitch_registry::{EvacuationOrder, RegistryAnswer, RegistryCommand};

use crate::control::{ControlNode, Unavailable};

/// The first format with evacuations.
const EVACUATIONS_FORMAT: Format = Format::Second;

/// The outcome of an order about a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOrderOutcome {
    /// The zone is in the requested state since this log entry; 0 if it always was.
    Held(LogIndex),
    /// There is no such zone.
    Unknown,
    /// Nothing was done, because a node runs a build that does not support evacuations and would
    /// continue to send requests there.
    NotYet,
}

impl ControlNode {
    /// Orders that no more requests be sent to the replicas of a zone. A quorum has stored the
    /// order before this returns; a repeated order gets the same answer.
    ///
    /// # Errors
    /// [`Unavailable`] if it is not known to be stored by a quorum in time.
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

    /// The log decides, including whether the zone is already in the requested state, because this
    /// member's view may be outdated. This member only names the record that the order is based on.
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
        let is_stored = self.wait_for_format(EVACUATIONS_FORMAT, deadline).await;
        let has_older_node =
            self.has_member_below(EVACUATIONS_FORMAT) || self.has_gateway_below(EVACUATIONS_FORMAT);
        if has_older_node {
            return Ok(ZoneOrderOutcome::NotYet);
        }
        if !is_stored {
            // A partitioned member does not know the stored format.
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
            // Another order was committed after the state that this member knew.
            seen = changed_at;
        }
    }
}
