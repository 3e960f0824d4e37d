//! A backend server and a caller that speak the packet protocol of the pages.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::cluster::{PACKET_PORT, Record, Site};

pub const SYN: u8 = 8;
pub const ACK: u8 = 64;
pub const RST: u8 = 16;

/// Address and port of the route of [`crate::cluster::config`].
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);

/// A client heeds a reset of the system only if its number is this near to the client's last `ack`.
const RESET_WINDOW: u32 = 76_800;
/// Length of an answer, in bytes.
const ANSWER_LEN: usize = 1_100;

/// A packet. The checksum, whose key nobody tells, is that of the stand-ins.
#[derive(Debug, Clone)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub echo: u32,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    fn new(src: SocketAddrV4, dst: SocketAddrV4, flags: u8) -> Packet {
        let (seq, ack, echo, sum) = (0, 0, 0, 0);
        Packet { src, dst, seq, ack, flags, echo, sum, data: Vec::new() }
    }

    fn checksum(&self) -> u32 {
        let Packet { src, dst, seq, ack, flags, data, .. } = self;
        let text = format!("{src} {dst} {seq} {ack} {flags} {data:?}");
        let sum = text
            .bytes()
            .fold(0x811c_9dc5_u32, |sum, byte| (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193));
        sum.max(1)
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        bytes.extend(self.seq.to_be_bytes());
        bytes.extend(self.ack.to_be_bytes());
        bytes.extend([self.flags, 0]);
        bytes.extend(self.dst.port().to_be_bytes());
        bytes.extend(self.dst.ip().octets());
        bytes.extend(self.src.ip().octets());
        bytes.extend(self.src.port().to_be_bytes());
        bytes.extend(self.checksum().to_be_bytes());
        bytes.extend((self.data.len() as u16).to_be_bytes());
        bytes.extend(self.echo.to_be_bytes());
        bytes.extend(&self.data);
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Packet> {
        let head = bytes.get(..32)?;
        let word = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
        let half = |at: usize| u16::from_be_bytes(head[at..at + 2].try_into().unwrap());
        Some(Packet {
            src: SocketAddrV4::new(Ipv4Addr::from(word(16)), half(20)),
            dst: SocketAddrV4::new(Ipv4Addr::from(word(12)), half(10)),
            seq: word(0),
            ack: word(4),
            flags: head[8],
            echo: word(28),
            sum: word(22),
            data: bytes[32..].to_vec(),
        })
    }
}

/// A server that answers each request of its flows, and resets flows that it does not hold.
pub struct Server {
    pub addr: SocketAddr,
    pub born: u128,
    stop: Arc<AtomicBool>,
    resets: Arc<AtomicU32>,
    runs: Arc<AtomicU32>,
    task: Option<JoinHandle<()>>,
}

impl Server {
    pub fn start(site: &Site, host: u8, id: u64, born: u128) -> Server {
        let addr = site.addr(host, 8080);
        let socket = UdpSocket::bind(addr).expect("the address of a server is free");
        socket.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let (resets, runs) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
        let (stopped, sent, ran) = (stop.clone(), resets.clone(), runs.clone());
        let task = thread::spawn(move || {
            // Sequence numbers of the server's ends, by the caller's end.
            let mut flows: BTreeMap<SocketAddrV4, u32> = BTreeMap::new();
            let mut buf = [0; 2048];
            while !stopped.load(Ordering::Relaxed) {
                let Ok((len, _)) = socket.recv_from(&mut buf) else { continue };
                if len < 40 || buf[..8] != id.to_be_bytes() {
                    continue;
                }
                let Some(packet) = Packet::decode(&buf[8..len]) else { continue };
                let mut answer = Packet::new(packet.dst, packet.src, ACK);
                answer.echo = packet.echo;
                answer.ack = packet.seq.wrapping_add(packet.data.len() as u32);
                if packet.flags & SYN != 0 {
                    let seq = packet.seq ^ 0x5a5a_5a5a;
                    flows.insert(packet.src, seq.wrapping_add(1));
                    (answer.flags, answer.seq) = (SYN | ACK, seq);
                    answer.ack = packet.seq.wrapping_add(1);
                } else if let Some(seq) = flows.get_mut(&packet.src) {
                    if packet.data.is_empty() {
                        continue;
                    }
                    ran.fetch_add(1, Ordering::Relaxed);
                    answer.seq = *seq;
                    answer.data = b"answer ".iter().chain(&packet.data).copied().collect();
                    answer.data.resize(ANSWER_LEN, b' ');
                    *seq = seq.wrapping_add(answer.data.len() as u32);
                } else {
                    answer.flags = RST;
                    sent.fetch_add(1, Ordering::Relaxed);
                }
                let caller = SocketAddrV4::new(*packet.src.ip(), PACKET_PORT);
                _ = socket.send_to(&answer.encode(), caller);
            }
        });
        Server { addr, born, stop, resets, runs, task: Some(task) }
    }

