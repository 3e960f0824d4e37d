//! The thread that writes the log of a control VM, so that a slow disk holds up nothing else.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use super::metrics::{Latency, Metrics};

use crate::{
    control::{ControlEvent, FolderDisk, Identity, Recovered, Storage, Write},
    cookie::FeedCache,
    error::Result,
};

/// Time between two tries to open a data folder whose disk has failed.
const REOPEN_PERIOD: Duration = Duration::from_millis(500);

/// Opens the data folder and reads what it holds.
///
/// # Errors
///
/// Fails when the folder cannot be used or is damaged.
pub(super) fn open(folder: &Path) -> Result<(Storage<FolderDisk>, Recovered)> {
    let disk = FolderDisk::new(folder)?;
    Storage::open(disk).recover(Identity::new(rand::random())).map_err(|err| {
        let inner = err.path().unwrap_or_default().to_owned();
        err.with_path(format!("{}/{inner}", folder.display()))
    })
}

/// What the thread writes.
pub(super) enum Job {
    /// A write of the log, of the replica after so many recoveries.
    Log(u64, Write),
    /// A copy of what entry VMs need, which may be lost.
    Keep(Box<FeedCache>),
}

/// Starts the thread that writes; it reports each write when it is synced, in order.
pub(super) fn start(
    folder: PathBuf,
    storage: Storage<FolderDisk>,
    events: mpsc::UnboundedSender<ControlEvent>,
    metrics: Option<Metrics>,
) -> mpsc::UnboundedSender<Job> {
    let (sender, writes) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || {
        write_all(&folder, storage, writes, &events, metrics.as_ref())
    });
    sender
}

fn write_all(
    folder: &Path,
    mut storage: Storage<FolderDisk>,
    mut writes: mpsc::UnboundedReceiver<Job>,
    events: &mpsc::UnboundedSender<ControlEvent>,
    metrics: Option<&Metrics>,
) {
    let mut epoch = 0;
    while let Some(job) = writes.blocking_recv() {
        let (asked, write) = match job {
            Job::Log(asked, write) => (asked, write),
            Job::Keep(kept) => {
                if let Err(err) = storage.keep(&*kept) {
                    log::warn!("event=not_kept reason={:?}", err.to_string());
                }
                continue;
            }
        };
        if asked != epoch {
            // It belongs to the replica that ended with the failure.
            continue;
        }
        let since = Instant::now();
        let written = storage.write(&write);
        if let Some(metrics) = metrics {
            metrics.record(Latency::Sync, since.elapsed());
        }
        let event = match written {
            Ok(()) => ControlEvent::Synced(write.id),
            Err(err) => {
                log::error!("{err}; nothing is acknowledged until the disk works again");
                _ = events.send(ControlEvent::SyncFailed);
                drop(storage);
                let recovered;
                (storage, recovered) = reopen(folder);
                log::info!("the data folder works again");
                epoch += 1;
                ControlEvent::Recovered(recovered)
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

fn reopen(folder: &Path) -> (Storage<FolderDisk>, Recovered) {
    loop {
        std::thread::sleep(REOPEN_PERIOD);
        if let Ok(opened) = open(folder) {
            return opened;
        }
    }
}
