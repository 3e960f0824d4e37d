//! Shell of a control VM that keeps numbered configurations and a registry of backend servers,
//! and feeds them to entry VMs.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::sleep,
};

mod gossip;
mod shell;

use shell::Shell;

use super::{
    link::{self, Answer, PeerFrame},
    metrics,
    publish::{Publisher, Subscriber},
    writer,
};
use crate::{
    control::{ControlNode, Fate, FolderDisk, Recovered, Seat, Storage},
    cookie::{Announcement, FeedCache, ServerRegistry},
    error::{Error, Result},
    name::Name,
    routing_config::RoutingConfig,
    state::{Command, Outcome},
    time::Time,
};

/// Calls that wait for the shell at most.
const QUEUE_LEN: usize = 1024;
/// Time between two ticks of the control node, a small part of its shortest time-out.
const TICK: Duration = Duration::from_millis(50);
/// Time between two tries to open a data folder whose disk refuses writes.
const REOPEN_PERIOD: Duration = Duration::from_millis(500);
/// Time that a stopping VM takes to hand on what it has: a few round trips.
const LEAVING: Duration = Duration::from_millis(150);

/// Settings of a [`Registrar`].
#[derive(Debug, Clone)]
pub struct RegistrarSettings {
    /// Name of the control VM, unique among those of the log; its address where none is given.
    pub name: Name,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Where other VMs of the system reach it (TCP).
    pub listen: SocketAddr,
    /// Folder of the log.
    pub data: PathBuf,
    /// Control VMs to start with, where other VMs of the system reach them.
    pub seeds: Vec<SocketAddr>,
    /// Whether the seeds make a new log where they have none.
    pub first: bool,
    /// Voters that are wanted.
    pub voters: usize,
    /// Time between two announcements of a backend server.
    pub period: Duration,
    /// Where metrics are read, if anywhere (HTTP).
    pub metrics: Option<SocketAddr>,
}

enum Call {
    Submit(Command, oneshot::Sender<Fate>),
    Read(oneshot::Sender<Result<Option<Arc<RoutingConfig>>>>),
    Announce(Announcement, oneshot::Sender<Result<()>>),
    Leave(u64, oneshot::Sender<Result<()>>),
    Peer(Vec<PeerFrame>),
    Feed(Subscriber),
    Stop,
}

/// A running control VM.
#[derive(Clone)]
pub struct Registrar {
    calls: mpsc::Sender<Call>,
}

impl Registrar {
    /// Puts a configuration in force unless a higher number is.
    ///
    /// # Errors
    ///
    /// Fails where the configuration is refused, and where nobody can say that it is durable.
    pub async fn replace(&self, whole: RoutingConfig) -> Result<()> {
        whole.check()?;
        self.submit(Command::Whole(Arc::new(whole))).await
    }

    /// Takes an availability zone out, or back in.
    ///
    /// # Errors
    ///
    /// Fails where the name is refused, and where nobody can say that the order is durable.
    pub async fn set_zone(&self, zone: &str, out: bool) -> Result<()> {
        self.submit(Command::Zone { zone: zone.into(), out }).await
    }

    async fn submit(&self, command: Command) -> Result<()> {
        match self.call(|reply| Call::Submit(command, reply)).await? {
            Fate::Ordered(Outcome::Accepted { .. }) => Ok(()),
            Fate::Ordered(Outcome::Refused { message }) => Err(Error::config(&*message)),
            Fate::Unavailable | Fate::Unknown => Err(unsure()),
        }
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// Fails where a newer one may have been acknowledged elsewhere.
    pub async fn read(&self) -> Result<Option<Arc<RoutingConfig>>> {
        self.call(Call::Read).await?
    }

    /// Stops in order: another control VM leads first.
    pub async fn stop(&self) {
        // The shell has ended where the call cannot be made.
        _ = self.calls.send(Call::Stop).await;
        sleep(LEAVING).await;
    }

    /// Takes over an announcement of a backend server.
    ///
    /// # Errors
    ///
    /// Fails where a server takes no new flows and no other VM knows of it yet.
    pub async fn announce(&self, announced: Announcement) -> Result<()> {
        self.call(|reply| Call::Announce(announced, reply)).await?
    }

    /// Takes over that the server `id` has left.
    ///
    /// # Errors
    ///
    /// Fails where no other VM knows of it yet.
    pub async fn leave(&self, id: u64) -> Result<()> {
        self.call(|reply| Call::Leave(id, reply)).await?
    }

    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }
}

