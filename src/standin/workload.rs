//! Simulated callers and backend servers around a [`Mesh`] of entry VMs.
//!
//! Every request has a number. Executions and answers are recorded by that number, so that the
//! delivery guarantees can be checked.

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
const SERVICE_ADDR: &str = "127.0.9.1:5683";
const ZONES: [&str; 4] = ["sofia-a", "sofia-b", "plovdiv", "varna"];
/// URI path of a resource that is served in several blocks.
const BUNDLE_PATH: &[u8] = b"bundle";

/// A response as the caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reply {
    /// 2.05 Content, with its payload.
    Answered(String),
    /// 5.03 Service Unavailable: the request was not executed.
    NotRun,
    /// 5.04 Gateway Timeout: the request may have been executed.
    Unknown,
    /// Any other response code, with the payload.
    Failed(String),
}

/// A simulated backend server and the requests that occupy its slots.
#[derive(Debug)]
struct BackendServer {
    name: Name,
    announce: Announce,
    /// Running requests, by entry VM and CoAP message ID.
    running: BTreeMap<(Name, u16), RunningRequest>,
    alive: bool,
}

#[derive(Debug)]
struct RunningRequest {
    request: Packet,
    /// Distinguishes this execution from a later one with the same message ID.
    serial: u64,
}

#[derive(Debug)]
enum QueuedEvent {
    /// A message from an entry VM reaches a backend server.
    ToServer { to: SocketAddr, vm: Name, bytes: Vec<u8> },
    /// A backend server completes a request.
    Completed { to: SocketAddr, vm: Name, message: u16, serial: u64 },
    /// A message from a backend server reaches an entry VM.
    FromServer { vm: Name, from: SocketAddr, bytes: Vec<u8> },
}

/// A request as its caller sent it.
#[derive(Debug)]
struct SentRequest {
    caller: SocketAddr,
    bytes: Vec<u8>,
    idempotent: bool,
}

/// A mesh of entry VMs with simulated callers and backend servers.
pub struct Workload {
    /// The simulated entry VMs and the network between them.
    pub mesh: Mesh,
    /// Number of executions of each request.
    pub executions: BTreeMap<u32, u64>,
    /// Distinct replies to each request.
    pub replies: BTreeMap<u32, BTreeSet<Reply>>,
    /// Number of requests cancelled at a backend server before they completed.
    pub cancelled: u64,
    /// Entry VMs that finished draining, with the number of requests cut off.
    pub drained: BTreeMap<Name, u64>,
    /// Number of responses that reached the wrong caller, or whose payload or message ID does not
    /// match the request.
    pub misdelivered: u64,
    /// Execution time of a request.
    pub service_time: Duration,
    /// Backend servers that reject every request with 5.03.
    pub shedding: BTreeSet<Name>,
    /// Backend servers that execute requests without answering them.
    pub silent: BTreeSet<Name>,
    /// Whether each answer is sent twice, preceded by a forged one from another address.
    pub forge_answers: bool,
    sent: BTreeMap<u32, SentRequest>,
    /// Number of the latest request of each caller.
    callers: BTreeMap<SocketAddr, u32>,
    servers: BTreeMap<SocketAddr, BackendServer>,
    queue: BTreeMap<(Time, u64), QueuedEvent>,
    serial: u64,
    next_announce: Time,
    /// Peer addresses used for discovery; empty if the mesh hands out the membership directly.
    seeds: Vec<SocketAddr>,
}

impl Workload {
    /// Starts `vms` entry VMs and `servers` backend servers with `slots` slots each, spread over four
    /// availability zones, and runs for two seconds so that the membership settles.
    pub fn new(seed: u64, vms: u8, servers: u8, slots: u32) -> Workload {
        let mut workload = Workload::without_vms(seed, servers, slots);
        for host in 1..=vms {
            workload.start_vm(host, 1);
        }
        workload.run(Duration::from_secs(2));
        workload
    }

    /// Starts the same workload with entry VMs that discover each other through seeds and hold
    /// leases of a control VM.
    pub fn with_leases(seed: u64, vms: u8, servers: u8, slots: u32) -> Workload {
        let mut workload = Workload::without_vms(seed, servers, slots);
        workload.seeds = (1..=vms).map(peer_addr).collect();
        for host in 1..=vms {
            workload.start_vm(host, 1);
        }
        workload.run(Duration::from_secs(20));
        workload
    }

