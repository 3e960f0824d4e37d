//! Shell of a control VM that keeps numbered configurations and a registry of backend servers,
//! and feeds them to entry VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use tokio::{
    net::TcpListener,
    sync::{mpsc, oneshot},
    time::{Instant, interval, sleep, timeout},
};

use super::{
    link::{self, Answer, Parcel, PeerFrame},
    metrics::{self, Latency, Level, Metrics},
    publish::{Publisher, Subscriber},
    writer::{self, Job},
};
use crate::{
    control::{ControlAction, ControlEvent, ControlNode, Envelope, Fate, Seat, Submission},
    cookie::{Announcement, ControlSeat, FeedMessage, Gossip, Heard, Kept, Registry, ServerRecord},
    counter::{Counter, Counters},
    error::{Error, Result},
    name::Name,
    state::{Command, Outcome},
    time::Time,
    whole::Whole,
};

/// Calls that wait for the shell at most.
const QUEUE_LEN: usize = 1024;
/// Time between two ticks of the control node, a small part of its shortest time-out.
const TICK: Duration = Duration::from_millis(50);
/// Time between two tries to open a data folder whose disk refuses writes.
const REOPEN_PERIOD: Duration = Duration::from_millis(500);
/// Time between two rounds of gossip: a part of what a silent server is given.
const GOSSIP: Duration = Duration::from_millis(400);
/// Time between two signs of life to entry VMs.
const BEAT: Duration = Duration::from_millis(1_000);
/// Time in which another VM has to know of the end of a server: its announcement is answered
/// within a second.
const KNOWN: Duration = Duration::from_millis(700);
/// Shortest time between two copies on disk of what entry VMs need.
const KEEP: Duration = Duration::from_secs(2);
/// Time that a stopping VM takes to hand on what it has: a few round trips.
const LEAVING: Duration = Duration::from_millis(150);
/// Time without gossip after which a control VM that is no member is not named to entry VMs.
const PRESENT: Duration = Duration::from_secs(6);

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
    Read(oneshot::Sender<Result<Option<Arc<Whole>>>>),
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
    pub async fn replace(&self, whole: Whole) -> Result<()> {
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
    pub async fn read(&self) -> Result<Option<Arc<Whole>>> {
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

#[cold]
fn unknown_elsewhere() -> Error {
    Error::unavailable("no other VM has answered; announce it to another control VM")
}

/// Starts a control VM.
///
/// # Errors
///
/// Fails when the data folder is damaged or the address cannot be used.
pub async fn start_registrar(settings: RegistrarSettings) -> Result<Registrar> {
    let (storage, recovered) = open(&settings).await?;
    let kept: Kept = storage.kept().unwrap_or_default();
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
    let registry = Registry::new(Time::ZERO, settings.period).with_kept(kept.records);
    let publisher = Publisher::new(kept.plan);
    let (reached, connections) = mpsc::unbounded_channel();
    let shell =
        Shell::new(settings, node, registry, publisher, reached, writes).with_metrics(metrics);
    tokio::spawn(shell.serve(requests, reports, connections));
    Ok(Registrar { calls })
}

/// Opens the data folder, again and again while its disk refuses writes.
async fn open(
    settings: &RegistrarSettings,
) -> Result<(crate::control::Storage<crate::control::FolderDisk>, crate::control::Recovered)> {
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

enum Waiter {
    Fate(oneshot::Sender<Fate>),
    Read(oneshot::Sender<Result<Option<Arc<Whole>>>>),
}

struct Peer {
    zone: Name,
    heard: Time,
}

struct Shell {
    settings: RegistrarSettings,
    node: ControlNode,
    registry: Registry,
    publisher: Publisher,
    writes: mpsc::UnboundedSender<Job>,
    metrics: Option<Metrics>,
    counters: Counters,
    epoch: u64,
    links: BTreeMap<SocketAddr, mpsc::Sender<Parcel<PeerFrame>>>,
    /// Hears of each connection of a link.
    reached: mpsc::UnboundedSender<SocketAddr>,
    /// Control VMs that have sent gossip.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Callers that wait, and since when.
    waiting: BTreeMap<u64, (Time, Waiter)>,
    ticket: u64,
    /// Whether another control VM has told all that it knows.
    caught_up: bool,
    gossip_due: Time,
    keep_due: Time,
    /// Whether something has changed since it was kept.
    changed: bool,
    beat_due: Time,
    origin: Instant,
}

impl Shell {
    fn new(
        settings: RegistrarSettings,
        node: ControlNode,
        registry: Registry,
        publisher: Publisher,
        reached: mpsc::UnboundedSender<SocketAddr>,
        writes: mpsc::UnboundedSender<Job>,
    ) -> Shell {
        Shell {
            settings,
            node,
            registry,
            publisher,
            writes,
            metrics: None,
            counters: Counters::new(),
            epoch: 0,
            links: BTreeMap::new(),
            reached,
            peers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            ticket: 0,
            caught_up: false,
            gossip_due: Time::ZERO,
            keep_due: Time::ZERO + KEEP,
            changed: false,
            beat_due: Time::ZERO,
            origin: Instant::now(),
        }
    }

    fn with_metrics(mut self, metrics: Option<Metrics>) -> Shell {
        self.metrics = metrics;
        self
    }

    async fn serve(
        mut self,
        mut requests: mpsc::Receiver<Call>,
        mut reports: mpsc::UnboundedReceiver<ControlEvent>,
        mut connections: mpsc::UnboundedReceiver<SocketAddr>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = reports.recv() => self.event(event),
                Some(peer) = connections.recv() => self.tell_all(peer),
                call = requests.recv() => match call {
                    Some(call) => self.take(call),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            self.changed |= self.publisher.publish(self.node.state());
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.origin.elapsed()
    }

    fn take(&mut self, call: Call) {
        match call {
            Call::Submit(command, reply) => {
                let ticket = self.wait(Waiter::Fate(reply));
                let submission = Submission::new(command);
                self.event(ControlEvent::Submit { ticket, submission });
            }
            Call::Read(reply) => {
                let ticket = self.wait(Waiter::Read(reply));
                self.event(ControlEvent::Read { ticket });
            }
            Call::Announce(announced, reply) => self.announce(announced, reply),
            Call::Leave(id, reply) => self.leave(id, reply),
            Call::Peer(frames) => self.frames(frames),
            Call::Stop => {
                log::info!("event=stop");
                self.event(ControlEvent::Stop);
            }
            Call::Feed(subscriber) => {
                let beat = self.beat();
                self.publisher.subscribe(subscriber, beat, || self.registry.records());
            }
        }
    }

    fn wait(&mut self, waiter: Waiter) -> u64 {
        self.ticket += 1;
        self.waiting.insert(self.ticket, (self.now(), waiter));
        self.ticket
    }

    fn announce(&mut self, announced: Announcement, reply: oneshot::Sender<Result<()>>) {
        let now = self.now();
        let (id, draining) = (announced.id, announced.draining);
        let heard = self.registry.announce(now, announced);
        self.counters.add(
            match heard {
                Heard::Changed => Counter::AnnouncementsChanged,
                Heard::Same => Counter::AnnouncementsSame,
                Heard::Late => Counter::AnnouncementsLate,
            },
            1,
        );
        let record = self.registry.get(id).filter(|_| heard != Heard::Late).cloned();
        match record {
            Some(record) if heard == Heard::Changed || draining => {
                if heard == Heard::Changed {
                    log_record("announced", &record);
                }
                let arrived = self.spread(vec![record]);
                self.confirm(arrived, draining, reply);
            }
            _ => _ = reply.send(Ok(())),
        }
    }

    /// Answers an announcement once another VM has it, where that is `needed`.
    fn confirm(
        &mut self,
        mut arrived: mpsc::Receiver<()>,
        needed: bool,
        reply: oneshot::Sender<Result<()>>,
    ) {
        if !needed {
            // A server that has gone on announces itself again.
            _ = reply.send(Ok(()));
            return;
        }
        let (since, metrics) = (Instant::now(), self.metrics.clone());
        tokio::spawn(async move {
            let known = matches!(timeout(KNOWN, arrived.recv()).await, Ok(Some(())));
            if let Some(metrics) = metrics {
                metrics.record(Latency::Confirm, since.elapsed());
            }
            if !known {
                log::warn!("event=unconfirmed waited_ms={}", KNOWN.as_millis());
            }
            _ = reply.send(if known { Ok(()) } else { Err(unknown_elsewhere()) });
        });
    }

    fn leave(&mut self, id: u64, reply: oneshot::Sender<Result<()>>) {
        match self.registry.leave(self.now(), id) {
            Some(record) => {
                log_record("left", &record);
                let arrived = self.spread(vec![record]);
                self.confirm(arrived, true, reply);
            }
            None => _ = reply.send(Ok(())),
        }
    }

    /// Tells entry VMs and the other control VMs of changed servers; the receiver hears of each
    /// VM that has it.
    fn spread(&mut self, records: Vec<ServerRecord>) -> mpsc::Receiver<()> {
        self.changed = true;
        let (sender, arrived) = mpsc::channel(1);
        let message = FeedMessage::Servers { all: false, records: records.clone() };
        self.publisher.send(&message, Some(&sender));
        self.gossip(false, records, Vec::new(), Some(&sender));
        arrived
    }

    fn gossip(
        &mut self,
        asks: bool,
        records: Vec<ServerRecord>,
        alive: Vec<(u64, u64)>,
        arrived: Option<&mpsc::Sender<()>>,
    ) {
        let gossip = Gossip { from: self.seat(), asks, age: None, records, alive };
        for to in self.others() {
            let parcel =
                Parcel { message: PeerFrame::Gossip(gossip.clone()), arrived: arrived.cloned() };
            self.post(to, parcel);
        }
    }

    fn post(&mut self, to: SocketAddr, parcel: Parcel<PeerFrame>) {
        let link = self.links.entry(to).or_insert_with(|| link::start(to, self.reached.clone()));
        // A full queue loses the message, as the way there may.
        _ = link.try_send(parcel);
    }

    fn seat(&self) -> ControlSeat {
        ControlSeat { addr: self.settings.listen, zone: self.settings.zone.clone() }
    }

    /// Returns where the other control VMs are reached.
    fn others(&self) -> BTreeSet<SocketAddr> {
        let now = self.now();
        let members = self.node.replica().members().all().map(|(_, seat)| seat.addr);
        let mut others: BTreeSet<_> = members.collect();
        others.extend(&self.settings.seeds);
        let present = self.peers.iter().filter(|(_, peer)| now.since(peer.heard) < PRESENT);
        others.extend(present.map(|(addr, _)| *addr));
        others.remove(&self.settings.listen);
        others
    }

    fn frames(&mut self, frames: Vec<PeerFrame>) {
        for frame in frames {
            match frame {
                PeerFrame::Log(envelope) => self.event(ControlEvent::Message(envelope)),
                PeerFrame::Gossip(gossip) => self.heard(gossip),
            }
        }
    }

    fn heard(&mut self, gossip: Gossip) {
        let now = self.now();
        let Gossip { from, asks, age, records, alive } = gossip;
        let peer = Peer { zone: from.zone, heard: now };
        self.peers.insert(from.addr, peer);
        let mut changed = Vec::new();
        for record in records {
            let id = record.announced.id;
            if self.registry.gossip(now, record) == Heard::Changed {
                changed.extend(self.registry.get(id).cloned());
            }
        }
        for (id, sequence) in alive {
            if self.registry.alive(now, id, sequence) == Heard::Changed {
                changed.extend(self.registry.get(id).cloned());
            }
        }
        if !changed.is_empty() {
            self.changed = true;
            let message = FeedMessage::Servers { all: false, records: changed };
            self.publisher.send(&message, None);
        }
        if let Some(age) = age {
            self.registry.inherit(now, age);
            self.caught_up = true;
        }
        if asks {
            self.tell_all(from.addr);
        }
    }

    /// Tells a control VM all that is known; what was told before it was reached may be lost.
    fn tell_all(&mut self, to: SocketAddr) {
        let age = Some(self.registry.age(self.now()));
        let records = self.registry.records().cloned().collect();
        let gossip = Gossip { from: self.seat(), asks: false, age, records, alive: Vec::new() };
        self.post(to, Parcel { message: PeerFrame::Gossip(gossip), arrived: None });
    }

    fn tick(&mut self) {
        let now = self.now();
        self.event(ControlEvent::Tick);
        if now >= self.gossip_due {
            self.gossip_due = now + GOSSIP;
            let (records, alive) = self.registry.take_fresh();
            self.gossip(!self.caught_up, records, alive, None);
            self.publish_metrics(now);
            let changed = self.registry.tick(now);
            let silent = changed.iter().filter(|record| record.silent).count();
            self.counters.add(Counter::ServersSilent, silent as u64);
            if !changed.is_empty() {
                changed.iter().for_each(|record| log_record("judged", record));
                let message = FeedMessage::Servers { all: false, records: changed };
                self.publisher.send(&message, None);
            }
        }
        self.keep(now);
        if now >= self.beat_due {
            self.beat_due = now + BEAT;
            let beat = self.beat();
            self.publisher.send(&beat, None);
        }
    }

    /// Keeps what entry VMs need on disk.
    fn keep(&mut self, now: Time) {
        if !self.changed || now < self.keep_due {
            return;
        }
        self.changed = false;
        self.keep_due = now + KEEP;
        let records = self.registry.records().cloned().collect();
        let kept = Kept { plan: self.publisher.plan(), records };
        _ = self.writes.send(Job::Keep(Box::new(kept)));
    }

    fn beat(&self) -> FeedMessage {
        let now = self.now();
        let seats = self.others().into_iter().map(|addr| {
            let zone = self.peers.get(&addr).map_or_else(|| Name::from(""), |p| p.zone.clone());
            ControlSeat { addr, zone }
        });
        FeedMessage::Beat {
            index: self.node.state().index,
            fresh: self.node.is_fresh(now),
            age: self.registry.age(now),
            seats: seats.chain([self.seat()]).collect(),
        }
    }

    fn event(&mut self, event: ControlEvent) {
        self.epoch += u64::from(matches!(event, ControlEvent::Recovered(_)));
        let before = self.node.status_line();
        let mut out = Vec::new();
        self.node.handle(self.now(), event, &mut out);
        let after = self.node.status_line();
        if before != after {
            log::info!("event=log state={after:?}");
        }
        for action in out {
            self.act(action);
        }
    }

    fn act(&mut self, action: ControlAction) {
        match action {
            ControlAction::Write(write) => _ = self.writes.send(Job::Log(self.epoch, write)),
            ControlAction::Send { to, envelope } => self.send(to, envelope),
            ControlAction::Fate { ticket, fate } => {
                let Some((since, Waiter::Fate(reply))) = self.waiting.remove(&ticket) else {
                    return;
                };
                self.record(Latency::Order, since);
                log::info!("event=order ticket={ticket} fate={fate:?}");
                // A caller that has gone on asks again.
                _ = reply.send(fate);
            }
            ControlAction::Readable { ticket, fresh } => {
                let Some((since, Waiter::Read(reply))) = self.waiting.remove(&ticket) else {
                    return;
                };
                self.record(Latency::Read, since);
                self.counters
                    .add(if fresh { Counter::ReadsConfirmed } else { Counter::ReadsUnsure }, 1);
                let reading = if fresh {
                    Ok(self.node.machine().state().whole.clone())
                } else {
                    Err(self.node.unsure())
                };
                _ = reply.send(reading);
            }
            // Entry VMs of this shell are fed, they do not report.
            ControlAction::Entries { .. } => {}
        }
    }

    fn record(&self, latency: Latency, since: Time) {
        if let Some(metrics) = &self.metrics {
            metrics.record(latency, self.now().since(since));
        }
    }

    fn publish_metrics(&self, now: Time) {
        let Some(metrics) = &self.metrics else { return };
        let mut counters = self.node.counters().clone();
        for (counter, count) in self.counters.iter() {
            counters.add(counter, count);
        }
        metrics.publish(&counters);
        let state = self.node.state();
        let number = state.whole.as_ref().map_or(0, |whole| whole.number);
        metrics.set(Level::PlanIndex, state.index);
        metrics.set(Level::PlanNumber, number);
        metrics.set(Level::RegistryAge, self.registry.age(now).as_millis() as u64);
        metrics.set(Level::Servers, self.registry.records().count() as u64);
        metrics.set(Level::Subscribers, self.publisher.subscribers() as u64);
    }

    fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        self.post(to, Parcel { message: PeerFrame::Log(envelope), arrived: None });
    }
}

fn log_record(event: &str, record: &ServerRecord) {
    let announced = &record.announced;
    log::info!(
        "event={event} server={:x} service={} addr={} zone={} state={:?} silent={} born={} \
         sequence={} cold_ms={}",
        announced.id,
        announced.service,
        announced.addr,
        announced.zone,
        record.state,
        record.silent,
        announced.born,
        announced.sequence,
        announced.cold.as_millis()
    );
}
