//! The feed of a control VM to entry VMs.

use std::{io, sync::Arc, time::Duration};

use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::sleep,
};

use super::link::{self, Answer, Parcel};
use crate::{
    cookie::{FeedMessage, ForwardingPlan, ServerRecord},
    name::Name,
    routing_config::RoutingConfig,
    state::State,
};

/// Messages that wait for an entry VM at most; one that falls behind connects anew.
const QUEUE_LEN: usize = 256;
/// Records of one frame to a new entry VM: some 12 KB, 40 ms on a link of 2.4 Mbit/s.
const FRAME_RECORDS: usize = 100;
/// Shortest time between two plans to one entry VM: in a storm of changes most are overtaken.
const PLAN_GAP: Duration = Duration::from_millis(150);

/// A feed message as it is sent; made once for all entry VMs.
type Encoded = Arc<[u8]>;

/// An entry VM that has asked for the feed.
pub(super) struct Subscriber {
    pub(super) name: Name,
    pub(super) index: u64,
    pub(super) plans: bool,
    pub(super) stream: TcpStream,
}

/// The newest plan.
#[derive(Clone, Default)]
struct Newest {
    index: u64,
    encoded: Encoded,
}

/// Feeds every entry VM that has asked.
pub(super) struct Publisher {
    queues: Vec<mpsc::Sender<Parcel<Encoded>>>,
    newest: watch::Sender<Newest>,
    plan: Option<Arc<ForwardingPlan>>,
    /// The configuration that the plan was made from.
    whole: Option<Arc<RoutingConfig>>,
    /// All servers as they were last sent to a new entry VM, until one of them changes.
    servers: Vec<Encoded>,
}

impl Publisher {
    /// Returns a publisher that has `plan` from before this VM was down.
    pub(super) fn new(plan: Option<Arc<ForwardingPlan>>) -> Publisher {
        let newest = watch::Sender::new(Newest::default());
        let mut publisher =
            Publisher { queues: Vec::new(), newest, plan: None, whole: None, servers: Vec::new() };
        if let Some(plan) = plan {
            publisher.set(plan);
        }
        publisher
    }

    /// Returns the newest plan.
    pub(super) fn plan(&self) -> Option<Arc<ForwardingPlan>> {
        self.plan.clone()
    }

    /// Returns how many entry VMs take the feed.
    pub(super) fn subscribers(&self) -> usize {
        self.queues.len()
    }

    fn set(&mut self, plan: Arc<ForwardingPlan>) {
        let ForwardingPlan { index, config, zones_out } = &*plan;
        log::info!("event=plan index={index} number={} out={zones_out:?}", config.number);
        let encoded = encode(&FeedMessage::Plan(plan.clone()));
        self.newest.send_replace(Newest { index: *index, encoded });
        self.plan = Some(plan);
    }

    /// Publishes the plan of `state` where it is newer than the last one and differs from it;
    /// returns whether it does.
    pub(super) fn publish(&mut self, state: &State) -> bool {
        let same = match (&state.whole, &self.whole) {
            (Some(new), Some(old)) => Arc::ptr_eq(new, old),
            (None, _) => true,
            (Some(_), None) => false,
        };
        let before = self.plan.as_deref();
        let same_out = before.is_some_and(|plan| state.zones_out.keys().eq(plan.zones_out.iter()));
        let newer = before.is_none_or(|plan| state.index > plan.index);
        let Some(whole) = state.whole.clone().filter(|_| newer && !(same && same_out)) else {
            return false;
        };
        let plan = ForwardingPlan {
            index: state.index,
            config: Arc::new(whole.without_source()),
            zones_out: state.zones_out.keys().cloned().collect(),
        };
        self.whole = Some(whole);
        self.set(Arc::new(plan));
        true
    }

    /// Sends a message to every entry VM.
    pub(super) fn send(&mut self, message: &FeedMessage, arrived: Option<&mpsc::Sender<()>>) {
        if matches!(message, FeedMessage::Servers { .. }) {
            self.servers.clear();
        }
        if self.queues.is_empty() {
            return;
        }
        let encoded = encode(message);
        self.queues.retain(|queue| {
            let parcel = Parcel { message: encoded.clone(), arrived: arrived.cloned() };
            queue.try_send(parcel).is_ok()
        });
    }

    /// Starts to feed an entry VM, with all servers first.
    ///
    /// They go in frames that a small link carries well within the time in which a frame has to be
    /// answered.
    pub(super) fn subscribe<'a, I: Iterator<Item = &'a ServerRecord>>(
        &mut self,
        subscriber: Subscriber,
        beat: FeedMessage,
        records: impl Fn() -> I,
    ) {
        if self.servers.is_empty() {
            let records: Vec<_> = records().cloned().collect();
            let first = FeedMessage::Servers { all: true, records: Vec::new() };
            self.servers.push(encode(&first));
            for part in records.chunks(FRAME_RECORDS) {
                let message = FeedMessage::Servers { all: false, records: part.to_vec() };
                self.servers.push(encode(&message));
            }
        }
        let (queue, parcels) = mpsc::channel(QUEUE_LEN + self.servers.len());
        // The beat comes last: it says for how long servers that were not named are silent.
        for message in self.servers.iter().cloned().chain([encode(&beat)]) {
            // The queue is new and long enough.
            _ = queue.try_send(Parcel { message, arrived: None });
        }
        self.queues.push(queue);
        let newest = self.newest.subscribe();
        log::info!("event=feed_start vm={} index={}", subscriber.name, subscriber.index);
        tokio::spawn(async move {
            let name = subscriber.name.clone();
            if let Err(err) = feed(subscriber, parcels, newest).await {
                log::info!("event=feed_end vm={name} reason={:?}", err.to_string());
            }
        });
    }
}

/// Feeds one entry VM until its connection fails.
async fn feed(
    subscriber: Subscriber,
    mut parcels: mpsc::Receiver<Parcel<Encoded>>,
    mut newest: watch::Receiver<Newest>,
) -> io::Result<()> {
    let Subscriber { index: mut held, plans, mut stream, .. } = subscriber;
    let mut wanted = true;
    loop {
        let plan = newest.borrow_and_update().clone();
        if wanted && plan.index > held {
            link::send_encoded(&mut stream, &plan.encoded).await?;
            held = plan.index;
            wanted = plans;
            if plans {
                sleep(PLAN_GAP).await;
            }
            continue;
        }
        tokio::select! {
            changed = newest.changed(), if wanted => changed.map_err(io::Error::other)?,
            parcel = parcels.recv() => {
                let Some(Parcel { message, arrived }) = parcel else { return Ok(()) };
                let answer = link::send_encoded(&mut stream, &message).await?;
                wanted |= answer == Answer::Wants;
                if let Some(arrived) = arrived {
                    // Only the first arrival counts; the receiver may have gone on.
                    _ = arrived.try_send(());
                }
            }
        }
    }
}

fn encode(message: &FeedMessage) -> Encoded {
    link::encode(message).into()
}
