//! The line index of a batch input file.
//!
//! Line lengths and `custom_id`s are in the payload store, in chunks of
//! [`INDEX_CHUNK_ITEMS`] lines. Memory holds one reference per chunk and compressed
//! bitmaps of the lines of each model and of the at-most-once lines.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::ItemHead,
    frame,
    ids::{ItemNumber, ModelId},
};
use linnethitch_storage::{PayloadRef, Payloads, StorageResult};
use rkyv::{Archive, Deserialize, Serialize};
use roaring::RoaringBitmap;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    limits::{CACHED_INDEX_CHUNKS, INDEX_CHUNK_ITEMS, MAX_LINE_BYTES, MAX_NAMES_PER_FILE},
    refusal::{Rejection, refuse},
};

/// Consecutive lines of a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct IndexChunk {
    /// Byte offset of the first line in the file.
    start: u64,
    /// End of each line, in bytes after `start`.
    line_ends: Vec<u32>,
    /// End of each `custom_id` in `custom_ids`.
    id_ends: Vec<u32>,
    /// All `custom_id`s, concatenated.
    custom_ids: Vec<u8>,
}

impl IndexChunk {
    fn push(&mut self, head: &ItemHead) {
        let line_end = self.line_ends.last().copied().unwrap_or(0) + head.bytes;
        self.line_ends.push(line_end);
        self.custom_ids.extend_from_slice(head.custom_id.as_bytes());
        self.id_ends.push(self.custom_ids.len() as u32);
    }

    fn bytes(&self) -> u32 {
        self.line_ends.last().copied().unwrap_or(0)
    }

    fn longest(&self) -> u32 {
        let positions = 0..self.line_ends.len();
        let lengths = positions
            .map(|position| self.line_ends[position] - preceding(&self.line_ends, position));
        lengths.max().unwrap_or(0)
    }

    /// Byte offset in the file and length of a line of this chunk.
    pub(crate) fn line(&self, position: usize) -> Option<(u64, u32)> {
        let end = *self.line_ends.get(position)?;
        let start = preceding(&self.line_ends, position);
        Some((self.start + u64::from(start), end - start))
    }

    /// The `custom_id` of a line of this chunk.
    pub(crate) fn custom_id(&self, position: usize) -> Option<&str> {
        let end = *self.id_ends.get(position)? as usize;
        let start = preceding(&self.id_ends, position) as usize;
        std::str::from_utf8(self.custom_ids.get(start..end)?).ok()
    }
}

/// The end of the entry before `position`.
fn preceding(ends: &[u32], position: usize) -> u32 {
    position.checked_sub(1).map_or(0, |previous| ends[previous])
}

/// A full chunk in the payload store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct StoredChunk {
    /// Hash of the encoded chunk.
    pub(crate) checksum: u64,
    /// Total length of the chunk's lines, in bytes.
    pub(crate) bytes: u32,
    /// Length of the longest line, in bytes.
    pub(crate) longest: u32,
    /// Position in this member's payload store.
    pub(crate) payload: PayloadRef,
}

/// The lines of a file that name one model.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ModelLines {
    /// The model.
    pub(crate) model: ModelId,
    /// The lines.
    pub(crate) items: RoaringBitmap,
}

/// An endpoint named in a file.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct EndpointUse {
    /// The path.
    pub(crate) endpoint: String,
    /// The first line that names the endpoint.
    pub(crate) first: u32,
}

/// The line index of a file.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct LineIndex {
    /// Number of lines indexed so far.
    pub(crate) lines: u32,
    /// Total length of these lines, in bytes.
    pub(crate) bytes: u64,
    /// Stored chunks.
    pub(crate) chunks: Vec<StoredChunk>,
    /// The chunk being filled; empty once the file is finished.
    pub(crate) open: IndexChunk,
    /// Lines by model.
    pub(crate) models: Vec<ModelLines>,
    /// Endpoints in the order of first use.
    pub(crate) endpoints: Vec<EndpointUse>,
    /// Lines that must run at most once.
    pub(crate) at_most_once: RoaringBitmap,
}

impl LineIndex {
    /// Checks the next lines without adding them.
    pub(crate) fn check(&self, heads: &[ItemHead]) -> Result<(), Rejection> {
        let mut models: Vec<&str> = self
            .models
            .iter()
            .map(|lines| lines.model.as_str())
            .collect();
        let mut endpoints: Vec<&str> = self
            .endpoints
            .iter()
            .map(|usage| usage.endpoint.as_str())
            .collect();
        for (position, head) in heads.iter().enumerate() {
            let line = self.lines as usize + position + 1;
            if head.bytes == 0 || head.bytes > MAX_LINE_BYTES {
                let message = format!("line {line}: invalid length of {} bytes", head.bytes);
                return refuse(ErrorKind::InvalidBatchLine, message);
            }
            if add_name(&mut models, head.model.as_str())
                || add_name(&mut endpoints, &head.endpoint)
            {
                let message = format!(
                    "line {line}: more than {MAX_NAMES_PER_FILE} different models or paths"
                );
                return refuse(ErrorKind::InvalidBatchLine, message);
            }
        }
        Ok(())
    }

    /// Adds checked lines.
    pub(crate) fn extend(
        &mut self,
        payloads: &mut dyn Payloads,
        heads: &[ItemHead],
    ) -> StorageResult<()> {
        for head in heads {
            self.push(head);
            if self.open.line_ends.len() == INDEX_CHUNK_ITEMS {
                self.store_open(payloads)?;
            }
        }
        Ok(())
    }

