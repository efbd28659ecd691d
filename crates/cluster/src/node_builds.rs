//! The builds of nodes, as reported by the nodes to a control member.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::MachineId;

use crate::message::NodeHello;

/// A node counts as removed this long after the last contact, in milliseconds.
const CONTACT_TTL_MS: u64 = 10_000;

/// A build, and the newest format that its nodes support.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeBuild {
    /// The commit; empty for builds that don't report it.
    pub(crate) build: String,
    pub(crate) newest_format: u16,
}

/// The builds of nodes and the time of the last contact with each, in milliseconds.
#[derive(Default)]
pub(crate) struct NodeBuilds(BTreeMap<MachineId, (NodeBuild, u64)>);

impl NodeBuilds {
    pub(crate) fn record(&mut self, hello: &NodeHello, now_ms: u64) {
        let is_same_build = |known: &NodeBuild| {
            known.build == hello.build && known.newest_format == hello.newest_format
        };
        match self.0.get_mut(&hello.machine) {
            Some((known, at_ms)) if is_same_build(known) => *at_ms = now_ms,
            _ => {
                let build = NodeBuild {
                    build: hello.build.clone(),
                    newest_format: hello.newest_format,
                };
                self.0.insert(hello.machine, (build, now_ms));
                self.0
                    .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) <= CONTACT_TTL_MS);
            }
        }
    }

    /// Number of nodes by build.
    pub(crate) fn counts(&self, now_ms: u64) -> BTreeMap<NodeBuild, usize> {
        let mut counts = BTreeMap::new();
        for (build, at_ms) in self.0.values() {
            if now_ms.saturating_sub(*at_ms) <= CONTACT_TTL_MS {
                *counts.entry(build.clone()).or_default() += 1;
            }
        }
        counts
    }
}
