//! An in-memory disk with the failure modes of real disks, for the simulator and for tests.
//!
//! Written bytes, created files and renames are visible at once but durable
//! only once synced. A crash loses or tears unsynced writes: some sectors
//! survive, others read as zeros or have their earlier content. All random
//! choices come from the seed, so a run is reproducible.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::Range,
    sync::Arc,
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    file_system::{File, FileSystem, FolderLock, OpenMode, StorageResult},
    revision::parent_directory,
};

/// Unit that a crash preserves or loses completely, in bytes.
const SECTOR_BYTES: usize = 512;

/// An in-memory disk. Clones write_probability the disk.
#[derive(Clone)]
pub struct VirtualDisk {
    state: Arc<Mutex<DiskState>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Inode(u64);

/// The content of a file: as processes read it, and as it is on the disk after a crash.
#[derive(Default)]
struct Content {
    visible: Vec<u8>,
    durable: Vec<u8>,
    /// Ranges that were written since the last sync.
    dirty: Vec<Range<usize>>,
}

/// A change of a directory that is not durable yet.
enum DirectoryChange {
    Link(String, Inode),
    Unlink(String),
    Rename(String, String),
}

struct DiskState {
    random: Pcg64Mcg,
    contents: BTreeMap<Inode, Content>,
    visible: BTreeMap<String, Inode>,
    durable: BTreeMap<String, Inode>,
    directories: BTreeSet<String>,
    /// Changes that are not durable, oldest first, by directory.
    changes: BTreeMap<String, Vec<DirectoryChange>>,
    next_inode: u64,
    /// Grows with every crash, which invalidates earlier file handles.
    generation: u64,
    locked: bool,
    capacity_bytes: u64,
    syncs_to_pass: u32,
    syncs_to_fail: u32,
    syncs: u64,
}

impl VirtualDisk {
    /// A blank disk.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let state = DiskState {
            random: Pcg64Mcg::seed_from_u64(seed),
            contents: BTreeMap::new(),
            visible: BTreeMap::new(),
            durable: BTreeMap::new(),
            directories: BTreeSet::new(),
            changes: BTreeMap::new(),
            next_inode: 0,
            generation: 0,
            locked: false,
            capacity_bytes: u64::MAX,
            syncs_to_pass: 0,
            syncs_to_fail: 0,
            syncs: 0,
        };
        VirtualDisk {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Simulates a crash of the machine: unsynced writes are randomly lost, preserved or torn.
    pub fn crash(&self) {
        self.state.lock().crash(true);
    }

    /// Simulates a stop of the process only: all writes survive.
    pub fn stop_process(&self) {
        self.state.lock().crash(false);
    }

    /// Replaces the disk by a blank one.
    pub fn wipe(&self) {
        let mut state = self.state.lock();
        state.generation += 1;
        state.locked = false;
        state.contents.clear();
        state.visible.clear();
        state.durable.clear();
        state.directories.clear();
        state.changes.clear();
    }

    /// Limits the total size of all files, in bytes.
    pub fn set_capacity(&self, bytes: u64) {
        self.state.lock().capacity_bytes = bytes;
    }

    /// Makes the next `count` syncs of files or directories fail, after `pass_first` successful
    /// ones.
    ///
    /// Writes may be lost when their sync fails.
    pub fn fail_syncs(&self, pass_first: u32, count: u32) {
        let mut state = self.state.lock();
        state.syncs_to_pass = pass_first;
        state.syncs_to_fail = count;
    }

    /// Clears all injected faults: no sync fails and the capacity is unlimited.
    pub fn clear_faults(&self) {
        self.fail_syncs(0, 0);
        self.set_capacity(u64::MAX);
    }

    /// Number of syncs that were requested.
    #[must_use]
    pub fn syncs(&self) -> u64 {
        self.state.lock().syncs
    }

    /// Total size of all files, in bytes.
    #[must_use]
    pub fn used_bytes(&self) -> u64 {
        self.state.lock().used_bytes()
    }

    /// Paths of all files, sorted.
    #[must_use]
    pub fn files(&self) -> Vec<String> {
        self.state.lock().visible.keys().cloned().collect()
    }

    /// The content of a file as processes read it.
    #[must_use]
    pub fn content(&self, path: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        let inode = state.visible.get(path)?;
        state
            .contents
            .get(inode)
            .map(|content| content.visible.clone())
    }

    /// Changes a file's content durably, to simulate damage to the disk.
    pub fn damage(&self, path: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state.lock();
        let Some(inode) = state.visible.get(path).copied() else {
            return;
        };
        if let Some(content) = state.contents.get_mut(&inode) {
            change(&mut content.visible);
            content.durable.clone_from(&content.visible);
            content.dirty.clear();
        }
    }

    /// Flips one bit of a file.
    pub fn flip_bit(&self, path: &str, byte: usize, bit: u8) {
        self.damage(path, |bytes| {
            if let Some(byte) = bytes.get_mut(byte) {
                *byte ^= 1 << (bit % 8);
            }
        });
    }

    /// Flips one random bit in a file under the directory; returns the file's path, or `None` if
    /// there is no file with content.
    pub fn flip_random_bit(&self, directory: &str) -> Option<String> {
        let prefix = format!("{directory}/");
        let (path, byte, bit) = {
            let mut state = self.state.lock();
            let sizes: Vec<(String, usize)> = state
                .visible
                .iter()
                .filter(|(path, _)| path.starts_with(&prefix))
                .filter_map(|(path, inode)| {
                    Some((path.clone(), state.contents.get(inode)?.visible.len()))
                })
                .filter(|(_, length)| *length > 0)
                .collect();
            if sizes.is_empty() {
                return None;
            }
            let chosen = state.random.random_range(0..sizes.len());
            let (path, length) = sizes[chosen].clone();
            let byte = state.random.random_range(0..length);
            (path, byte, state.random.random_range(0..8))
        };
        self.flip_bit(&path, byte, bit);
        Some(path)
    }
}

impl DiskState {
    fn used_bytes(&self) -> u64 {
        let length = |inode: &Inode| {
            self.contents
                .get(inode)
                .map_or(0, |content| content.visible.len())
        };
        self.visible
            .values()
            .map(|inode| length(inode) as u64)
            .sum()
    }

