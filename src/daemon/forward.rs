//! Event loop of an entry VM that forwards packets by flow cookies.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    sync::{Notify, mpsc, watch},
    time::{Instant, MissedTickBehavior, interval, sleep},
};

mod packets;

use super::{
    clock::now,
    metrics::{self, Gauge, Metrics},
    presence,
    subscribe::{FeedClient, FeedEvent},
    udp::TimedReceiver,
};
use crate::{
    cookie::{
        FeedMessage, FeedSearch, FeedTargets, FlowReset, Forwarder, HeldPackets, LoadReporter,
        PacketInfo, PrimaryFeed, Resource, ShortChange,
    },
    counter::{Counter, Counters},
    error::{Error, Result},
    name::Name,
    time::Time,
};

/// Receive buffer, in bytes; holds any packet with its header.
const PACKET_BUF_LEN: usize = 2_048;
/// Capacity of the queue of feed events.
const QUEUE_LEN: usize = 64;
/// Tick interval.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a VM that has no confirmation from a quorum serves the plan that it has; a
/// reachable control VM has answered by then.
const CONFIRM_WAIT: Duration = Duration::from_millis(600);
/// Registry age, in announcement intervals, from which it holds nearly every server.
const COMPLETE_INTERVALS: f64 = 1.5;
/// Most log lines on single packets per tick; 40 lines a second take less than a thousandth of a
/// small core.
const MAX_PACKET_LINES: u32 = 10;
/// Time for which a VM keeps forwarding during shutdown: two readiness probes of the fabric, half a
/// second apart, and packets in flight.
const DRAIN_TIME: Duration = Duration::from_millis(1_800);
/// Interval of log lines with packet counts.
const COUNTS_INTERVAL: Duration = Duration::from_secs(5);

/// Wire format of packets.
pub trait PacketCodec: Send + 'static {
    /// Decodes the header fields that the forwarder needs; `None` if the bytes are not a packet of
    /// a caller.
    fn decode(&self, packet: &[u8]) -> Option<PacketInfo>;

    /// Appends to `out` the form of `packet` that is sent to the server `id`, carrying `cookie`.
    fn write_forward(&self, packet: &[u8], id: u64, cookie: u32, out: &mut Vec<u8>);

    /// Appends to `out` a packet that resets a flow at its caller.
    fn write_reset(&self, reset: &FlowReset, out: &mut Vec<u8>);
}

/// Settings of an entry VM that forwards by flow cookies.
#[derive(Debug, Clone)]
pub struct ForwarderSettings {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Address on which packets from callers arrive (UDP).
    pub packets: SocketAddr,
    /// Address on which control VMs tell that they are up (UDP).
    pub listen: SocketAddr,
    /// Addresses of the control VMs to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Rate of the VM's link in each direction, in bytes per second, if it is known.
    pub link_rate: Option<u64>,
    /// Interval at which backend servers announce themselves.
    pub announce_interval: Duration,
    /// Address on which metrics are served, if any (HTTP).
    pub metrics: Option<SocketAddr>,
}

/// Handle to a running entry VM.
#[derive(Clone)]
pub struct ForwarderHandle {
    ready: watch::Receiver<bool>,
    shutting_down: watch::Sender<bool>,
    seeds: watch::Sender<Vec<SocketAddr>>,
}

impl ForwarderHandle {
    /// Returns whether the VM is ready for packets and not shutting down.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow() && !*self.shutting_down.borrow()
    }

    /// Shuts down gracefully: the VM reports that it is not ready, and keeps forwarding until the
    /// fabric has stopped sending it packets.
    pub async fn shut_down(&self) {
        self.shutting_down.send_replace(true);
        log::info!("event=stop");
        sleep(DRAIN_TIME).await;
    }

    /// Replaces the addresses of the control VMs to contact first.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.send_replace(seeds);
    }
}

