//! Publisher of plans and server records to subscribed entry VMs.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::AsyncReadExt,
    net::TcpStream,
    sync::{mpsc, watch},
    time::{Instant, sleep_until},
};

use super::link::{self, Ack, Outbound};
use crate::{
    cookie::{FeedMessage, ForwardingPlan, ServerRecord, ServerState},
    name::Name,
    routing_config::RoutingConfig,
    state::State,
};

/// Capacity of the queue of a subscriber; one that falls behind is dropped and has to reconnect.
const QUEUE_LEN: usize = 256;
/// Most server records in one frame to a new subscriber: some 12 KB, 40 ms at 2.4 Mbit/s.
const MAX_FRAME_RECORDS: usize = 100;
/// Shortest interval between plans to one subscriber; in a burst of changes, most plans are
/// skipped.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(150);

/// The queue of a subscriber, and what the publisher has to know of the VM.
struct SubscriberQueue {
    name: Name,
    zone: Name,
    listen: Option<SocketAddr>,
    sender: mpsc::Sender<Outbound<EncodedFrame>>,
}

/// An encoded feed message, shared by all subscribers.
type EncodedFrame = Arc<[u8]>;

/// An entry VM that has subscribed to the feed.
pub(super) struct Subscriber {
    pub(super) name: Name,
    pub(super) zone: Name,
    /// Address at which the VM receives presence datagrams, if it does.
    pub(super) listen: Option<SocketAddr>,
    pub(super) index: u64,
    pub(super) push_plans: bool,
    /// Whether the VM gets the records of all servers first, not only changes.
    pub(super) records: bool,
    pub(super) stream: TcpStream,
}

/// A load report of an entry VM.
pub(super) struct VmReport {
    pub(super) vm: Name,
    pub(super) zone: Name,
    pub(super) report: Vec<u8>,
}

/// The newest plan, encoded.
#[derive(Clone, Default)]
struct EncodedPlan {
    index: u64,
    encoded: EncodedFrame,
}

/// The encoded records of all servers.
///
/// They are split into frames that a slow link carries well within the acknowledgement time-out.
struct ServerFrames {
    /// Servers that are not gone, by availability zone.
    zones: BTreeMap<Name, Vec<EncodedFrame>>,
    gone: Vec<EncodedFrame>,
    /// Servers that are silent, which are also in `zones`.
    silent: Vec<EncodedFrame>,
    /// Whether a server is cold, for a time that passes.
    has_cold: bool,
}

impl ServerFrames {
    fn new<'a>(records: impl Iterator<Item = &'a ServerRecord>) -> ServerFrames {
        let mut zones: BTreeMap<Name, Vec<ServerRecord>> = BTreeMap::new();
        let (mut gone, mut silent) = (Vec::new(), Vec::new());
        let mut has_cold = false;
        for record in records.cloned() {
            has_cold |= !record.announcement.warmup_left.is_zero();
            if record.silent {
                silent.push(record.clone());
            }
            match record.state {
                ServerState::Gone => gone.push(record),
                _ => zones.entry(record.announcement.zone.clone()).or_default().push(record),
            }
        }
        ServerFrames {
            zones: zones.into_iter().map(|(zone, records)| (zone, split(&records))).collect(),
            gone: split(&gone),
            silent: split(&silent),
            has_cold,
        }
    }

    /// Returns the frames for an entry VM in `zone`: the servers of that zone, to which nearly all of
    /// its packets go, first, and those that are gone last.
    fn frames_for(&self, zone: &Name) -> Vec<EncodedFrame> {
        let mut frames = vec![reset_frame()];
        frames.extend(self.zones.get(zone).into_iter().flatten().cloned());
        frames.push(encode(&FeedMessage::ZoneSent));
        let others = self.zones.iter().filter(|(other, _)| *other != zone);
        frames.extend(others.flat_map(|(_, frames)| frames).cloned());
        frames.extend(self.gone.iter().cloned());
        frames
    }

    /// Returns the frames for an entry VM that has all records from another feed.
    fn changes_only(&self) -> Vec<EncodedFrame> {
        let start = [reset_frame(), encode(&FeedMessage::ChangesOnly)];
        start.into_iter().chain(self.silent.iter().cloned()).collect()
    }
}

/// Returns the frame that tells a subscriber to forget which servers this VM has reported.
fn reset_frame() -> EncodedFrame {
    encode(&FeedMessage::Servers { all: true, records: Vec::new() })
}

fn split(records: &[ServerRecord]) -> Vec<EncodedFrame> {
    let message =
        |chunk: &[ServerRecord]| FeedMessage::Servers { all: false, records: chunk.to_vec() };
    records.chunks(MAX_FRAME_RECORDS).map(|chunk| encode(&message(chunk))).collect()
}

