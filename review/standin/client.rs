//! Stand-in for clients.

use std::{
    net::{Ipv4Addr, SocketAddrV4, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    cluster::{Net, Routers},
    packet::{ACK, FIN, Packet, RST, SYN},
    record::{note, now},
};

/// Times after the first SYN at which copies are sent, and at which the attempt ends.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);
/// The deadline of a request.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// How a flow ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The client has closed it, or the server after a response.
    Closed,
    /// The system has reset it while it opened.
    Refused,
    /// The system has reset the open flow.
    ResetBySystem,
    /// A server has reset it.
    ResetByServer,
    /// Nothing came before the deadline.
    Silent,
}

/// A flow of a client.
#[derive(Debug, Clone)]
pub struct Flow {
    pub client: SocketAddrV4,
    pub sent: Duration,
    pub opened: Option<Duration>,
    /// Requests answered.
    pub answered: u32,
    /// The server of the last answer.
    pub server: String,
    /// When the last request was sent.
    pub last: Duration,
    pub ended: Duration,
    pub end: End,
}

/// Flows of all clients.
pub type Flows = Arc<Mutex<Vec<Flow>>>;

/// What a client does.
#[derive(Debug, Clone, Copy)]
pub struct Habit {
    /// Requests on each flow.
    pub requests: u32,
    /// Pause between the requests of a flow.
    pub pause: Duration,
    /// Pause between flows.
    pub gap: Duration,
}

/// A client with an address of its own.
pub struct Client {
    pub net: Net,
    pub routers: Routers,
    pub zone: &'static str,
    pub ip: Ipv4Addr,
    pub route: SocketAddrV4,
    pub habit: Habit,
    pub flows: Flows,
    pub stop: Arc<AtomicBool>,
}

impl Client {
    pub fn start(self) -> JoinHandle<()> {
        let socket = UdpSocket::bind((self.ip, self.net.packets)).expect("the address is free");
        thread::spawn(move || {
            let mut port = 20_000;
            while !self.stop.load(Ordering::Relaxed) {
                port += 1;
                let client = SocketAddrV4::new(self.ip, port);
                let flow = self.run_flow(&socket, client);
                note(&format!(
                    "client {client} ({}): flow to {} sent {:.3} opened {:?} answered {} server \
                     {:?} ended {:.3} {:?}",
                    self.zone,
                    self.route,
                    flow.sent.as_secs_f64(),
                    flow.opened,
                    flow.answered,
                    flow.server,
                    flow.ended.as_secs_f64(),
                    flow.end
                ));
                self.flows.lock().unwrap_or_else(|err| err.into_inner()).push(flow);
                thread::sleep(self.habit.gap);
            }
        })
    }

    fn run_flow(&self, socket: &UdpSocket, client: SocketAddrV4) -> Flow {
        let mut flow = Flow {
            client,
            sent: now(),
            opened: None,
            answered: 0,
            server: String::new(),
            last: now(),
            ended: now(),
            end: End::Silent,
        };
        flow.end = self.exchange_all(socket, &mut flow);
        flow.ended = now();
        flow
    }

