//! Thread that writes the log of a control VM, so that a slow disk does not block the event loop.

use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use tokio::sync::mpsc;

use super::metrics::{Latency, Metrics};

use crate::{
    control::{ControlEvent, DirDisk, Recovered, ReplicaId, Storage, Write},
    cookie::FeedCache,
    error::Result,
};

/// Interval of attempts to reopen the data folder after a disk failure.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Opens the data folder and recovers the replica from it.
///
/// # Errors
///
/// Fails when the folder cannot be used or is damaged.
pub(super) fn open(folder: &Path) -> Result<(Storage<DirDisk>, Recovered)> {
    let disk = DirDisk::new(folder)?;
    Storage::open(disk).recover(ReplicaId::new(rand::random())).map_err(|err| {
        let inner = err.path().unwrap_or_default().to_owned();
        err.with_path(format!("{}/{inner}", folder.display()))
    })
}

/// A job of the writer thread.
pub(super) enum Job {
    /// Writes to the log; the number is the epoch of the replica that issued the write.
    WriteLog(u64, Write),
    /// Saves the plan and the server records; a failure is only logged.
    SaveFeed(Box<FeedCache>),
}

/// Starts the writer thread, which reports each log write, in order, once it is synced.
pub(super) fn start(
    folder: PathBuf,
    storage: Storage<DirDisk>,
    events: mpsc::UnboundedSender<ControlEvent>,
    metrics: Option<Metrics>,
) -> mpsc::UnboundedSender<Job> {
    let (sender, jobs) = mpsc::unbounded_channel();
    tokio::task::spawn_blocking(move || run(&folder, storage, jobs, &events, metrics.as_ref()));
    sender
}

fn run(
    folder: &Path,
    mut storage: Storage<DirDisk>,
    mut jobs: mpsc::UnboundedReceiver<Job>,
    events: &mpsc::UnboundedSender<ControlEvent>,
    metrics: Option<&Metrics>,
) {
    let mut epoch = 0;
    while let Some(job) = jobs.blocking_recv() {
        let (write_epoch, write) = match job {
            Job::WriteLog(write_epoch, write) => (write_epoch, write),
            Job::SaveFeed(cache) => {
                if let Err(err) = storage.write_cache(&*cache) {
                    log::warn!("event=not_kept reason={:?}", err.to_string());
                }
                continue;
            }
        };
        if write_epoch != epoch {
            // Issued by the replica that was replaced after the disk failure.
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
                log::error!(
                    "{err}; no write is acknowledged until the data folder can be reopened"
                );
                _ = events.send(ControlEvent::SyncFailed);
                drop(storage);
                let recovered;
                (storage, recovered) = reopen(folder);
                log::info!("the data folder is open again");
                epoch += 1;
                ControlEvent::Recovered(recovered)
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}

fn reopen(folder: &Path) -> (Storage<DirDisk>, Recovered) {
    loop {
        std::thread::sleep(REOPEN_INTERVAL);
        if let Ok(opened) = open(folder) {
            return opened;
        }
    }
}
