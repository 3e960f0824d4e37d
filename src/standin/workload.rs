//! Callers and backend servers around a [`Mesh`]: every request has a number, every run and
//! every answer is counted, and what must hold is checked.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use coap_lite::{
    CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType,
    option_value::OptionValueU32,
};

use crate::{
    coap,
    entry::{EntryAction, EntryEvent},
    member::Member,
    name::Name,
    packet::{self, FlowKey, Protocol},
    request::owner_key,
    standin::{Mesh, udp_packet},
    state::{Announce, Command, State},
    time::Time,
    tree::Branch,
};

mod check;
mod desk;

const STEP: Duration = Duration::from_millis(1);
/// One-way delay between an entry VM and a backend server.
const SERVER_DELAY: Duration = Duration::from_millis(1);
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);
const SERVICE: &str = "127.0.9.1:5683";
const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv", "varna"];
const BUNDLE: &[u8] = b"bundle";

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// The answer, with its payload.
    Answered(String),
    /// 5.03: it did not run.
    NotRun,
    /// 5.04: it may have run.
    Unknown,
    /// Another error, with its payload.
    Failed(String),
}

/// One backend server: its slots, and what runs in them.
#[derive(Debug)]
struct Desk {
    name: Name,
    announce: Announce,
    running: BTreeMap<(Name, u16), Running>,
    alive: bool,
}

#[derive(Debug)]
struct Running {
    request: Packet,
    serial: u64,
}

#[derive(Debug)]
enum Event {
    Arrive { to: SocketAddr, vm: Name, bytes: Vec<u8> },
    Done { to: SocketAddr, vm: Name, message: u16, serial: u64 },
    Back { vm: Name, from: SocketAddr, bytes: Vec<u8> },
}

/// A request as its caller sent it.
#[derive(Debug)]
struct Sent {
    caller: SocketAddr,
    bytes: Vec<u8>,
    idempotent: bool,
}

/// Entry nodes with callers and backend servers.
pub struct Workload {
    /// The entry nodes.
    pub mesh: Mesh,
    /// Runs by request.
    pub runs: BTreeMap<u32, u64>,
    /// What each caller was told, repeated answers once.
    pub replies: BTreeMap<u32, BTreeSet<Reply>>,
    /// Requests cancelled at a backend server before they ended.
    pub cancelled: u64,
    /// VMs that finished their shutdown, with the requests that it cut off.
    pub drained: BTreeMap<Name, u64>,
    /// Answers that reached a caller other than the one who asked, or do not belong together.
    pub misdelivered: u64,
    /// Time for which a request runs.
    pub service_time: Duration,
    /// Backend servers that answer every request with 5.03.
    pub shedding: BTreeSet<Name>,
    /// Backend servers that run requests and answer none.
    pub silent: BTreeSet<Name>,
    /// Whether each answer comes twice, after a wrong one from another address.
    pub crossed: bool,
    sent: BTreeMap<u32, Sent>,
    callers: BTreeMap<SocketAddr, u32>,
    desks: BTreeMap<SocketAddr, Desk>,
    queue: BTreeMap<(Time, u64), Event>,
    serial: u64,
    announced: Time,
    /// Peer addresses of the VMs, where they find each other themselves.
    seeds: Vec<SocketAddr>,
}

impl Workload {
    /// Returns `vms` entry VMs and `servers` backend servers with `slots` each, spread over four
    /// availability zones, after the VMs have found each other.
    pub fn new(seed: u64, vms: u8, servers: u8, slots: u32) -> Workload {
        let mut workload = Workload::empty(seed, servers, slots);
        for host in 1..=vms {
            workload.start(host, 1);
        }
        workload.run(Duration::from_secs(2));
        workload
    }

    /// Returns the same with VMs that find each other themselves and hold leases of a control VM.
    pub fn with_leases(seed: u64, vms: u8, servers: u8, slots: u32) -> Workload {
        let mut workload = Workload::empty(seed, servers, slots);
        workload.seeds = (1..=vms).map(peer_addr).collect();
        for host in 1..=vms {
            workload.start(host, 1);
        }
        workload.run(Duration::from_secs(20));
        workload
    }

    fn empty(seed: u64, servers: u8, slots: u32) -> Workload {
        let mut workload = Workload {
            mesh: Mesh::new(seed),
            runs: BTreeMap::new(),
            replies: BTreeMap::new(),
            cancelled: 0,
            drained: BTreeMap::new(),
            misdelivered: 0,
            service_time: Duration::from_millis(50),
            shedding: BTreeSet::new(),
            silent: BTreeSet::new(),
            crossed: false,
            sent: BTreeMap::new(),
            callers: BTreeMap::new(),
            desks: BTreeMap::new(),
            queue: BTreeMap::new(),
            serial: 0,
            announced: Time::ZERO,
            seeds: Vec::new(),
        };
        let text = format!(
            "[services.cert-desk]\naddress = \"{}\"\nport = 5683\nprotocol = \"udp\"\n\
             mode = \"request\"",
            SERVICE.trim_end_matches(":5683")
        );
        let branch: Branch = toml::from_str(&text).expect("a branch");
        workload.mesh.apply(Command::Apply { team: "filtrex".into(), base: 0, branch });
        for host in 1..=servers {
            workload.add_server(host, slots);
        }
        workload
    }

