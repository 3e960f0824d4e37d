//! Control VM that stores numbered configurations and a registry of backend servers, and publishes
//! both to entry VMs.

use std::{net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout},
};

mod event_loop;
mod gossip;

use event_loop::EventLoop;

use super::{
    link::{self, Ack, PeerFrame},
    metrics, presence,
    publish::{Publisher, Subscriber},
    writer,
};
use crate::{
    control::{
        ControlEndpoint, ControlNode, DirDisk, Recovered, Request, Storage, Submission,
        SubmitResult,
    },
    cookie::{
        Announcement, EntryVms, FeedCache, InvalidAnnouncement, ServerRegistry, UnnamedServers,
    },
    counter::Counter,
    error::{Error, Result},
    name::{Name, check_name},
    routing_config::RoutingConfig,
    state::{Command, Outcome},
    time::Time,
};

/// Capacity of the call queue of the event loop.
const QUEUE_LEN: usize = 1024;
/// Tick interval of the control node, a small fraction of its shortest time-out.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of attempts to open a data folder whose disk fails.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a VM that shuts down to hand over leadership: a few round trips.
const HANDOVER_TIME: Duration = Duration::from_millis(150);
/// Longest time for a VM that shuts down to hand over its place in the log: an election, and two
/// entries on a slow disk.
const REPLACE_TIME: Duration = Duration::from_secs(2);

/// Time for which the caller of an unnumbered order has to wait before it is carried out: if the caller
/// gave up while a link was cut, the order and the end of the connection arrive within a round trip
/// of each other.
const CALLER_CHECK_TIME: Duration = Duration::from_millis(100);

/// Settings of a [`Registrar`].
#[derive(Debug, Clone)]
pub struct RegistrarSettings {
    /// Name of the control VM, unique among the members of the log.
    pub name: Name,
    /// Availability zone of the control VM.
    pub zone: Name,
    /// Address on which other VMs of the system reach the control VM (TCP).
    pub listen: SocketAddr,
    /// Data folder of the replicated log.
    pub data: PathBuf,
    /// Addresses of the control VMs to contact first, as in their `listen`.
    pub seeds: Vec<SocketAddr>,
    /// Whether the VM may create a new log together with the seeds if it has none.
    pub bootstrap: bool,
    /// Target number of voters.
    pub voters: usize,
    /// Interval at which backend servers announce themselves.
    pub announce_interval: Duration,
    /// Address on which metrics are served, if any (HTTP).
    pub metrics: Option<SocketAddr>,
}

enum Call {
    Submit(Submission, oneshot::Sender<SubmitResult>),
    Read(oneshot::Sender<Result<Reading>>),
    /// Something that needs no reply happened outside of the event loop.
    Count(Counter),
    Announce(Announcement, oneshot::Sender<Result<()>>),
    Leave(u64, oneshot::Sender<Result<()>>),
    /// An operator asks for the servers that are not used.
    Unnamed(oneshot::Sender<UnnamedServers>),
    Peer(Vec<PeerFrame>),
    Feed(Subscriber),
    /// The settings have changed: seeds, and the target number of voters.
    Settings(Vec<SocketAddr>, usize),
    /// Replies once the log does not count on this VM.
    ShutDown(oneshot::Sender<()>),
}

/// A reading of the replicated state that no acknowledged change is missing from.
struct Reading {
    /// Number of commands applied.
    index: u64,
    config: Option<Arc<RoutingConfig>>,
}

/// Handle to a running control VM.
#[derive(Clone)]
pub struct Registrar {
    calls: mpsc::Sender<Call>,
}

impl Registrar {
    /// Replaces the configuration, unless the current one has a higher number.
    ///
    /// # Errors
    ///
    /// Fails when the configuration is rejected, and when it is not known to be durable.
    pub async fn replace_config(&self, config: RoutingConfig) -> Result<()> {
        config.check()?;
        self.submit(Submission::new(Command::Whole(Arc::new(config)))).await
    }

    /// Takes an availability zone out of service, or puts it back.
    ///
    /// Such orders have no number, so that one that waited, at a VM that was suspended or on a link
    /// that was cut, could undo those acknowledged since. It is therefore carried out only if no
    /// later one contradicts it, and if its operator still waits once it has arrived: the returned
    /// future has to be dropped as soon as the operator has gone.
    ///
    /// # Errors
    ///
    /// Fails when the name is rejected, and when the change is not known to be durable.
    pub async fn set_zone(&self, zone: &str, out: bool) -> Result<()> {
        let command = Command::Zone { zone: check_name(zone)?, out };
        let subject = command.subject().unwrap_or_default();
        let mut pending = PendingCheck::new(self.calls.clone(), subject);
        // The reading has to come before the last look at the connection.
        let (reading, ()) = tokio::join!(self.call(Call::Read), sleep(CALLER_CHECK_TIME));
        pending.is_pending = false;
        let request = Request { id: rand::random(), made: reading??.index };
        let submission = Submission { request: Some(request), ..Submission::new(command) };
        match self.submit(submission).await {
            // The operator may send it again, as a new order.
            Err(err) if err.is_config() => Err(Error::unavailable(err.to_string())),
            result => result,
        }
    }