/// Sends the feed to all subscribers.
pub(super) struct Publisher {
    queues: Vec<SubscriberQueue>,
    /// Addresses of subscribers whose feed has ended since they were last taken.
    ended: Vec<SocketAddr>,
    newest: watch::Sender<EncodedPlan>,
    plan: Option<Arc<ForwardingPlan>>,
    /// The configuration from which the plan was made.
    config: Option<Arc<RoutingConfig>>,
    /// Encoded records of all servers, cached until one of them changes.
    server_frames: Option<ServerFrames>,
    /// Receives the load reports of subscribers.
    reports: mpsc::Sender<VmReport>,
}

impl Publisher {
    /// Creates a publisher that starts with `plan`, saved before a restart of this VM, and passes
    /// load reports on to `reports`.
    pub(super) fn new(
        plan: Option<Arc<ForwardingPlan>>,
        reports: mpsc::Sender<VmReport>,
    ) -> Publisher {
        let newest = watch::Sender::new(EncodedPlan::default());
        let mut publisher = Publisher {
            queues: Vec::new(),
            ended: Vec::new(),
            newest,
            plan: None,
            config: None,
            server_frames: None,
            reports,
        };
        if let Some(plan) = plan {
            publisher.set_plan(plan);
        }
        publisher
    }

    pub(super) fn plan(&self) -> Option<Arc<ForwardingPlan>> {
        self.plan.clone()
    }

    /// Returns the number of subscribers.
    pub(super) fn subscribers(&self) -> usize {
        self.queues.len()
    }

    /// Returns the addresses at which the present subscribers receive presence datagrams.
    pub(super) fn subscriber_addrs(&self) -> Vec<SocketAddr> {
        let open = self.queues.iter().filter(|queue| !queue.sender.is_closed());
        open.filter_map(|queue| queue.listen).collect()
    }

    /// Iterates over the availability zones of the subscribers.
    pub(super) fn subscriber_zones(&self) -> impl Iterator<Item = &Name> {
        self.queues.iter().filter(|queue| !queue.sender.is_closed()).map(|queue| &queue.zone)
    }

    /// Sends a load summary to the entry VM `vm`; a full queue drops it.
    pub(super) fn send_summary(&self, vm: &Name, summary: Vec<u8>) {
        let encoded = encode(&FeedMessage::Load(summary));
        for queue in self.queues.iter().filter(|queue| queue.name == *vm) {
            _ = queue.sender.try_send(Outbound { message: encoded.clone(), delivered: None });
        }
    }

    /// Drops the encoded records if one of them says for how long a server is cold.
    pub(super) fn expire_cold(&mut self) {
        self.server_frames.take_if(|frames| frames.has_cold);
    }

    /// Drops the subscribers whose feed has ended, and returns the addresses of those that have no
    /// other feed from this VM.
    pub(super) fn take_lost(&mut self) -> Vec<SocketAddr> {
        let ended = self.queues.extract_if(.., |queue| queue.sender.is_closed());
        self.ended.extend(ended.filter_map(|queue| queue.listen));
        if self.ended.is_empty() {
            return Vec::new();
        }
        let open = self.subscriber_addrs();
        self.ended.drain(..).filter(|addr| !open.contains(addr)).collect()
    }

    fn set_plan(&mut self, plan: Arc<ForwardingPlan>) {
        let ForwardingPlan { index, config, zones_out } = &*plan;
        log::info!("event=plan index={index} number={} out={zones_out:?}", config.number);
        let encoded = encode(&FeedMessage::Plan(plan.clone()));
        self.newest.send_replace(EncodedPlan { index: *index, encoded });
        self.plan = Some(plan);
    }

    /// Publishes a plan that another control VM has sent, unless there is one already; returns
    /// whether it was published.
    ///
    /// Like a plan saved before a restart, it holds until the log says more.
    pub(super) fn adopt(&mut self, plan: Arc<ForwardingPlan>) -> bool {
        let missing = self.plan.is_none();
        if missing {
            log::info!("event=plan_adopted index={}", plan.index);
            self.set_plan(plan);
        }
        missing
    }

    /// Publishes the plan of `state` if it is newer than the last one and differs from it; returns
    /// whether it was published.
    pub(super) fn publish(&mut self, state: &State) -> bool {
        let same_config = match (&state.whole, &self.config) {
            (Some(new), Some(old)) => Arc::ptr_eq(new, old),
            (None, _) => true,
            (Some(_), None) => false,
        };
        let last_plan = self.plan.as_deref();
        let same_zones_out =
            last_plan.is_some_and(|plan| state.zones_out.keys().eq(plan.zones_out.iter()));
        let newer = last_plan.is_none_or(|plan| state.index > plan.index);
        let Some(config) =
            state.whole.clone().filter(|_| newer && !(same_config && same_zones_out))
        else {
            return false;
        };
        let plan = ForwardingPlan {
            index: state.index,
            config: Arc::new(config.without_source()),
            zones_out: state.zones_out.keys().cloned().collect(),
        };
        self.config = Some(config);
        self.set_plan(Arc::new(plan));
        true
    }

