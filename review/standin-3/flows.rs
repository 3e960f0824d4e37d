//! Packets, and servers and clients that speak in flows of them, as PROTOCOL.md has it.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{JoinHandle, sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    cluster::{DATAGRAM_PORT, HEARTBEAT},
    http,
    record::Record,
    router::Router,
};

pub const SYN: u8 = 8;
pub const ACK: u8 = 64;
pub const RST: u8 = 16;
const HEAD: usize = 32;
const REQUEST_LEN: usize = 900;
const ANSWER_LEN: usize = 600;
const SERVER_PORT: u16 = 8080;
/// First retransmission and the longest interval; it doubles.
const RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_millis(1_600);
/// Retransmissions after which a server gives up.
const MAX_COPIES: u32 = 8;
/// Deadline of `mesh-wear-sync` of siktelag-drift, an `unsafe` request on long flows.
pub const DEADLINE: Duration = Duration::from_millis(2_500);
/// A client's port is the first one and the number of its flow.
const FIRST_PORT: u16 = 40_000;
const TICK: Duration = Duration::from_millis(2);

#[derive(Debug, Clone, Default)]
struct Packet {
    seq: u32,
    ack: u32,
    flags: u8,
    dport: u16,
    dst: u32,
    src: u32,
    sport: u16,
    sum: u32,
    echo: u32,
    data: Vec<u8>,
}

impl Packet {
    fn read(bytes: &[u8]) -> Option<Packet> {
        let word = |at: usize| Some(u32::from_be_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let half = |at: usize| Some(u16::from_be_bytes(bytes.get(at..at + 2)?.try_into().ok()?));
        let data = bytes.get(HEAD..)?.to_vec();
        if usize::from(half(26)?) != data.len() {
            return None;
        }
        Some(Packet {
            seq: word(0)?,
            ack: word(4)?,
            flags: bytes[8],
            dport: half(10)?,
            dst: word(12)?,
            src: word(16)?,
            sport: half(20)?,
            sum: word(22)?,
            echo: word(28)?,
            data,
        })
    }

    /// Returns the bytes with their keyed sum.
    fn write(&self) -> Vec<u8> {
        let mut out = vec![0; HEAD];
        out[0..4].copy_from_slice(&self.seq.to_be_bytes());
        out[4..8].copy_from_slice(&self.ack.to_be_bytes());
        out[8] = self.flags;
        out[10..12].copy_from_slice(&self.dport.to_be_bytes());
        out[12..16].copy_from_slice(&self.dst.to_be_bytes());
        out[16..20].copy_from_slice(&self.src.to_be_bytes());
        out[20..22].copy_from_slice(&self.sport.to_be_bytes());
        out[22..26].copy_from_slice(&self.keyed_sum().to_be_bytes());
        out[26..28].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        out[28..32].copy_from_slice(&self.echo.to_be_bytes());
        out.extend(&self.data);
        out
    }

    fn keyed_sum(&self) -> u32 {
        let mut hash = 0x9e37_79b9_u32;
        let words = [self.seq, self.ack, self.flags.into(), self.dst, self.src];
        let ports = [u32::from(self.dport), u32::from(self.sport)];
        let data = self.data.iter().map(|byte| u32::from(*byte));
        for word in words.into_iter().chain(ports).chain(data) {
            hash = (hash ^ word).wrapping_mul(0x0100_0193).rotate_left(7);
        }
        hash | 1
    }

    fn is_genuine(&self) -> bool {
        self.sum == self.keyed_sum()
    }

    /// Returns a packet without data to the sender of this one.
    fn reply(&self, flags: u8, seq: u32, ack: u32) -> Packet {
        Packet {
            seq,
            ack,
            flags,
            dport: self.sport,
            dst: self.src,
            src: self.dst,
            sport: self.dport,
            ..Packet::default()
        }
    }
}

/// A packet of a flow as it reached a server.
#[derive(Debug, Clone)]
pub struct Arrival {
    pub at: Duration,
    pub server: usize,
    pub flags: u8,
    pub len: usize,
}

/// What the servers have seen, by the client's port.
#[derive(Debug, Default)]
pub struct Seen {
    pub arrivals: BTreeMap<u16, Vec<Arrival>>,
    /// The server that has the end of the handshake, and since when.
    pub open: BTreeMap<u16, (usize, Duration)>,
    pub requests: u64,
}

pub struct Servers {
    pub names: Vec<String>,
    pub seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Servers {
    /// Starts one server of `service` for each address, in the zone beside it.
    pub fn start(
        service: &'static str,
        places: &[(Ipv4Addr, &'static str)],
        control: &[SocketAddr],
        record: &Record,
    ) -> Servers {
        let (stop, seen) =
            (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Seen::default())));
        let (mut threads, mut names) = (Vec::new(), Vec::new());
        for (number, (ip, zone)) in places.iter().enumerate() {
            let id = (0x7f3a_91c2_u32).wrapping_mul(2 * number as u32 + 1);
            let name = format!("i-{id:08x}");
            record.line(format!("server {name} of {service} at {ip}:{SERVER_PORT} in {zone}"));
            names.push(name.clone());
            let control = control.to_vec();
            let beat = Beat { name, service, ip: *ip, zone, control };
            let stopped = stop.clone();
            threads.push(spawn(move || beat.run(number, &stopped)));
            let socket = UdpSocket::bind((*ip, SERVER_PORT)).expect("a server's address is free");
            let (stopped, seen, record) = (stop.clone(), seen.clone(), record.clone());
            threads
                .push(spawn(move || serve(&socket, number, id.into(), &stopped, &seen, &record)));
        }
        Servers { names, seen, stop, threads }
    }
}

impl Drop for Servers {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            _ = thread.join();
        }
    }
}

