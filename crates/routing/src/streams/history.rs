//! The software versions that replicas of each service had lately, as this gateway knows.
//!
//! A stream without a record began at the only version that its service had for as long as the
//! stream can be old.

use std::collections::HashMap;

/// Versions of services, and when a replica of each was last listed.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    /// When this gateway began to follow the fleet.
    began_ms: Option<u64>,
    /// By service and version; `None` stands for replicas whose version is unknown.
    last_listed_ms: HashMap<String, HashMap<Option<String>, u64>>,
}

impl SoftwareHistory {
    /// Records that a replica of a service with this software is or was listed until now.
    pub fn record(&mut self, service: &str, software: Option<&str>, now_ms: u64) {
        self.began_ms.get_or_insert(now_ms);
        let versions = self.last_listed_ms.entry(service.to_owned()).or_default();
        versions.insert(software.map(str::to_owned), now_ms);
    }

    /// The only version that a service had within `window_ms`. `None` if it had several, or a
    /// replica of an unknown version, or if this gateway has not followed the fleet for as long.
    /// Versions of replicas that are listed now must have been recorded at `now_ms`.
    #[must_use]
    pub fn only_version(&self, service: &str, window_ms: u64, now_ms: u64) -> Option<&str> {
        let followed_ms = now_ms.saturating_sub(self.began_ms?);
        if followed_ms < window_ms {
            return None;
        }
        let versions = self.last_listed_ms.get(service)?.iter();
        let mut recent = versions.filter(|(_, listed_ms)| **listed_ms + window_ms >= now_ms);
        let (only, _) = recent.next()?;
        if recent.next().is_some() {
            return None;
        }
        only.as_deref()
    }

    /// Removes versions that were last listed longer ago than `window_ms`.
    pub fn remove_older(&mut self, window_ms: u64, now_ms: u64) {
        for versions in self.last_listed_ms.values_mut() {
            versions.retain(|_, listed_ms| *listed_ms + window_ms >= now_ms);
        }
        self.last_listed_ms
            .retain(|_, versions| !versions.is_empty());
    }
}
