//! A simulated deployment: entry nodes, a configuration log, backend servers and callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType};

use super::{
    backend::{Backend, is_served},
    caller::{tcp_packet, udp_packet},
    mesh::{Mesh, NodeOutput},
};
use crate::{
    coap,
    entry::{EntryAction, EntryEvent},
    flow::MoveScheduler,
    member::{Member, View},
    name::Name,
    packet,
    spread::{Acks, Applied, Progress},
    state::{Announce, Command},
    time::Time,
    tree::Branch,
};

const STEP: Duration = Duration::from_millis(5);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay from submitting a command to applying it.
const COMMIT_DELAY: Duration = Duration::from_millis(100);
/// Interval between the progress reports of the entry VMs to the control VMs.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a caller abandons a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);
/// Time after which a caller sends an unanswered request again.
const RETRY_TIMEOUT: Duration = Duration::from_secs(2);

/// The services of a site: `cert-desk` in request mode and `workshop-hub` in flow mode.
const SERVICES: &str = r#"
    [services.cert-desk]
    address = "127.0.9.2"
    port = 5683
    protocol = "udp"
    mode = "request"

    [services.workshop-hub]
    address = "127.0.9.1"
    port = 80
    protocol = "tcp"
"#;

/// Outcomes of the requests of all callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RequestStats {
    /// Requests that callers started.
    pub started: u64,
    /// Requests that were served, on the first or a later attempt.
    pub served: u64,
    /// Refused attempts; one request may be refused several times.
    pub refused: u64,
    /// Requests that their callers abandoned.
    pub timed_out: u64,
}

struct PendingRequest {
    vm: Name,
    started: Time,
    sent_at: Time,
    retry_at: Option<Time>,
}

/// A simulated deployment.
pub struct Site {
    /// The entry nodes and the network between them.
    pub mesh: Mesh,
    /// Backend servers by name.
    pub backends: BTreeMap<Name, Backend>,
    /// Outcomes of the requests.
    pub requests: RequestStats,
    /// Flow packets received, by backend server.
    pub flow_packets: BTreeMap<Name, u64>,
    /// Number of commands from entry VMs and the flow mover that were applied.
    pub applied_commands: u64,
    cut_zones: BTreeSet<Name>,
    scheduled: Vec<(Time, Command)>,
    pending: BTreeMap<u32, PendingRequest>,
    last_id: u32,
    last_announce: Time,
    mover: MoveScheduler,
    acks: Acks,
}

impl Site {
    /// Returns a site with configured services and `vms` entry VMs in each of `zones`.
    pub fn new(seed: u64, zones: &[&str], vms: u8) -> Site {
        let mut site = Site {
            mesh: Mesh::new(seed),
            backends: BTreeMap::new(),
            requests: RequestStats::default(),
            flow_packets: BTreeMap::new(),
            applied_commands: 0,
            cut_zones: BTreeSet::new(),
            scheduled: Vec::new(),
            pending: BTreeMap::new(),
            last_id: 0,
            last_announce: Time::ZERO,
            mover: MoveScheduler::new(),
            acks: Acks::new(),
        };
        let branch: Branch = toml::from_str(SERVICES).expect("the branch is valid TOML");
        site.mesh.apply(Command::Apply { team: "filtrex".into(), base: 0, branch });
        for zone in zones {
            for vm in 1..=vms {
                site.start(&format!("{zone}-{vm}"), zone, 1);
            }
        }
        site
    }

    /// Starts an entry VM.
    pub fn start(&mut self, vm: &str, zone: &str, incarnation: u64) {
        let host = 1 + self.mesh.nodes.len() as u8;
        self.mesh.start(Member {
            name: vm.into(),
            zone: zone.into(),
            packets: SocketAddr::new([127, 0, 1, host].into(), 6081),
            peers: SocketAddr::new([127, 0, 1, host].into(), 7946),
            incarnation,
            ready: true,
        });
        self.share_views();
    }