struct Beat {
    name: String,
    service: &'static str,
    ip: Ipv4Addr,
    zone: &'static str,
    control: Vec<SocketAddr>,
}

impl Beat {
    /// Sends heartbeats; after a failure, the next daemon is called.
    fn run(&self, number: usize, stop: &AtomicBool) {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let path = format!("/api/instances/{}/heartbeat", self.name);
        let (mut sequence, mut daemon, mut due) = (0, number, Instant::now());
        while !stop.load(Ordering::Relaxed) {
            if Instant::now() < due {
                sleep(Duration::from_millis(20));
                continue;
            }
            due = Instant::now() + HEARTBEAT;
            for _ in 0..self.control.len() {
                sequence += 1;
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}:{SERVER_PORT}\",\"zone\":\"{}\",\
                     \"version\":\"v1\",\"maxConcurrency\":2,\"state\":\"ready\",\
                     \"warmupLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
                    self.service, self.ip, self.zone
                );
                let to = self.control[daemon % self.control.len()];
                let answer = http::call(to, "POST", &path, &body, Duration::from_secs(1));
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                daemon += 1;
            }
        }
    }
}

/// A flow at a server.
struct Held {
    open: bool,
    caller_first: u32,
    first: u32,
    next_in: u32,
    next_out: u32,
    echo: u32,
    /// The last answer until it is acknowledged, when it is sent again, the interval and the copies.
    unacked: Option<(Packet, Instant, Duration, u32)>,
}

