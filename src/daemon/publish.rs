//! Publisher of plans and server records to subscribed entry VMs.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::sleep,
};

use super::link::{self, Ack, Outbound};
use crate::{
    cookie::{FeedMessage, ForwardingPlan, ServerRecord},
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

/// An encoded feed message, shared by all subscribers.
type EncodedFrame = Arc<[u8]>;

/// An entry VM that has subscribed to the feed.
pub(super) struct Subscriber {
    pub(super) name: Name,
    pub(super) index: u64,
    pub(super) push_plans: bool,
    pub(super) stream: TcpStream,
}

/// The newest plan, encoded.
#[derive(Clone, Default)]
struct EncodedPlan {
    index: u64,
    encoded: EncodedFrame,
}

/// Sends the feed to all subscribers.
pub(super) struct Publisher {
    queues: Vec<mpsc::Sender<Outbound<EncodedFrame>>>,
    newest: watch::Sender<EncodedPlan>,
    plan: Option<Arc<ForwardingPlan>>,
    /// The configuration from which the plan was made.
    config: Option<Arc<RoutingConfig>>,
    /// Encoded records of all servers, cached until one of them changes.
    server_frames: Vec<EncodedFrame>,
}

impl Publisher {
    /// Creates a publisher that starts with `plan`, saved before a restart of this VM.
    pub(super) fn new(plan: Option<Arc<ForwardingPlan>>) -> Publisher {
        let newest = watch::Sender::new(EncodedPlan::default());
        let mut publisher = Publisher {
            queues: Vec::new(),
            newest,
            plan: None,
            config: None,
            server_frames: Vec::new(),
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

    fn set_plan(&mut self, plan: Arc<ForwardingPlan>) {
        let ForwardingPlan { index, config, zones_out } = &*plan;
        log::info!("event=plan index={index} number={} out={zones_out:?}", config.number);
        let encoded = encode(&FeedMessage::Plan(plan.clone()));
        self.newest.send_replace(EncodedPlan { index: *index, encoded });
        self.plan = Some(plan);
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
            self.server_frames.clear();
        }
        if self.queues.is_empty() {
            return;
        }
        let encoded = encode(message);
        self.queues.retain(|queue| {
            let outbound = Outbound { message: encoded.clone(), delivered: delivered.cloned() };
            queue.try_send(outbound).is_ok()
        });
    }

    /// Adds a subscriber, which first gets the records of all servers.
    ///
    /// The records are split into frames that a slow link carries well within the acknowledgement
    /// time-out.
    pub(super) fn subscribe<'a, I: Iterator<Item = &'a ServerRecord>>(
        &mut self,
        subscriber: Subscriber,
        heartbeat: FeedMessage,
        records: impl Fn() -> I,
    ) {
        if self.server_frames.is_empty() {
            let records: Vec<_> = records().cloned().collect();
            let first = FeedMessage::Servers { all: true, records: Vec::new() };
            self.server_frames.push(encode(&first));
            for chunk in records.chunks(MAX_FRAME_RECORDS) {
                let message = FeedMessage::Servers { all: false, records: chunk.to_vec() };
                self.server_frames.push(encode(&message));
            }
        }
        let (queue, queue_rx) = mpsc::channel(QUEUE_LEN + self.server_frames.len());
        // The heartbeat comes last: it says for how long servers without a record have been silent.
        for message in self.server_frames.iter().cloned().chain([encode(&heartbeat)]) {
            // Cannot fail: the queue is new and long enough.
            _ = queue.try_send(Outbound { message, delivered: None });
        }
        self.queues.push(queue);
        let newest = self.newest.subscribe();
        log::info!("event=feed_start vm={} index={}", subscriber.name, subscriber.index);
        tokio::spawn(async move {
            let name = subscriber.name.clone();
            if let Err(err) = send_feed(subscriber, queue_rx, newest).await {
                log::info!("event=feed_end vm={name} reason={:?}", err.to_string());
            }
        });
    }
}

/// Sends the feed to one subscriber until its connection fails or it is dropped.
async fn send_feed(
    subscriber: Subscriber,
    mut queue_rx: mpsc::Receiver<Outbound<EncodedFrame>>,
    mut newest: watch::Receiver<EncodedPlan>,
) -> io::Result<()> {
    let Subscriber { index: mut sent_index, push_plans, mut stream, .. } = subscriber;
    let mut send_plan = true;
    loop {
        let plan = newest.borrow_and_update().clone();
        if send_plan && plan.index > sent_index {
            link::send_frame(&mut stream, &plan.encoded).await?;
            sent_index = plan.index;
            send_plan = push_plans;
            if push_plans {
                sleep(MIN_PLAN_INTERVAL).await;
            }
            continue;
        }
        tokio::select! {
            changed = newest.changed(), if send_plan => changed.map_err(io::Error::other)?,
            outbound = queue_rx.recv() => {
                let Some(Outbound { message, delivered }) = outbound else { return Ok(()) };
                let ack = link::send_frame(&mut stream, &message).await?;
                send_plan |= ack == Ack::NeedsPlan;
                if let Some(delivered) = delivered {
                    // Only the first acknowledgement counts; the receiver may be gone.
                    _ = delivered.try_send(());
                }
            }
        }
    }
}

fn encode(message: &FeedMessage) -> EncodedFrame {
    link::encode_frame(message).into()
}