    /// Starts entry VM number `host`; without leases it learns who is there at once.
    pub fn start(&mut self, host: u8, incarnation: u64) {
        let member = Member {
            name: vm_name(host),
            zone: ZONES[usize::from(host - 1) % ZONES.len()].into(),
            packets: SocketAddr::new([127, 0, 1, host].into(), 6081),
            peers: peer_addr(host),
            incarnation,
            ready: self.seeds.is_empty(),
        };
        if self.seeds.is_empty() {
            self.mesh.start(member);
        } else {
            self.mesh.join_leased(member, self.seeds.clone(), State::new());
        }
    }

    fn add_server(&mut self, host: u8, slots: u32) {
        let requests = SocketAddr::new([127, 0, 2, host].into(), 5683);
        let announce = Announce {
            server: format!("desk-{host}").into(),
            service: "cert-desk".into(),
            zone: ZONES[usize::from(host - 1) % ZONES.len()].into(),
            packets: SocketAddr::new([127, 0, 2, host].into(), 6081),
            requests,
            boot: 1,
            slots,
            connections: 2_000,
            draining: false,
        };
        self.mesh.apply(Command::Server(announce.clone()));
        let name = announce.server.clone();
        let desk = Desk { name, announce, running: BTreeMap::new(), alive: true };
        self.desks.insert(requests, desk);
    }

    /// Ends a backend server with what runs on it, and takes it out of the configuration.
    pub fn end_server(&mut self, server: &str) {
        for desk in self.desks.values_mut().filter(|desk| &*desk.name == server) {
            desk.alive = false;
            desk.running.clear();
        }
        self.mesh.apply(Command::Gone { server: server.into() });
    }

    /// Sends request `number` to the entry VM `vm`; the caller of a number is always the same.
    pub fn ask(&mut self, vm: &str, number: u32, method: RequestType) {
        let mut request = request(number, method);
        request.payload = number.to_string().into_bytes();
        self.send(vm, number, &request);
    }

    /// Asks for one block of a bundle; all blocks of `bundle` have one caller.
    pub fn ask_block(&mut self, vm: &str, number: u32, bundle: u32, block: u32) {
        const NUMBER_SHIFT: u32 = 4;
        let mut request = request(number, RequestType::Get);
        request.add_option(CoapOption::UriPath, BUNDLE.to_vec());
        if block > 0 {
            request.add_option_as(CoapOption::Block2, OptionValueU32(block << NUMBER_SHIFT));
        }
        self.callers.insert(caller_addr(bundle), number);
        self.sent.insert(
            number,
            Sent {
                caller: caller_addr(bundle),
                bytes: coap::encode(&request).expect("a request"),
                idempotent: true,
            },
        );
        self.resend(vm, number);
    }

    fn send(&mut self, vm: &str, number: u32, request: &Packet) {
        let caller = caller_addr(number);
        let bytes = coap::encode(request).expect("a request");
        let idempotent = coap::is_idempotent(request);
        self.callers.insert(caller, number);
        self.sent.insert(number, Sent { caller, bytes, idempotent });
        self.resend(vm, number);
    }

    /// Sends the same message again, as a caller or the fabric does.
    pub fn resend(&mut self, vm: &str, number: u32) {
        let Some(sent) = self.sent.get(&number) else { return };
        let inner = udp_packet(sent.caller, service_addr(), &sent.bytes);
        self.mesh.handle_event(vm, EntryEvent::Packet(packet::encapsulate(&inner)));
    }

    /// The caller of request `number` does not wait any more.
    pub fn cancel(&mut self, vm: &str, number: u32) {
        let bytes = coap::encode(&coap::cancel(number as u16)).expect("a reset");
        let inner = udp_packet(caller_addr(number), service_addr(), &bytes);
        self.mesh.handle_event(vm, EntryEvent::Packet(packet::encapsulate(&inner)));
    }

    /// Returns owner and second owner of request `number`, as the VMs see it that agree with `vm`.
    pub fn owners(&self, vm: &str, number: u32) -> Option<(Name, Name)> {
        let flow = FlowKey {
            protocol: Protocol::Udp,
            caller: caller_addr(number),
            service: service_addr(),
        };
        let owners = self.mesh.nodes.get(vm)?.view().owners(owner_key(&flow));
        Some((owners.0?.name.clone(), owners.1?.name.clone()))
    }

