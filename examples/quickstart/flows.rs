//! Callers that open flows and keep them, and the way to the fabric that all callers share.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use galenatrail::{
    Announce, Name,
    standin::{Caller, Fabric, Server, loopback, tcp_packet},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::fleet;

const CALLER_HOST: u8 = 3;
const FIRST_PORT: u16 = 20_000;
const PROBE_PORT: u16 = 19_999;
const ANSWER_LIMIT: Duration = Duration::from_millis(150);
const TRIES: usize = 40;
const PACKET_PERIOD: Duration = Duration::from_millis(100);
const LIFE_MS: std::ops::Range<u64> = 2_000..9_000;
/// Age up to which the record of a flow may be lost with its owner: replication interval, tick and
/// the way to the second owner.
const YOUNG: Duration = Duration::from_millis(300);

/// What all callers share.
pub(crate) struct Callers {
    fabric: Fabric,
    zones: BTreeMap<Name, Name>,
    given_up: Mutex<BTreeSet<Name>>,
    /// When an entry VM ended without notice.
    loss: Mutex<Option<Instant>>,
    stopped: AtomicBool,
}

impl Callers {
    /// Returns the callers' side of `fabric`.
    pub(crate) fn new(fabric: Fabric, servers: &[(Announce, Server)]) -> Callers {
        let zones = servers.iter().map(|(me, _)| (me.server.clone(), me.zone.clone())).collect();
        let stopped = AtomicBool::new(false);
        Callers { fabric, zones, given_up: Mutex::default(), loss: Mutex::default(), stopped }
    }

    /// Notes that an entry VM ends without notice now.
    pub(crate) fn note_loss(&self) {
        *self.loss.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Returns whether a flow that opened at `opened` was young when an entry VM was lost.
    fn was_young(&self, opened: Instant) -> bool {
        let loss = *self.loss.lock().unwrap_or_else(PoisonError::into_inner);
        loss.is_some_and(|loss| opened <= loss && loss - opened <= YOUNG)
    }

    /// Gives up the flows that end in `zone`.
    pub(crate) fn give_up(&self, zone: &str) {
        self.given_up.lock().unwrap_or_else(PoisonError::into_inner).insert(zone.into());
    }

    /// Ends the opening of flows and requests.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Hands `packet` to an entry VM of the fabric's choice.
    pub(crate) async fn spray(&self, rng: &mut ChaCha8Rng, packet: &[u8]) {
        let entries = fleet::entries();
        let entry = entries[rng.random_range(0..entries.len())];
        // An entry VM that is down loses the packet.
        _ = self.fabric.send(entry, packet).await;
    }

    /// Returns whether a flow through each entry VM is answered.
    pub(crate) async fn probe(&self) -> bool {
        let Ok(caller) = Caller::new(loopback(CALLER_HOST, PROBE_PORT)).await else {
            return false;
        };
        let packet = tcp_packet(loopback(CALLER_HOST, PROBE_PORT), fleet::hub(), true, b"");
        for entry in fleet::entries() {
            _ = self.fabric.send(entry, &packet).await;
            if caller.receive(ANSWER_LIMIT).await.is_err() {
                return false;
            }
        }
        true
    }

    fn is_given_up(&self, server: &[u8]) -> bool {
        let server = String::from_utf8_lossy(server);
        let given_up = self.given_up.lock().unwrap_or_else(PoisonError::into_inner);
        self.zones.get(&*server).is_some_and(|zone| given_up.contains(zone))
    }
}

/// What the callers of one task have seen.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlowCounts {
    /// Flows that opened.
    pub(crate) opened: u64,
    /// Flows that broke.
    pub(crate) broken: u64,
    /// Those of them that had just opened when an entry VM was lost.
    pub(crate) young: u64,
    /// Flows that ended with an availability zone taken out.
    pub(crate) given_up: u64,
    /// Flows that could not open.
    pub(crate) unopened: u64,
}

enum End {
    Whole,
    Broken { young: bool },
    GivenUp,
    Unopened,
}

/// Starts `n` callers; each opens one flow after another.
pub(crate) fn start(callers: &Arc<Callers>, n: u16) -> Vec<JoinHandle<eyre::Result<FlowCounts>>> {
    (0..n).map(|n| tokio::spawn(call(callers.clone(), n))).collect()
}

/// Waits for the callers and adds up what they have seen.
pub(crate) async fn join(
    tasks: Vec<JoinHandle<eyre::Result<FlowCounts>>>,
) -> eyre::Result<FlowCounts> {
    let mut sum = FlowCounts::default();
    for task in tasks {
        let counts = task.await??;
        sum.opened += counts.opened;
        sum.broken += counts.broken;
        sum.young += counts.young;
        sum.given_up += counts.given_up;
        sum.unopened += counts.unopened;
    }
    Ok(sum)
}

async fn call(callers: Arc<Callers>, n: u16) -> eyre::Result<FlowCounts> {
    const PORTS: u16 = 40;
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(n));
    let mut counts = FlowCounts::default();
    let mut turn = 0;
    while !callers.is_stopped() {
        let port = FIRST_PORT + n * PORTS + turn % PORTS;
        turn += 1;
        let addr = loopback(CALLER_HOST, port);
        let caller = Caller::new(addr).await?;
        let end = flow(&callers, &caller, addr, &mut rng).await;
        counts.opened += u64::from(!matches!(end, End::Unopened));
        match end {
            End::Whole => {}
            End::Broken { young } => {
                counts.broken += 1;
                counts.young += u64::from(young);
            }
            End::GivenUp => counts.given_up += 1,
            End::Unopened => counts.unopened += 1,
        }
    }
    Ok(counts)
}

async fn flow(callers: &Callers, caller: &Caller, addr: SocketAddr, rng: &mut ChaCha8Rng) -> End {
    let end = Instant::now() + Duration::from_millis(rng.random_range(LIFE_MS));
    let open = tcp_packet(addr, fleet::hub(), true, b"");
    let Some(server) = exchange(callers, caller, rng, &open).await else { return End::Unopened };
    let opened = Instant::now();
    let data = tcp_packet(addr, fleet::hub(), false, b"job");
    while Instant::now() < end {
        sleep(PACKET_PERIOD).await;
        if callers.is_given_up(&server) {
            return End::GivenUp;
        }
        let answer = exchange(callers, caller, rng, &data).await;
        if callers.is_given_up(&server) {
            return End::GivenUp;
        }
        // A reset, another backend server or silence.
        if answer.as_deref() != Some(&*server) {
            return End::Broken { young: callers.was_young(opened) };
        }
    }
    End::Whole
}

/// Sends `packet` until an answer comes.
async fn exchange(
    callers: &Callers,
    caller: &Caller,
    rng: &mut ChaCha8Rng,
    packet: &[u8],
) -> Option<Vec<u8>> {
    for _ in 0..TRIES {
        callers.spray(rng, packet).await;
        if let Ok(answer) = caller.receive(ANSWER_LIMIT).await {
            return Some(answer);
        }
    }
    None
}
