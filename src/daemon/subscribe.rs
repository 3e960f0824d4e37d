//! The feeds that an entry VM takes: one of a control VM in its own availability zone where there
//! is one, and one of another.

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

use super::link::{self, Answer, Opening};
use crate::{
    cookie::{ControlEndpoint, FeedMessage},
    member::hash,
    name::Name,
};

/// Time without a message after which a control VM counts as out of reach: two signs of life and
/// a half.
const SILENCE: Duration = Duration::from_millis(2_500);
/// Time between two tries to find a control VM.
const RETRY: Duration = Duration::from_millis(50);

/// What reaches the entry VM from its feeds.
pub(super) enum Fed {
    /// A message of a control VM.
    Message(SocketAddr, FeedMessage),
    /// A control VM is out of reach.
    Lost(SocketAddr),
}

/// The control VMs that are known, and which feed has which.
#[derive(Default)]
pub(super) struct Known {
    seats: BTreeMap<SocketAddr, Name>,
    taken: [Option<SocketAddr>; 2],
}

/// What the feeds of a VM share.
#[derive(Clone)]
pub(super) struct Feeds {
    pub(super) name: Name,
    pub(super) zone: Name,
    pub(super) seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Number of commands that the VM has applied.
    pub(super) index: watch::Receiver<u64>,
    pub(super) fed: mpsc::Sender<Fed>,
    pub(super) known: Arc<Mutex<Known>>,
}

impl Feeds {
    /// Takes feed number `place` for ever.
    pub(super) async fn run(self, place: usize) {
        let mut tries = 0;
        loop {
            tries += 1;
            let Some(target) = self.pick(place, tries) else {
                sleep(RETRY).await;
                continue;
            };
            let mut reached = false;
            let result = self.follow(place, target, &mut reached).await;
            self.release(place);
            if reached {
                let reason = result.err().map(|err| err.to_string()).unwrap_or_default();
                log::info!("event=feed_lost control={target} reason={reason:?}");
                _ = self.fed.send(Fed::Lost(target)).await;
            }
            sleep(RETRY).await;
        }
    }

    /// Chooses a control VM that the other feed does not have.
    fn pick(&self, place: usize, tries: u64) -> Option<SocketAddr> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let other = known.taken[1 - place];
        let seeds = self.seeds.borrow().clone();
        let mut targets: Vec<_> = known.seats.keys().copied().chain(seeds).collect();
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|target| Some(*target) != other);
        let near = |target: &SocketAddr| known.seats.get(target).is_some_and(|z| *z == self.zone);
        let rank = |target: &SocketAddr| {
            let seed = format!("{} {target} {tries}", self.name);
            // A try that failed gives way to the others every second time.
            (place == 0 && tries % 2 == 1 && !near(target), hash(seed.as_bytes()))
        };
        let target = targets.into_iter().min_by_key(rank)?;
        known.taken[place] = Some(target);
        Some(target)
    }

    fn release(&self, place: usize) {
        self.known.lock().unwrap_or_else(PoisonError::into_inner).taken[place] = None;
    }

    async fn follow(&self, place: usize, target: SocketAddr, reached: &mut bool) -> io::Result<()> {
        let index = *self.index.borrow();
        let opening = Opening::Feed { name: self.name.clone(), index, plans: place == 0 };
        let mut stream: TcpStream = link::connect(target, &opening).await?;
        loop {
            let message: FeedMessage = timeout(SILENCE, link::read_frame(&mut stream)).await??;
            if !*reached {
                *reached = true;
                log::info!("event=feed_reached control={target}");
            }
            let mut answer = Answer::Has;
            let mut better = false;
            if let FeedMessage::Heartbeat { index, control_vms, .. } = &message {
                if place != 0 && *index > *self.index.borrow() {
                    answer = Answer::Wants;
                }
                better = self.learn(place, target, control_vms);
            }
            if self.fed.send(Fed::Message(target, message)).await.is_err() {
                return Ok(());
            }
            link::answer(&mut stream, answer).await?;
            if better {
                return Err(io::Error::other("a control VM of the own availability zone is there"));
            }
        }
    }

    /// Learns of control VMs; returns whether one would serve this feed better.
    fn learn(&self, place: usize, target: SocketAddr, seats: &[ControlEndpoint]) -> bool {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.seats = seats.iter().map(|seat| (seat.addr, seat.zone.clone())).collect();
        let near = |addr: &SocketAddr| known.seats.get(addr).is_some_and(|z| *z == self.zone);
        let other = known.taken[1 - place];
        let free = known.seats.keys().any(|addr| near(addr) && Some(*addr) != other);
        place == 0 && free && !near(&target)
    }
}