/// Starts an entry VM that forwards by flow cookies.
///
/// # Errors
///
/// Fails when an address cannot be used.
pub async fn start_forwarder(
    settings: ForwarderSettings,
    codec: impl PacketCodec,
) -> Result<ForwarderHandle> {
    let socket = UdpSocket::bind(settings.packets).await.map_err(|err| {
        let message = format!("{}: {err}; free the address or choose another", settings.packets);
        Error::settings(message)
    })?;
    log::info!("event=start vm={} zone={}", settings.name, settings.zone);
    let (ready, ready_rx) = watch::channel(false);
    let (index, applied) = watch::channel(0);
    let (seeds, feed_seeds) = watch::channel(settings.seeds.clone());
    let (events, feed_events) = mpsc::channel(QUEUE_LEN);
    let targets = FeedTargets::new(settings.name.clone(), settings.zone.clone());
    let (targets, hint) = (Arc::new(Mutex::new(targets)), Arc::new(Notify::new()));
    let reporter = Arc::new(Mutex::new(LoadReporter::new()));
    let started_at = Instant::now();
    let presence_socket = presence::bind(settings.listen).await?;
    tokio::spawn(presence::receive(presence_socket, targets.clone(), hint.clone(), started_at));
    let feeds = FeedClient {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        listen: settings.listen,
        seeds: feed_seeds,
        index: applied,
        events,
        targets: targets.clone(),
        reporter: reporter.clone(),
        hint: hint.clone(),
        started_at,
        primary: watch::Sender::new(PrimaryFeed::new(Time::ZERO)),
        search: watch::Sender::new(FeedSearch::new(settings.name.clone())),
    };
    tokio::spawn(feeds.clone().run(0));
    tokio::spawn(feeds.run(1));
    let metrics = metrics::start(settings.metrics, &settings.name, &settings.zone).await?;
    let now = now();
    let event_loop = EventLoop {
        forwarder: Forwarder::new(now, settings.zone.clone(), settings.announce_interval)
            .with_link_rate(settings.link_rate)
            .with_name(&settings.name),
        codec,
        port: settings.packets.port(),
        announce_interval: settings.announce_interval,
        ready,
        index,
        started_at: now,
        last_wake: now,
        waiting: 0,
        socket: Arc::new(socket),
        last_report: now,
        counters: Counters::new(),
        metrics,
        plan_received: now,
        packet_lines: 0,
        held: HeldPackets::new(),
        reporter,
        out: Vec::with_capacity(PACKET_BUF_LEN),
    };
    tokio::spawn(event_loop.serve(feed_events));
    Ok(ForwarderHandle { ready: ready_rx, shutting_down: watch::Sender::new(false), seeds })
}

struct EventLoop<F> {
    forwarder: Forwarder,
    codec: F,
    socket: Arc<UdpSocket>,
    /// UDP port on which callers receive packets.
    port: u16,
    announce_interval: Duration,
    ready: watch::Sender<bool>,
    index: watch::Sender<u64>,
    started_at: Time,
    last_wake: Time,
    /// Number of packets that may have waited for a pause of this process to end.
    waiting: usize,
    last_report: Time,
    counters: Counters,
    metrics: Option<Metrics>,
    /// When the current plan was received.
    plan_received: Time,
    /// Log lines on packets since the last tick.
    packet_lines: u32,
    /// Packets that wait for the plan or for server records.
    held: HeldPackets,
    /// Makes the load reports that acknowledgements of a feed carry.
    reporter: Arc<Mutex<LoadReporter>>,
    out: Vec<u8>,
}