    async fn submit(&self, submission: Submission) -> Result<()> {
        match self.call(|reply| Call::Submit(submission, reply)).await? {
            SubmitResult::Ordered(Outcome::Accepted { .. }) => Ok(()),
            SubmitResult::Ordered(Outcome::Refused { message }) => Err(Error::config(&*message)),
            SubmitResult::Unavailable | SubmitResult::Unknown => Err(outcome_unknown()),
        }
    }

    /// Returns the current configuration.
    ///
    /// # Errors
    ///
    /// Fails when another control VM may have acknowledged a newer one.
    pub async fn read_config(&self) -> Result<Option<Arc<RoutingConfig>>> {
        Ok(self.call(Call::Read).await??.config)
    }

    /// Replaces the addresses of the control VMs to contact first, and the target number of voters.
    ///
    /// A log that is yet to be formed is formed by the seeds of the start.
    pub async fn update_settings(&self, seeds: Vec<SocketAddr>, voters: usize) {
        // If the call cannot be sent, the event loop has ended.
        _ = self.calls.send(Call::Settings(seeds, voters)).await;
    }

    /// Shuts down gracefully: leadership, and the place as a voter, move to other control VMs first.
    ///
    /// Takes 2 s at most. If no other control VM can take the place, this one keeps it.
    pub async fn shut_down(&self) {
        let (reply, replaced) = oneshot::channel();
        // If the call cannot be sent, the event loop has already ended.
        _ = self.calls.send(Call::ShutDown(reply)).await;
        let (outcome, ()) = tokio::join!(timeout(REPLACE_TIME, replaced), sleep(HANDOVER_TIME));
        if outcome.is_err() {
            log::warn!("event=not_replaced waited_ms={}", REPLACE_TIME.as_millis());
        }
    }

    /// Records an announcement of a backend server.
    ///
    /// # Errors
    ///
    /// Fails when the server drains and no other VM has confirmed this yet.
    pub async fn announce(&self, announcement: Announcement) -> Result<()> {
        self.call(|reply| Call::Announce(announcement, reply)).await?
    }

    /// Counts what was sent as an announcement and names no server to use.
    pub fn count_invalid(&self, reason: InvalidAnnouncement) {
        let counter = match reason {
            InvalidAnnouncement::Unreadable => Counter::AnnouncementsUnreadable,
            InvalidAnnouncement::Incomplete => Counter::AnnouncementsIncomplete,
            InvalidAnnouncement::OutOfRange => Counter::AnnouncementsOutOfRange,
        };
        // A full queue costs no more than a count.
        _ = self.calls.try_send(Call::Count(counter));
    }

    /// Records that the server `id` has left.
    ///
    /// The report does not say which start of the server it ends, and one that was held up could end
    /// a later start. It counts only if the server has announced that it drains, and if it still
    /// waits once the report has arrived: the returned future has to be dropped as soon as the
    /// server has gone.
    ///
    /// # Errors
    ///
    /// Fails when the server has not announced that it drains, and when no other VM has confirmed
    /// its end yet.
    pub async fn leave(&self, id: u64) -> Result<()> {
        let mut pending = PendingCheck::new(self.calls.clone(), format!("leave {id:x}").into());
        sleep(CALLER_CHECK_TIME).await;
        pending.is_pending = false;
        self.call(|reply| Call::Leave(id, reply)).await?
    }

    async fn call<T>(&self, call: impl FnOnce(oneshot::Sender<T>) -> Call) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.calls.send(call(reply)).await.map_err(|_| shutting_down())?;
        answer.await.map_err(|_| shutting_down())
    }
}

/// Reports an order whose future is dropped while its caller is being checked.
struct PendingCheck {
    calls: mpsc::Sender<Call>,
    subject: Name,
    arrived_at: Instant,
    is_pending: bool,
}

impl PendingCheck {
    fn new(calls: mpsc::Sender<Call>, subject: Name) -> PendingCheck {
        PendingCheck { calls, subject, arrived_at: Instant::now(), is_pending: true }
    }
}

