//! An in-memory [`Disk`] with fault injection: lost unsynced writes, a full disk and sync errors.

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::control::Disk;

#[derive(Debug, Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced_len: usize,
}

#[derive(Debug, Clone, Default)]
struct Folder {
    files: BTreeMap<String, File>,
    full: bool,
    sync_failure: bool,
    ignore_syncs: bool,
    sync_count: u64,
}

/// An in-memory data folder; clones share the same contents.
#[derive(Debug, Clone, Default)]
pub struct MemoryDisk {
    folder: Arc<Mutex<Folder>>,
}

impl MemoryDisk {
    /// Returns an empty folder.
    pub fn new() -> MemoryDisk {
        MemoryDisk::default()
    }

    /// Returns an independent copy of the folder.
    pub fn copy(&self) -> MemoryDisk {
        MemoryDisk { folder: Arc::new(Mutex::new(self.lock().clone())) }
    }

    /// Sets whether the disk is full: appends write half of the bytes and fail, replacements fail
    /// and leave the file unchanged.
    pub fn set_full(&self, full: bool) {
        self.lock().full = full;
    }

    /// Sets whether every sync and replacement fails.
    pub fn set_sync_failure(&self, sync_failure: bool) {
        self.lock().sync_failure = sync_failure;
    }

    /// Sets whether a sync of appended bytes reports success without making them durable.
    pub fn set_ignore_syncs(&self, ignore_syncs: bool) {
        self.lock().ignore_syncs = ignore_syncs;
    }

    /// Simulates a crash: drops the unsynced bytes of each file except the first `torn` of them.
    pub fn crash(&self, torn: usize) {
        for file in self.lock().files.values_mut() {
            let keep = file.bytes.len().min(file.synced_len + torn);
            file.bytes.truncate(keep);
            file.synced_len = keep;
        }
    }

    /// Deletes every file.
    pub fn wipe(&self) {
        self.lock().files.clear();
    }

    /// Applies `change` to the bytes of a file and marks the result as synced.
    ///
    /// # Panics
    ///
    /// Panics if there is no file of that name.
    pub fn modify(&self, file: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut folder = self.lock();
        let file = folder.files.get_mut(file).expect("the file exists");
        change(&mut file.bytes);
        file.synced_len = file.bytes.len();
    }

    /// Returns the number of syncs and replacements, including failed ones.
    pub fn sync_count(&self) -> u64 {
        self.lock().sync_count
    }

    fn lock(&self) -> MutexGuard<'_, Folder> {
        self.folder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Disk for MemoryDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        let folder = self.lock();
        let file = folder.files.get(file).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.bytes.clone())
    }

    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut folder = self.lock();
        let full = folder.full;
        let file = folder.files.entry(file.to_owned()).or_default();
        let len = if full { bytes.len() / 2 } else { bytes.len() };
        file.bytes.extend(&bytes[..len]);
        if full { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        let mut folder = self.lock();
        folder.sync_count += 1;
        if folder.sync_failure {
            return Err(io::Error::other("sync failed"));
        }
        let ignore_syncs = folder.ignore_syncs;
        let file = folder.files.get_mut(file).ok_or(io::ErrorKind::NotFound)?;
        if !ignore_syncs {
            file.synced_len = file.bytes.len();
        }
        Ok(())
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        let mut folder = self.lock();
        folder.sync_count += 1;
        if folder.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if folder.sync_failure {
            return Err(io::Error::other("sync failed"));
        }
        let new = File { bytes: bytes.to_vec(), synced_len: bytes.len() };
        folder.files.insert(file.to_owned(), new);
        Ok(())
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.lock().files.remove(file);
        Ok(())
    }
}
