//! Which builds nodes run, as a control member hears it from them.

use std::collections::BTreeMap;

use linnethitch_protocol::ids::MachineId;

use crate::message::NodeHello;

/// A node that was not heard of for so long is gone, in milliseconds.
const CONTACT_TTL_MS: u64 = 10_000;

/// A build, and the newest format that its nodes speak.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct NodeBuild {
    /// The commit; empty for builds that do not tell it.
    pub(crate) build: String,
    pub(crate) newest_format: u16,
}

/// The builds of nodes, and when each was heard of last, in milliseconds.
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

    /// How many nodes run each build.
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