    /// Starts `count` backend servers of `service` in `zone`.
    pub fn add_servers(&mut self, service: &str, zone: &str, count: u8) {
        for _ in 0..count {
            let host = 1 + self.backends.len() as u8;
            let announce = Announce {
                server: format!("{service}-{host}").into(),
                service: service.into(),
                zone: zone.into(),
                packets: SocketAddr::new([127, 0, 2, host].into(), 6081),
                requests: SocketAddr::new([127, 0, 2, host].into(), 5683),
                boot: 1,
                slots: 2,
                connections: 2_000,
                draining: false,
            };
            self.backends.insert(announce.server.clone(), Backend::new(announce));
        }
    }

    /// Returns the backend server `name`.
    ///
    /// # Panics
    ///
    /// Panics when there is none.
    pub fn backend(&mut self, name: &str) -> &mut Backend {
        self.backends.get_mut(name).unwrap_or_else(|| panic!("no backend server {name}"))
    }

    /// Restarts a backend server, which announces itself at once.
    pub fn restart(&mut self, server: &str) {
        self.backend(server).restart();
        let announce = self.backend(server).announce.clone();
        self.announce(&announce);
    }

    /// Stops an entry VM without notice; the other VMs get a new view at once.
    pub fn kill(&mut self, vm: &str) {
        self.mesh.kill(vm);
        self.share_views();
    }

    /// Partitions an availability zone from all other zones and from the control VMs.
    pub fn cut_off(&mut self, zone: &str) {
        let zones: BTreeSet<Name> =
            self.mesh.nodes.values().map(|node| node.me().zone.clone()).collect();
        self.cut_zones.insert(zone.into());
        for other in zones.iter().filter(|other| &***other != zone) {
            self.mesh.cut(zone, other);
        }
        let nodes = self.mesh.nodes.values();
        let here = nodes.filter(|node| &*node.me().zone == zone);
        self.mesh.held.extend(here.map(|node| node.me().name.clone()));
        self.share_views();
    }

    /// Ends every partition and sends every entry VM the log entries that it lacks.
    pub fn heal(&mut self) {
        self.cut_zones.clear();
        self.mesh.heal();
        self.mesh.held.clear();
        let vms: Vec<Name> = self.mesh.nodes.keys().cloned().collect();
        vms.iter().for_each(|vm| self.mesh.send_entries(vm));
        self.share_views();
    }

    /// Sends every entry VM a view of the VMs that it can reach.
    pub fn share_views(&mut self) {
        let members: Vec<Member> = self.mesh.nodes.values().map(|node| node.me().clone()).collect();
        for me in &members {
            let reached = members.iter().filter(|member| self.reaches(&me.zone, &member.zone));
            self.set_view(&me.name.clone(), &reached.cloned().collect::<Vec<_>>());
        }
    }

    /// Sends one entry VM a view that consists of `members`.
    pub fn set_view(&mut self, vm: &str, members: &[Member]) {
        let mut view = View::new(members.iter().cloned());
        view.version = self.mesh.nodes[vm].view().version + 1;
        self.mesh.handle_event(vm, EntryEvent::View(view));
    }

    /// Sends a request of a new caller to `vm`.
    pub fn start_request(&mut self, vm: &str) {
        self.last_id += 1;
        self.requests.started += 1;
        let now = self.mesh.now();
        self.pending.insert(
            self.last_id,
            PendingRequest { vm: vm.into(), started: now, sent_at: now, retry_at: None },
        );
        self.send_request(self.last_id);
    }

    /// Sends one packet of flow `flow` to `vm`; `open` makes it a SYN.
    pub fn send_packet(&mut self, vm: &str, flow: u32, open: bool) {
        let [_, _, high, low] = flow.to_be_bytes();
        let caller = SocketAddr::new([127, 0, 3, 1 + high].into(), 1_024 + u16::from(low));
        let service = "127.0.9.1:80".parse().expect("an address");
        let bytes = packet::encapsulate(&tcp_packet(caller, service, open, b"x"));
        self.mesh.handle_event(vm, EntryEvent::Packet(bytes));
    }

