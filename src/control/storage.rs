//! The data folder of a control VM: hard state, snapshot and log segments.
//!
//! Nothing counts before it is synced. After a failed write the storage refuses all further
//! ones; it has to be opened and recovered anew, because the failed bytes may or may not be there.

use std::marker::PhantomData;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{
    control::replica::{Entry, Hard, Identity, Recovered, Snapshot, Write},
    error::{Error, Result},
};

mod disk;
mod segment;

pub use disk::{Disk, FolderDisk};
use segment::Record;

const HARD_FILE: &str = "hard";
const SNAPSHOT_FILE: &str = "snapshot";
const KEPT_FILE: &str = "kept";
/// Bytes after which a segment is followed by the next.
const SEGMENT_LEN: usize = 1 << 20;
const SUM_LEN: usize = 4;

/// Life-cycle state of a data folder that was not read yet.
#[derive(Debug, Clone, Copy)]
pub struct Opened;

/// Life-cycle state of a data folder that takes writes.
#[derive(Debug, Clone, Copy)]
pub struct Ready;

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct HardFile {
    me: Identity,
    hard: Hard,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct SnapshotFile {
    snapshot: Snapshot,
    /// First segment that belongs to the log after the snapshot.
    start: u64,
}

/// A segment and the highest index in it.
#[derive(Debug, Clone, Copy)]
struct Segment {
    number: u64,
    last: u64,
}

/// A data folder in life-cycle state `S`.
///
/// ```
/// use galenatrail::{Identity, Storage, standin::MemoryDisk};
///
/// let disk = MemoryDisk::new();
/// let (_, recovered) = Storage::open(disk.clone()).recover(Identity::new(7)).unwrap();
/// assert_eq!(recovered.me, Identity::new(7));
/// // The folder keeps its identity.
/// let (_, recovered) = Storage::open(disk).recover(Identity::new(8)).unwrap();
/// assert_eq!(recovered.me, Identity::new(7));
/// ```
pub struct Storage<D, S = Ready> {
    disk: D,
    me: Identity,
    start: u64,
    segments: Vec<Segment>,
    len: usize,
    failed: bool,
    state: PhantomData<S>,
}

impl<D: Disk> Storage<D, Opened> {
    /// Returns a data folder that was not read yet.
    pub fn open(disk: D) -> Storage<D, Opened> {
        Storage {
            disk,
            me: Identity::default(),
            start: 0,
            segments: Vec::new(),
            len: 0,
            failed: false,
            state: PhantomData,
        }
    }

    /// Reads the folder; an empty one belongs to the replica `fresh` from now on.
    ///
    /// A torn frame at the end, left by a crash while it was written, is cut off. The last
    /// segment is written anew, because a sync that failed before may have left bytes that can be
    /// read but are not on the disk.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read or is damaged.
    pub fn recover(mut self, fresh: Identity) -> Result<(Storage<D>, Recovered)> {
        let files = self.disk.list()?;
        let hard = self.read_hard(&files, fresh)?;
        let SnapshotFile { snapshot, start } = if files.iter().any(|file| file == SNAPSHOT_FILE) {
            self.read_file(SNAPSHOT_FILE)?
        } else {
            SnapshotFile::default()
        };
        let entries = self.read_segments(&files, start, snapshot.mark.index)?;
        let Storage { disk, segments, len, failed, .. } = self;
        let me = hard.me;
        let storage = Storage { disk, me, start, segments, len, failed, state: PhantomData };
        Ok((storage, Recovered { me, hard: hard.hard, snapshot, entries }))
    }

    fn read_hard(&mut self, files: &[String], fresh: Identity) -> Result<HardFile> {
        if files.iter().any(|file| file == HARD_FILE) {
            return self.read_file(HARD_FILE);
        }
        if let Some(file) = files.iter().find(|file| segment::number(file).is_some()) {
            let message = "a log without its hard state; move the data folder away and start again";
            return Err(Error::storage(message).with_path(&**file));
        }
        let hard = HardFile { me: fresh, hard: Hard::default() };
        self.disk.replace(HARD_FILE, &sealed(&hard)?)?;
        Ok(hard)
    }

    fn read_file<T: DeserializeOwned>(&self, file: &str) -> Result<T> {
        let bytes = self.disk.read(file)?;
        read_sealed(&bytes).ok_or_else(|| {
            let message = "is damaged; move the data folder away and start the VM again, and it \
                           takes the log from the others under a new identity";
            Error::storage(message).with_path(file)
        })
    }

    fn read_segments(&mut self, files: &[String], start: u64, base: u64) -> Result<Vec<Entry>> {
        let mut numbers: Vec<u64> = files.iter().filter_map(|file| segment::number(file)).collect();
        numbers.sort_unstable();
        for number in numbers.extract_if(.., |number| *number < start) {
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
                self.len = len;
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
    /// Keeps a copy of something that may be lost; a failure changes nothing.
    ///
    /// # Errors
    ///
    /// Fails when the copy cannot be written.
    pub fn keep<T: Serialize>(&mut self, value: &T) -> Result<()> {
        Ok(self.disk.replace(KEPT_FILE, &sealed(value)?)?)
    }

    /// Returns what was kept last, or `None` where it was lost.
    pub fn kept<T: DeserializeOwned>(&self) -> Option<T> {
        read_sealed(&self.disk.read(KEPT_FILE).ok()?)
    }

    /// Writes and syncs; what `write` holds is durable where this succeeds.
    ///
    /// # Errors
    ///
    /// Fails when something may not be durable; the storage refuses all writes from then on.
    pub fn write(&mut self, write: &Write) -> Result<()> {
        if self.failed {
            let message = "a write failed before; mend the disk and open the data folder again";
            return Err(Error::storage(message));
        }
        let result = self.try_write(write);
        self.failed = result.is_err();
        result
    }

    fn try_write(&mut self, write: &Write) -> Result<()> {
        if let Some(hard) = write.hard {
            let file = HardFile { me: self.me, hard };
            self.disk.replace(HARD_FILE, &sealed(&file)?)?;
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
        let index = snapshot.mark.index;
        if reset {
            self.start = self.segments.last().map_or(0, |last| last.number) + 1;
        }
        let file = SnapshotFile { snapshot: snapshot.clone(), start: self.start };
        self.disk.replace(SNAPSHOT_FILE, &sealed(&file)?)?;
        while let Some(&first) = self.segments.first() {
            let covered = self.segments.len() > 1 && first.last <= index;
            if !covered && first.number >= self.start {
                break;
            }
            self.segments.remove(0);
            self.disk.remove(&segment::file_name(first.number))?;
        }
        Ok(())
    }

    fn append(&mut self, record: &Record) -> Result<()> {
        let bytes = segment::frame(record)?;
        if self.segments.is_empty() || self.len >= SEGMENT_LEN {
            let number = self.segments.last().map_or(self.start, |last| last.number + 1);
            self.segments.push(Segment { number, last: 0 });
            self.len = 0;
        }
        let segment = self.segments.last_mut().expect("a segment was added above");
        let file = segment::file_name(segment.number);
        self.disk.append(&file, &bytes)?;
        self.disk.sync(&file)?;
        segment.last = segment.last.max(record.last());
        self.len += bytes.len();
        Ok(())
    }
}

/// Applies `record` to the log of `entries` after index `base`.
fn replay(entries: &mut Vec<Entry>, base: u64, record: Record) -> Result<()> {
    let Record { first, entries: new } = record;
    let last = base + entries.len() as u64;
    if first > last + 1 {
        let message = format!(
            "entries {} to {} are missing; move the data folder away and start the VM again",
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

fn read_sealed<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (sum, body) = bytes.split_first_chunk::<SUM_LEN>()?;
    let whole = crc32fast::hash(body).to_le_bytes() == *sum;
    whole.then(|| postcard::from_bytes(body).ok()).flatten()
}

fn sealed<T: Serialize>(value: &T) -> Result<Vec<u8>> {
    let body = postcard::to_stdvec(value)
        .map_err(|err| Error::storage(format!("state cannot be written: {err}; report this")))?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    Ok(bytes)
}
