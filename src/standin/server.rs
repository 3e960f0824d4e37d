//! A simulated backend server on UDP sockets: it answers packets and requests, announces itself and
//! records statistics.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use coap_lite::{CoapOption, MessageClass, Packet, RequestType, ResponseType};
use tokio::{
    net::UdpSocket,
    task::JoinHandle,
    time::{interval, sleep},
};

use crate::{
    coap,
    error::Result,
    packet::{self, FlowKey, Geneve, Segment},
    state::Announce,
};

const MAX_PACKET_LEN: usize = 65_536;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
const REFUSAL_RETRY_S: u32 = 1;

/// Payload of the answer to a packet of an unknown flow; it stands for a TCP reset.
pub const RESET: &[u8] = b"reset";

/// Statistics of a simulated backend server.
#[derive(Debug, Clone, Default)]
pub struct ServerStats {
    /// Flows whose opening packet arrived here.
    pub flows: BTreeSet<FlowKey>,
    /// Packets of unknown flows, each answered with [`RESET`].
    pub resets: u64,
    /// Packets for a service other than this server's.
    pub misrouted: u64,
    /// Number of executions by request payload.
    pub runs: BTreeMap<Vec<u8>, u64>,
    /// Requests refused because every slot was in use.
    pub refused: u64,
    /// Maximum number of concurrent requests.
    pub peak_running: u32,
}

/// A simulated backend server on two UDP sockets.
///
/// Each request occupies one of the announced `slots` for a fixed time. When all slots are in use, a
/// request is refused with 5.03 (Service Unavailable).
pub struct Server {
    shared: Arc<Shared>,
    tasks: [JoinHandle<()>; 3],
}

struct Shared {
    announce: Mutex<Announce>,
    stats: Mutex<ServerStats>,
    running: Mutex<u32>,
    load_seq: AtomicU64,
    service: SocketAddr,
    service_time: Duration,
}

impl Server {
    /// Starts the backend server that `announce` describes for the service at `service`.
    ///
    /// It announces itself to `entries`, and each request takes `service_time`.
    ///
    /// # Errors
    ///
    /// Returns an error if one of its addresses cannot be bound.
    pub async fn new(
        announce: Announce,
        service: SocketAddr,
        service_time: Duration,
        entries: Vec<SocketAddr>,
    ) -> Result<Server> {
        let packets = UdpSocket::bind(announce.packets).await?;
        let requests = Arc::new(UdpSocket::bind(announce.requests).await?);
        let shared = Arc::new(Shared {
            announce: Mutex::new(announce),
            stats: Mutex::default(),
            running: Mutex::new(0),
            load_seq: AtomicU64::new(1),
            service,
            service_time,
        });
        let tasks = [
            tokio::spawn(serve_packets(packets, shared.clone())),
            tokio::spawn(serve_requests(requests.clone(), shared.clone())),
            tokio::spawn(announce_periodically(requests, shared.clone(), entries)),
        ];
        Ok(Server { shared, tasks })
    }

    /// Returns the current statistics.
    pub fn stats(&self) -> ServerStats {
        lock(&self.shared.stats).clone()
    }

    /// Sets the draining flag of the following announcements.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.shared.announce).draining = draining;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Shared {
    /// Records a packet and returns the payload of the answer.
    fn answer_packet(&self, key: FlowKey, segment: Segment) -> Vec<u8> {
        let mut stats = lock(&self.stats);
        if key.service != self.service {
            stats.misrouted += 1;
        }
        if segment == Segment::Open {
            stats.flows.insert(key);
        }
        if stats.flows.contains(&key) {
            return lock(&self.announce).server.as_bytes().to_vec();
        }
        stats.resets += 1;
        RESET.to_vec()
    }

    /// Occupies a slot for a request, or returns false if every slot is in use.
    fn begin_request(&self, message: &Packet) -> bool {
        let mut running = lock(&self.running);
        let mut stats = lock(&self.stats);
        if *running >= lock(&self.announce).slots {
            stats.refused += 1;
            return false;
        }
        *running += 1;
        stats.peak_running = stats.peak_running.max(*running);
        *stats.runs.entry(message.payload.clone()).or_default() += 1;
        true
    }

    fn end_request(&self) {
        *lock(&self.running) -= 1;
    }

    /// Returns the response of the health or load endpoint, or `None` for any other request.
    fn endpoint_response(&self, message: &Packet) -> Option<Packet> {
        let path = message.get_option(CoapOption::UriPath)?;
        let is_get = message.header.code == MessageClass::Request(RequestType::Get);
        let mut answer = coap::response(message, ResponseType::Content);
        match path.front().map(Vec::as_slice) {
            Some(b"health") if is_get => answer.payload = b"ok".to_vec(),
            Some(b"load") if is_get => {
                let running = *lock(&self.running);
                let connections = lock(&self.stats).flows.len();
                let seq = self.load_seq.fetch_add(1, Ordering::Relaxed);
                let load = running * 100 / lock(&self.announce).slots.max(1);
                let text = format!(
                    "{{\"running\": {running}, \"connections\": {connections}, \
                     \"load\": {load}, \"seq\": {seq}}}"
                );
                answer.payload = text.into_bytes();
            }
            _ => return None,
        }
        Some(answer)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn serve_packets(socket: UdpSocket, shared: Arc<Shared>) {
    let mut buf = vec![0; MAX_PACKET_LEN];
    while let Ok((len, _)) = socket.recv_from(&mut buf).await {
        let Ok(geneve) = Geneve::decode(&buf[..len]) else { continue };
        let Ok(parsed) = packet::parse(geneve.inner) else { continue };
        let answer = shared.answer_packet(parsed.key, parsed.segment);
        // Direct server return: the answer bypasses the entry VMs.
        _ = socket.send_to(&answer, parsed.key.caller).await;
    }
}

async fn serve_requests(socket: Arc<UdpSocket>, shared: Arc<Shared>) {
    let mut buf = vec![0; MAX_PACKET_LEN];
    while let Ok((len, from)) = socket.recv_from(&mut buf).await {
        let Ok(message) = coap::decode(&buf[..len]) else { continue };
        if !coap::is_request(&message) {
            continue;
        }
        if let Some(answer) = shared.endpoint_response(&message) {
            reply(&socket, from, &answer).await;
        } else if shared.begin_request(&message) {
            tokio::spawn(serve_request(socket.clone(), shared.clone(), message, from));
        } else {
            reply(&socket, from, &coap::refusal(&message, REFUSAL_RETRY_S)).await;
        }
    }
}

async fn serve_request(
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
    message: Packet,
    from: SocketAddr,
) {
    sleep(shared.service_time).await;
    shared.end_request();
    let mut answer = coap::response(&message, ResponseType::Content);
    answer.payload = lock(&shared.announce).server.as_bytes().to_vec();
    reply(&socket, from, &answer).await;
}

async fn reply(socket: &UdpSocket, to: SocketAddr, answer: &Packet) {
    if let Ok(bytes) = coap::encode(answer) {
        _ = socket.send_to(&bytes, to).await;
    }
}

async fn announce_periodically(
    socket: Arc<UdpSocket>,
    shared: Arc<Shared>,
    entries: Vec<SocketAddr>,
) {
    let mut ticks = interval(ANNOUNCE_INTERVAL);
    for message_id in (0..=u16::MAX).cycle() {
        ticks.tick().await;
        let announce = lock(&shared.announce).clone();
        let Ok(message) = coap::announce(&announce, message_id) else { return };
        let Ok(bytes) = coap::encode(&message) else { return };
        for &entry in &entries {
            _ = socket.send_to(&bytes, entry).await;
        }
    }
}