    /// Runs the simulation for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.mesh.now() + span;
        while self.mesh.now() < end {
            self.step();
        }
    }

    /// Runs the simulation for one step of 5 ms.
    pub fn step(&mut self) {
        self.announce_all();
        self.mesh.run(STEP);
        for output in self.mesh.take_outputs() {
            self.dispatch(output);
        }
        self.deliver_responses();
        self.move_flows();
        self.apply_scheduled();
        self.retry_requests();
    }

    fn reaches(&self, a: &Name, b: &Name) -> bool {
        a == b || !(self.cut_zones.contains(a) || self.cut_zones.contains(b))
    }

    fn announce_all(&mut self) {
        let now = self.mesh.now();
        if now.since(self.last_announce) < ANNOUNCE_INTERVAL {
            return;
        }
        self.last_announce = now;
        let announcing = self.backends.values().filter(|backend| backend.up && backend.announces);
        let announces: Vec<Announce> = announcing.map(|b| b.announce.clone()).collect();
        announces.iter().for_each(|announce| self.announce(announce));
    }

    /// Sends an announcement to the entry VMs in the server's availability zone.
    fn announce(&mut self, announce: &Announce) {
        let message = coap::announce(announce, 1).and_then(|message| coap::encode(&message));
        let bytes = message.expect("the announcement is encoded");
        let nodes = self.mesh.nodes.values();
        let here = nodes.filter(|node| node.me().zone == announce.zone);
        let vms: Vec<Name> = here.map(|node| node.me().name.clone()).collect();
        for vm in vms {
            let event = EntryEvent::FromServer { from: announce.requests, bytes: bytes.clone() };
            self.mesh.handle_event(&vm, event);
        }
    }

    fn dispatch(&mut self, output: NodeOutput) {
        match output.action {
            EntryAction::ToServer { to, bytes } => self.deliver_to_server(&output.vm, to, &bytes),
            EntryAction::ToCaller { packet } => self.deliver_to_caller(&packet),
            EntryAction::Submit(command) => {
                let cut = self.mesh.nodes.get(&output.vm).map(|node| node.me().zone.clone());
                if cut.is_none_or(|zone| !self.cut_zones.contains(&zone)) {
                    self.scheduled.push((output.at + COMMIT_DELAY, command));
                }
            }
            EntryAction::Send { to, .. } => {
                let server = self.backends.values().find(|b| b.announce.packets == to);
                let server = server.map(|backend| backend.announce.server.clone());
                if let Some(server) = server {
                    self.backend(&server).connections += 1;
                    *self.flow_packets.entry(server).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    fn deliver_to_server(&mut self, vm: &Name, to: SocketAddr, bytes: &[u8]) {
        let Some(zone) = self.mesh.nodes.get(vm).map(|node| node.me().zone.clone()) else { return };
        let Ok(message) = coap::decode(bytes) else { return };
        let now = self.mesh.now();
        let cut = &self.cut_zones;
        let backend = self.backends.values_mut().find(|b| b.announce.requests == to);
        let backend = backend.filter(|b| {
            b.announce.zone == zone || !(cut.contains(&zone) || cut.contains(&b.announce.zone))
        });
        let Some(backend) = backend else { return };
        if let Some(answer) = backend.handle_message(now, vm, &message) {
            self.deliver_response(vm.clone(), to, &answer);
        }
    }

    fn deliver_response(&mut self, vm: Name, from: SocketAddr, answer: &Packet) {
        if let Ok(bytes) = coap::encode(answer) {
            self.mesh.handle_event(&vm, EntryEvent::FromServer { from, bytes });
        }
    }

    fn deliver_responses(&mut self) {
        let now = self.mesh.now();
        let mut answers = Vec::new();
        for backend in self.backends.values_mut() {
            let from = backend.announce.requests;
            answers.extend(
                backend.take_responses(now).into_iter().map(|(vm, answer)| (vm, from, answer)),
            );
        }
        for (vm, from, answer) in answers {
            self.deliver_response(vm, from, &answer);
        }
    }

    fn deliver_to_caller(&mut self, packet: &[u8]) {
        let Ok(parsed) = packet::parse(packet) else { return };
        let Ok(answer) = coap::decode(parsed.payload) else { return };
        let Some(id) = answer.get_token().try_into().ok().map(u32::from_be_bytes) else { return };
        if is_served(&answer) {
            self.requests.served += u64::from(self.pending.remove(&id).is_some());
            return;
        }
        let now = self.mesh.now();
        let Some(request) = self.pending.get_mut(&id) else { return };
        self.requests.refused += 1;
        let age = answer
            .get_first_option_as::<coap_lite::option_value::OptionValueU32>(CoapOption::MaxAge);
        let wait = age.and_then(Result::ok).map_or(1, |age| age.0.max(1));
        request.retry_at = Some(now + Duration::from_secs(wait.into()));
    }

    /// Schedules the flow move steps that the control leader would submit.
    fn move_flows(&mut self) {
        let now = self.mesh.now();
        if !now.as_micros().is_multiple_of(REPORT_INTERVAL.as_micros() as u64) {
            return;
        }
        let reached = self.mesh.nodes.values().filter(|n| !self.cut_zones.contains(&n.me().zone));
        let applied = reached.map(|node| {
            let incarnation = node.me().incarnation;
            (node.me().name.clone(), Applied { incarnation, index: node.state().index })
        });
        let progress = Progress { after: self.mesh.state.index, applied: applied.collect() };
        self.acks.record_report(now, &progress);
        let mut due = Vec::new();
        self.mover.tick(now, &self.mesh.state, &self.acks, &mut due);
        self.scheduled.extend(due.into_iter().map(|command| (now, command)));
    }

    fn apply_scheduled(&mut self) {
        let now = self.mesh.now();
        let due: Vec<_> = self.scheduled.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, command) in due {
            self.applied_commands += 1;
            self.mesh.apply(command);
        }
    }

    fn retry_requests(&mut self) {
        let now = self.mesh.now();
        let late = self
            .pending
            .extract_if(.., |_, request| now.since(request.started) > REQUEST_TIMEOUT)
            .count();
        self.requests.timed_out += late as u64;
        let due = |request: &PendingRequest| {
            request.retry_at.unwrap_or(request.sent_at + RETRY_TIMEOUT) <= now
        };
        let due_ids: Vec<u32> =
            self.pending.iter().filter(|(_, request)| due(request)).map(|(&id, _)| id).collect();
        for id in due_ids {
            let request = self.pending.get_mut(&id).expect("the request is pending");
            // A refusal is final for its message id, so every attempt uses a new one.
            (request.sent_at, request.retry_at) = (now, None);
            self.send_request(id);
        }
    }

    fn send_request(&mut self, id: u32) {
        let Some(request) = self.pending.get(&id) else { return };
        let vm = request.vm.clone();
        let [_, _, high, low] = id.to_be_bytes();
        let caller = SocketAddr::new([127, 0, 4, 1 + high].into(), 1_024 + u16::from(low));
        let mut message = Packet::new();
        message.header.set_type(MessageType::Confirmable);
        message.header.code = MessageClass::Request(RequestType::Get);
        message.header.message_id = (self.mesh.now().as_micros() / 1_000) as u16;
        message.set_token(id.to_be_bytes().to_vec());
        let service = "127.0.9.2:5683".parse().expect("an address");
        let Ok(payload) = coap::encode(&message) else { return };
        let bytes = packet::encapsulate(&udp_packet(caller, service, &payload));
        self.mesh.handle_event(&vm, EntryEvent::Packet(bytes));
    }
}
