//! Parsed configurations that several gateways of one process share.

use std::{collections::VecDeque, sync::Arc};

use linnethitch_config::fleet::FleetDocument;
use parking_lot::Mutex;

/// Cached documents; older ones stay in memory while a gateway still uses them.
const MAX_CACHED_DOCUMENTS: usize = 8;

/// Cache of the newest documents by digest, so that hundreds of gateways in one process
/// store and parse each text once.
#[derive(Debug, Default)]
pub struct SharedDocuments {
    documents: Mutex<VecDeque<Arc<FleetDocument>>>,
}

impl SharedDocuments {
    /// Returns the cached document with this digest, or parses and caches it.
    ///
    /// Concurrent callers wait until the parse has ended.
    ///
    /// # Errors
    /// The error of `parse`.
    pub fn get_or_parse<E>(
        &self,
        digest: u64,
        parse: impl FnOnce() -> Result<Arc<FleetDocument>, E>,
    ) -> Result<Arc<FleetDocument>, E> {
        let mut documents = self.documents.lock();
        if let Some(known) = documents.iter().find(|known| known.digest() == digest) {
            return Ok(Arc::clone(known));
        }
        let parsed = parse()?;
        documents.push_back(Arc::clone(&parsed));
        if documents.len() > MAX_CACHED_DOCUMENTS {
            documents.pop_front();
        }
        Ok(parsed)
    }
}
