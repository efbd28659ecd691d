//! The directory of gateways that callers may use.

use std::collections::{BTreeMap, BTreeSet};

use rkyv::{Archive, Deserialize, Serialize};

/// Time for which a gateway counts as ready after it reported so, in milliseconds.
pub const READY_TTL_MS: u64 = 1_200;

/// Time within which all gateways connect to a control member, in milliseconds. A member
/// that has just started, or resumes after a process pause, may receive reports from a
/// distant region first. Until this time is over, it names no gateway outside the caller's
/// region and the home regions.
const DISCOVERY_MS: u64 = 2_500;

/// A caller gets the gateways of its region if its zone has fewer than this.
const MIN_IN_ZONE: usize = 2;

/// A gateway as an entry of the directory.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct DirectoryNode {
    /// The address for callers, as IP:PORT.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// A caller's query for gateways.
#[derive(Clone, Copy, Debug)]
pub struct DirectoryQuery<'a> {
    /// The host of the caller's requests.
    pub host: &'a str,
    /// The caller's region.
    pub region: &'a str,
    /// The caller's zone.
    pub zone: &'a str,
    /// Maximum number of addresses in the answer.
    pub limit: usize,
}

#[derive(Clone, Debug)]
struct Report {
    node: DirectoryNode,
    ready: bool,
    at_ms: u64,
}

impl Report {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.at_ms) <= READY_TTL_MS
    }
}

/// Gateways and their last reports.
#[derive(Clone, Debug, Default)]
pub struct NodeList {
    reports: BTreeMap<String, Report>,
    /// Since when reports arrive without a gap, and when the last one arrived.
    reported_since_ms: Option<u64>,
    last_report_ms: u64,
}

impl NodeList {
    /// Records the report of a gateway; true if it changes the directory.
    pub fn record(&mut self, node: DirectoryNode, ready: bool, now_ms: u64) -> bool {
        if now_ms.saturating_sub(self.last_report_ms) > READY_TTL_MS {
            self.reported_since_ms = None;
        }
        self.reported_since_ms.get_or_insert(now_ms);
        self.last_report_ms = now_ms;
        let report = Report {
            ready,
            at_ms: now_ms,
            node,
        };
        let before = self.reports.get(&report.node.address);
        let is_change = before.is_none_or(|before| {
            before.ready != report.ready || before.node != report.node || !before.is_recent(now_ms)
        });
        self.reports.insert(report.node.address.clone(), report);
        is_change
    }

    /// Removes a gateway whose connection broke.
    pub fn remove(&mut self, address: &str) {
        self.reports.remove(address);
    }

    /// Addresses of the ready gateways for a caller; see [`near`].
    #[must_use]
    pub fn near(
        &self,
        query: &DirectoryQuery<'_>,
        homes: Option<&BTreeSet<String>>,
        now_ms: u64,
    ) -> Vec<String> {
        let mut nodes = self.ready(now_ms);
        let since_ms = self.reported_since_ms.unwrap_or(now_ms);
        let may_be_incomplete = now_ms.saturating_sub(since_ms) < DISCOVERY_MS;
        if let (true, Some(homes)) = (may_be_incomplete, homes) {
            nodes.retain(|node| node.region == query.region || homes.contains(&node.zone));
        }
        near(&nodes, query, homes)
    }

    /// Ready gateways, by address.
    #[must_use]
    pub fn ready(&self, now_ms: u64) -> Vec<DirectoryNode> {
        let reports = self.reports.values();
        reports
            .filter(|report| report.ready && report.is_recent(now_ms))
            .map(|report| report.node.clone())
            .collect()
    }
}

/// Addresses of the gateways for a caller: the gateways of its zone, or those of its region
/// if the zone has fewer than [`MIN_IN_ZONE`]. If the region has none, the gateways of the
/// zones in the home regions of the requested host, if it is restricted to such; if there is
/// none either, all gateways.
#[must_use]
pub fn near(
    nodes: &[DirectoryNode],
    query: &DirectoryQuery<'_>,
    homes: Option<&BTreeSet<String>>,
) -> Vec<String> {
    let mut chosen = addresses(nodes.iter().filter(|node| node.zone == query.zone));
    if chosen.len() < MIN_IN_ZONE {
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