    fn without_vms(seed: u64, servers: u8, slots: u32) -> Workload {
        let mut workload = Workload {
            mesh: Mesh::new(seed),
            executions: BTreeMap::new(),
            replies: BTreeMap::new(),
            cancelled: 0,
            drained: BTreeMap::new(),
            misdelivered: 0,
            service_time: Duration::from_millis(50),
            shedding: BTreeSet::new(),
            silent: BTreeSet::new(),
            forge_answers: false,
            sent: BTreeMap::new(),
            callers: BTreeMap::new(),
            servers: BTreeMap::new(),
            queue: BTreeMap::new(),
            serial: 0,
            next_announce: Time::ZERO,
            seeds: Vec::new(),
        };
        let text = format!(
            "[services.cert-desk]\naddress = \"{}\"\nport = 5683\nprotocol = \"udp\"\n\
             mode = \"request\"",
            SERVICE_ADDR.trim_end_matches(":5683")
        );
        let branch: Branch = toml::from_str(&text).expect("the branch must be valid");
        workload.mesh.apply(Command::Apply { team: "filtrex".into(), base: 0, branch });
        for host in 1..=servers {
            workload.add_server(host, slots);
        }
        workload
    }

    /// Starts entry VM number `host`; without leases it learns the membership at once.
    pub fn start_vm(&mut self, host: u8, incarnation: u64) {
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
        let server = BackendServer { name, announce, running: BTreeMap::new(), alive: true };
        self.servers.insert(requests, server);
    }

    /// Terminates a backend server with its running requests and removes it from the configuration.
    pub fn remove_server(&mut self, name: &str) {
        for server in self.servers.values_mut().filter(|server| &*server.name == name) {
            server.alive = false;
            server.running.clear();
        }
        self.mesh.apply(Command::Gone { server: name.into() });
    }

    /// Sends request `number` to the entry VM `vm`; the number determines the caller address.
    pub fn send_request(&mut self, vm: &str, number: u32, method: RequestType) {
        let mut request = request(number, method);
        request.payload = number.to_string().into_bytes();
        self.record_and_send(vm, number, &request);
    }

    /// Requests one block of a bundle (RFC 7959); all blocks of `bundle` are requested by the same
    /// caller.
    pub fn request_block(&mut self, vm: &str, number: u32, bundle: u32, block: u32) {
        const NUMBER_SHIFT: u32 = 4;
        let mut request = request(number, RequestType::Get);
        request.add_option(CoapOption::UriPath, BUNDLE_PATH.to_vec());
        if block > 0 {
            request.add_option_as(CoapOption::Block2, OptionValueU32(block << NUMBER_SHIFT));
        }
        self.callers.insert(caller_addr(bundle), number);
        self.sent.insert(
            number,
            SentRequest {
                caller: caller_addr(bundle),
                bytes: coap::encode(&request).expect("request must be encodable"),
                idempotent: true,
            },
        );
        self.resend(vm, number);
    }

    fn record_and_send(&mut self, vm: &str, number: u32, request: &Packet) {
        let caller = caller_addr(number);
        let bytes = coap::encode(request).expect("request must be encodable");
        let idempotent = coap::is_idempotent(request);
        self.callers.insert(caller, number);
        self.sent.insert(number, SentRequest { caller, bytes, idempotent });
        self.resend(vm, number);
    }

    /// Sends request `number` again, as a retransmission or a duplicate in the network would.
    pub fn resend(&mut self, vm: &str, number: u32) {
        let Some(sent) = self.sent.get(&number) else { return };
        let inner = udp_packet(sent.caller, service_addr(), &sent.bytes);
        self.mesh.handle_event(vm, EntryEvent::Packet(packet::encapsulate(&inner)));
    }

    /// Cancels request `number` with a CoAP reset from its caller.
    pub fn cancel_request(&mut self, vm: &str, number: u32) {
        let bytes = coap::encode(&coap::cancel(number as u16)).expect("reset must be encodable");
        let inner = udp_packet(caller_addr(number), service_addr(), &bytes);
        self.mesh.handle_event(vm, EntryEvent::Packet(packet::encapsulate(&inner)));
    }

