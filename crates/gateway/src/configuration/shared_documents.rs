//! Parsed configurations that several gateways of one process share.

use std::{collections::VecDeque, sync::Arc};

use linnethitch_config::fleet::FleetDocument;
use parking_lot::Mutex;

/// Documents that are kept; older ones live as long as a gateway holds them.
const KEPT_DOCUMENTS: usize = 8;

/// The newest documents by digest, so that hundreds of gateways in one process
/// hold and parse each text once.
#[derive(Debug, Default)]
pub struct SharedDocuments {
    documents: Mutex<VecDeque<Arc<FleetDocument>>>,
}

impl SharedDocuments {
    /// The document of a text, made where it is not there yet.
    ///
    /// Who comes while it is made waits for it.
    ///
    /// # Errors
    /// What `make` gives.
    pub fn get_or_parse<E>(
        &self,
        digest: u64,
        make: impl FnOnce() -> Result<Arc<FleetDocument>, E>,
    ) -> Result<Arc<FleetDocument>, E> {
        let mut documents = self.documents.lock();
        if let Some(known) = documents.iter().find(|known| known.digest() == digest) {
            return Ok(Arc::clone(known));
        }
        let made = make()?;
        documents.push_back(Arc::clone(&made));
        if documents.len() > KEPT_DOCUMENTS {
            documents.pop_front();
        }
        Ok(made)
    }
}
