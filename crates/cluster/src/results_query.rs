//! Queries for the results of a job, and how a gateway reads them.

use std::time::Duration;

use linnethitch_clock::{Instant, timeout};
use linnethitch_job_store::{ResultsPage, StoreCall, StoreReply};
use linnethitch_protocol::{format::Format, ids::MachineId};

use crate::{distance::Distance, gateway::GatewayNode};

/// Time limit for reading from a nearby member before the leader is asked. Several round trips
/// within a region.
const NEARBY_READ_TIMEOUT: Duration = Duration::from_millis(100);

/// Which results of which job to read.
#[derive(Clone, Debug)]
pub struct ResultsQuery {
    /// The job.
    pub job: String,
    /// The tenant that reads.
    pub tenant: Option<String>,
    /// The first position to read, from 0.
    pub since: u32,
    /// Bytes of text after which the page ends.
    pub most_bytes: u32,
}

impl ResultsQuery {
    /// Asks the leader for the number of results.
    pub(crate) fn count_call(&self) -> StoreCall {
        StoreCall::Listed {
            job: self.job.clone(),
            tenant: self.tenant.clone(),
        }
    }

    /// Asks a member that has stored at least this many results for them.
    pub(crate) fn nearby_call(&self, listed: u32) -> StoreCall {
        StoreCall::ResultsHeld {
            job: self.job.clone(),
            tenant: self.tenant.clone(),
            since: self.since,
            most_bytes: self.most_bytes,
            listed,
        }
    }

    /// Asks the leader for the results.
    pub(crate) fn leader_call(self) -> StoreCall {
        StoreCall::Results {
            job: self.job,
            tenant: self.tenant,
            since: self.since,
            most_bytes: self.most_bytes,
        }
    }
}

impl GatewayNode {
    /// Reads results of a job: their number from the job store's leader, and their texts from a
    /// nearer member if there is one.
    pub async fn results(&self, query: ResultsQuery, limit: Duration) -> StoreReply {
        let deadline = Instant::now() + limit;
        if let Some(member) = self.nearer_member() {
            let listed = self.call_store(query.count_call(), limit).await;
            let StoreReply::Listed { total, listed } = listed else {
                return listed;
            };
            if listed <= query.since {
                let results = Vec::new();
                return StoreReply::Results(ResultsPage { total, results });
            }
            let call = query.nearby_call(listed);
            let nearby = timeout(NEARBY_READ_TIMEOUT, self.store.ask(member, &call)).await;
            if let Ok(Ok(StoreReply::Results(page))) = nearby {
                return StoreReply::Results(page);
            }
        }
        let remaining = deadline.saturating_duration_since(Instant::now());
        self.call_store(query.leader_call(), remaining).await
    }

    /// The nearest member of the job store that is nearer than the leader.
    fn nearer_member(&self) -> Option<MachineId> {
        let places = self.reported.lock().store_places();
        let distance = |machine: &MachineId| {
            let place = places.get(machine);
            place.map_or(Distance::Elsewhere, |place| {
                Distance::between(&self.place, place)
            })
        };
        let leader = self.store.leader()?;
        // Only the second format counts results and reads them from any member.
        let supports_counts = |machine| self.links.format_with(machine) >= Some(Format::Second);
        let nearest = places.keys().copied().min_by_key(&distance)?;
        let is_nearer = distance(&nearest) < distance(&leader);
        (is_nearer && supports_counts(nearest) && supports_counts(leader)).then_some(nearest)
    }
}