#[cold]
fn unsure() -> Error {
    Error::unavailable("the outcome is not known; send the same again, here or elsewhere")
}

#[cold]
fn stopping() -> Error {
    Error::unavailable("the control VM is stopping; ask another one")
}

/// Starts a control VM.
///
/// # Errors
///
/// Fails when the data folder is damaged or the address cannot be used.
pub async fn start_registrar(settings: RegistrarSettings) -> Result<Registrar> {
    let (storage, recovered) = open(&settings).await?;
    let kept: FeedCache = storage.kept().unwrap_or_default();
    let seat = Seat { name: settings.name.clone(), addr: settings.listen };
    log::info!(
        "event=start vm={} replica={} entries={} snapshot={}",
        settings.name,
        recovered.me,
        recovered.entries.len(),
        recovered.snapshot.mark.index
    );
    let voters = settings.seeds.iter().map(|seed| (seed.to_string().into(), *seed)).collect();
    let mut node =
        ControlNode::new(Time::ZERO, seat, recovered, voters)?.with_voters(settings.voters);
    if !settings.first {
        node = node.with_joining();
    }
    let listener = TcpListener::bind(settings.listen).await.map_err(|err| {
        let message = format!("{}: {err}; free the address or choose another", settings.listen);
        Error::settings(message)
    })?;
    let metrics = metrics::start(settings.metrics, &settings.name, &settings.zone).await?;
    let (calls, requests) = mpsc::channel(QUEUE_LEN);
    tokio::spawn(accept(listener, calls.clone()));
    let (events, reports) = mpsc::unbounded_channel();
    let writes = writer::start(settings.data.clone(), storage, events, metrics.clone());
    let registry = ServerRegistry::new(Time::ZERO, settings.period).with_cached(kept.records);
    let publisher = Publisher::new(kept.plan);
    let (reached, connections) = mpsc::unbounded_channel();
    let mut shell = Shell::new(settings, node, registry, publisher, reached, writes);
    shell.metrics = metrics;
    tokio::spawn(shell.serve(requests, reports, connections));
    Ok(Registrar { calls })
}

/// Opens the data folder, again and again while its disk refuses writes.
async fn open(settings: &RegistrarSettings) -> Result<(Storage<FolderDisk>, Recovered)> {
    loop {
        match writer::open(&settings.data) {
            Err(err) if !err.is_storage() => {
                log::error!("event=disk_refused reason={:?}", err.to_string());
                sleep(REOPEN_PERIOD).await;
            }
            result => return result,
        }
    }
}

/// Takes connections of other VMs of the system.
async fn accept(listener: TcpListener, calls: mpsc::Sender<Call>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // Out of descriptors; some are free again soon.
            sleep(TICK).await;
            continue;
        };
        let calls = calls.clone();
        tokio::spawn(async move {
            _ = stream.set_nodelay(true);
            match link::read_frame(&mut stream).await {
                Ok(link::Opening::Peer) => {
                    while let Ok(frames) = link::read_frame(&mut stream).await {
                        let taken = calls.send(Call::Peer(frames)).await.is_ok();
                        if !taken || link::answer(&mut stream, Answer::Has).await.is_err() {
                            return;
                        }
                    }
                }
                Ok(link::Opening::Feed { name, index, plans }) => {
                    let subscriber = Subscriber { name, index, plans, stream };
                    _ = calls.send(Call::Feed(subscriber)).await;
                }
                Err(err) => log::warn!("event=link_refused reason={:?}", err.to_string()),
            }
        });
    }
}
