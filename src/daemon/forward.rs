//! Shell of an entry VM that forwards by flow cookies.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex},
    time::Duration,
};

use nix::time::{ClockId, clock_gettime};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval, sleep},
};

use super::{
    metrics::{self, Latency, Level, Metrics},
    packets,
    subscribe::{Fed, Feeds, Known},
};
use crate::{
    cookie::{DropReason, FeedMessage, FlowVerdict, Forwarder, PacketInfo, ResetReason},
    counter::{Counter, Counters},
    error::{Error, Result},
    name::Name,
    time::Time,
};

/// Longest packet with its head, in bytes.
const PACKET_LEN: usize = 2_048;
/// Messages of feeds that wait at most.
const QUEUE_LEN: usize = 64;
/// Time between two ticks.
const TICK: Duration = Duration::from_millis(250);
/// Time between two wake-ups after which packets may have waited for long: twice a tick.
const STILL: Duration = Duration::from_millis(500);
/// Time after which a VM that reaches no control VM with a quorum serves what it has: one has
/// answered by then where any can be reached.
const UNCONFIRMED: Duration = Duration::from_millis(600);
/// Age of the registry from which on it names nearly every server, in periods of announcements.
const COMPLETE: f64 = 1.5;
/// Lines on single packets between two ticks at most: 40 a second take less than a thousandth of
/// a small core.
const LINES: u32 = 10;
/// One flow of so many is followed in the log, the same on every VM: at 300 openings a second, a
/// line a second.
const SAMPLE: u64 = 256;
/// Time for which a stopping VM forwards on: two probes of the fabric, half a second apart, and
/// what is on its way.
const LEAVING: Duration = Duration::from_millis(1_800);
/// Time between two lines with the counts of packets.
const REPORT: Duration = Duration::from_secs(5);

/// How packets are written on the wire.
pub trait PacketForm: Send + 'static {
    /// Reads what the forwarder needs, or `None` where the bytes are no packet of a caller.
    fn read(&self, packet: &[u8]) -> Option<PacketInfo>;

    /// Writes to `out` what the server `id` is sent for `packet`, under `cookie`.
    fn forward(&self, packet: &[u8], id: u64, cookie: u32, out: &mut Vec<u8>);

    /// Writes to `out` a reset of the flow of `packet`, for its caller.
    fn reset(&self, packet: &[u8], out: &mut Vec<u8>);
}

/// Settings of an entry VM that forwards by flow cookies.
#[derive(Debug, Clone)]
pub struct ForwardSettings {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Where packets of callers arrive (UDP).
    pub packets: SocketAddr,
    /// Control VMs to start with.
    pub seeds: Vec<SocketAddr>,
    /// Time between two announcements of a backend server.
    pub period: Duration,
    /// Where metrics are read, if anywhere (HTTP).
    pub metrics: Option<SocketAddr>,
}

/// A running entry VM.
#[derive(Clone)]
pub struct ForwardHandle {
    ready: watch::Receiver<bool>,
    stopping: watch::Sender<bool>,
    seeds: watch::Sender<Vec<SocketAddr>>,
}

impl ForwardHandle {
    /// Returns whether the VM knows enough to take packets.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow() && !*self.stopping.borrow()
    }

    /// Stops in order: the fabric learns first that the VM takes no packets, and the packets that
    /// it still sends are forwarded until then.
    pub async fn stop(&self) {
        self.stopping.send_replace(true);
        log::info!("event=stop");
        sleep(LEAVING).await;
    }

    /// Replaces the control VMs to start with.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.seeds.send_replace(seeds);
    }
}