fn serve(
    socket: &UdpSocket,
    number: usize,
    id: u64,
    stop: &AtomicBool,
    seen: &Mutex<Seen>,
    record: &Record,
) {
    socket.set_read_timeout(Some(TICK)).unwrap();
    let mut flows: BTreeMap<(u32, u16, u32, u16), Held> = BTreeMap::new();
    let mut buf = [0; 2048];
    let send = |packet: &Packet| {
        let to = SocketAddrV4::new(Ipv4Addr::from_bits(packet.dst), DATAGRAM_PORT);
        _ = socket.send_to(&packet.write(), to);
    };
    while !stop.load(Ordering::Relaxed) {
        for held in flows.values_mut() {
            let Some((packet, due, wait, copies)) = &mut held.unacked else { continue };
            if Instant::now() >= *due && *copies < MAX_COPIES {
                packet.echo = held.echo;
                send(packet);
                *wait = (*wait * 2).min(MAX_RETRY);
                (*due, *copies) = (Instant::now() + *wait, *copies + 1);
            }
        }
        let Ok(len) = socket.recv(&mut buf) else { continue };
        let Some(intended) = buf.first_chunk::<8>().map(|head| u64::from_be_bytes(*head)) else {
            continue;
        };
        let Some(packet) = buf.get(8..len).and_then(Packet::read) else { continue };
        if (intended != 0 && intended != id) || !packet.is_genuine() {
            continue;
        }
        let at = record.since_start();
        let (flags, len) = (packet.flags, packet.data.len());
        let mut seen = seen.lock().unwrap();
        let arrivals = seen.arrivals.entry(packet.sport).or_default();
        arrivals.push(Arrival { at, server: number, flags, len });
        let key = (packet.src, packet.sport, packet.dst, packet.dport);
        if packet.flags & SYN != 0 {
            let first = packet.seq.rotate_left(9) ^ id as u32;
            let held = flows.entry(key).or_insert(Held {
                open: false,
                caller_first: packet.seq,
                first,
                next_in: packet.seq.wrapping_add(1),
                next_out: first.wrapping_add(1),
                echo: packet.echo,
                unacked: None,
            });
            if held.caller_first == packet.seq {
                held.echo = packet.echo;
                let mut answer = packet.reply(SYN | ACK, held.first, packet.seq.wrapping_add(1));
                answer.echo = held.echo;
                send(&answer);
            }
            continue;
        }
        let Some(held) = flows.get_mut(&key) else {
            if packet.flags & RST == 0 {
                send(&packet.reply(RST, packet.ack, packet.seq));
            }
            continue;
        };
        if !held.open && packet.ack != held.first.wrapping_add(1) {
            // It acknowledges another server: the flow did not open here.
            continue;
        }
        if !held.open {
            held.open = true;
            seen.open.insert(packet.sport, (number, at));
        }
        held.echo = packet.echo;
        if packet.ack == held.next_out {
            held.unacked = None;
        }
        if packet.data.is_empty() {
            continue;
        }
        let mut answer = packet.reply(ACK, held.next_out, held.next_in);
        answer.echo = held.echo;
        if packet.seq != held.next_in {
            send(&answer);
            continue;
        }
        seen.requests += 1;
        held.next_in = held.next_in.wrapping_add(packet.data.len() as u32);
        answer.ack = held.next_in;
        answer.data = vec![b'a'; ANSWER_LEN];
        held.next_out = held.next_out.wrapping_add(ANSWER_LEN as u32);
        send(&answer);
        held.unacked = Some((answer, Instant::now() + RETRY, RETRY, 0));
    }
}

/// A flow of a client: it opens, carries one request, is idle, and carries one more.
pub struct Flow {
    pub port: u16,
    pub opened: Option<Duration>,
    /// The last `echo` that came on the flow.
    pub echo: u32,
    /// When each answer came.
    pub answers: Vec<Duration>,
    /// When the second request was first sent.
    pub second: Option<Duration>,
    pub given_up: Option<Duration>,
    pub reset: Option<(Duration, u32)>,
    first: u32,
    next_out: u32,
    next_in: u32,
    sent: Option<Packet>,
    due: Instant,
    wait: Duration,
    copies: u32,
    deadline: Instant,
}

pub struct Clients {
    socket: UdpSocket,
    ip: Ipv4Addr,
    route: u16,
    router: Router,
    pub flows: Vec<Flow>,
    /// When the second requests are sent, 20 ms after each other.
    pub resume: Option<Instant>,
    record: Record,
}

impl Clients {
    pub fn new(ip: Ipv4Addr, route: u16, router: Router, record: Record) -> Clients {
        let socket = UdpSocket::bind((ip, DATAGRAM_PORT)).expect("the clients' address is free");
        socket.set_read_timeout(Some(TICK)).unwrap();
        Clients { socket, ip, route, router, flows: Vec::new(), resume: None, record }
    }

    pub fn open(&mut self) {
        let number = self.flows.len() as u32;
        let first = number.wrapping_mul(0x9e37_79b1) ^ 0x1122_3344;
        self.flows.push(Flow {
            port: FIRST_PORT + number as u16,
            opened: None,
            echo: 0,
            answers: Vec::new(),
            second: None,
            given_up: None,
            reset: None,
            first,
            next_out: first.wrapping_add(1),
            next_in: 0,
            sent: None,
            due: Instant::now(),
            wait: RETRY,
            copies: 0,
            deadline: Instant::now() + DEADLINE,
        });
    }