    /// Runs everything for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.mesh.now() + span;
        while self.mesh.now() < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.mesh.now();
        if now >= self.announced {
            self.announced = now + ANNOUNCE_PERIOD;
            self.announce();
        }
        self.mesh.run(STEP);
        let now = self.mesh.now();
        while self.queue.first_key_value().is_some_and(|(&(at, _), _)| at <= now) {
            let Some((_, event)) = self.queue.pop_first() else { break };
            self.event(event);
        }
        for left in self.mesh.take_outputs() {
            self.left(left.vm, left.action);
        }
    }

    fn announce(&mut self) {
        let desks: Vec<_> = self.desks.values().filter(|desk| desk.alive).collect();
        let messages: Vec<_> = desks
            .iter()
            .filter_map(|desk| {
                let message = coap::announce(&desk.announce, 0).ok()?;
                Some((
                    desk.announce.requests,
                    desk.announce.zone.clone(),
                    coap::encode(&message).ok()?,
                ))
            })
            .collect();
        for (from, zone, bytes) in messages {
            let mut nodes = self.mesh.nodes.values().map(|node| node.me());
            let near = nodes.find(|me| me.zone == zone).map(|me| me.name.clone());
            if let Some(vm) = near.or_else(|| self.mesh.nodes.keys().next().cloned()) {
                self.mesh.handle_event(&vm, EntryEvent::FromServer { from, bytes });
            }
        }
    }

    fn left(&mut self, vm: Name, action: EntryAction) {
        match action {
            EntryAction::ToServer { to, bytes } => {
                self.push(SERVER_DELAY, Event::Arrive { to, vm, bytes });
            }
            EntryAction::ToCaller { packet } => self.reply(&packet),
            EntryAction::Drained { cut } => _ = self.drained.insert(vm, cut),
            EntryAction::Submit(command) => self.mesh.apply(command),
            _ => {}
        }
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        self.queue.insert((self.mesh.now() + delay, self.serial), event);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Arrive { to, vm, bytes } => self.arrive(to, vm, &bytes),
            Event::Done { to, vm, message, serial } => self.done(to, &vm, message, serial),
            Event::Back { vm, from, bytes } => {
                self.mesh.handle_event(&vm, EntryEvent::FromServer { from, bytes });
            }
        }
    }

    fn back(&mut self, vm: Name, from: SocketAddr, answer: &Packet) {
        let bytes = coap::encode(answer).expect("an answer");
        self.push(SERVER_DELAY, Event::Back { vm, from, bytes });
    }

    fn reply(&mut self, packet: &[u8]) {
        let Ok(parsed) = packet::parse(packet) else { return };
        let Ok(message) = coap::decode(parsed.payload) else { return };
        // A reply has source and target exchanged.
        let to = parsed.key.service;
        let number = message.get_token().try_into().map_or(0, u32::from_be_bytes);
        let payload = String::from_utf8_lossy(&message.payload).into_owned();
        let sent = self.sent.get(&number);
        if sent.is_none_or(|sent| sent.caller != to) {
            self.misdelivered += 1;
            return;
        }
        let reply = match message.header.code {
            MessageClass::Response(ResponseType::Content) => {
                let whole = payload.contains("block") || payload == number.to_string();
                let known = message.header.message_id == number as u16;
                self.misdelivered += u64::from(!whole || !known);
                Reply::Answered(payload)
            }
            MessageClass::Response(ResponseType::ServiceUnavailable) => Reply::NotRun,
            MessageClass::Response(ResponseType::GatewayTimeout) => Reply::Unknown,
            _ => Reply::Failed(payload),
        };
        self.replies.entry(number).or_default().insert(reply);
    }
}

/// Returns the name of entry VM number `host`.
fn vm_name(host: u8) -> Name {
    format!("entry-{host}").into()
}

fn peer_addr(host: u8) -> SocketAddr {
    SocketAddr::new([127, 0, 1, host].into(), 7946)
}

fn service_addr() -> SocketAddr {
    SERVICE.parse().expect("an address")
}

/// Returns the caller of request `number`.
fn caller_addr(number: u32) -> SocketAddr {
    const FIRST_PORT: u32 = 10_000;
    const PORTS: u32 = 50_000;
    let host = 1 + (number / PORTS) as u8;
    SocketAddr::new([127, 0, 3, host].into(), (FIRST_PORT + number % PORTS) as u16)
}

fn request(number: u32, method: RequestType) -> Packet {
    let mut request = Packet::new();
    request.header.set_type(MessageType::Confirmable);
    request.header.code = MessageClass::Request(method);
    request.header.message_id = number as u16;
    request.set_token(number.to_be_bytes().to_vec());
    request
}
