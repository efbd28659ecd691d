//! Snapshots of the state machine: written in chunks, checked, then renamed into place.
//!
//! Layout, little endian: 8 bytes magic, `u32` format version, `u32` length of
//! the encoded [`SnapshotMeta`], the meta, content, then a trailer of `u64`
//! content length and `u32` CRC-32 of everything before the trailer's checksum.
//! Peers receive an identical copy of the file, so the receiver checks the same checksum.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{consensus::SnapshotMeta, frame, ids::LogIndex};

use crate::file_system::{File, FileSystem, OpenMode, StorageResult};

/// Directory of the snapshots in the data folder.
pub const SNAPSHOT_DIRECTORY: &str = "snapshots";
/// Default number of complete snapshots that are retained.
pub const DEFAULT_RETAINED_SNAPSHOTS: usize = 2;
/// Version of the snapshot format.
pub const SNAPSHOT_FORMAT_VERSION: u32 = 1;
const MAGIC: [u8; 8] = *b"LHSNAP01";
const FIXED_HEADER_BYTES: usize = 16;
const TRAILER_BYTES: usize = 12;
const MAX_META_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 256 * 1024;
const SUFFIX: &str = ".snapshot";
const WRITING_SUFFIX: &str = ".writing";
const RECEIVING_SUFFIX: &str = ".receiving";

/// A complete snapshot on disk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotInfo {
    /// Metadata, including the last log index that the snapshot covers.
    pub meta: SnapshotMeta,
    /// Bytes of the complete file, which is what peers receive.
    pub file_bytes: u64,
    /// File offset of the content.
    content_start: u64,
}

impl SnapshotInfo {
    /// Bytes of the content.
    #[must_use]
    pub fn content_bytes(&self) -> u64 {
        self.file_bytes - self.content_start - TRAILER_BYTES as u64
    }
}

/// Progress of receiving a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceiveProgress {
    /// The file offset of the next byte to send.
    pub next_offset: u64,
    /// The snapshot, once it is complete, checked and durable.
    pub installed: Option<SnapshotInfo>,
}

/// The snapshots of one member.
pub struct SnapshotStore {
    file_system: Arc<dyn FileSystem>,
    /// Complete and checked, oldest first.
    complete: Vec<SnapshotInfo>,
    /// Number of complete snapshots to retain, at least one.
    retained: usize,
}

/// Reads the content of one complete snapshot in ranges. Clones share the file.
#[derive(Clone)]
pub struct SnapshotReader {
    file: Arc<dyn File>,
    content_start: u64,
    content_bytes: u64,
}

impl SnapshotReader {
    /// Bytes of the content.
    #[must_use]
    pub fn content_bytes(&self) -> u64 {
        self.content_bytes
    }

    /// Reads exactly this range of the content.
    ///
    /// # Errors
    /// `Corrupted` when the range exceeds the content or the file ends within the range, `Io`.
    pub fn read(&self, offset: u64, length: usize) -> StorageResult<Vec<u8>> {
        let end = offset.checked_add(length as u64);
        if end.is_none_or(|end| end > self.content_bytes) {
            return Err(out_of_range(offset, length));
        }
        let mut data = vec![0; length];
        let read = self.file.read_at(self.content_start + offset, &mut data)?;
        if read < length {
            return Err(out_of_range(offset, length));
        }
        Ok(data)
    }
}

fn out_of_range(offset: u64, length: usize) -> Report<ErrorKind> {
    Report::new(ErrorKind::Corrupted).attach(format!(
        "snapshot content ends before the {length} bytes at offset {offset}"
    ))
}

/// A snapshot being written.
pub struct SnapshotWriter {
    file: Box<dyn File>,
    meta: SnapshotMeta,
    path: String,
    position: u64,
    content_start: u64,
    checksum: crc32fast::Hasher,
}

impl SnapshotWriter {
    /// Writes the next chunk of the content.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn write(&mut self, chunk: &[u8]) -> StorageResult<()> {
        self.file.write_at(self.position, chunk)?;
        self.checksum.update(chunk);
        self.position += chunk.len() as u64;
        Ok(())
    }

    fn write_trailer(&mut self) -> StorageResult<()> {
        let content_bytes = self.position - self.content_start;
        self.write(&content_bytes.to_le_bytes())?;
        let checksum = self.checksum.clone().finalize();
        self.file.write_at(self.position, &checksum.to_le_bytes())?;
        self.position += 4;
        self.file.sync()
    }
}