impl<F: PacketCodec> EventLoop<F> {
    async fn serve(mut self, mut feed_events: mpsc::Receiver<FeedEvent>) {
        let mut buf = vec![0; PACKET_BUF_LEN];
        let mut receiver = TimedReceiver::new(&self.socket, packets::STALE_AGE);
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let expiry = self.held.next_expiry().map(|expiry| expiry.since(now()));
            let result = tokio::select! {
                () = sleep(expiry.unwrap_or_default()), if expiry.is_some() => {
                    self.release_held();
                    Ok(())
                }
                readable = self.socket.readable() => {
                    readable.and_then(|()| self.receive_packets(&mut receiver, &mut buf))
                }
                event = feed_events.recv() => match event {
                    Some(event) => {
                        self.handle_feed(event);
                        self.release_held();
                        Ok(())
                    }
                    None => return,
                },
                // Packets that arrived while the VM was suspended are received at the latest here.
                _ = ticks.tick() => {
                    self.receive_packets(&mut receiver, &mut buf).map(|()| self.tick())
                }
            };
            if let Err(err) = result {
                log::error!("event=socket_failed reason={:?}", err.to_string());
                return;
            }
        }
    }

    fn handle_feed(&mut self, event: FeedEvent) {
        let now = now();
        match event {
            FeedEvent::Message(source, message) => {
                if let FeedMessage::Heartbeat { confirmed, registry_age, .. } = &message {
                    self.update_readiness(now, *confirmed, *registry_age);
                }
                self.forwarder.handle_feed(now, source, message);
                self.send_resets();
                let index = self.forwarder.plan().index;
                if self.index.send_if_modified(|current| std::mem::replace(current, index) != index)
                {
                    self.plan_received = now;
                    let number = self.forwarder.plan().config.number;
                    log::info!("event=plan index={index} number={number}");
                }
            }
            FeedEvent::Lost(source) => self.forwarder.remove_source(source),
        }
    }

    /// Marks the VM ready once it has a plan and server records that are confirmed and complete, or
    /// after [`CONFIRM_WAIT`] with what it has. A ready VM stays ready.
    fn update_readiness(&mut self, now: Time, confirmed: bool, registry_age: Duration) {
        let waited = now.since(self.started_at) >= CONFIRM_WAIT;
        let known = self.forwarder.plan().index > 0 && !self.forwarder.directory().is_empty();
        let complete = registry_age >= self.announce_interval.mul_f64(COMPLETE_INTERVALS);
        if known && (waited || (confirmed && complete)) && !*self.ready.borrow() {
            self.ready.send_replace(true);
            log::info!(
                "event=ready fresh={confirmed} registry_age_ms={} servers={}",
                registry_age.as_millis(),
                self.forwarder.directory().len()
            );
        }
    }

    fn log_suspects(&mut self) {
        let suspects = self.forwarder.take_suspects();
        let lines = suspects.iter().take(MAX_PACKET_LINES as usize);
        lines.for_each(|id| log::info!("event=suspect server={id:x}"));
        let suppressed = suspects.len().saturating_sub(MAX_PACKET_LINES as usize);
        self.counters.add(Counter::LinesSuppressed, suppressed as u64);
        self.counters.add(Counter::ServersUnanswered, suspects.len() as u64);
    }

    fn log_shortages(&mut self, now: Time) {
        for change in self.forwarder.take_shortage_changes(now) {
            let resource = change.resource.name();
            if change.starts {
                let link = self.forwarder.link_budget();
                log::info!(
                    "event=short resource={resource} link_rate={} link_wait_ms={}",
                    link.refill_rate(),
                    link.wait().as_millis()
                );
            } else {
                log::info!("event=short_end resource={resource} refused={}", change.refused);
            }
        }
    }

    fn log_short(&mut self) {
        for ShortChange { service, zone, short } in self.forwarder.take_short_changes() {
            let event = if short { "short" } else { "short_end" };
            log::info!("event={event} resource=service service={service} zone={zone}");
        }
    }

    fn count(&mut self, counter: Counter) {
        self.counters.add(counter, 1);
    }

    /// Logs all counters that are not zero.
    fn log_counts(&self) {
        let mut line = format!("event=counts flows={}", self.forwarder.tracked_flows());
        for (counter, count) in self.counters.iter().filter(|(_, count)| *count > 0) {
            line.push_str(&format!(" {}={count}", counter.name()));
        }
        log::info!("{line}");
    }

    /// Takes the counts of the next load report, and counts reports and summaries.
    fn report_load(&mut self, now: Time) {
        let mut reporter = self.reporter.lock().unwrap_or_else(PoisonError::into_inner);
        reporter.update(now, self.forwarder.server_loads());
        let view = self.forwarder.load_view();
        for (counter, count) in [
            (Counter::LoadReportsSent, reporter.sent()),
            (Counter::LoadSummariesReceived, view.received()),
            (Counter::LoadSummariesDropped, view.dropped()),
        ] {
            self.counters.add(counter, count - self.counters.get(counter));
        }
    }

    fn publish_metrics(&self, now: Time) {
        let Some(metrics) = &self.metrics else { return };
        let plan = self.forwarder.plan();
        metrics.publish(&self.counters);
        metrics.set(Gauge::PlanIndex, plan.index);
        metrics.set(Gauge::PlanNumber, plan.config.number);
        metrics.set(Gauge::PlanAge, now.since(self.plan_received).as_millis() as u64);
        metrics.set(Gauge::Servers, self.forwarder.directory().len() as u64);
        let level = self.forwarder.min_level(now);
        metrics.set(Gauge::ServiceLevel, (level * 1_000.0) as u64);
        metrics.set(Gauge::Flows, self.forwarder.tracked_flows() as u64);
        let link = self.forwarder.link_budget();
        metrics.set(Gauge::LinkBudget, link.left());
        metrics.set(Gauge::LinkRate, link.refill_rate());
        metrics.set(Gauge::LinkWait, link.wait().as_millis() as u64);
        metrics.set(Gauge::LinkShort, u64::from(self.forwarder.is_short(Resource::Link)));
        let load_age = self.forwarder.load_view().age(now).unwrap_or_default();
        metrics.set(Gauge::LoadAge, load_age.as_millis() as u64);
    }

    fn tick(&mut self) {
        let now = now();
        self.forwarder.tick(now);
        self.packet_lines = 0;
        self.log_suspects();
        self.log_shortages(now);
        self.log_short();
        self.report_load(now);
        self.publish_metrics(now);
        if now.since(self.last_report) >= COUNTS_INTERVAL {
            self.last_report = now;
            self.log_counts();
        }
    }
}