impl Drop for PendingCheck {
    fn drop(&mut self) {
        if self.is_pending {
            let age = self.arrived_at.elapsed().as_millis();
            log::info!("event=order_abandoned subject={:?} age_ms={age}", self.subject);
            // A full queue costs no more than a count.
            _ = self.calls.try_send(Call::Count(Counter::ChangesAbandoned));
        }
    }
}

#[cold]
fn outcome_unknown() -> Error {
    Error::unavailable(
        "the outcome is unknown; retry the same request on this or another control VM",
    )
}

#[cold]
fn shutting_down() -> Error {
    Error::unavailable("the control VM is shutting down; try another")
}

/// Starts a control VM.
///
/// # Errors
///
/// Fails when the data folder is damaged or locked, or an address cannot be used.
pub async fn start_registrar(settings: RegistrarSettings) -> Result<Registrar> {
    let (storage, recovered) = open(&settings).await?;
    let cache: FeedCache = storage.read_cache().unwrap_or_default();
    let endpoint = ControlEndpoint { name: settings.name.clone(), addr: settings.listen };
    log::info!(
        "event=start vm={} replica={} entries={} snapshot={}",
        settings.name,
        recovered.id,
        recovered.entries.len(),
        recovered.snapshot.last_entry.index
    );
    let voters = settings.seeds.iter().map(|seed| (seed.to_string().into(), *seed)).collect();
    let mut node = ControlNode::new(Time::ZERO, endpoint, recovered, voters)?
        .with_voter_count(settings.voters);
    if !settings.bootstrap {
        node = node.with_join_only();
    }
    let listener = TcpListener::bind(settings.listen).await.map_err(|err| {
        let message = format!("{}: {err}; free the address or choose another", settings.listen);
        Error::settings(message)
    })?;
    let presence = presence::bind(settings.listen).await?;
    let metrics = metrics::start(settings.metrics, &settings.name, &settings.zone).await?;
    let (calls, call_queue) = mpsc::channel(QUEUE_LEN);
    tokio::spawn(accept(listener, calls.clone()));
    let (events, storage_events) = mpsc::unbounded_channel();
    let writer_jobs = writer::start(settings.data.clone(), storage, events, metrics.clone());
    let services = cache.plan.iter().flat_map(|plan| plan.config.services.keys().cloned());
    let registry = ServerRegistry::new(Time::ZERO, settings.announce_interval)
        .with_services(services.collect())
        .with_cached(cache.records);
    let (reports, load_reports) = mpsc::channel(QUEUE_LEN);
    let publisher = Publisher::new(cache.plan, reports);
    let (connected, connections) = mpsc::unbounded_channel();
    let mut event_loop =
        EventLoop::new(settings, node, registry, publisher, connected, writer_jobs);
    event_loop.metrics = metrics;
    event_loop.entry_vms = EntryVms::new(Time::ZERO, cache.entry_vms);
    event_loop.presence = Some(presence);
    tokio::spawn(event_loop.serve(call_queue, storage_events, connections, load_reports));
    Ok(Registrar { calls })
}

/// Opens the data folder; retries on I/O errors, but not when the folder is damaged or locked.
async fn open(settings: &RegistrarSettings) -> Result<(Storage<DirDisk>, Recovered)> {
    loop {
        match writer::open(&settings.data) {
            Err(err) if !err.is_storage() => {
                log::error!("event=disk_refused reason={:?}", err.to_string());
                sleep(REOPEN_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Accepts connections from other VMs of the system.
async fn accept(listener: TcpListener, calls: mpsc::Sender<Call>) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            // Out of file descriptors; wait until some are closed.
            sleep(TICK_INTERVAL).await;
            continue;
        };
        let calls = calls.clone();
        tokio::spawn(async move {
            _ = stream.set_nodelay(true);
            match link::read_frame(&mut stream).await {
                Ok(link::Hello::Peer) => {
                    while let Ok(frames) = link::read_frame(&mut stream).await {
                        let queued = calls.send(Call::Peer(frames)).await.is_ok();
                        if !queued || link::write_ack(&mut stream, Ack::Received).await.is_err() {
                            return;
                        }
                    }
                }
                Ok(link::Hello::Feed { name, index, push_plans, records, zone, listen }) => {
                    let subscriber =
                        Subscriber { name, zone, listen, index, push_plans, records, stream };
                    _ = calls.send(Call::Feed(subscriber)).await;
                }
                Ok(link::Hello::Unnamed) => {
                    let (reply, servers) = oneshot::channel();
                    if calls.send(Call::Unnamed(reply)).await.is_ok()
                        && let Ok(servers) = servers.await
                    {
                        // The operator asks again if it does not arrive.
                        _ = link::write_frame(&mut stream, &servers).await;
                    }
                }
                Err(err) => log::warn!("event=link_refused reason={:?}", err.to_string()),
            }
        });
    }
}