impl SnapshotStore {
    /// Opens the store and checks every snapshot; snapshots that fail the check are ignored.
    ///
    /// Partly written snapshots are removed; partly received ones stay.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn open(file_system: Arc<dyn FileSystem>) -> StorageResult<Self> {
        Self::open_retaining(file_system, DEFAULT_RETAINED_SNAPSHOTS)
    }

    /// Like [`SnapshotStore::open`], but retains this many complete snapshots, at least one.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn open_retaining(
        file_system: Arc<dyn FileSystem>,
        retained: usize,
    ) -> StorageResult<Self> {
        if !file_system.exists(SNAPSHOT_DIRECTORY)? {
            file_system.create_directory(SNAPSHOT_DIRECTORY)?;
            file_system.sync_directory("")?;
        }
        let mut complete = Vec::new();
        for name in file_system.list(SNAPSHOT_DIRECTORY)? {
            let path = format!("{SNAPSHOT_DIRECTORY}/{name}");
            if name.ends_with(WRITING_SUFFIX) {
                file_system.remove(&path)?;
            }
            if name.ends_with(SUFFIX) {
                complete.extend(check(file_system.as_ref(), &path)?);
            }
        }
        // An earlier rename may not be durable, if its directory was not synced.
        file_system.sync_directory(SNAPSHOT_DIRECTORY)?;
        complete.sort_by_key(|info| info.meta.index);
        Ok(SnapshotStore {
            file_system,
            complete,
            retained: retained.max(1),
        })
    }

    /// The newest complete snapshot.
    #[must_use]
    pub fn latest(&self) -> Option<&SnapshotInfo> {
        self.complete.last()
    }

    /// The oldest complete snapshot that is retained.
    #[must_use]
    pub fn oldest(&self) -> Option<&SnapshotInfo> {
        self.complete.first()
    }

    /// The complete snapshot at this index.
    #[must_use]
    pub fn find(&self, index: LogIndex) -> Option<&SnapshotInfo> {
        self.complete.iter().find(|info| info.meta.index == index)
    }

    /// Starts writing a snapshot.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn begin(&self, meta: SnapshotMeta) -> StorageResult<SnapshotWriter> {
        let path = format!("{}{WRITING_SUFFIX}", snapshot_path(meta.index));
        let file = self.file_system.open(&path, OpenMode::CreateOrTruncate)?;
        let mut writer = SnapshotWriter {
            file,
            meta,
            path,
            position: 0,
            content_start: 0,
            checksum: crc32fast::Hasher::new(),
        };
        let meta = frame::encode(&writer.meta)?;
        writer.write(&MAGIC)?;
        writer.write(&SNAPSHOT_FORMAT_VERSION.to_le_bytes())?;
        writer.write(&(meta.len() as u32).to_le_bytes())?;
        writer.write(&meta)?;
        writer.content_start = writer.position;
        Ok(writer)
    }

    /// Completes a snapshot; it is durable on return. The oldest snapshots over the retained
    /// number are removed.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn finish(&mut self, mut writer: SnapshotWriter) -> StorageResult<SnapshotInfo> {
        writer.write_trailer()?;
        let info = SnapshotInfo {
            meta: writer.meta.clone(),
            file_bytes: writer.position,
            content_start: writer.content_start,
        };
        self.install(&writer.path, info)
    }

    /// Removes a partly written snapshot, for example after `StorageFull`.
    ///
    /// # Errors
    /// `Io`.
    pub fn abandon(&self, writer: SnapshotWriter) -> StorageResult<()> {
        self.file_system.remove(&writer.path)
    }

    fn install(&mut self, path: &str, info: SnapshotInfo) -> StorageResult<SnapshotInfo> {
        self.file_system
            .rename(path, &snapshot_path(info.meta.index))?;
        self.file_system.sync_directory(SNAPSHOT_DIRECTORY)?;
        self.complete
            .retain(|other| other.meta.index != info.meta.index);
        self.complete.push(info.clone());
        self.complete.sort_by_key(|info| info.meta.index);
        self.remove_older()?;
        Ok(info)
    }

    fn remove_older(&mut self) -> StorageResult<()> {
        while self.complete.len() > self.retained {
            let oldest = self.complete.remove(0);
            self.file_system.remove(&snapshot_path(oldest.meta.index))?;
        }
        Ok(())
    }

    /// Reads a chunk of a snapshot's file at the offset, to be sent to a peer.
    ///
    /// The second value is whether this is the last chunk.
    ///
    /// # Errors
    /// `NotFound` when the snapshot has been removed, `Io`.
    pub fn read_chunk(
        &self,
        index: LogIndex,
        offset: u64,
        max_bytes: usize,
    ) -> StorageResult<(Vec<u8>, bool)> {
        let info = self.find(index).ok_or_else(|| not_found(index))?;
        let remaining_bytes = info.file_bytes.saturating_sub(offset);
        let data = self.read_file(
            index,
            offset,
            remaining_bytes.min(max_bytes as u64) as usize,
        )?;
        let last = offset + data.len() as u64 >= info.file_bytes;
        Ok((data, last))
    }

    /// Reads the content of a snapshot at the offset; empty at the end of the content.
    ///
    /// # Errors
    /// `NotFound` when the snapshot has been removed, `Io`.
    pub fn read_content(
        &self,
        index: LogIndex,
        offset: u64,
        max_bytes: usize,
    ) -> StorageResult<Vec<u8>> {
        let info = self.find(index).ok_or_else(|| not_found(index))?;
        let remaining_bytes = info.content_bytes().saturating_sub(offset);
        let length = remaining_bytes.min(max_bytes as u64) as usize;
        self.read_file(index, info.content_start + offset, length)
    }

    /// A reader of a snapshot's content.
    ///
    /// # Errors
    /// `NotFound` when the snapshot has been removed, `Io`.
    pub fn reader(&self, index: LogIndex) -> StorageResult<SnapshotReader> {
        let info = self.find(index).ok_or_else(|| not_found(index))?;
        let file = self
            .file_system
            .open(&snapshot_path(index), OpenMode::Read)?;
        Ok(SnapshotReader {
            file: Arc::from(file),
            content_start: info.content_start,
            content_bytes: info.content_bytes(),
        })
    }

    fn read_file(&self, index: LogIndex, offset: u64, length: usize) -> StorageResult<Vec<u8>> {
        let file = self
            .file_system
            .open(&snapshot_path(index), OpenMode::Read)?;
        let mut data = vec![0; length];
        let read = file.read_at(offset, &mut data)?;
        data.truncate(read);
        Ok(data)
    }

    /// Stores a chunk of a snapshot from a peer; chunks may be repeated or out of order.
    ///
    /// The result contains the next offset to send, also after a restart. A
    /// snapshot that fails its check at the end must be sent again from offset 0.
    ///
    /// # Errors
    /// `StorageFull`, `Io`.
    pub fn receive(
        &mut self,
        meta: &SnapshotMeta,
        offset: u64,
        data: &[u8],
        last: bool,
    ) -> StorageResult<ReceiveProgress> {
        if let Some(info) = self.find(meta.index) {
            return Ok(ReceiveProgress {
                next_offset: info.file_bytes,
                installed: Some(info.clone()),
            });
        }
        let path = format!("{}{RECEIVING_SUFFIX}", snapshot_path(meta.index));
        let mode = match offset {
            0 => OpenMode::CreateOrTruncate,
            _ if self.file_system.exists(&path)? => OpenMode::Write,
            _ => return Ok(incomplete(0)),
        };
        let mut file = self.file_system.open(&path, mode)?;
        let length = file.length()?;
        if offset != length {
            return Ok(incomplete(length));
        }
        file.write_at(offset, data)?;
        if !last {
            return Ok(incomplete(offset + data.len() as u64));
        }
        file.sync()?;
        drop(file);
        match check(self.file_system.as_ref(), &path)? {
            Some(info) if info.meta == *meta => {
                let info = self.install(&path, info)?;
                Ok(ReceiveProgress {
                    next_offset: info.file_bytes,
                    installed: Some(info),
                })
            }
            _ => {
                self.file_system.remove(&path)?;
                Ok(incomplete(0))
            }
        }
    }

    /// Removes partly received snapshots up to this index.
    ///
    /// # Errors
    /// `Io`.
    pub fn remove_partial(&self, through: LogIndex) -> StorageResult<()> {
        for name in self.file_system.list(SNAPSHOT_DIRECTORY)? {
            let Some(stem) = name.strip_suffix(RECEIVING_SUFFIX) else {
                continue;
            };
            if stem <= file_name(through).as_str() {
                self.file_system
                    .remove(&format!("{SNAPSHOT_DIRECTORY}/{name}"))?;
            }
        }
        Ok(())
    }
}

