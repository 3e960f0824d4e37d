//! The event loop of a control VM.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot},
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use super::{Call, Reading, RegistrarSettings, TICK_INTERVAL};
use crate::{
    control::{ControlAction, ControlEvent, ControlNode, Envelope, SubmitResult},
    cookie::{
        Announcement, EntryVms, FeedCache, FeedMessage, LeaveOutcome, LoadTable, ServerRecord,
        ServerRegistry, UpdateBatcher, UpdateOutcome,
    },
    counter::{Counter, Counters},
    daemon::{
        link::{Outbound, PeerFrame},
        metrics::{Gauge, Latency, Metrics},
        publish::{Publisher, VmReport},
        tickets::Tickets,
        writer::Job,
    },
    error::{Error, Result},
    name::Name,
    time::Time,
};

/// Interval of gossip rounds, a fraction of the time after which a server counts as silent.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest interval at which the plan and the server records are saved to disk.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of heartbeats to entry VMs.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);
/// Shortest interval of heartbeats, when what they say of the quorum changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Time-out for another VM to confirm that a server drains or has left; the server expects a reply
/// within a second.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);

/// Reply channel of a pending call.
enum PendingCall {
    /// An order of an operator, and what it changes.
    Submit(oneshot::Sender<SubmitResult>, Option<Name>),
    Read(oneshot::Sender<Result<Reading>>),
}

/// Another control VM, known from its gossip.
pub(super) struct Peer {
    pub(super) zone: Name,
    pub(super) last_heard: Time,
}

pub(super) struct EventLoop {
    pub(super) settings: RegistrarSettings,
    pub(super) node: ControlNode,
    pub(super) registry: ServerRegistry,
    pub(super) publisher: Publisher,
    pub(super) entry_vms: EntryVms,
    /// Socket that tells entry VMs of the start of this VM.
    pub(super) presence: Option<UdpSocket>,
    pub(super) update_batcher: UpdateBatcher,
    pub(super) load: LoadTable,
    writer_jobs: mpsc::UnboundedSender<Job>,
    pub(super) metrics: Option<Metrics>,
    counters: Counters,
    /// Recoveries of the data folder so far; tags each log write.
    epoch: u64,
    pub(super) links: BTreeMap<SocketAddr, mpsc::Sender<Outbound<PeerFrame>>>,
    /// Receives the address of a control VM after each connection to it.
    pub(super) connected: mpsc::UnboundedSender<SocketAddr>,
    /// Control VMs that have sent gossip, by address.
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    /// Calls without a reply yet, by ticket, with their start time.
    pending: BTreeMap<u64, (Time, PendingCall)>,
    tickets: Tickets,
    /// Whether another control VM has sent all of its records.
    pub(super) synchronised: bool,
    gossip_due: Time,
    /// When all records may be requested again.
    pub(super) request_due: Time,
    pub(super) entry_gossip_due: Time,
    save_due: Time,
    /// Whether the plan or a record has changed since it was last saved.
    pub(super) unsaved: bool,
    heartbeat_sent: Time,
    /// Whether the last heartbeat said that a quorum confirms the state of this VM.
    heartbeat_confirmed: bool,
    /// Notified once this VM may end, if it is shutting down.
    stopped: Option<oneshot::Sender<()>>,
    started_at: Instant,
}

impl EventLoop {
    pub(super) fn new(
        settings: RegistrarSettings,
        node: ControlNode,
        registry: ServerRegistry,
        publisher: Publisher,
        connected: mpsc::UnboundedSender<SocketAddr>,
        writer_jobs: mpsc::UnboundedSender<Job>,
    ) -> EventLoop {
        EventLoop {
            settings,
            node,
            registry,
            publisher,
            entry_vms: EntryVms::new(Time::ZERO, Vec::new()),
            presence: None,
            update_batcher: UpdateBatcher::new(),
            load: LoadTable::new(),
            writer_jobs,
            metrics: None,
            counters: Counters::new(),
            epoch: 0,
            links: BTreeMap::new(),
            connected,
            peers: BTreeMap::new(),
            pending: BTreeMap::new(),
            tickets: Tickets::new(),
            synchronised: false,
            gossip_due: Time::ZERO,
            request_due: Time::ZERO,
            entry_gossip_due: Time::ZERO,
            save_due: Time::ZERO + SAVE_INTERVAL,
            unsaved: false,
            heartbeat_sent: Time::ZERO,
            heartbeat_confirmed: false,
            stopped: None,
            started_at: Instant::now(),
        }
    }