    fn exchange_all(&self, socket: &UdpSocket, flow: &mut Flow) -> End {
        let packet = |flags, seq, ack, echo, data| Packet {
            src: flow.client,
            dst: self.route,
            seq,
            ack,
            flags,
            echo,
            data,
        };
        let start = u32::from(flow.client.port()) << 8;
        let syn = |copy| packet(SYN, start, copy, 0, Vec::new());
        let copies = [Duration::ZERO, COPIES[0], COPIES[1]];
        let accepted = |answer: &Packet| answer.flags == SYN | ACK;
        let opened = match self.exchange(socket, &copies, OPEN_TIMEOUT, syn, accepted) {
            Ok(answer) => answer,
            Err(End::ResetBySystem) => return End::Refused,
            Err(end) => return end,
        };
        let (mut echo, mut seq) = (opened.echo, start.wrapping_add(1));
        let mut ack = opened.seq.wrapping_add(1);
        self.send(socket, &packet(ACK, seq, ack, echo, Vec::new()));
        flow.opened = Some(now());
        for number in 0..self.habit.requests {
            if number > 0 {
                // A reset that comes during the pause ends the flow, too.
                if let Some(end) = self.wait_idle(socket, flow.client) {
                    return end;
                }
            }
            flow.last = now();
            let request = format!("{} {number}", flow.client).into_bytes();
            let next = seq.wrapping_add(request.len() as u32);
            let data = |_| packet(ACK, seq, ack, echo, request.clone());
            let answers = |answer: &Packet| answer.data.starts_with(&request);
            let answer = match self.exchange(socket, &retransmissions(), DEADLINE, data, answers) {
                Ok(answer) => answer,
                Err(end) => return end,
            };
            let text = String::from_utf8_lossy(&answer.data).into_owned();
            let server = text.split(" by ").nth(1).unwrap_or_default();
            flow.server = server.split(' ').take(2).collect::<Vec<_>>().join(" ");
            flow.answered += 1;
            (echo, seq) = (answer.echo, next);
            ack = answer.seq.wrapping_add(answer.data.len() as u32);
            self.send(socket, &packet(ACK, seq, ack, echo, Vec::new()));
            if answer.flags & FIN != 0 {
                break;
            }
        }
        let fin = |_| packet(FIN | ACK, seq, ack, echo, Vec::new());
        let closed = |answer: &Packet| answer.flags & FIN != 0 && answer.data.is_empty();
        match self.exchange(socket, &retransmissions(), DEADLINE, fin, closed) {
            Ok(_) => End::Closed,
            Err(end) => end,
        }
    }

    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        if let Some(daemon) = self.routers.select(self.zone, packet.src, packet.dst) {
            _ = socket.send_to(&packet.encode(), daemon);
        }
    }

    /// Sends a packet at each of `times` until its answer comes.
    fn exchange(
        &self,
        socket: &UdpSocket,
        times: &[Duration],
        limit: Duration,
        packet: impl Fn(u32) -> Packet,
        is_answer: impl Fn(&Packet) -> bool,
    ) -> Result<Packet, End> {
        let since = Instant::now();
        let client = packet(0).src;
        let mut sent = 0;
        while since.elapsed() < limit {
            if times.get(sent).is_some_and(|at| since.elapsed() >= *at) {
                self.send(socket, &packet(sent as u32));
                sent += 1;
            }
            let until = times.get(sent).copied().unwrap_or(limit).min(limit);
            let Some(answer) = receive(socket, client, since + until)? else { continue };
            if is_answer(&answer) {
                return Ok(answer);
            }
        }
        Err(End::Silent)
    }

    /// Waits for the pause between two requests; returns the end of the flow if it is reset.
    fn wait_idle(&self, socket: &UdpSocket, client: SocketAddrV4) -> Option<End> {
        let until = Instant::now() + self.habit.pause;
        while Instant::now() < until {
            if let Err(end) = receive(socket, client, until) {
                return Some(end);
            }
        }
        None
    }
}

/// Receives a packet of the flow of `client`, until `until`.
fn receive(
    socket: &UdpSocket,
    client: SocketAddrV4,
    until: Instant,
) -> Result<Option<Packet>, End> {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    _ = socket.set_read_timeout(Some(left));
    let mut buf = [0; 2048];
    let Ok((len, _)) = socket.recv_from(&mut buf) else { return Ok(None) };
    match Packet::decode(&buf[..len]) {
        Some((packet, _)) if packet.dst != client => Ok(None),
        Some((_, true)) => Err(End::ResetBySystem),
        Some((packet, _)) if packet.flags & RST != 0 => Err(End::ResetByServer),
        Some((packet, _)) => Ok(Some(packet)),
        None => {
            note(&format!("client {client} received a damaged packet"));
            Ok(None)
        }
    }
}

/// Returns the times at which a packet is sent: retransmissions after 200 ms, doubling up to 1.6 s.
fn retransmissions() -> Vec<Duration> {
    let mut wait = Duration::from_millis(200);
    let mut times = vec![Duration::ZERO];
    while times.len() < 9 {
        times.push(times[times.len() - 1] + wait);
        wait = (wait * 2).min(MAX_RETRANSMISSION);
    }
    times
}