    fn push(&mut self, head: &ItemHead) {
        if self.open.line_ends.is_empty() {
            self.open.start = self.bytes;
        }
        self.open.push(head);
        let line = self.lines;
        self.model_lines(&head.model).insert(line);
        self.add_endpoint(&head.endpoint);
        if head.at_most_once {
            self.at_most_once.insert(line);
        }
        self.lines += 1;
        self.bytes += u64::from(head.bytes);
    }

    fn model_lines(&mut self, model: &ModelId) -> &mut RoaringBitmap {
        let known = self.models.iter().position(|lines| lines.model == *model);
        let position = known.unwrap_or_else(|| {
            self.models.push(ModelLines {
                model: model.clone(),
                items: RoaringBitmap::new(),
            });
            self.models.len() - 1
        });
        &mut self.models[position].items
    }

    fn add_endpoint(&mut self, endpoint: &str) {
        if !self
            .endpoints
            .iter()
            .any(|usage| usage.endpoint == endpoint)
        {
            self.endpoints.push(EndpointUse {
                endpoint: endpoint.to_owned(),
                first: self.lines,
            });
        }
    }

    fn store_open(&mut self, payloads: &mut dyn Payloads) -> StorageResult<()> {
        if self.open.line_ends.is_empty() {
            return Ok(());
        }
        let chunk = std::mem::take(&mut self.open);
        let encoded = frame::encode(&chunk)?;
        self.chunks.push(StoredChunk {
            checksum: xxh3_64(&encoded),
            bytes: chunk.bytes(),
            longest: chunk.longest(),
            payload: payloads.append(&encoded)?,
        });
        Ok(())
    }

    /// Stores the last chunk. No lines may be added afterwards.
    pub(crate) fn finish(&mut self, payloads: &mut dyn Payloads) -> StorageResult<()> {
        self.store_open(payloads)?;
        self.chunks.shrink_to_fit();
        for lines in &mut self.models {
            lines.items.optimize();
        }
        self.at_most_once.optimize();
        Ok(())
    }

    /// Releases up to `steps` chunks from the end; returns their number.
    pub(crate) fn release(&mut self, payloads: &mut dyn Payloads, steps: usize) -> usize {
        let remaining = self.chunks.len().saturating_sub(steps);
        let released = self.chunks.split_off(remaining);
        for chunk in &released {
            payloads.release(&chunk.payload);
        }
        released.len()
    }
}

/// Adds a name unless it is known; returns whether there are more than
/// [`MAX_NAMES_PER_FILE`].
fn add_name<'a>(names: &mut Vec<&'a str>, name: &'a str) -> bool {
    if !names.contains(&name) {
        names.push(name);
    }
    names.len() > MAX_NAMES_PER_FILE
}

/// Recently decoded chunks of this member; not part of the replicated state.
#[derive(Debug, Default)]
pub(crate) struct ChunkCache {
    entries: std::collections::VecDeque<(PayloadRef, Arc<IndexChunk>)>,
}

impl ChunkCache {
    /// The chunk with an item of a finished file.
    pub(crate) fn chunk(
        &mut self,
        payloads: &dyn Payloads,
        index: &LineIndex,
        item: ItemNumber,
    ) -> StorageResult<Arc<IndexChunk>> {
        let number = item.0 as usize / INDEX_CHUNK_ITEMS;
        let stored = index.chunks.get(number).ok_or_else(|| {
            error_stack::Report::new(ErrorKind::Internal)
                .attach(format!("no index chunk for line {}", item.0))
        })?;
        let cached = self
            .entries
            .iter()
            .find(|(payload, _)| *payload == stored.payload);
        if let Some((_, chunk)) = cached {
            return Ok(Arc::clone(chunk));
        }
        let chunk: Arc<IndexChunk> = Arc::new(frame::decode(&payloads.read(&stored.payload)?)?);
        if self.entries.len() == CACHED_INDEX_CHUNKS {
            self.entries.pop_back();
        }
        self.entries
            .push_front((stored.payload, Arc::clone(&chunk)));
        Ok(chunk)
    }
}

/// Upper bounds for the total length of lines, computed from the chunk sizes in memory.
///
/// The lengths of single lines are in the payload store, and the effect of a command must
/// not depend on a read. `n` lines of a chunk have at most `n` times the length of the
/// longest line, and at most the length of the chunk.
pub(crate) struct LineBounds<'a> {
    index: &'a LineIndex,
    chunk: Option<usize>,
    /// The bound so far for lines of the current chunk, in bytes.
    bound_bytes: u64,
    /// Number of lines of the current chunk so far.
    lines: u64,
}

impl<'a> LineBounds<'a> {
    /// Bounds for lines of a finished file.
    pub(crate) fn new(index: &'a LineIndex) -> Self {
        LineBounds {
            index,
            chunk: None,
            bound_bytes: 0,
            lines: 0,
        }
    }

    /// Adds a line and returns the increase of the bound, in bytes. Lines must be added in
    /// ascending order.
    pub(crate) fn next(&mut self, item: ItemNumber) -> u64 {
        let number = item.0 as usize / INDEX_CHUNK_ITEMS;
        if self.chunk != Some(number) {
            self.chunk = Some(number);
            self.bound_bytes = 0;
            self.lines = 0;
        }
        let Some(chunk) = self.index.chunks.get(number) else {
            return 0;
        };
        self.lines += 1;
        let bound = (self.lines * u64::from(chunk.longest)).min(u64::from(chunk.bytes));
        let increase = bound - self.bound_bytes;
        self.bound_bytes = bound;
        increase
    }
}

/// The index of an item in its chunk.
pub(crate) fn position_in_chunk(item: ItemNumber) -> usize {
    item.0 as usize % INDEX_CHUNK_ITEMS
}