    /// Number of resets that it has sent.
    pub fn resets(&self) -> u32 {
        self.resets.load(Ordering::Relaxed)
    }

    /// Number of requests that it has run.
    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        _ = self.task.take().map(JoinHandle::join);
    }
}

/// What a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    Answered,
    /// A reset with the checksum 0, which only the system sends.
    SystemReset,
    ServerReset,
    Silence,
}

/// A caller with one flow.
pub struct Caller {
    socket: UdpSocket,
    src: SocketAddrV4,
    entry: SocketAddr,
    seq: u32,
    ack: u32,
    echo: u32,
}

impl Caller {
    pub fn new(site: &Site, host: u8, entry: u8) -> Caller {
        let socket = UdpSocket::bind(site.addr(host, PACKET_PORT)).expect("a caller's address");
        socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
        let src = SocketAddrV4::new(site.ip(host), 40_001);
        let entry = site.addr(entry, PACKET_PORT);
        Caller { socket, src, entry, seq: 0x1122_3344, ack: 0, echo: 0 }
    }

    /// Opens the flow; returns whether a server answered within 1.4 s.
    pub fn open(&mut self, record: &mut Record) -> bool {
        let mut packet = Packet::new(self.src, ROUTE, SYN);
        packet.seq = self.seq;
        for (copy, wait) in [200, 400, 800].into_iter().enumerate() {
            packet.ack = copy as u32;
            _ = self.socket.send_to(&packet.encode(), self.entry);
            let Some(answer) = self.receive(Duration::from_millis(wait)) else { continue };
            if answer.flags == SYN | ACK {
                self.seq = answer.ack;
                self.ack = answer.seq.wrapping_add(1);
                self.echo = answer.echo;
                self.acknowledge();
                record.line(&format!("caller {}: the flow is open", self.src));
                return true;
            }
        }
        false
    }

    /// Sends a request on the flow, with copies, and waits for its answer for a second.
    pub fn request(&mut self, record: &mut Record, text: &str) -> Reply {
        let mut packet = Packet::new(self.src, ROUTE, ACK);
        (packet.seq, packet.ack, packet.echo) = (self.seq, self.ack, self.echo);
        packet.data = text.as_bytes().to_vec();
        let mut reply = Reply::Silence;
        for wait in [200, 400, 400] {
            _ = self.socket.send_to(&packet.encode(), self.entry);
            let Some(answer) = self.receive(Duration::from_millis(wait)) else { continue };
            if answer.flags & RST != 0 {
                let Some(reset) = self.heed(&answer) else { continue };
                reply = reset;
            } else if !answer.data.is_empty() {
                self.seq = answer.ack;
                self.ack = answer.seq.wrapping_add(answer.data.len() as u32);
                self.echo = answer.echo;
                self.acknowledge();
                reply = Reply::Answered;
            }
            break;
        }
        record.line(&format!("caller {}: {text:?}: {reply:?}", self.src));
        reply
    }

    /// Tells whose a reset is; `None` if it is outside of the window or not of the route.
    fn heed(&self, packet: &Packet) -> Option<Reply> {
        let distance = (packet.seq.wrapping_sub(self.ack) as i32).unsigned_abs();
        let valid = packet.src == ROUTE && packet.data.is_empty() && distance <= RESET_WINDOW;
        let reply = if packet.sum == 0 { Reply::SystemReset } else { Reply::ServerReset };
        valid.then_some(reply)
    }

    fn acknowledge(&self) {
        let mut packet = Packet::new(self.src, ROUTE, ACK);
        (packet.seq, packet.ack, packet.echo) = (self.seq, self.ack, self.echo);
        _ = self.socket.send_to(&packet.encode(), self.entry);
    }

    /// Waits for a reset without sending anything.
    pub fn await_reset(&mut self, record: &mut Record, wait: Duration) -> Option<Reply> {
        let packet = self.receive(wait).filter(|packet| packet.flags & RST != 0)?;
        let reply = self.heed(&packet)?;
        let (seq, ack) = (packet.seq, self.ack);
        let text = format!("gets a reset unasked, seq {seq}, own ack {ack}: {reply:?}");
        record.line(&format!("caller {}: {text}", self.src));
        Some(reply)
    }

    fn receive(&self, wait: Duration) -> Option<Packet> {
        let (since, mut buf) = (Instant::now(), [0; 2048]);
        while since.elapsed() < wait {
            if let Ok((len, _)) = self.socket.recv_from(&mut buf)
                && let Some(packet) = Packet::decode(&buf[..len])
                && packet.dst == self.src
            {
                return Some(packet);
            }
        }
        None
    }
}
