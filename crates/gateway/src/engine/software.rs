//! Software versions of engines, as their responses name them. What two versions generate must not
//! be joined: a run resumes tokens only at the version that generated them.

use std::collections::HashMap;

use http::HeaderMap;
use linnethitch_protocol::ids::ReplicaId;
use parking_lot::Mutex;

/// Names the software version of an engine in its responses, and in a request that resumes tokens
/// the version that generated them.
pub(crate) const SOFTWARE_HEADER: &str = "x-engine-software";

/// The software version that a response names; `None` if it names none.
pub(crate) fn software_of(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(SOFTWARE_HEADER)?.to_str().ok()?;
    (!value.is_empty()).then(|| value.to_owned())
}

/// The software version that each engine named last.
#[derive(Debug, Default)]
pub(crate) struct EngineSoftware(Mutex<HashMap<ReplicaId, String>>);

impl EngineSoftware {
    /// Records the version that a response of an engine named.
    pub(crate) fn record(&self, replica: &ReplicaId, software: Option<&str>) {
        let mut known = self.0.lock();
        match software {
            Some(software) => known.insert(replica.clone(), software.to_owned()),
            None => known.remove(replica),
        };
    }

    /// Whether an engine last named another version.
    pub(crate) fn is_other(&self, replica: &ReplicaId, software: &str) -> bool {
        let known = self.0.lock();
        known.get(replica).is_some_and(|known| known != software)
    }

    /// Engines that last named another version.
    pub(crate) fn others(&self, software: &str) -> Vec<ReplicaId> {
        let known = self.0.lock();
        let others = known.iter().filter(|(_, known)| *known != software);
        others.map(|(replica, _)| replica.clone()).collect()
    }

    /// Forgets engines that are no longer listed.
    pub(crate) fn retain(&self, is_listed: impl Fn(&ReplicaId) -> bool) {
        self.0.lock().retain(|replica, _| is_listed(replica));
    }
}
