//! Data folder of a control VM: hard state, snapshot and log segments.
//!
//! Data is durable only once it is synced. After a failed write the storage refuses all further
//! writes and must be reopened and recovered, because the failed bytes may or may not be on disk.

use std::marker::PhantomData;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    control::replica::{Entry, HardState, Recovered, ReplicaId, Snapshot, Write},
    error::{Error, Result},
};

mod disk;
mod segment;

pub use disk::{DirDisk, Disk};
use segment::Record;

const HARD_FILE: &str = "hard";
const SNAPSHOT_FILE: &str = "snapshot";
const CACHE_FILE: &str = "kept";
/// Size after which a new segment is started.
const MAX_SEGMENT_BYTES: usize = 1 << 20;
const CHECKSUM_LEN: usize = 4;

/// Typestate of a data folder that has not been read yet.
#[derive(Debug, Clone, Copy)]
pub struct Opened;

/// Typestate of a recovered data folder that accepts writes.
#[derive(Debug, Clone, Copy)]
pub struct Ready;

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct HardStateFile {
    id: ReplicaId,
    hard_state: HardState,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct SnapshotFile {
    snapshot: Snapshot,
    /// First segment of the log after the snapshot. Older segments are obsolete.
    first_segment: u64,
}

/// A segment file and the highest log index in it.
#[derive(Debug, Clone, Copy)]
struct Segment {
    number: u64,
    last: u64,
}

/// Data folder of a control VM in typestate `S`.
///
/// ```
/// use galenatrail::{ReplicaId, Storage, standin::MemoryDisk};
///
/// let disk = MemoryDisk::new();
/// let (_, recovered) = Storage::open(disk.clone()).recover(ReplicaId::new(7)).unwrap();
/// assert_eq!(recovered.id, ReplicaId::new(7));
/// // The folder keeps its replica id.
/// let (_, recovered) = Storage::open(disk).recover(ReplicaId::new(8)).unwrap();
/// assert_eq!(recovered.id, ReplicaId::new(7));
/// ```
pub struct Storage<D, S = Ready> {
    disk: D,
    id: ReplicaId,
    first_segment: u64,
    segments: Vec<Segment>,
    segment_len: usize,
    failed: bool,
    state: PhantomData<S>,
}

impl<D: Disk> Storage<D, Opened> {
    /// Creates a storage that has not been read yet.
    pub fn open(disk: D) -> Storage<D, Opened> {
        Storage {
            disk,
            id: ReplicaId::default(),
            first_segment: 0,
            segments: Vec::new(),
            segment_len: 0,
            failed: false,
            state: PhantomData,
        }
    }

    /// Reads the folder. An empty folder is initialized with the replica id `fresh`.
    ///
    /// A torn frame at the end of the last segment, left by a crash during a write, is truncated.
    /// The last segment is rewritten, because an earlier failed sync may have left bytes that can
    /// be read but are not durable.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or is corrupt.
    pub fn recover(mut self, fresh: ReplicaId) -> Result<(Storage<D>, Recovered)> {
        let files = self.disk.list()?;
        let hard_file = self.read_hard_state(&files, fresh)?;
        let SnapshotFile { snapshot, first_segment } =
            if files.iter().any(|file| file == SNAPSHOT_FILE) {
                self.read_file(SNAPSHOT_FILE)?
            } else {
                SnapshotFile::default()
            };
        let entries = self.read_segments(&files, first_segment, snapshot.last_entry.index)?;
        let Storage { disk, segments, segment_len, failed, .. } = self;
        let id = hard_file.id;
        let storage =
            Storage { disk, id, first_segment, segments, segment_len, failed, state: PhantomData };
        Ok((storage, Recovered { id, hard_state: hard_file.hard_state, snapshot, entries }))
    }

    fn read_hard_state(&mut self, files: &[String], fresh: ReplicaId) -> Result<HardStateFile> {
        if files.iter().any(|file| file == HARD_FILE) {
            return self.read_file(HARD_FILE);
        }
        if let Some(file) = files.iter().find(|file| segment::number(file).is_some()) {
            let message =
                "log segment without a hard state file; move the data folder away and start again";
            return Err(Error::storage(message).with_path(&**file));
        }
        let hard_file = HardStateFile { id: fresh, hard_state: HardState::default() };
        self.disk.replace(HARD_FILE, &with_checksum(&hard_file)?)?;
        Ok(hard_file)
    }

    fn read_file<T: DeserializeOwned>(&self, file: &str) -> Result<T> {
        let bytes = self.disk.read(file)?;
        check_and_decode(&bytes).ok_or_else(|| {
            let message = "corrupt file; move the data folder away and restart the VM, which then receives \
                           the log from the other control VMs under a new replica id";
            Error::storage(message).with_path(file)
        })
    }

    fn read_segments(
        &mut self,
        files: &[String],
        first_segment: u64,
        base: u64,
    ) -> Result<Vec<Entry>> {
        let mut numbers: Vec<u64> = files.iter().filter_map(|file| segment::number(file)).collect();
        numbers.sort_unstable();
        for number in numbers.extract_if(.., |number| *number < first_segment) {
            self.disk.remove(&segment::file_name(number))?;
        }
        let mut entries = Vec::new();
        for &number in &numbers {
            let file = segment::file_name(number);
            let bytes = self.disk.read(&file)?;
            let is_last = numbers.last() == Some(&number);
            let (records, len) =
                segment::read(&bytes, is_last).map_err(|err| err.with_path(file.clone()))?;
            if is_last {
                self.disk.replace(&file, &bytes[..len])?;
                self.segment_len = len;
            }
            let last = records.iter().map(Record::last).max().unwrap_or(0);
            self.segments.push(Segment { number, last });
            for record in records {
                replay(&mut entries, base, record).map_err(|err| err.with_path(file.clone()))?;
            }
        }
        Ok(entries)
    }
}

impl<D: Disk> Storage<D> {
    /// Replaces the cached value. The cache is best effort: a failure does not affect later writes.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be written.
    pub fn write_cache<T: Serialize>(&mut self, value: &T) -> Result<()> {
        Ok(self.disk.replace(CACHE_FILE, &with_checksum(value)?)?)
    }

    /// Returns the cached value, or `None` if it is missing or corrupt.
    pub fn read_cache<T: DeserializeOwned>(&self) -> Option<T> {
        check_and_decode(&self.disk.read(CACHE_FILE).ok()?)
    }

    /// Writes and syncs `write`; its contents are durable on success.
    ///
    /// # Errors
    ///
    /// Fails when the data may not be durable. The storage then refuses all further writes.
    pub fn write(&mut self, write: &Write) -> Result<()> {
        if self.failed {
            let message = "an earlier write failed; repair the disk and reopen the data folder";
            return Err(Error::storage(message));
        }
        let result = self.try_write(write);
        self.failed = result.is_err();
        result
    }

    fn try_write(&mut self, write: &Write) -> Result<()> {
        if let Some(hard_state) = write.hard_state {
            let file = HardStateFile { id: self.id, hard_state };
            self.disk.replace(HARD_FILE, &with_checksum(&file)?)?;
        }
        if let Some(snapshot) = &write.snapshot {
            self.write_snapshot(snapshot, write.reset)?;
        }
        if write.first > 0 && !write.reset {
            self.append(&Record { first: write.first, entries: write.entries.clone() })?;
        }
        Ok(())
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<()> {
        let index = snapshot.last_entry.index;
        if reset {
            self.first_segment = self.segments.last().map_or(0, |last| last.number) + 1;
        }
        let file = SnapshotFile { snapshot: snapshot.clone(), first_segment: self.first_segment };
        self.disk.replace(SNAPSHOT_FILE, &with_checksum(&file)?)?;
        while let Some(&first) = self.segments.first() {
            let covered = self.segments.len() > 1 && first.last <= index;
            if !covered && first.number >= self.first_segment {
                break;
            }
            self.segments.remove(0);
            self.disk.remove(&segment::file_name(first.number))?;
        }
        Ok(())
    }

    fn append(&mut self, record: &Record) -> Result<()> {
        let bytes = segment::encode_frame(record)?;
        if self.segments.is_empty() || self.segment_len >= MAX_SEGMENT_BYTES {
            let number = self.segments.last().map_or(self.first_segment, |last| last.number + 1);
            self.segments.push(Segment { number, last: 0 });
            self.segment_len = 0;
        }
        let segment = self.segments.last_mut().expect("a segment was added above");
        let file = segment::file_name(segment.number);
        self.disk.append(&file, &bytes)?;
        self.disk.sync(&file)?;
        segment.last = segment.last.max(record.last());
        self.segment_len += bytes.len();
        Ok(())
    }
}

/// Replays `record` onto `entries`, the log after index `base`.
fn replay(entries: &mut Vec<Entry>, base: u64, record: Record) -> Result<()> {
    let Record { first, entries: new } = record;
    let last = base + entries.len() as u64;
    if first > last + 1 {
        let message = format!(
            "log entries {} to {} are missing; move the data folder away and restart the VM",
            last + 1,
            first - 1
        );
        return Err(Error::storage(message));
    }
    let covered = (base + 1).saturating_sub(first);
    entries.truncate(first.saturating_sub(base + 1) as usize);
    entries.extend(new.into_iter().skip(covered as usize));
    Ok(())
}

fn check_and_decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (sum, body) = bytes.split_first_chunk::<CHECKSUM_LEN>()?;
    let intact = crc32fast::hash(body).to_le_bytes() == *sum;
    intact.then(|| postcard::from_bytes(body).ok()).flatten()
}

fn with_checksum<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(value).map_err(|err| {
        Error::storage(format!("cannot encode state: {err}; please report this bug"))
    })?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    Ok(bytes)
}