    fn crash(&mut self, machine: bool) {
        self.generation += 1;
        self.locked = false;
        if !machine {
            return;
        }
        let changes = std::mem::take(&mut self.changes);
        for list in changes.into_values() {
            // A file system's journal preserves the order of the changes of a directory.
            let survivors = self.random.random_range(0..=list.len());
            for change in list.into_iter().take(survivors) {
                apply(&mut self.durable, change);
            }
        }
        self.visible = self.durable.clone();
        let reachable: BTreeSet<Inode> = self.visible.values().copied().collect();
        self.contents.retain(|inode, _| reachable.contains(inode));
        for content in self.contents.values_mut() {
            content.crash(&mut self.random);
        }
        let parents = self.visible.keys().map(|path| parent_directory(path));
        self.directories.extend(
            parents
                .filter(|parent| !parent.is_empty())
                .map(str::to_owned),
        );
    }

    /// Drops contents that no path refers to, either now or after a crash.
    fn drop_unreachable_contents(&mut self) {
        let mut reachable: BTreeSet<Inode> = self.visible.values().copied().collect();
        reachable.extend(self.durable.values());
        for change in self.changes.values().flatten() {
            if let DirectoryChange::Link(_, inode) = change {
                reachable.insert(*inode);
            }
        }
        self.contents.retain(|inode, _| reachable.contains(inode));
    }

    fn content(&self, inode: Inode) -> StorageResult<&Content> {
        self.contents
            .get(&inode)
            .ok_or_else(|| Report::new(ErrorKind::Io).attach("the file no longer exists"))
    }

    fn content_mut(&mut self, inode: Inode) -> StorageResult<&mut Content> {
        self.contents
            .get_mut(&inode)
            .ok_or_else(|| Report::new(ErrorKind::Io).attach("the file no longer exists"))
    }

    fn change(&mut self, path: &str, change: DirectoryChange) {
        let directory = parent_directory(path).to_owned();
        self.changes.entry(directory).or_default().push(change);
    }

    fn create(&mut self, path: &str) -> Inode {
        let inode = Inode(self.next_inode);
        self.next_inode += 1;
        self.contents.insert(inode, Content::default());
        self.visible.insert(path.to_owned(), inode);
        self.change(path, DirectoryChange::Link(path.to_owned(), inode));
        inode
    }

    /// Counts a sync and returns whether it fails.
    fn next_sync_fails(&mut self) -> bool {
        self.syncs += 1;
        if self.syncs_to_pass > 0 {
            self.syncs_to_pass -= 1;
            return false;
        }
        let fails = self.syncs_to_fail > 0;
        self.syncs_to_fail = self.syncs_to_fail.saturating_sub(1);
        fails
    }
}

fn apply(entries: &mut BTreeMap<String, Inode>, change: DirectoryChange) {
    match change {
        DirectoryChange::Link(path, inode) => {
            entries.insert(path, inode);
        }
        DirectoryChange::Unlink(path) => {
            entries.remove(&path);
        }
        DirectoryChange::Rename(from, to) => {
            if let Some(inode) = entries.remove(&from) {
                entries.insert(to, inode);
            }
        }
    }
}

impl Content {
    fn write(&mut self, offset: usize, data: &[u8]) {
        let end = offset + data.len();
        if self.visible.len() < end {
            self.visible.resize(end, 0);
        }
        self.visible[offset..end].copy_from_slice(data);
        match self.dirty.last_mut() {
            Some(last) if last.end == offset => last.end = end,
            _ => self.dirty.push(offset..end),
        }
    }