/// Starts an entry VM that forwards by flow cookies.
///
/// # Errors
///
/// Fails when its address cannot be used.
pub async fn start_forwarder(
    settings: ForwardSettings,
    form: impl PacketForm,
) -> Result<ForwardHandle> {
    let socket = UdpSocket::bind(settings.packets).await.map_err(|err| {
        let message = format!("{}: {err}; free the address or choose another", settings.packets);
        Error::settings(message)
    })?;
    log::info!("event=start vm={} zone={}", settings.name, settings.zone);
    let (ready, is_ready) = watch::channel(false);
    let (index, applied) = watch::channel(0);
    let (seeds, feed_seeds) = watch::channel(settings.seeds.clone());
    let (fed, messages) = mpsc::channel(QUEUE_LEN);
    let feeds = Feeds {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        seeds: feed_seeds,
        index: applied,
        fed,
        known: Arc::new(Mutex::new(Known::default())),
    };
    tokio::spawn(feeds.clone().run(0));
    tokio::spawn(feeds.run(1));
    let metrics = metrics::start(settings.metrics, &settings.name, &settings.zone).await?;
    let now = now();
    let shell = Shell {
        forwarder: Forwarder::new(now, settings.zone.clone(), settings.period),
        form,
        socket: Arc::new(socket),
        port: settings.packets.port(),
        period: settings.period,
        ready,
        index,
        started: now,
        woken: now,
        reported: now,
        counters: Counters::new(),
        metrics,
        planned: now,
        lines: 0,
        out: Vec::with_capacity(PACKET_LEN),
    };
    tokio::spawn(shell.serve(messages));
    Ok(ForwardHandle { ready: is_ready, stopping: watch::Sender::new(false), seeds })
}

/// Returns the time since the machine started; it counts time in which the VM was suspended.
fn now() -> Time {
    let since = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from).unwrap_or_default();
    Time::ZERO + since
}

struct Shell<F> {
    forwarder: Forwarder,
    form: F,
    socket: Arc<UdpSocket>,
    /// Port at which callers take packets.
    port: u16,
    period: Duration,
    ready: watch::Sender<bool>,
    index: watch::Sender<u64>,
    started: Time,
    woken: Time,
    reported: Time,
    counters: Counters,
    metrics: Option<Metrics>,
    /// When the plan in force arrived.
    planned: Time,
    /// Lines on packets since the last tick.
    lines: u32,
    out: Vec<u8>,
}