fn incomplete(next_offset: u64) -> ReceiveProgress {
    ReceiveProgress {
        next_offset,
        installed: None,
    }
}

fn not_found(index: LogIndex) -> Report<ErrorKind> {
    Report::new(ErrorKind::NotFound).attach(format!("no snapshot at {index}"))
}

fn file_name(index: LogIndex) -> String {
    format!("{:020}{SUFFIX}", index.0)
}

fn snapshot_path(index: LogIndex) -> String {
    format!("{SNAPSHOT_DIRECTORY}/{}", file_name(index))
}

/// Reads a complete snapshot file and checks it; `None` when the check fails.
fn check(file_system: &dyn FileSystem, path: &str) -> StorageResult<Option<SnapshotInfo>> {
    let file = file_system.open(path, OpenMode::Read)?;
    let file_bytes = file.length()?;
    let Some((meta, content_start)) = read_meta(file.as_ref())? else {
        return Ok(None);
    };
    let info = SnapshotInfo {
        meta,
        file_bytes,
        content_start,
    };
    let has_trailer = file_bytes >= content_start + TRAILER_BYTES as u64;
    if !has_trailer || !checksum_matches(file.as_ref(), &info)? {
        return Ok(None);
    }
    Ok(Some(info))
}

fn read_meta(file: &dyn File) -> StorageResult<Option<(SnapshotMeta, u64)>> {
    let mut header = [0; FIXED_HEADER_BYTES];
    if file.read_at(0, &mut header)? < header.len() || header[..8] != MAGIC {
        return Ok(None);
    }
    let version = u32::from_le_bytes([header[8], header[9], header[10], header[11]]);
    let meta_bytes = u32::from_le_bytes([header[12], header[13], header[14], header[15]]) as usize;
    if version != SNAPSHOT_FORMAT_VERSION || meta_bytes > MAX_META_BYTES {
        return Ok(None);
    }
    let mut meta = vec![0; meta_bytes];
    if file.read_at(FIXED_HEADER_BYTES as u64, &mut meta)? < meta_bytes {
        return Ok(None);
    }
    let content_start = (FIXED_HEADER_BYTES + meta_bytes) as u64;
    Ok(frame::decode(&meta).ok().map(|meta| (meta, content_start)))
}

fn checksum_matches(file: &dyn File, info: &SnapshotInfo) -> StorageResult<bool> {
    let mut hasher = crc32fast::Hasher::new();
    let mut buffer = vec![0; READ_BYTES];
    let checked_bytes = info.file_bytes - 4;
    let mut offset = 0;
    while offset < checked_bytes {
        let length = (checked_bytes - offset).min(READ_BYTES as u64) as usize;
        let read = file.read_at(offset, &mut buffer[..length])?;
        if read == 0 {
            return Ok(false);
        }
        hasher.update(&buffer[..read]);
        offset += read as u64;
    }
    let mut trailer = [0; TRAILER_BYTES];
    file.read_at(info.file_bytes - TRAILER_BYTES as u64, &mut trailer)?;
    let content_bytes = u64::from_le_bytes([
        trailer[0], trailer[1], trailer[2], trailer[3], trailer[4], trailer[5], trailer[6],
        trailer[7],
    ]);
    let checksum = u32::from_le_bytes([trailer[8], trailer[9], trailer[10], trailer[11]]);
    Ok(content_bytes == info.content_bytes() && checksum == hasher.finalize())
}