    /// Sends a message to all subscribers, and drops those whose queue is full.
    pub(super) fn send(&mut self, message: &FeedMessage, delivered: Option<&mpsc::Sender<()>>) {
        if matches!(message, FeedMessage::Servers { .. }) {
            self.server_frames = None;
        }
        if self.queues.is_empty() {
            return;
        }
        let encoded = encode(message);
        let dropped = self.queues.extract_if(.., |queue| {
            let outbound = Outbound { message: encoded.clone(), delivered: delivered.cloned() };
            queue.sender.try_send(outbound).is_err()
        });
        self.ended.extend(dropped.filter_map(|queue| queue.listen));
    }

    /// Adds a subscriber, which gets the message `first`, the plan, the records of all servers and
    /// the message `last`.
    pub(super) fn subscribe<'a, I: Iterator<Item = &'a ServerRecord>>(
        &mut self,
        subscriber: Subscriber,
        [first, last]: [FeedMessage; 2],
        records: impl Fn() -> I,
    ) {
        let servers = self.server_frames.get_or_insert_with(|| ServerFrames::new(records()));
        let frames = match subscriber.records {
            true => servers.frames_for(&subscriber.zone),
            false => servers.changes_only(),
        };
        let (queue, queue_rx) = mpsc::channel(QUEUE_LEN + frames.len());
        // The heartbeat comes last: it says for how long servers without a record have been silent.
        for message in frames.into_iter().chain([encode(&last)]) {
            // Cannot fail: the queue is new and long enough.
            _ = queue.try_send(Outbound { message, delivered: None });
        }
        self.queues.push(SubscriberQueue {
            name: subscriber.name.clone(),
            zone: subscriber.zone.clone(),
            listen: subscriber.listen,
            sender: queue,
        });
        let reports = self.reports.clone();
        let newest = self.newest.subscribe();
        log::info!("event=feed_start vm={} index={}", subscriber.name, subscriber.index);
        tokio::spawn(async move {
            let name = subscriber.name.clone();
            if let Err(err) = send_feed(subscriber, encode(&first), queue_rx, newest, reports).await
            {
                log::info!("event=feed_end vm={name} reason={:?}", err.to_string());
            }
        });
    }
}

/// Sends the feed to one subscriber until its connection fails or it is dropped.
async fn send_feed(
    subscriber: Subscriber,
    first: EncodedFrame,
    mut queue_rx: mpsc::Receiver<Outbound<EncodedFrame>>,
    mut newest: watch::Receiver<EncodedPlan>,
    reports: mpsc::Sender<VmReport>,
) -> io::Result<()> {
    let Subscriber { name, zone, index: mut sent_index, push_plans, mut stream, .. } = subscriber;
    let mut send_plan = true;
    let mut plan_due = Instant::now();
    if push_plans {
        // Only the first feed prefers some control VMs to others.
        link::send_frame(&mut stream, &first).await?;
    }
    loop {
        let plan = newest.borrow_and_update().clone();
        let pending = send_plan && plan.index > sent_index;
        if pending && Instant::now() >= plan_due {
            link::send_frame(&mut stream, &plan.encoded).await?;
            sent_index = plan.index;
            send_plan = push_plans;
            plan_due = Instant::now() + MIN_PLAN_INTERVAL;
            continue;
        }
        tokio::select! {
            () = sleep_until(plan_due), if pending => {}
            changed = newest.changed(), if send_plan && !pending => {
                changed.map_err(io::Error::other)?;
            }
            // A subscriber sends nothing unless it is sent something: this is the end of its process.
            unexpected = stream.read_u8() => {
                let reason = unexpected.map_or_else(|err| err, |_| unsolicited());
                return Err(reason);
            }
            outbound = queue_rx.recv() => {
                let Some(Outbound { message, delivered }) = outbound else { return Ok(()) };
                let answer = link::send_frame(&mut stream, &message).await?;
                send_plan |= answer.ack == Ack::NeedsPlan;
                if let Some(report) = answer.report {
                    let report = VmReport { vm: name.clone(), zone: zone.clone(), report };
                    // The next report makes up for one that finds the queue full.
                    _ = reports.try_send(report);
                }
                if let Some(delivered) = delivered {
                    // Only the first acknowledgement counts; the receiver may be gone.
                    _ = delivered.try_send(());
                }
            }
        }
    }
}

#[cold]
fn unsolicited() -> io::Error {
    io::Error::other("the subscriber sent a byte without a message; it is no entry VM")
}

fn encode(message: &FeedMessage) -> EncodedFrame {
    link::encode_frame(message).into()
}
