//! The two feeds of an entry VM, from different control VMs; the first prefers a control VM in the
//! VM's own availability zone.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    net::TcpStream,
    sync::{mpsc, watch},
    time::{sleep, timeout},
};

use super::link::{self, Ack, Hello};
use crate::{
    cookie::{ControlLocation, FeedMessage},
    member::hash,
    name::Name,
};

/// Time without a message after which a control VM counts as unreachable: two and a half heartbeat
/// intervals.
const FEED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before the next attempt to connect to a control VM.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// An event of a feed.
pub(super) enum FeedEvent {
    /// A message from a control VM.
    Message(SocketAddr, FeedMessage),
    /// The connection to a control VM was lost.
    Lost(SocketAddr),
}

/// The known control VMs with their availability zones, and the control VM of each feed.
#[derive(Default)]
pub(super) struct FeedTargets {
    zones: BTreeMap<SocketAddr, Name>,
    in_use: [Option<SocketAddr>; 2],
}

/// Configuration and state shared by the feeds of a VM.
#[derive(Clone)]
pub(super) struct FeedClient {
    pub(super) name: Name,
    pub(super) zone: Name,
    pub(super) seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Number of commands that the VM has applied.
    pub(super) index: watch::Receiver<u64>,
    pub(super) events: mpsc::Sender<FeedEvent>,
    pub(super) targets: Arc<Mutex<FeedTargets>>,
}

impl FeedClient {
    /// Runs feed `slot` (0 or 1) for ever, reconnecting when it fails.
    pub(super) async fn run(self, slot: usize) {
        let mut attempt = 0;
        loop {
            attempt += 1;
            let Some(target) = self.choose_target(slot, attempt) else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let mut connected = false;
            let result = self.read_feed(slot, target, &mut connected).await;
            self.release_target(slot);
            if connected {
                let reason = result.err().map(|err| err.to_string()).unwrap_or_default();
                log::info!("event=feed_lost control={target} reason={reason:?}");
                _ = self.events.send(FeedEvent::Lost(target)).await;
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Chooses a control VM that the other feed does not use.
    fn choose_target(&self, slot: usize, attempt: u64) -> Option<SocketAddr> {
        let mut known = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        let other = known.in_use[1 - slot];
        let seeds = self.seeds.borrow().clone();
        let mut targets: Vec<_> = known.zones.keys().copied().chain(seeds).collect();
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| Some(*target) != other);
        let is_local =
            |target: &SocketAddr| known.zones.get(target).is_some_and(|z| *z == self.zone);
        let rank = |target: &SocketAddr| {
            let seed = format!("{} {target} {attempt}", self.name);
            // Feed 0 prefers its own zone on odd attempts only, so that an unreachable control VM
            // there does not keep it from the others.
            (slot == 0 && attempt % 2 == 1 && !is_local(target), hash(seed.as_bytes()))
        };
        let target = targets.into_iter().min_by_key(rank)?;
        known.in_use[slot] = Some(target);
        Some(target)
    }

    fn release_target(&self, slot: usize) {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner).in_use[slot] = None;
    }

    async fn read_feed(
        &self,
        slot: usize,
        target: SocketAddr,
        connected: &mut bool,
    ) -> io::Result<()> {
        let index = *self.index.borrow();
        let hello = Hello::Feed { name: self.name.clone(), index, push_plans: slot == 0 };
        let mut stream: TcpStream = link::connect(target, &hello).await?;
        loop {
            let message: FeedMessage =
                timeout(FEED_TIMEOUT, link::read_frame(&mut stream)).await??;
            if !*connected {
                *connected = true;
                log::info!("event=feed_reached control={target}");
            }
            let mut ack = Ack::Received;
            let mut switch = false;
            if let FeedMessage::Heartbeat { index, control_vms, .. } = &message {
                if slot != 0 && *index > *self.index.borrow() {
                    ack = Ack::NeedsPlan;
                }
                switch = self.update_targets(slot, target, control_vms);
            }
            if self.events.send(FeedEvent::Message(target, message)).await.is_err() {
                return Ok(());
            }
            link::write_ack(&mut stream, ack).await?;
            if switch {
                return Err(io::Error::other(
                    "a control VM in the local availability zone is available",
                ));
            }
        }
    }

    /// Replaces the known control VMs; returns whether feed 0 should switch to one in its own zone.
    fn update_targets(
        &self,
        slot: usize,
        target: SocketAddr,
        control_vms: &[ControlLocation],
    ) -> bool {
        let mut known = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        known.zones = control_vms.iter().map(|vm| (vm.addr, vm.zone.clone())).collect();
        let is_local = |addr: &SocketAddr| known.zones.get(addr).is_some_and(|z| *z == self.zone);
        let other = known.in_use[1 - slot];
        let local_available = known.zones.keys().any(|addr| is_local(addr) && Some(*addr) != other);
        slot == 0 && local_available && !is_local(&target)
    }
}
