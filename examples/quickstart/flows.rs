//! Callers that open flows and send packets on them, and the state that all callers share.

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

use crate::{fleet, progress::Progress};

const CALLER_HOST: u8 = 3;
const FIRST_PORT: u16 = 20_000;
const PROBE_PORT: u16 = 19_999;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
const MAX_ATTEMPTS: usize = 40;
const PACKET_PERIOD: Duration = Duration::from_millis(100);
const FLOW_DURATION_MS: std::ops::Range<u64> = 2_000..6_000;
/// Age up to which a flow record may be lost with its owner: the sum of the replication interval,
/// a tick and the latency to the second owner.
const MAX_UNREPLICATED_AGE: Duration = Duration::from_millis(300);

/// State shared by all callers.
pub(crate) struct CallerContext {
    fabric: Fabric,
    /// Availability zone of each backend server.
    server_zones: BTreeMap<Name, Name>,
    /// Availability zones that were taken out; one that is put back stays in the set.
    zones_out: Mutex<BTreeSet<Name>>,
    /// When an entry VM was last aborted.
    entry_abort: Mutex<Option<Instant>>,
    stopped: AtomicBool,
    /// Counts of the current phase.
    pub(crate) progress: Progress,
}

impl CallerContext {
    /// Creates the state of callers that send through `fabric` to `servers`.
    pub(crate) fn new(fabric: Fabric, servers: &[(Announce, Server)]) -> CallerContext {
        let server_zones = servers
            .iter()
            .map(|(announce, _)| (announce.server.clone(), announce.zone.clone()))
            .collect();
        let stopped = AtomicBool::new(false);
        CallerContext {
            fabric,
            server_zones,
            zones_out: Mutex::default(),
            entry_abort: Mutex::default(),
            stopped,
            progress: Progress::default(),
        }
    }

    /// Records that an entry VM is aborted now.
    pub(crate) fn record_entry_abort(&self) {
        *self.entry_abort.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
    }

    /// Returns whether the record of a flow that opened at `opened` may not yet have been replicated
    /// when an entry VM was aborted.
    fn was_unreplicated(&self, opened: Instant) -> bool {
        let entry_abort = *self.entry_abort.lock().unwrap_or_else(PoisonError::into_inner);
        entry_abort.is_some_and(|at| opened <= at && at - opened <= MAX_UNREPLICATED_AGE)
    }

    /// Records that `zone` is taken out; flows to its servers end and do not count as broken.
    pub(crate) fn record_zone_out(&self, zone: &str) {
        self.zones_out.lock().unwrap_or_else(PoisonError::into_inner).insert(zone.into());
    }

    /// Stops the callers from opening flows and sending new requests.
    pub(crate) fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed)
    }

    /// Sends `packet` to a randomly chosen entry VM, as the fabric would.
    pub(crate) async fn send_to_random_entry(&self, rng: &mut ChaCha8Rng, packet: &[u8]) {
        let entries = fleet::entry_addrs();
        let entry = entries[rng.random_range(0..entries.len())];
        // A packet to an entry VM that is down is lost.
        _ = self.fabric.send(entry, packet).await;
    }

    /// Returns whether a flow through each entry VM is answered.
    pub(crate) async fn probe(&self) -> bool {
        let Ok(caller) = Caller::new(loopback(CALLER_HOST, PROBE_PORT)).await else {
            return false;
        };
        let packet =
            tcp_packet(loopback(CALLER_HOST, PROBE_PORT), fleet::flow_service_addr(), true, b"");
        for entry in fleet::entry_addrs() {
            _ = self.fabric.send(entry, &packet).await;
            if caller.receive(ANSWER_TIMEOUT).await.is_err() {
                return false;
            }
        }
        true
    }

    fn is_zone_out(&self, server: &[u8]) -> bool {
        let server = String::from_utf8_lossy(server);
        let zones_out = self.zones_out.lock().unwrap_or_else(PoisonError::into_inner);
        self.server_zones.get(&*server).is_some_and(|zone| zones_out.contains(zone))
    }
}