    pub(super) async fn serve(
        mut self,
        mut call_queue: mpsc::Receiver<Call>,
        mut storage_events: mpsc::UnboundedReceiver<ControlEvent>,
        mut connections: mpsc::UnboundedReceiver<SocketAddr>,
        mut load_reports: mpsc::Receiver<VmReport>,
    ) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = storage_events.recv() => self.handle_event(event),
                Some(peer) = connections.recv() => self.send_all_records(peer),
                Some(VmReport { vm, zone, report }) = load_reports.recv() => {
                    self.load.record_report(self.now(), &vm, &zone, &report);
                }
                call = call_queue.recv() => match call {
                    Some(call) => self.handle_call(call),
                    None => return,
                },
                _ = ticks.tick() => self.tick(),
            }
            if self.publisher.publish(self.node.state()) {
                self.name_services();
            }
            if !self.node.awaits_replacement()
                && let Some(stopped) = self.stopped.take()
            {
                // The stop may have timed out.
                _ = stopped.send(());
            }
        }
    }

    /// Tells the registry which services the new plan names.
    fn name_services(&mut self) {
        self.unsaved = true;
        let Some(plan) = self.publisher.plan() else { return };
        let services = plan.config.services.keys().cloned().collect();
        let named = self.registry.set_services(self.now(), services);
        let mut records = self.registry.take_superseded();
        records.iter().for_each(|record| log_record("superseded", record));
        named.iter().for_each(|record| log_record("named", record));
        records.extend(named);
        if !records.is_empty() {
            self.publish_records(records, None);
        }
    }

    pub(super) fn now(&self) -> Time {
        Time::ZERO + self.started_at.elapsed()
    }

    fn handle_call(&mut self, call: Call) {
        match call {
            Call::Submit(submission, reply) => {
                let subject = submission.command.subject();
                let ticket = self.add_pending(PendingCall::Submit(reply, subject));
                self.handle_event(ControlEvent::Submit { ticket, submission });
            }
            Call::Count(counter) => self.counters.add(counter, 1),
            Call::Read(reply) => {
                let ticket = self.add_pending(PendingCall::Read(reply));
                self.handle_event(ControlEvent::Read { ticket });
            }
            Call::Announce(announcement, reply) => self.announce(announcement, reply),
            Call::Leave(id, reply) => self.leave(id, reply),
            Call::Unnamed(reply) => _ = reply.send(self.registry.unnamed_servers()),
            Call::Peer(frames) => self.handle_frames(frames),
            Call::Settings(seeds, voters) => {
                self.node.set_seeds(seeds.iter().copied().collect());
                self.node.set_voter_count(voters);
                (self.settings.seeds, self.settings.voters) = (seeds, voters);
            }
            Call::ShutDown(reply) => {
                log::info!("event=stop");
                self.handle_event(ControlEvent::Stop);
                self.stopped = Some(reply);
            }
            Call::Feed(subscriber) => {
                if let Some(addr) = subscriber.listen {
                    self.entry_vms.record_subscribed(self.now(), addr);
                    self.unsaved = true;
                }
                // A VM that has started again has no requests in progress any more.
                self.load.forget(&subscriber.name);
                let first = FeedMessage::ControlVms(self.control_vms());
                let last = self.heartbeat();
                self.publisher.subscribe(subscriber, [first, last], || self.registry.records());
            }
        }
    }

    fn add_pending(&mut self, call: PendingCall) -> u64 {
        let ticket = self.tickets.next();
        self.pending.insert(ticket, (self.now(), call));
        ticket
    }

    fn announce(&mut self, announcement: Announcement, reply: oneshot::Sender<Result<()>>) {
        let now = self.now();
        let (id, draining) = (announcement.id, announcement.draining);
        let record = draining.then(|| ServerRecord::new(announcement.clone()));
        let outcome = self.registry.announce(now, announcement);
        self.counters.add(
            match outcome {
                UpdateOutcome::Changed => Counter::AnnouncementsChanged,
                UpdateOutcome::Unchanged => Counter::AnnouncementsSame,
                UpdateOutcome::Outdated => Counter::AnnouncementsLate,
                UpdateOutcome::Unnamed => Counter::AnnouncementsUnnamed,
            },
            1,
        );
        if outcome == UpdateOutcome::Unnamed {
            // Another control VM may have a later configuration, which names the service.
            record.into_iter().for_each(|record| self.send_unnamed(record));
            _ = reply.send(Ok(()));
            return;
        }
        let record = self.registry.get(id).filter(|_| outcome != UpdateOutcome::Outdated).cloned();
        match record {
            Some(record) if outcome == UpdateOutcome::Changed || draining => {
                if outcome == UpdateOutcome::Changed {
                    log_record("announced", &record);
                }
                let mut records = self.registry.take_superseded();
                records.iter().for_each(|record| log_record("superseded", record));
                records.push(record);
                let delivered = self.broadcast(records);
                self.confirm(delivered, draining, reply);
            }
            _ => _ = reply.send(Ok(())),
        }
    }

    /// Replies to an announcement, if `needed` only once another VM has acknowledged it.
    fn confirm(
        &mut self,
        mut delivered: mpsc::Receiver<()>,
        needed: bool,
        reply: oneshot::Sender<Result<()>>,
    ) {
        if !needed {
            // If the reply is lost, the server announces itself again.
            _ = reply.send(Ok(()));
            return;
        }
        let (since, metrics) = (Instant::now(), self.metrics.clone());
        tokio::spawn(async move {
            let confirmed =
                matches!(timeout(CONFIRM_TIMEOUT, delivered.recv()).await, Ok(Some(())));
            if let Some(metrics) = metrics {
                metrics.record(Latency::Confirm, since.elapsed());
            }
            if !confirmed {
                log::warn!("event=unconfirmed waited_ms={}", CONFIRM_TIMEOUT.as_millis());
            }
            _ = reply.send(if confirmed { Ok(()) } else { Err(unconfirmed()) });
        });
    }

    fn leave(&mut self, id: u64, reply: oneshot::Sender<Result<()>>) {
        match self.registry.leave(self.now(), id) {
            LeaveOutcome::NotDraining => {
                log::info!("event=leave_refused server={id:x}");
                self.counters.add(Counter::LeavesRefused, 1);
                _ = reply.send(Err(not_draining()));
            }
            LeaveOutcome::Ended(record) if !self.registry.is_named(&record) => {
                self.send_unnamed(record);
                _ = reply.send(Ok(()));
            }
            LeaveOutcome::Ended(record) => {
                log_record("left", &record);
                let delivered = self.broadcast(vec![record]);
                self.confirm(delivered, true, reply);
            }
            LeaveOutcome::Unknown => _ = reply.send(Ok(())),
        }
    }

    /// Sends the end of a server whose service is not named to the other control VMs.
    fn send_unnamed(&mut self, record: ServerRecord) {
        self.send_gossip(false, vec![record], Vec::new(), None);
    }

    fn handle_frames(&mut self, frames: Vec<PeerFrame>) {
        for frame in frames {
            match frame {
                PeerFrame::Log(envelope) => self.handle_event(ControlEvent::Message(envelope)),
                PeerFrame::Gossip(gossip) => self.handle_gossip(gossip),
                PeerFrame::PlanRequest(from) => self.send_plan(from),
                PeerFrame::Plan(plan) => {
                    if self.publisher.adopt(plan) {
                        self.name_services();
                    }
                }
                PeerFrame::EntryVms(addrs) => {
                    self.entry_vms.record_served(self.now(), addrs);
                    self.unsaved = true;
                }
                PeerFrame::Load(from, load) => _ = self.load.record_peer(self.now(), from, &load),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.tell_entry_vms(now);
        self.handle_event(ControlEvent::Tick);
        if now >= self.gossip_due {
            self.gossip_due = now + GOSSIP_INTERVAL;
            let (records, refreshed) = self.registry.take_pending();
            self.send_gossip(!self.synchronised, records, refreshed, None);
            self.request_plan();
            self.gossip_entry_vms(now);
            self.gossip_load(now);
            self.publish_metrics(now);
            let changed = self.registry.tick(now);
            self.publisher.expire_cold();
            let silent = changed.iter().filter(|record| record.silent).count();
            self.counters.add(Counter::ServersSilent, silent as u64);
            if !changed.is_empty() {
                changed.iter().for_each(|record| log_record("judged", record));
                self.publish_records(changed, None);
            }
        }
        if let Some(records) = self.update_batcher.take_due(now) {
            self.publisher.send(&FeedMessage::Servers { all: false, records }, None);
        }
        self.send_summaries(now);
        self.save_feed(now);
        self.send_heartbeat(now);
    }

    /// Sends a heartbeat to entry VMs, sooner if a quorum does not confirm the state of this VM any
    /// more, or confirms it again.
    fn send_heartbeat(&mut self, now: Time) {
        let confirmed = self.node.is_up_to_date(now);
        let is_news = confirmed != self.heartbeat_confirmed;
        let interval = if is_news { MIN_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
        if now.since(self.heartbeat_sent) < interval {
            return;
        }
        if is_news {
            log::info!("event=confirmed value={confirmed}");
        }
        (self.heartbeat_sent, self.heartbeat_confirmed) = (now, confirmed);
        let heartbeat = self.heartbeat();
        self.publisher.send(&heartbeat, None);
    }

    /// Saves the plan and the server records if they have changed.
    fn save_feed(&mut self, now: Time) {
        if !self.unsaved || now < self.save_due {
            return;
        }
        self.unsaved = false;
        self.save_due = now + SAVE_INTERVAL;
        let records = self.registry.records().cloned().collect();
        self.entry_vms.record_served(now, self.publisher.subscriber_addrs());
        let entry_vms = self.entry_vms.retained(now);
        let cache = FeedCache { plan: self.publisher.plan(), records, entry_vms };
        _ = self.writer_jobs.send(Job::SaveFeed(Box::new(cache)));
    }

    pub(super) fn handle_event(&mut self, event: ControlEvent) {
        self.epoch += u64::from(matches!(event, ControlEvent::Recovered(_)));
        let (actions, changed) = self.node.handle_logged(self.now(), event);
        if let Some(state) = changed {
            log::info!("event=log state={state:?}");
        }
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: ControlAction) {
        match action {
            ControlAction::Write(write) => {
                _ = self.writer_jobs.send(Job::WriteLog(self.epoch, write))
            }
            ControlAction::Send { to, envelope } => self.send(to, envelope),
            ControlAction::SubmitResult { ticket, result } => {
                let Some((since, PendingCall::Submit(reply, subject))) =
                    self.pending.remove(&ticket)
                else {
                    return;
                };
                self.record(Latency::Order, since);
                log::info!(
                    "event=order ticket={ticket} subject={:?} took_ms={} fate={result:?}",
                    subject.unwrap_or_default(),
                    self.now().since(since).as_millis()
                );
                // If the calling task is gone, its client retries.
                _ = reply.send(result);
            }
            ControlAction::ReadResult { ticket, fresh } => {
                let Some((since, PendingCall::Read(reply))) = self.pending.remove(&ticket) else {
                    return;
                };
                self.record(Latency::Read, since);
                self.counters
                    .add(if fresh { Counter::ReadsConfirmed } else { Counter::ReadsUnsure }, 1);
                let result = if fresh {
                    let state = self.node.state();
                    Ok(Reading { index: state.index, config: state.whole.clone() })
                } else {
                    Err(self.node.not_leader_error())
                };
                _ = reply.send(result);
            }
            // Entry VMs of this daemon subscribe to the feed and send no reports.
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
        counters.add(Counter::LoadReportsReceived, self.load.received());
        counters.add(Counter::LoadReportsDropped, self.load.dropped());
        counters.add(Counter::LoadSummariesSent, self.load.sent());
        metrics.publish(&counters);
        metrics.set(Gauge::LoadReporters, self.load.reporters() as u64);
        let state = self.node.state();
        let number = state.whole.as_ref().map_or(0, |config| config.number);
        metrics.set(Gauge::PlanIndex, state.index);
        metrics.set(Gauge::PlanNumber, number);
        metrics.set(Gauge::RegistryAge, self.registry.age(now).as_millis() as u64);
        metrics.set(Gauge::Servers, self.registry.records().count() as u64);
        metrics.set(Gauge::ServersUnnamed, self.registry.unnamed() as u64);
        metrics.set(Gauge::LogMargin, self.node.replica().margin(now).unwrap_or(0) as u64);
        metrics.set(Gauge::Subscribers, self.publisher.subscribers() as u64);
    }

    fn send(&mut self, to: SocketAddr, envelope: Envelope) {
        self.send_to_peer(to, Outbound { message: PeerFrame::Log(envelope), delivered: None });
    }
}

#[cold]
fn not_draining() -> Error {
    Error::unavailable("the server has not announced that it drains; ask another control VM")
}

#[cold]
fn unconfirmed() -> Error {
    Error::unavailable("no other VM has confirmed the announcement; send it to another control VM")
}

fn log_record(event: &str, record: &ServerRecord) {
    let announcement = &record.announcement;
    log::info!(
        "event={event} server={:x} service={} addr={} zone={} state={:?} silent={} born={} \
         sequence={} cold_ms={}",
        announcement.id,
        announcement.service,
        announcement.addr,
        announcement.zone,
        record.state,
        record.silent,
        announcement.incarnation,
        announcement.sequence,
        announcement.warmup_left.as_millis()
    );
}