    fn sync(&mut self) {
        self.durable.resize(self.visible.len(), 0);
        for range in self.dirty.drain(..) {
            let end = range.end.min(self.visible.len());
            let start = range.start.min(end);
            self.durable[start..end].copy_from_slice(&self.visible[start..end]);
        }
    }

    /// As on Linux, the pages are marked clean although they may not be on the disk.
    fn fail_sync(&mut self, random: &mut Pcg64Mcg) {
        self.write_back(random);
        self.dirty.clear();
    }

    /// Writes randomly chosen dirty sectors to the disk.
    fn write_back(&mut self, random: &mut Pcg64Mcg) {
        let write_probability = [0.0, 0.5, 0.9, 1.0][random.random_range(0..4)];
        for range in self.dirty.clone() {
            let mut start = range.start;
            while start < range.end {
                let end = ((start / SECTOR_BYTES + 1) * SECTOR_BYTES).min(range.end);
                if random.random_bool(write_probability) {
                    self.write_sector(start, end);
                }
                start = end;
            }
        }
    }

    fn write_sector(&mut self, start: usize, end: usize) {
        let end = end.min(self.visible.len());
        if start >= end {
            return;
        }
        if self.durable.len() < end {
            self.durable.resize(end, 0);
        }
        self.durable[start..end].copy_from_slice(&self.visible[start..end]);
    }

    fn crash(&mut self, random: &mut Pcg64Mcg) {
        if self.visible.len() < self.durable.len() && random.random_bool(0.5) {
            self.durable.truncate(self.visible.len());
        }
        let synced = self.durable.len();
        self.write_back(random);
        if self.durable.len() > synced && random.random_bool(0.5) {
            let length = random.random_range(synced..=self.durable.len());
            self.durable.truncate(length);
        }
        self.dirty.clear();
        self.visible.clone_from(&self.durable);
    }
}

struct VirtualFile {
    state: Arc<Mutex<DiskState>>,
    inode: Inode,
    generation: u64,
}

impl VirtualFile {
    fn check_handle_is_current(&self, state: &DiskState) -> StorageResult<()> {
        if self.generation == state.generation {
            return Ok(());
        }
        Err(Report::new(ErrorKind::Io).attach("the file was opened before a crash"))
    }
}

impl File for VirtualFile {
    fn length(&self) -> StorageResult<u64> {
        let state = self.state.lock();
        self.check_handle_is_current(&state)?;
        Ok(state.content(self.inode)?.visible.len() as u64)
    }

    fn read_at(&self, offset: u64, buffer: &mut [u8]) -> StorageResult<usize> {
        let state = self.state.lock();
        self.check_handle_is_current(&state)?;
        let bytes = &state.content(self.inode)?.visible;
        let start = (offset as usize).min(bytes.len());
        let end = (start + buffer.len()).min(bytes.len());
        buffer[..end - start].copy_from_slice(&bytes[start..end]);
        Ok(end - start)
    }

    fn write_at(&mut self, offset: u64, data: &[u8]) -> StorageResult<()> {
        let mut state = self.state.lock();
        self.check_handle_is_current(&state)?;
        let used = state.used_bytes();
        let free = state.capacity_bytes.saturating_sub(used);
        let content = state.content_mut(self.inode)?;
        let writable = (content.visible.len() as u64 + free).saturating_sub(offset);
        let written = data
            .len()
            .min(usize::try_from(writable).unwrap_or(usize::MAX));
        content.write(offset as usize, &data[..written]);
        if written < data.len() {
            return Err(Report::new(ErrorKind::StorageFull).attach("the disk is full"));
        }
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> StorageResult<()> {
        let mut state = self.state.lock();
        self.check_handle_is_current(&state)?;
        let content = state.content_mut(self.inode)?;
        content.visible.resize(length as usize, 0);
        Ok(())
    }

    fn sync(&mut self) -> StorageResult<()> {
        let mut state = self.state.lock();
        self.check_handle_is_current(&state)?;
        let fails = state.next_sync_fails();
        let DiskState {
            contents, random, ..
        } = &mut *state;
        let Some(content) = contents.get_mut(&self.inode) else {
            return Ok(());
        };
        if fails {
            content.fail_sync(random);
            return Err(Report::new(ErrorKind::Io).attach("the sync of the file failed"));
        }
        content.sync();
        Ok(())
    }
}

struct VirtualLock {
    state: Arc<Mutex<DiskState>>,
    generation: u64,
}

impl FolderLock for VirtualLock {}

impl Drop for VirtualLock {
    fn drop(&mut self) {
        let mut state = self.state.lock();
        if state.generation == self.generation {
            state.locked = false;
        }
    }
}

fn not_found(path: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::NotFound).attach(format!("{path} does not exist"))
}

impl FileSystem for VirtualDisk {
    fn create_directory(&self, path: &str) -> StorageResult<()> {
        // Directories are durable at once: losing one has the same effect as losing its files.
        self.state.lock().directories.insert(path.to_owned());
        Ok(())
    }