impl<F: PacketForm> Shell<F> {
    async fn serve(mut self, mut messages: mpsc::Receiver<Fed>) {
        let mut buf = vec![0; PACKET_LEN];
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let result = tokio::select! {
                readable = self.socket.readable() => readable.and_then(|()| self.drain(&mut buf)),
                message = messages.recv() => match message {
                    Some(message) => {
                        self.fed(message);
                        Ok(())
                    }
                    None => return,
                },
                // What has waited while the VM stood still is found here, if not before.
                _ = ticks.tick() => self.drain(&mut buf).map(|()| self.tick()),
            };
            if let Err(err) = result {
                log::error!("event=socket_failed reason={:?}", err.to_string());
                return;
            }
        }
    }

    fn drain(&mut self, buf: &mut [u8]) -> std::io::Result<()> {
        let now = now();
        let stale = now.since(self.woken) >= STILL;
        let socket = self.socket.clone();
        let emptied = packets::drain(&socket, buf, |packet, _| self.packet(now, packet, stale))?;
        if emptied || !stale {
            // What has waited with the first packets is as old as they are.
            self.woken = now;
        }
        if let Some(metrics) = &self.metrics {
            metrics.record(Latency::Batch, self::now().since(now));
        }
        Ok(())
    }

    fn packet(&mut self, now: Time, packet: &[u8], stale: bool) {
        let Some(head) = self.form.read(packet) else {
            self.count(Counter::PacketsMalformed);
            return;
        };
        self.out.clear();
        match self.forwarder.decide(now, &head, stale) {
            FlowVerdict::Forward { to, id, cookie } => {
                self.form.forward(packet, id, cookie, &mut self.out);
                self.count(Counter::PacketsForwarded);
                if head.opens {
                    let repeated = head.retransmits > 0;
                    self.count(if repeated {
                        Counter::FlowsRepeated
                    } else {
                        Counter::FlowsOpened
                    });
                    if head.flow_hash().is_multiple_of(SAMPLE) {
                        self.report(&head, format_args!("event=placed server={id:x}"));
                    }
                }
                self.send(SocketAddr::V4(to));
            }
            FlowVerdict::Reset(reason) => {
                self.form.reset(packet, &mut self.out);
                self.count(reset_counter(reason));
                self.report(&head, format_args!("event=reset reason={reason:?}"));
                self.send(SocketAddr::V4(SocketAddrV4::new(*head.caller.ip(), self.port)));
            }
            FlowVerdict::Drop(reason) => {
                self.count(drop_counter(reason));
                self.report(&head, format_args!("event=drop reason={reason:?}"));
            }
        }
    }

    fn send(&mut self, to: SocketAddr) {
        if !packets::send(&self.socket, &self.out, to) {
            self.count(Counter::DatagramsUnsent);
        }
    }

    /// Logs what became of a packet, within [`LINES`].
    fn report(&mut self, head: &PacketInfo, what: std::fmt::Arguments<'_>) {
        if self.lines >= LINES {
            self.count(Counter::LinesSuppressed);
            return;
        }
        self.lines += 1;
        let PacketInfo { caller, route, opens, retransmits, cookie, .. } = head;
        let index = self.forwarder.plan().index;
        log::info!(
            "{what} caller={caller} route={route} opens={opens} repeats={retransmits} \
             cookie={cookie:08x} plan={index}"
        );
    }

    fn fed(&mut self, fed: Fed) {
        let now = now();
        match fed {
            Fed::Message(source, message) => {
                if let FeedMessage::Heartbeat { confirmed, registry_age, .. } = &message {
                    self.judge(now, *confirmed, *registry_age);
                }
                self.forwarder.handle_feed(now, source, message);
                let index = self.forwarder.plan().index;
                if self.index.send_if_modified(|held| std::mem::replace(held, index) != index) {
                    self.planned = now;
                    let number = self.forwarder.plan().config.number;
                    log::info!("event=plan index={index} number={number}");
                }
            }
            Fed::Lost(source) => self.forwarder.remove_source(source),
        }
    }

    /// Decides whether the VM knows enough to take packets; once it does, it stays so.
    fn judge(&mut self, now: Time, fresh: bool, age: Duration) {
        let waited = now.since(self.started) >= UNCONFIRMED;
        let known = self.forwarder.plan().index > 0 && !self.forwarder.directory().is_empty();
        let complete = age >= self.period.mul_f64(COMPLETE);
        if known && (waited || (fresh && complete)) && !*self.ready.borrow() {
            self.ready.send_replace(true);
            log::info!(
                "event=ready fresh={fresh} registry_age_ms={} servers={}",
                age.as_millis(),
                self.forwarder.directory().len()
            );
        }
    }

    fn count(&mut self, counter: Counter) {
        self.counters.add(counter, 1);
    }

    /// Logs the counts that are not zero.
    fn report_counts(&self) {
        let mut line = format!("event=counts flows={}", self.forwarder.tracked_flows());
        for (counter, count) in self.counters.iter().filter(|(_, count)| *count > 0) {
            line.push_str(&format!(" {}={count}", counter.name()));
        }
        log::info!("{line}");
    }

    fn publish(&self, now: Time) {
        let Some(metrics) = &self.metrics else { return };
        let plan = self.forwarder.plan();
        metrics.publish(&self.counters);
        metrics.set(Level::PlanIndex, plan.index);
        metrics.set(Level::PlanNumber, plan.config.number);
        metrics.set(Level::PlanAge, now.since(self.planned).as_millis() as u64);
        metrics.set(Level::Servers, self.forwarder.directory().len() as u64);
        metrics.set(Level::Flows, self.forwarder.tracked_flows() as u64);
    }

    fn tick(&mut self) {
        let now = now();
        self.forwarder.tick(now);
        self.lines = 0;
        self.publish(now);
        if now.since(self.reported) >= REPORT {
            self.reported = now;
            self.report_counts();
        }
    }
}

fn reset_counter(reason: ResetReason) -> Counter {
    match reason {
        ResetReason::NoRoute => Counter::FlowsResetUnrouted,
        ResetReason::NoServer => Counter::FlowsResetUnserved,
        ResetReason::ServerGone => Counter::FlowsResetGone,
    }
}

fn drop_counter(reason: DropReason) -> Counter {
    match reason {
        DropReason::Unknown => Counter::PacketsUntagged,
        DropReason::NoCookie => Counter::PacketsUncookied,
        DropReason::Stale => Counter::PacketsStale,
        DropReason::Early => Counter::PacketsEarly,
    }
}
