//! The event loop of a control VM.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, MissedTickBehavior, interval, timeout},
};

use super::{Call, RegistrarSettings, TICK};
use crate::{
    control::{ControlAction, ControlEvent, ControlNode, Envelope, Fate, Submission},
    cookie::{
        Announcement, FeedCache, FeedMessage, ServerRecord, ServerRegistry, UpdateBatcher,
        UpdateOutcome,
    },
    counter::{Counter, Counters},
    daemon::{
        link::{Parcel, PeerFrame},
        metrics::{Latency, Level, Metrics},
        publish::Publisher,
        writer::Job,
    },
    error::{Error, Result},
    name::Name,
    routing_config::RoutingConfig,
    time::Time,
};

/// Time between two rounds of gossip: a part of what a silent server is given.
const GOSSIP: Duration = Duration::from_millis(400);
/// Shortest time between two copies on disk of what entry VMs need.
const KEEP: Duration = Duration::from_secs(2);
/// Time between two signs of life to entry VMs.
const BEAT: Duration = Duration::from_millis(1_000);
/// Time in which another VM has to know of the end of a server: its announcement is answered
/// within a second.
const KNOWN: Duration = Duration::from_millis(700);

/// A caller that waits for its answer.
enum Waiter {
    Fate(oneshot::Sender<Fate>),
    Read(oneshot::Sender<Result<Option<Arc<RoutingConfig>>>>),
}

/// A control VM that has sent gossip.
pub(super) struct Peer {
    pub(super) zone: Name,
    pub(super) heard: Time,
}

pub(super) struct Shell {
    pub(super) settings: RegistrarSettings,
    pub(super) node: ControlNode,
    pub(super) registry: ServerRegistry,
    pub(super) publisher: Publisher,
    pub(super) news: UpdateBatcher,
    writes: mpsc::UnboundedSender<Job>,
    pub(super) metrics: Option<Metrics>,
    counters: Counters,
    epoch: u64,
    pub(super) links: BTreeMap<SocketAddr, mpsc::Sender<Parcel<PeerFrame>>>,
    /// Hears of each connection of a link.
    pub(super) reached: mpsc::UnboundedSender<SocketAddr>,
    /// Control VMs that have sent gossip.
    pub(super) peers: BTreeMap<SocketAddr, Peer>,
    /// Callers that wait, and since when.
    waiting: BTreeMap<u64, (Time, Waiter)>,
    ticket: u64,
    /// Whether another control VM has told all that it knows.
    pub(super) caught_up: bool,
    gossip_due: Time,
    keep_due: Time,
    /// Whether something has changed since it was kept.
    pub(super) changed: bool,
    beat_due: Time,
    origin: Instant,
}

impl Shell {
    pub(super) fn new(
        settings: RegistrarSettings,
        node: ControlNode,
        registry: ServerRegistry,
        publisher: Publisher,
        reached: mpsc::UnboundedSender<SocketAddr>,
        writes: mpsc::UnboundedSender<Job>,
    ) -> Shell {
        Shell {
            settings,
            node,
            registry,
            publisher,
            news: UpdateBatcher::new(),
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

    pub(super) async fn serve(
        mut self,
        mut requests: mpsc::Receiver<Call>,
        mut reports: mpsc::UnboundedReceiver<ControlEvent>,
        mut connections: mpsc::UnboundedReceiver<SocketAddr>,
    ) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
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

    pub(super) fn now(&self) -> Time {
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
                UpdateOutcome::Changed => Counter::AnnouncementsChanged,
                UpdateOutcome::Unchanged => Counter::AnnouncementsSame,
                UpdateOutcome::Outdated => Counter::AnnouncementsLate,
            },
            1,
        );
        let record = self.registry.get(id).filter(|_| heard != UpdateOutcome::Outdated).cloned();
        match record {
            Some(record) if heard == UpdateOutcome::Changed || draining => {
                if heard == UpdateOutcome::Changed {
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

    fn frames(&mut self, frames: Vec<PeerFrame>) {
        for frame in frames {
            match frame {
                PeerFrame::Log(envelope) => self.event(ControlEvent::Message(envelope)),
                PeerFrame::Gossip(gossip) => self.heard(gossip),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.event(ControlEvent::Tick);
        if now >= self.gossip_due {
            self.gossip_due = now + GOSSIP;
            let (records, alive) = self.registry.take_pending();
            self.gossip(!self.caught_up, records, alive, None);
            self.publish_metrics(now);
            let changed = self.registry.tick(now);
            let silent = changed.iter().filter(|record| record.silent).count();
            self.counters.add(Counter::ServersSilent, silent as u64);
            if !changed.is_empty() {
                changed.iter().for_each(|record| log_record("judged", record));
                self.publish(changed, None);
            }
        }
        if let Some(records) = self.news.take_due(now) {
            self.publisher.send(&FeedMessage::Servers { all: false, records }, None);
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
        let kept = FeedCache { plan: self.publisher.plan(), records };
        _ = self.writes.send(Job::Keep(Box::new(kept)));
    }

    pub(super) fn event(&mut self, event: ControlEvent) {
        self.epoch += u64::from(matches!(event, ControlEvent::Recovered(_)));
        let (actions, changed) = self.node.step(self.now(), event);
        if let Some(state) = changed {
            log::info!("event=log state={state:?}");
        }
        for action in actions {
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

#[cold]
fn unknown_elsewhere() -> Error {
    Error::unavailable("no other VM has answered; announce it to another control VM")
}

fn log_record(event: &str, record: &ServerRecord) {
    let announced = &record.announcement;
    log::info!(
        "event={event} server={:x} service={} addr={} zone={} state={:?} silent={} born={} \
         sequence={} cold_ms={}",
        announced.id,
        announced.service,
        announced.addr,
        announced.zone,
        record.state,
        record.silent,
        announced.incarnation,
        announced.sequence,
        announced.warmup_left.as_millis()
    );
}
