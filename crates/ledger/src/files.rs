//! Input files: uploaded in pieces, then visible and immutable.

use std::sync::Arc;

use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{ItemHead, Outcome},
    ids::{FileId, ItemNumber, TenantId, Timestamp},
    query::FileRecord,
};

use crate::{
    ledger::Ledger,
    limits::{
        MAX_HEADS_PER_COMMAND, MAX_NAME_BYTES, MAX_PIECE_BYTES, MAX_UNFINISHED_FILES_PER_TENANT,
        UNFINISHED_FILE_MS,
    },
    line_index::LineIndex,
    refusal::{Applied, Rejection, ready, refuse},
    stored_bytes::StoredBytes,
    timers::{TimerKey, after},
};

/// Life cycle of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum FilePhase {
    /// The upload is in progress.
    Unfinished,
    /// Visible and immutable since the given time.
    Finished(Timestamp),
    /// No longer visible to callers; the payloads are being released in bounded steps.
    Dropping,
}

/// An input file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct InputFile {
    /// The tenant.
    pub(crate) tenant: TenantId,
    /// The purpose: `batch`.
    pub(crate) purpose: String,
    /// The caller's file name.
    pub(crate) filename: String,
    /// The content.
    pub(crate) content: StoredBytes,
    /// The line index.
    pub(crate) index: LineIndex,
    /// The phase.
    pub(crate) phase: FilePhase,
    /// When the file is dropped, unless an open job uses it at that time.
    pub(crate) expires_at: Timestamp,
    /// Number of open jobs that use the file.
    pub(crate) open_jobs: u32,
}

impl InputFile {
    fn record(&self, file: &FileId, created_at: Timestamp) -> FileRecord {
        FileRecord {
            file: file.clone(),
            tenant: self.tenant.clone(),
            purpose: self.purpose.clone(),
            filename: self.filename.clone(),
            bytes: self.content.len(),
            lines: self.index.lines,
            created_at,
        }
    }

    /// The record reported to callers; `None` unless the file is finished.
    pub(crate) fn finished_record(&self, file: &FileId) -> Option<FileRecord> {
        match self.phase {
            FilePhase::Finished(at) => Some(self.record(file, at)),
            FilePhase::Unfinished | FilePhase::Dropping => None,
        }
    }
}

impl Ledger {
    pub(crate) fn create_file(
        &mut self,
        file: &FileId,
        tenant: &TenantId,
        purpose: &str,
        filename: &str,
    ) -> Applied {
        let names = [file.as_str(), tenant.as_str(), purpose, filename];
        if file.as_str().is_empty() || names.iter().any(|name| name.len() > MAX_NAME_BYTES) {
            return refuse(ErrorKind::InvalidValue, "a name is empty or too long");
        }
        if let Some(existing) = self.state.files.get(file) {
            let same = existing.tenant == *tenant && existing.filename == filename;
            if same && existing.phase != FilePhase::Dropping {
                return ready(Outcome::Done);
            }
            return refuse(ErrorKind::InvalidState, "the file id is already in use");
        }
        if self.unfinished_files_by_tenant.get(tenant) >= MAX_UNFINISHED_FILES_PER_TENANT {
            return refuse(ErrorKind::Overloaded, "too many unfinished files");
        }
        let expires_at = after(self.state.now, UNFINISHED_FILE_MS);
        self.timers.add(expires_at, TimerKey::File(file.clone()));
        self.unfinished_files_by_tenant.add(tenant);
        let created = InputFile {
            tenant: tenant.clone(),
            purpose: purpose.to_owned(),
            filename: filename.to_owned(),
            content: StoredBytes::default(),
            index: LineIndex::default(),
            phase: FilePhase::Unfinished,
            expires_at,
            open_jobs: 0,
        };
        self.state.files.insert(file.clone(), Arc::new(created));
        ready(Outcome::Done)
    }