    /// Returns the first and second owner of request `number` in the membership view of `vm`.
    pub fn owners(&self, vm: &str, number: u32) -> Option<(Name, Name)> {
        let flow = FlowKey {
            protocol: Protocol::Udp,
            caller: caller_addr(number),
            service: service_addr(),
        };
        let owners = self.mesh.nodes.get(vm)?.view().owners(owner_key(&flow));
        Some((owners.0?.name.clone(), owners.1?.name.clone()))
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.mesh.now() + span;
        while self.mesh.now() < end {
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.mesh.now();
        if now >= self.next_announce {
            self.next_announce = now + ANNOUNCE_PERIOD;
            self.announce_servers();
        }
        self.mesh.run(STEP);
        let now = self.mesh.now();
        while self.queue.first_key_value().is_some_and(|(&(at, _), _)| at <= now) {
            let Some((_, event)) = self.queue.pop_first() else { break };
            self.handle_event(event);
        }
        for left in self.mesh.take_outputs() {
            self.handle_action(left.vm, left.action);
        }
    }

    /// Announces each live backend server to an entry VM of its zone, or to the first VM if there is
    /// none in that zone.
    fn announce_servers(&mut self) {
        let servers: Vec<_> = self.servers.values().filter(|server| server.alive).collect();
        let messages: Vec<_> = servers
            .iter()
            .filter_map(|server| {
                let message = coap::announce(&server.announce, 0).ok()?;
                Some((
                    server.announce.requests,
                    server.announce.zone.clone(),
                    coap::encode(&message).ok()?,
                ))
            })
            .collect();
        for (from, zone, bytes) in messages {
            let mut nodes = self.mesh.nodes.values().map(|node| node.me());
            let same_zone = nodes.find(|me| me.zone == zone).map(|me| me.name.clone());
            if let Some(vm) = same_zone.or_else(|| self.mesh.nodes.keys().next().cloned()) {
                self.mesh.handle_event(&vm, EntryEvent::FromServer { from, bytes });
            }
        }
    }

    fn handle_action(&mut self, vm: Name, action: EntryAction) {
        match action {
            EntryAction::ToServer { to, bytes } => {
                self.schedule(SERVER_DELAY, QueuedEvent::ToServer { to, vm, bytes });
            }
            EntryAction::ToCaller { packet } => self.record_reply(&packet),
            EntryAction::Drained { cut } => _ = self.drained.insert(vm, cut),
            EntryAction::Submit(command) => self.mesh.apply(command),
            _ => {}
        }
    }

    fn schedule(&mut self, delay: Duration, event: QueuedEvent) {
        self.serial += 1;
        self.queue.insert((self.mesh.now() + delay, self.serial), event);
    }

    fn handle_event(&mut self, event: QueuedEvent) {
        match event {
            QueuedEvent::ToServer { to, vm, bytes } => self.handle_message(to, vm, &bytes),
            QueuedEvent::Completed { to, vm, message, serial } => {
                self.complete_request(to, &vm, message, serial)
            }
            QueuedEvent::FromServer { vm, from, bytes } => {
                self.mesh.handle_event(&vm, EntryEvent::FromServer { from, bytes });
            }
        }
    }

    fn send_answer(&mut self, vm: Name, from: SocketAddr, answer: &Packet) {
        let bytes = coap::encode(answer).expect("answer must be encodable");
        self.schedule(SERVER_DELAY, QueuedEvent::FromServer { vm, from, bytes });
    }

    fn record_reply(&mut self, packet: &[u8]) {
        let Ok(parsed) = packet::parse(packet) else { return };
        let Ok(message) = coap::decode(parsed.payload) else { return };
        // In a reply, the address that is parsed as the service is the caller's.
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
                let is_expected = payload.contains("block") || payload == number.to_string();
                let same_id = message.header.message_id == number as u16;
                self.misdelivered += u64::from(!is_expected || !same_id);
                Reply::Answered(payload)
            }
            MessageClass::Response(ResponseType::ServiceUnavailable) => Reply::NotRun,
            MessageClass::Response(ResponseType::GatewayTimeout) => Reply::Unknown,
            _ => Reply::Failed(payload),
        };
        self.replies.entry(number).or_default().insert(reply);
    }
}

fn vm_name(host: u8) -> Name {
    format!("entry-{host}").into()
}

fn peer_addr(host: u8) -> SocketAddr {
    SocketAddr::new([127, 0, 1, host].into(), 7946)
}

fn service_addr() -> SocketAddr {
    SERVICE_ADDR.parse().expect("address must be valid")
}

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
