//! Stand-in for a backend server.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    cluster::HEARTBEAT,
    http,
    packet::{ACK, FIN, Packet, RST, SYN},
    record::{note, now},
};

/// Length of the part of a response that carries nothing, in bytes.
const RESPONSE_LEN: usize = 600;

/// A flow that a server holds.
struct Flow {
    /// The server's first sequence number.
    start: u32,
    /// Whether the client has acknowledged it.
    open: bool,
    /// The next sequence number of the server.
    next: u32,
    /// The last echo received.
    echo: u32,
    /// Responses and their sequence numbers, by the sequence number of the request.
    responses: BTreeMap<u32, (u32, Vec<u8>)>,
}

/// What a server tells of itself.
#[derive(Debug, Clone)]
pub struct Profile {
    pub id: u64,
    pub service: &'static str,
    pub zone: &'static str,
    pub addr: SocketAddrV4,
}

/// An opening packet that a server took; records show all its fields.
#[derive(Debug, Clone)]
#[allow(dead_code)]
pub struct Opening {
    pub at: Duration,
    pub client: SocketAddrV4,
    pub service: &'static str,
    pub zone: &'static str,
    pub id: u64,
    pub born: u64,
}

/// What servers have seen.
#[derive(Default)]
pub struct Seen {
    pub openings: Vec<Opening>,
    /// Flows that their server has open, with the server's id and start.
    pub opened: BTreeMap<SocketAddrV4, (u64, u64)>,
    /// Flows that their server has reset.
    pub reset: Vec<SocketAddrV4>,
    /// Requests that ran, with the service that ran them.
    pub runs: Vec<(String, &'static str)>,
}

pub type SharedSeen = Arc<Mutex<Seen>>;

struct Inner {
    profile: Profile,
    born: u64,
    sequence: AtomicU64,
    alive: AtomicBool,
    draining: AtomicBool,
    /// Daemons to which heartbeats go, the current one first.
    daemons: Mutex<Vec<SocketAddr>>,
    next_start: AtomicU32,
    seen: SharedSeen,
    /// UDP port of clients.
    client_port: u16,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    inner: Arc<Inner>,
}

impl Server {
    /// Starts a server, which sends its first heartbeat at once.
    pub fn start(
        profile: Profile,
        daemons: Vec<SocketAddr>,
        client_port: u16,
        seen: &SharedSeen,
    ) -> Server {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
        let born = born.as_millis() as u64;
        let socket = UdpSocket::bind(profile.addr).expect("the server's address is free");
        let health = TcpListener::bind(profile.addr).expect("the server's address is free");
        note(&format!("server {profile:x?} starts, born {born}"));
        let inner = Inner {
            profile,
            born,
            sequence: AtomicU64::new(0),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            daemons: Mutex::new(daemons),
            next_start: AtomicU32::new(born as u32),
            seen: seen.clone(),
            client_port,
        };
        let server = Server { inner: Arc::new(inner) };
        let packets = server.clone();
        thread::spawn(move || packets.serve_packets(&socket));
        let checks = server.clone();
        thread::spawn(move || checks.serve_health(&health));
        let beats = server.clone();
        thread::spawn(move || {
            while beats.is_alive() {
                beats.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    pub fn is_alive(&self) -> bool {
        self.inner.alive.load(Ordering::Relaxed)
    }

    pub fn born(&self) -> u64 {
        self.inner.born
    }

    pub fn id(&self) -> u64 {
        self.inner.profile.id
    }

    /// Replaces the daemons that the server calls.
    pub fn set_daemons(&self, daemons: Vec<SocketAddr>) {
        *self.inner.daemons.lock().unwrap_or_else(|err| err.into_inner()) = daemons;
    }

    /// Sends a heartbeat to the current daemon, or to the next ones if it does not acknowledge.
    pub fn beat(&self) -> bool {
        let Profile { id, service, zone, addr } = &self.inner.profile;
        let draining = self.inner.draining.load(Ordering::Relaxed);
        let state = if draining { "draining" } else { "ready" };
        let sequence = self.inner.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"maxConcurrency\":2,\"state\":\"{state}\",\"warmupLeftMs\":0,\
             \"sequence\":{sequence},\"born\":{}}}",
            self.inner.born
        );
        self.call(&format!("/api/instances/i-{id:x}/heartbeat"), &body, state)
    }

    /// Calls the daemons in turn until one acknowledges; that one is called first the next time.
    fn call(&self, path: &str, body: &str, what: &str) -> bool {
        let daemons = self.inner.daemons.lock().unwrap_or_else(|err| err.into_inner()).clone();
        for (place, daemon) in daemons.iter().enumerate() {
            if !self.is_alive() {
                return false;
            }
            let answer = http::request(*daemon, "POST", path, body);
            if answer.as_ref().is_some_and(|(status, _)| (200..300).contains(status)) {
                if what != "ready" {
                    note(&format!("server {:x}: {daemon} acknowledges {what}", self.id()));
                }
                let mut current = self.inner.daemons.lock().unwrap_or_else(|err| err.into_inner());
                if *current == daemons {
                    current.rotate_left(place);
                }
                return true;
            }
            note(&format!("server {:x}: {daemon} does not acknowledge {what}", self.id()));
        }
        false
    }

    /// Reports that the server drains, until this is acknowledged.
    pub fn drain(&self) {
        self.inner.draining.store(true, Ordering::Relaxed);
        while !self.beat() {
            thread::sleep(Duration::from_millis(200));
        }
    }

    /// Reports that the server leaves; returns whether this was acknowledged.
    pub fn leave(&self) -> bool {
        self.call(&format!("/api/instances/i-{:x}/leave", self.id()), "", "leave")
    }

    /// Ends the server.
    pub fn exit(&self) {
        note(&format!("server {:x} born {} exits", self.id(), self.born()));
        self.inner.alive.store(false, Ordering::Relaxed);
        // Until its sockets are closed.
        thread::sleep(Duration::from_millis(150));
    }

    fn serve_health(&self, listener: &TcpListener) {
        listener.set_nonblocking(true).expect("the listener can be set");
        while self.is_alive() {
            let Ok((mut stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            _ = stream.read(&mut [0; 1024]);
            let healthy = !self.inner.draining.load(Ordering::Relaxed);
            let status = if healthy { "200 OK" } else { "503 Service Unavailable" };
            _ = stream.write_all(
                format!(
                    "HTTP/1.1 {status}\r\nX-Galenatrail-Instance-Id: i-{:x}\r\n\
                     Content-Length: 0\r\nConnection: close\r\n\r\n",
                    self.id()
                )
                .as_bytes(),
            );
        }
    }

    fn serve_packets(&self, socket: &UdpSocket) {
        _ = socket.set_read_timeout(Some(Duration::from_millis(50)));
        let mut flows = BTreeMap::new();
        let mut buf = [0; 2048];
        while self.is_alive() {
            let Ok((len, _)) = socket.recv_from(&mut buf) else { continue };
            if !self.is_alive() {
                return;
            }
            let Some((intended, packet)) = buf[..len].split_first_chunk::<8>() else { continue };
            let intended = u64::from_be_bytes(*intended);
            if intended != 0 && intended != self.id() {
                continue;
            }
            let Some((packet, false)) = Packet::decode(packet) else {
                note(&format!("server {:x} received a damaged packet", self.id()));
                continue;
            };
            let client = SocketAddr::from((*packet.src.ip(), self.inner.client_port));
            if let Some(answer) = self.handle(&mut flows, &packet) {
                _ = socket.send_to(&answer.encode(), client);
            }
        }
    }

    fn handle(
        &self,
        flows: &mut BTreeMap<(SocketAddrV4, SocketAddrV4), Flow>,
        packet: &Packet,
    ) -> Option<Packet> {
        let Profile { id, service, zone, .. } = self.inner.profile;
        let born = self.born();
        let answer = |flags, seq, ack, echo, data| Packet {
            src: packet.dst,
            dst: packet.src,
            seq,
            ack,
            flags,
            echo,
            data,
        };
        let key = (packet.src, packet.dst);
        if packet.flags == SYN {
            let start = self.inner.next_start.fetch_add(1 << 20, Ordering::Relaxed);
            let flow = flows.entry(key).or_insert_with(|| {
                let opening = Opening { at: now(), client: packet.src, service, zone, id, born };
                self.seen().openings.push(opening);
                let (next, echo) = (start.wrapping_add(1), packet.echo);
                Flow { start, open: false, next, echo, responses: BTreeMap::new() }
            });
            let ack = packet.seq.wrapping_add(1);
            return Some(answer(SYN | ACK, flow.start, ack, packet.echo, Vec::new()));
        }
        let Some(flow) = flows.get_mut(&key) else {
            if packet.flags & RST != 0 {
                return None;
            }
            self.seen().reset.push(packet.src);
            return Some(answer(RST, packet.ack, packet.seq, packet.echo, Vec::new()));
        };
        flow.echo = packet.echo;
        if !flow.open && packet.ack == flow.start.wrapping_add(1) {
            flow.open = true;
            self.seen().opened.insert(packet.src, (id, born));
        }
        let next = packet.seq.wrapping_add(packet.data.len() as u32);
        if packet.flags & FIN != 0 {
            self.seen().opened.remove(&packet.src);
            let ack = next.wrapping_add(1);
            return Some(answer(FIN | ACK, flow.next, ack, flow.echo, Vec::new()));
        }
        if packet.flags & RST != 0 {
            flows.remove(&key);
            self.seen().opened.remove(&packet.src);
            return None;
        }
        if packet.data.is_empty() {
            return None;
        }
        let (seq, data) = flow.responses.entry(packet.seq).or_insert_with(|| {
            let request = String::from_utf8_lossy(&packet.data).into_owned();
            self.seen().runs.push((request.clone(), service));
            let data = format!("{request} by {id:x} {born} {:.<RESPONSE_LEN$}", "").into_bytes();
            let seq = flow.next;
            flow.next = flow.next.wrapping_add(data.len() as u32);
            (seq, data)
        });
        // A server that drains closes each flow after its next response.
        let closes = self.inner.draining.load(Ordering::Relaxed);
        let flags = if closes { ACK | FIN } else { ACK };
        Some(answer(flags, *seq, next, flow.echo, data.clone()))
    }

    fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.inner.seen.lock().unwrap_or_else(|err| err.into_inner())
    }
}

/// The address of a server on loopback host `ip`.
pub fn addr(ip: Ipv4Addr) -> SocketAddrV4 {
    SocketAddrV4::new(ip, 8_080)
}