    fn list(&self, directory: &str) -> StorageResult<Vec<String>> {
        let state = self.state.lock();
        if !directory.is_empty() && !state.directories.contains(directory) {
            return Err(not_found(directory));
        }
        let in_directory = |path: &&String| parent_directory(path) == directory;
        let name = |path: &String| path.rsplit('/').next().unwrap_or(path).to_owned();
        let mut names: Vec<String> = state
            .visible
            .keys()
            .chain(&state.directories)
            .filter(in_directory)
            .map(name)
            .collect();
        names.sort();
        names.dedup();
        Ok(names)
    }

    fn open(&self, path: &str, mode: OpenMode) -> StorageResult<Box<dyn File>> {
        let mut state = self.state.lock();
        let found = state.visible.get(path).copied();
        let inode = match (found, mode) {
            (Some(inode), OpenMode::Read | OpenMode::Write) => inode,
            (Some(inode), OpenMode::CreateOrTruncate) => {
                state.content_mut(inode)?.visible.clear();
                inode
            }
            (Some(_), OpenMode::CreateNew) => {
                return Err(Report::new(ErrorKind::Io).attach(format!("{path} already exists")));
            }
            (None, OpenMode::Read | OpenMode::Write) => return Err(not_found(path)),
            (None, OpenMode::CreateNew | OpenMode::CreateOrTruncate) => state.create(path),
        };
        Ok(Box::new(VirtualFile {
            state: Arc::clone(&self.state),
            inode,
            generation: state.generation,
        }))
    }

    fn exists(&self, path: &str) -> StorageResult<bool> {
        let state = self.state.lock();
        Ok(state.visible.contains_key(path) || state.directories.contains(path))
    }

    fn rename(&self, from: &str, to: &str) -> StorageResult<()> {
        let mut state = self.state.lock();
        let prefix = format!("{from}/");
        let mut renames: Vec<(String, String)> = state
            .visible
            .keys()
            .filter(|path| *path == from || path.starts_with(&prefix))
            .map(|path| (path.clone(), format!("{to}{}", &path[from.len()..])))
            .collect();
        let is_directory = state.directories.remove(from);
        if renames.is_empty() && !is_directory {
            return Err(not_found(from));
        }
        if is_directory {
            state.directories.insert(to.to_owned());
        }
        for (old, new) in renames.drain(..) {
            if let Some(inode) = state.visible.remove(&old) {
                state.visible.insert(new.clone(), inode);
            }
            // A rename changes the entry in the parent directory, also for a renamed directory.
            state.change(to, DirectoryChange::Rename(old, new));
        }
        Ok(())
    }

    fn remove(&self, path: &str) -> StorageResult<()> {
        let mut state = self.state.lock();
        if state.visible.remove(path).is_none() {
            return Err(not_found(path));
        }
        state.change(path, DirectoryChange::Unlink(path.to_owned()));
        Ok(())
    }

    fn sync_directory(&self, directory: &str) -> StorageResult<()> {
        let mut state = self.state.lock();
        if state.next_sync_fails() {
            return Err(Report::new(ErrorKind::Io).attach("the sync of the directory failed"));
        }
        let changes = state.changes.remove(directory).unwrap_or_default();
        for change in changes {
            apply(&mut state.durable, change);
        }
        state.drop_unreachable_contents();
        Ok(())
    }

    fn free_bytes(&self) -> StorageResult<u64> {
        let state = self.state.lock();
        Ok(state.capacity_bytes.saturating_sub(state.used_bytes()))
    }

    fn lock(&self) -> StorageResult<Box<dyn FolderLock>> {
        let mut state = self.state.lock();
        if state.locked {
            return Err(Report::new(ErrorKind::DataFolderRefused)
                .attach("the folder is in use by another process"));
        }
        state.locked = true;
        Ok(Box::new(VirtualLock {
            state: Arc::clone(&self.state),
            generation: state.generation,
        }))
    }
}