/// Counts of the flows of one or more callers.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct FlowCounts {
    /// Flows whose opening was answered.
    pub(crate) opened: u64,
    /// Flows that were reset, moved to another server or no longer answered.
    pub(crate) broken: u64,
    /// Broken flows whose record may not yet have been replicated when an entry VM was aborted.
    pub(crate) young: u64,
    /// Flows that ended because the availability zone of their server was taken out.
    pub(crate) given_up: u64,
    /// Flows whose opening was not answered.
    pub(crate) unopened: u64,
}

enum FlowResult {
    Completed,
    Broken { unreplicated: bool },
    ZoneOut,
    Unopened,
}

/// Starts `n` callers; each opens one flow after another.
pub(crate) fn start(
    context: &Arc<CallerContext>,
    n: u16,
) -> Vec<JoinHandle<eyre::Result<FlowCounts>>> {
    (0..n).map(|n| tokio::spawn(run_caller(context.clone(), n))).collect()
}

/// Waits for the callers and returns the sum of their counts.
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

async fn run_caller(context: Arc<CallerContext>, n: u16) -> eyre::Result<FlowCounts> {
    const PORTS: u16 = 40;
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(n));
    let mut counts = FlowCounts::default();
    let mut flows = 0;
    while !context.is_stopped() {
        let port = FIRST_PORT + n * PORTS + flows % PORTS;
        flows += 1;
        let addr = loopback(CALLER_HOST, port);
        let caller = Caller::new(addr).await?;
        let result = run_flow(&context, &caller, addr, &mut rng).await;
        counts.opened += u64::from(!matches!(result, FlowResult::Unopened));
        match result {
            FlowResult::Completed => {}
            FlowResult::Broken { unreplicated } => {
                context.progress.update(|phase| phase.broken += 1);
                counts.broken += 1;
                counts.young += u64::from(unreplicated);
            }
            FlowResult::ZoneOut => {
                context.progress.update(|phase| phase.given_up += 1);
                counts.given_up += 1;
            }
            FlowResult::Unopened => counts.unopened += 1,
        }
    }
    Ok(counts)
}

async fn run_flow(
    context: &CallerContext,
    caller: &Caller,
    addr: SocketAddr,
    rng: &mut ChaCha8Rng,
) -> FlowResult {
    let end = Instant::now() + Duration::from_millis(rng.random_range(FLOW_DURATION_MS));
    let open = tcp_packet(addr, fleet::flow_service_addr(), true, b"");
    let Some(server) = exchange(context, caller, rng, &open).await else {
        return FlowResult::Unopened;
    };
    let opened = Instant::now();
    context.progress.update(|phase| phase.opened += 1);
    let data = tcp_packet(addr, fleet::flow_service_addr(), false, b"job");
    while Instant::now() < end {
        sleep(PACKET_PERIOD).await;
        if context.is_zone_out(&server) {
            return FlowResult::ZoneOut;
        }
        let answer = exchange(context, caller, rng, &data).await;
        if context.is_zone_out(&server) {
            return FlowResult::ZoneOut;
        }
        // A reset, an answer of another backend server, or no answer.
        if answer.as_deref() != Some(&*server) {
            let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
            log::warn!(
                "event=flow_broken caller={addr} server={} answer={} age_ms={}",
                text(&server),
                answer.as_deref().map_or_else(|| "none".to_owned(), text),
                opened.elapsed().as_millis()
            );
            return FlowResult::Broken { unreplicated: context.was_unreplicated(opened) };
        }
    }
    FlowResult::Completed
}

/// Sends `packet` until it is answered, at most [`MAX_ATTEMPTS`] times.
async fn exchange(
    context: &CallerContext,
    caller: &Caller,
    rng: &mut ChaCha8Rng,
    packet: &[u8],
) -> Option<Vec<u8>> {
    for _ in 0..MAX_ATTEMPTS {
        context.send_to_random_entry(rng, packet).await;
        if let Ok(answer) = caller.receive(ANSWER_TIMEOUT).await {
            return Some(answer);
        }
    }
    None
}
