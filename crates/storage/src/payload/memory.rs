//! An in-memory payload store, for tests and for state that need not be durable.

use std::collections::HashMap;

use error_stack::Report;
use linnethitch_errors::ErrorKind;

use super::{PayloadMark, PayloadRef, Payloads};
use crate::file_system::StorageResult;

/// An in-memory payload store; a released payload is dropped at once.
#[derive(Clone, Debug, Default)]
pub struct MemoryPayloads {
    payloads: HashMap<(u32, u32), Vec<u8>>,
    next: u64,
    live_bytes: u64,
}

impl MemoryPayloads {
    /// An empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn find(&self, payload: &PayloadRef) -> StorageResult<&Vec<u8>> {
        self.payloads
            .get(&(payload.segment, payload.offset))
            .ok_or_else(|| {
                Report::new(ErrorKind::NotFound).attach(format!("no payload at {payload:?}"))
            })
    }
}

impl Payloads for MemoryPayloads {
    fn append(&mut self, data: &[u8]) -> StorageResult<PayloadRef> {
        let length = u32::try_from(data.len()).map_err(|_| {
            Report::new(ErrorKind::BodyTooLarge).attach("a payload must be smaller than 4 GiB")
        })?;
        let payload = PayloadRef {
            segment: (self.next >> 32) as u32,
            offset: self.next as u32,
            length,
        };
        self.next += 1;
        self.live_bytes += u64::from(length);
        self.payloads
            .insert((payload.segment, payload.offset), data.to_vec());
        Ok(payload)
    }

    fn read(&self, payload: &PayloadRef) -> StorageResult<Vec<u8>> {
        self.find(payload).cloned()
    }

    fn read_range(
        &self,
        payload: &PayloadRef,
        offset: u32,
        length: usize,
    ) -> StorageResult<Vec<u8>> {
        let data = self.find(payload)?;
        let start = (offset as usize).min(data.len());
        let end = start.saturating_add(length).min(data.len());
        Ok(data[start..end].to_vec())
    }

    fn mark_live(&mut self, payload: &PayloadRef) -> StorageResult<()> {
        self.find(payload).map(|_| ())
    }

    fn release(&mut self, payload: &PayloadRef) {
        let removed = self.payloads.remove(&(payload.segment, payload.offset));
        self.live_bytes -= removed.map_or(0, |data| data.len() as u64);
    }

    fn sync(&mut self) -> StorageResult<()> {
        Ok(())
    }

    fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    fn checkpoint(&mut self) -> StorageResult<PayloadMark> {
        Ok(PayloadMark::default())
    }

    fn reclaim_before(&mut self, _mark: PayloadMark) -> StorageResult<()> {
        Ok(())
    }

    fn compaction_candidate(&self) -> Option<u32> {
        None
    }

    fn compact(&mut self, _segment: u32, _live: &[PayloadRef]) -> StorageResult<()> {
        Ok(())
    }
}
