//! The directory: which gateways callers may go to.

use std::collections::{BTreeMap, BTreeSet};

use rkyv::{Archive, Deserialize, Serialize};

/// A gateway counts as ready for this long after it said so, in milliseconds.
pub const READY_TTL_MS: u64 = 1_200;

/// A control member that has just begun to hear gateways, or hears them again after it stood
/// still, may hear those of a far region first. Others open their connections within this, in
/// milliseconds; until then it names none outside a caller's region and the homes.
const ALL_HEARD_AFTER_MS: u64 = 2_500;

/// With fewer gateways than this in its zone, a caller is given its region's.
const FEWEST_NEAR: usize = 2;

/// A gateway as callers reach it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct DirectoryNode {
    /// Its address for callers, as IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Who asks where to go, and for what.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryQuery<'a> {
    /// The host of its requests.
    pub host: &'a str,
    /// The caller's region.
    pub region: &'a str,
    /// The caller's zone.
    pub zone: &'a str,
    /// Most addresses of an answer.
    pub limit: usize,
}

#[derive(Clone, Debug)]
struct Heard {
    node: DirectoryNode,
    ready: bool,
    at_ms: u64,
}

impl Heard {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) <= READY_TTL_MS
    }
}

/// Gateways and what they last said of themselves.
#[derive(Clone, Debug, Default)]
pub struct NodeList {
    heard: BTreeMap<String, Heard>,
    /// Since when gateways are heard without a pause, and when one was heard last.
    heard_since_ms: Option<u64>,
    heard_last_ms: u64,
}

impl NodeList {
    /// Notes what a gateway says of itself; true when the directory differs by it.
    pub fn note(&mut self, node: DirectoryNode, ready: bool, now_ms: u64) -> bool {
        if now_ms.saturating_sub(self.heard_last_ms) > READY_TTL_MS {
            self.heard_since_ms = None;
        }
        self.heard_since_ms.get_or_insert(now_ms);
        self.heard_last_ms = now_ms;
        let heard = Heard {
            ready,
            at_ms: now_ms,
            node,
        };
        let before = self.heard.get(&heard.node.address);
        let is_news = before.is_none_or(|before| {
            before.ready != heard.ready || before.node != heard.node || !before.is_recent(now_ms)
        });
        self.heard.insert(heard.node.address.clone(), heard);
        is_news
    }

    /// Notes that the connection to a gateway broke.
    pub fn remove(&mut self, address: &str) {
        self.heard.remove(address);
    }

    /// Addresses of ready gateways near a caller; see [`near`].
    #[must_use]
    pub fn near(
        &self,
        query: &DirectoryQuery<'_>,
        homes: Option<&BTreeSet<String>>,
        now_ms: u64,
    ) -> Vec<String> {
        let mut nodes = self.ready(now_ms);
        let since_ms = self.heard_since_ms.unwrap_or(now_ms);
        let may_lack_some = now_ms.saturating_sub(since_ms) < ALL_HEARD_AFTER_MS;
        if let (true, Some(homes)) = (may_lack_some, homes) {
            nodes.retain(|node| node.region == query.region || homes.contains(&node.zone));
        }
        near(&nodes, query, homes)
    }

    /// Gateways that are ready, by address.
    #[must_use]
    pub fn ready(&self, now_ms: u64) -> Vec<DirectoryNode> {
        let heard = self.heard.values();
        heard
            .filter(|heard| heard.ready && heard.is_recent(now_ms))
            .map(|heard| heard.node.clone())
            .collect()
    }
}

/// Addresses of the gateways near a caller: those of its zone. Where these are
/// fewer than [`FEWEST_NEAR`], those of its region; without any, those of the zones that
/// are homes of what it asks for, where there are such; else all.
#[must_use]
pub fn near(
    nodes: &[DirectoryNode],
    query: &DirectoryQuery<'_>,
    homes: Option<&BTreeSet<String>>,
) -> Vec<String> {
    let mut chosen = addresses(nodes.iter().filter(|node| node.zone == query.zone));
    if chosen.len() < FEWEST_NEAR {
        let of_region = nodes.iter().filter(|node| node.region == query.region);
        chosen = addresses(of_region);
    }
    if let (true, Some(homes)) = (chosen.is_empty(), homes) {
        chosen = addresses(nodes.iter().filter(|node| homes.contains(&node.zone)));
    }
    if chosen.is_empty() {
        chosen = addresses(nodes.iter());
    }
    chosen.truncate(query.limit);
    chosen
}

fn addresses<'a>(nodes: impl Iterator<Item = &'a DirectoryNode>) -> Vec<String> {
    nodes.map(|node| node.address.clone()).collect()
}
