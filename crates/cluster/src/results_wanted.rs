//! Results that a caller asks for.

use linnethitch_job_store::StoreCall;

/// Which results of which job are wanted.
#[derive(Clone, Debug)]
pub struct ResultsWanted {
    /// The job.
    pub job: String,
    /// Who reads.
    pub tenant: Option<String>,
    /// The first position wanted, from 0.
    pub since: u32,
    /// Bytes of text after which the page ends.
    pub most_bytes: u32,
}

impl ResultsWanted {
    /// Asks the leader how many there are.
    pub(crate) fn listed(&self) -> StoreCall {
        StoreCall::Listed {
            job: self.job.clone(),
            tenant: self.tenant.clone(),
        }
    }

    /// Asks a member for them that holds as many as there are.
    pub(crate) fn held(&self, listed: u32) -> StoreCall {
        StoreCall::ResultsHeld {
            job: self.job.clone(),
            tenant: self.tenant.clone(),
            since: self.since,
            most_bytes: self.most_bytes,
            listed,
        }
    }

    /// Asks the leader for them.
    pub(crate) fn whole(self) -> StoreCall {
        StoreCall::Results {
            job: self.job,
            tenant: self.tenant,
            since: self.since,
            most_bytes: self.most_bytes,
        }
    }
}