    /// Lets the clients work for `time`.
    pub fn work(&mut self, time: Duration) {
        let until = Instant::now() + time;
        let mut buf = [0; 2048];
        while Instant::now() < until {
            for number in 0..self.flows.len() {
                self.send_due(number);
            }
            while let Ok(len) = self.socket.recv(&mut buf) {
                if let Some(packet) = Packet::read(&buf[..len]) {
                    self.receive(&packet);
                }
                if Instant::now() >= until {
                    break;
                }
            }
        }
    }

    fn send_due(&mut self, number: usize) {
        let resume = self.resume.map(|at| at + Duration::from_millis(20) * number as u32);
        let flow = &mut self.flows[number];
        let now = Instant::now();
        if flow.given_up.is_some() || flow.reset.is_some() || now < flow.due {
            return;
        }
        if flow.sent.is_none() && !flow.answers.is_empty() {
            if flow.answers.len() > 1 || resume.is_none_or(|resume| now < resume) {
                return;
            }
            flow.second = Some(self.record.since_start());
            flow.deadline = now + DEADLINE;
        }
        let head = Packet {
            src: self.ip.to_bits(),
            sport: flow.port,
            dst: Ipv4Addr::new(198, 18, 0, 1).to_bits(),
            dport: self.route,
            ..Packet::default()
        };
        if now >= flow.deadline || (flow.opened.is_none() && flow.copies > 2) {
            flow.given_up = Some(self.record.since_start());
            return;
        }
        let packet = if flow.opened.is_none() {
            flow.due = now + RETRY * (1 << flow.copies);
            flow.copies += 1;
            Packet { seq: flow.first, ack: flow.copies - 1, flags: SYN, ..head }
        } else {
            flow.wait = if flow.sent.is_some() { (flow.wait * 2).min(MAX_RETRY) } else { RETRY };
            flow.due = now + flow.wait;
            let data = vec![b'r'; REQUEST_LEN];
            let (ack, echo) = (flow.next_in, flow.echo);
            let packet = Packet { seq: flow.next_out, ack, flags: ACK, echo, data, ..head };
            flow.sent = Some(packet.clone());
            packet
        };
        _ = self.socket.send_to(&packet.write(), self.router.pick(flow.port));
    }

    fn receive(&mut self, packet: &Packet) {
        let now = self.record.since_start();
        let number = usize::from(packet.dport.wrapping_sub(FIRST_PORT));
        let Some(flow) = self.flows.get_mut(number) else { return };
        if flow.reset.is_some() || flow.given_up.is_some() || packet.sport != self.route {
            return;
        }
        if packet.flags & RST != 0 {
            flow.reset = Some((now, packet.sum));
            return;
        }
        if !packet.is_genuine() {
            return;
        }
        flow.echo = packet.echo;
        if packet.flags & SYN != 0 {
            if flow.opened.is_none() {
                flow.opened = Some(now);
                flow.next_in = packet.seq.wrapping_add(1);
                flow.due = Instant::now();
            } else if packet.seq.wrapping_add(1) != flow.next_in && !flow.answers.is_empty() {
                self.record.line(format!(
                    "client: flow {} gets the SYN+ACK of another server {:.3} s after it was opened",
                    flow.port,
                    (now - flow.opened.unwrap_or_default()).as_secs_f64()
                ));
            }
            return;
        }
        if packet.data.is_empty() || packet.seq != flow.next_in {
            return;
        }
        let Some(request) = flow.sent.take() else { return };
        flow.next_in = flow.next_in.wrapping_add(packet.data.len() as u32);
        flow.next_out = flow.next_out.wrapping_add(request.data.len() as u32);
        flow.answers.push(now);
        let (seq, ack, echo, data) = (flow.next_out, flow.next_in, flow.echo, Vec::new());
        let ack = Packet { seq, ack, echo, data, ..request };
        _ = self.socket.send_to(&ack.write(), self.router.pick(flow.port));
    }
}