    pub(crate) fn append_file(&mut self, file: &FileId, offset: u64, data: &[u8]) -> Applied {
        if data.len() > MAX_PIECE_BYTES {
            return refuse(ErrorKind::BodyTooLarge, "the piece is too large");
        }
        let max_bytes = self.configuration.batch().max_file_bytes;
        let now = self.state.now;
        let stored = self.file_for_upload(file)?;
        let length = stored.content.len();
        let end = offset.saturating_add(data.len() as u64);
        if end <= length {
            return ready(Outcome::Done);
        }
        if stored.phase != FilePhase::Unfinished {
            return refuse(ErrorKind::InvalidState, "the file is finished");
        }
        if offset > length {
            let message = format!("a piece at offset {offset} leaves a gap after {length} bytes");
            return refuse(ErrorKind::InvalidState, message);
        }
        if end > max_bytes {
            return refuse(ErrorKind::BodyTooLarge, "the file is too large");
        }
        let overlap = (length - offset) as usize;
        let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) else {
            return refuse(ErrorKind::NotFound, "no such file");
        };
        stored
            .content
            .append(self.payloads.as_mut(), &data[overlap..])?;
        let expires_at = after(now, UNFINISHED_FILE_MS);
        self.timers.reset(
            &mut stored.expires_at,
            expires_at,
            TimerKey::File(file.clone()),
        );
        ready(Outcome::Done)
    }

    pub(crate) fn index_file(
        &mut self,
        file: &FileId,
        first: ItemNumber,
        heads: &[ItemHead],
    ) -> Applied {
        let stored = self.file_for_upload(file)?;
        let indexed = stored.index.lines;
        if first.0 > indexed {
            let message = format!("items from {first} on leave a gap after {indexed} items");
            return refuse(ErrorKind::InvalidState, message);
        }
        let overlap = (indexed - first.0) as usize;
        if overlap >= heads.len() {
            return ready(Outcome::Done);
        }
        if stored.phase != FilePhase::Unfinished {
            return refuse(ErrorKind::InvalidState, "the file is finished");
        }
        let heads = &heads[overlap..];
        self.check_heads(stored, heads)?;
        self.add_heads(file, heads)?;
        ready(Outcome::Done)
    }

    pub(crate) fn finish_file(&mut self, file: &FileId, bytes: u64, heads: &[ItemHead]) -> Applied {
        let stored = self.file_for_upload(file)?;
        if stored.content.len() != bytes {
            let message = format!("received {} bytes, expected {bytes}", stored.content.len());
            return refuse(ErrorKind::TruncatedUpload, message);
        }
        if let Some(record) = stored.finished_record(file) {
            return ready(Outcome::File(record));
        }
        self.check_heads(stored, heads)?;
        let new_bytes: u64 = heads.iter().map(|head| u64::from(head.bytes)).sum();
        let indexed = stored.index.bytes + new_bytes;
        if indexed != bytes && !(indexed == 0 && stored.purpose != "batch") {
            let message = format!("the lines have {indexed} bytes in total, the file has {bytes}");
            return refuse(ErrorKind::InvalidValue, message);
        }
        let tenant = stored.tenant.clone();
        self.add_heads(file, heads)?;
        self.unfinished_files_by_tenant.remove(&tenant);
        let now = self.state.now;
        let expires_at = after(now, self.configuration.retention_ms());
        let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) else {
            return refuse(ErrorKind::NotFound, "no such file");
        };
        stored.index.finish(self.payloads.as_mut())?;
        stored.content.pieces.shrink_to_fit();
        stored.phase = FilePhase::Finished(now);
        self.timers.reset(
            &mut stored.expires_at,
            expires_at,
            TimerKey::File(file.clone()),
        );
        ready(Outcome::File(stored.record(file, now)))
    }

    pub(crate) fn delete_file(&mut self, tenant: &TenantId, file: &FileId) -> Applied {
        let stored = self.file_for_upload(file)?;
        if stored.tenant != *tenant {
            return refuse(ErrorKind::NotFound, "no such file");
        }
        if stored.open_jobs > 0 {
            return refuse(ErrorKind::InvalidState, "an open job uses the file");
        }
        self.start_dropping_file(file);
        ready(Outcome::Done)
    }

    /// Hides a file from callers. `Expire` commands then release the payloads.
    pub(crate) fn start_dropping_file(&mut self, file: &FileId) {
        let now = self.state.now;
        let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) else {
            return;
        };
        let was_unfinished = stored.phase == FilePhase::Unfinished;
        stored.phase = FilePhase::Dropping;
        self.timers
            .reset(&mut stored.expires_at, now, TimerKey::File(file.clone()));
        let tenant = stored.tenant.clone();
        if was_unfinished {
            self.unfinished_files_by_tenant.remove(&tenant);
        }
    }

    /// Records that a job no longer uses a file, and restarts the file's retention time.
    pub(crate) fn end_file_use(&mut self, file: &FileId) {
        let expires_at = after(self.state.now, self.configuration.retention_ms());
        if let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) {
            stored.open_jobs = stored.open_jobs.saturating_sub(1);
            self.timers.reset(
                &mut stored.expires_at,
                expires_at,
                TimerKey::File(file.clone()),
            );
        }
    }

    fn file_for_upload(&self, file: &FileId) -> Result<&InputFile, Rejection> {
        match self.state.files.get(file) {
            Some(stored) if stored.phase != FilePhase::Dropping => Ok(stored),
            _ => refuse(ErrorKind::NotFound, "no such file"),
        }
    }

    fn check_heads(&self, stored: &InputFile, heads: &[ItemHead]) -> Result<(), Rejection> {
        let max_items = self.configuration.batch().max_items as usize;
        let lines = stored.index.lines as usize + heads.len();
        if heads.len() > MAX_HEADS_PER_COMMAND || lines > max_items {
            let message = format!("more than {max_items} items");
            return refuse(ErrorKind::BodyTooLarge, message);
        }
        stored.index.check(heads)
    }

    fn add_heads(&mut self, file: &FileId, heads: &[ItemHead]) -> Result<(), Rejection> {
        let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) else {
            return refuse(ErrorKind::NotFound, "no such file");
        };
        stored.index.extend(self.payloads.as_mut(), heads)?;
        Ok(())
    }
}
