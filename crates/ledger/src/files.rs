//! Input files: uploaded in pieces, then visible and unchangeable.

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

/// Where a file is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub(crate) enum FilePhase {
    /// Pieces may follow.
    Unfinished,
    /// Visible and unchangeable since then.
    Finished(Timestamp),
    /// Gone for callers; its payloads are released bit by bit.
    Dropping,
}

/// A file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct InputFile {
    /// Whose.
    pub(crate) tenant: TenantId,
    /// `batch`.
    pub(crate) purpose: String,
    /// The caller's name of it.
    pub(crate) filename: String,
    /// Its bytes.
    pub(crate) content: StoredBytes,
    /// Its lines.
    pub(crate) index: LineIndex,
    /// Its phase.
    pub(crate) phase: FilePhase,
    /// When it is dropped, unless a job needs it then.
    pub(crate) expires_at: Timestamp,
    /// Jobs not yet at an end that read it.
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

    /// What is told of it; `None` unless it is finished.
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
        if let Some(known) = self.state.files.get(file) {
            let same = known.tenant == *tenant && known.filename == filename;
            if same && known.phase != FilePhase::Dropping {
                return ready(Outcome::Done);
            }
            return refuse(ErrorKind::InvalidState, "the file id is taken");
        }
        if self.unfinished_files_of.of(tenant) >= MAX_UNFINISHED_FILES_PER_TENANT {
            return refuse(ErrorKind::Overloaded, "too many unfinished files");
        }
        let expires_at = after(self.state.now, UNFINISHED_FILE_MS);
        self.timers.add(expires_at, TimerKey::File(file.clone()));
        self.unfinished_files_of.add(tenant);
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
            let message = format!("a piece at {offset} leaves a gap after {length}");
            return refuse(ErrorKind::InvalidState, message);
        }
        if end > max_bytes {
            return refuse(ErrorKind::BodyTooLarge, "the file is too large");
        }
        let known = (length - offset) as usize;
        let Some(stored) = self.state.files.get_mut(file).map(Arc::make_mut) else {
            return refuse(ErrorKind::NotFound, "no such file");
        };
        stored
            .content
            .append(self.payloads.as_mut(), &data[known..])?;
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
        let known = stored.index.lines;
        if first.0 > known {
            let message = format!("items from {first} leave a gap after {known}");
            return refuse(ErrorKind::InvalidState, message);
        }
        let already = (known - first.0) as usize;
        if already >= heads.len() {
            return ready(Outcome::Done);
        }
        if stored.phase != FilePhase::Unfinished {
            return refuse(ErrorKind::InvalidState, "the file is finished");
        }
        let heads = &heads[already..];
        self.check_heads(stored, heads)?;
        self.add_heads(file, heads)?;
        ready(Outcome::Done)
    }

    pub(crate) fn finish_file(&mut self, file: &FileId, bytes: u64, heads: &[ItemHead]) -> Applied {
        let stored = self.file_for_upload(file)?;
        if stored.content.len() != bytes {
            let message = format!(
                "{} bytes have arrived, {bytes} are expected",
                stored.content.len()
            );
            return refuse(ErrorKind::TruncatedUpload, message);
        }
        if let Some(record) = stored.finished_record(file) {
            return ready(Outcome::File(record));
        }
        self.check_heads(stored, heads)?;
        let new_bytes: u64 = heads.iter().map(|head| u64::from(head.bytes)).sum();
        let indexed = stored.index.bytes + new_bytes;
        if indexed != bytes && !(indexed == 0 && stored.purpose != "batch") {
            let message = format!("the lines add up to {indexed} bytes, not {bytes}");
            return refuse(ErrorKind::InvalidValue, message);
        }
        let tenant = stored.tenant.clone();
        self.add_heads(file, heads)?;
        self.unfinished_files_of.remove(&tenant);
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
            return refuse(ErrorKind::InvalidState, "a job still needs the file");
        }
        self.begin_dropping_file(file);
        ready(Outcome::Done)
    }

    /// Hides a file and leaves its payloads to `Expire`.
    pub(crate) fn begin_dropping_file(&mut self, file: &FileId) {
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
            self.unfinished_files_of.remove(&tenant);
        }
    }

    /// Lets a file go on for a while after its last job's end.
    pub(crate) fn leave_file(&mut self, file: &FileId) {
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
            let message = format!("over {max_items} items");
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
