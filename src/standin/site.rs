//! One deployment in memory: entry nodes, a configuration log, backend servers and callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType};

use super::{
    backend::{Backend, is_served},
    caller::{tcp_packet, udp_packet},
    mesh::{Left, Mesh},
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
const ANNOUNCE_PERIOD: Duration = Duration::from_millis(200);
/// Time in which a submitted command comes into force.
const LOG_DELAY: Duration = Duration::from_millis(100);
/// Time between two reports of the entry VMs to the control VMs.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Time after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(6);
/// Time after which a caller repeats a request that was not answered.
const REPEAT: Duration = Duration::from_secs(2);

/// The services of a site: `cert-desk` takes requests, `workshop-hub` flows.
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

/// What became of the requests of a site's callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Requests that callers began.
    pub begun: u64,
    /// Those that were served in the end.
    pub served: u64,
    /// Refusals on the way.
    pub refused: u64,
    /// Those that their callers gave up.
    pub given_up: u64,
}

struct Call {
    vm: Name,
    began: Time,
    sent: Time,
    again: Option<Time>,
}

/// One deployment in memory.
pub struct Site {
    /// The entry nodes and what they tell each other.
    pub mesh: Mesh,
    /// Backend servers by name.
    pub backends: BTreeMap<Name, Backend>,
    /// What became of the requests.
    pub calls: Calls,
    /// Packets of flows by backend server.
    pub packets: BTreeMap<Name, u64>,
    /// Commands in force.
    pub commands: u64,
    cut: BTreeSet<Name>,
    log: Vec<(Time, Command)>,
    open: BTreeMap<u32, Call>,
    next: u32,
    announced: Time,
    mover: MoveScheduler,
    acks: Acks,
}

impl Site {
    /// Returns a site with `vms` entry VMs in each of `zones`, which knows its services.
    pub fn new(seed: u64, zones: &[&str], vms: u8) -> Site {
        let mut site = Site {
            mesh: Mesh::new(seed),
            backends: BTreeMap::new(),
            calls: Calls::default(),
            packets: BTreeMap::new(),
            commands: 0,
            cut: BTreeSet::new(),
            log: Vec::new(),
            open: BTreeMap::new(),
            next: 0,
            announced: Time::ZERO,
            mover: MoveScheduler::new(),
            acks: Acks::new(),
        };
        let branch: Branch = toml::from_str(SERVICES).expect("the branch is readable");
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
    pub fn add(&mut self, service: &str, zone: &str, count: u8) {
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

    /// Starts a backend server again, which announces itself at once.
    pub fn restart(&mut self, server: &str) {
        self.backend(server).restart();
        let announce = self.backend(server).announce.clone();
        self.announce(&announce);
    }

    /// Ends an entry VM without notice; the others learn it at once.
    pub fn kill(&mut self, vm: &str) {
        self.mesh.kill(vm);
        self.share_views();
    }

    /// Cuts an availability zone off from every other one and from the control VMs.
    pub fn cut_off(&mut self, zone: &str) {
        let zones: BTreeSet<Name> =
            self.mesh.nodes.values().map(|node| node.me().zone.clone()).collect();
        self.cut.insert(zone.into());
        for other in zones.iter().filter(|other| &***other != zone) {
            self.mesh.cut(zone, other);
        }
        let nodes = self.mesh.nodes.values();
        let here = nodes.filter(|node| &*node.me().zone == zone);
        self.mesh.held.extend(here.map(|node| node.me().name.clone()));
        self.share_views();
    }

    /// Ends every cut.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.mesh.heal();
        self.mesh.held.clear();
        let vms: Vec<Name> = self.mesh.nodes.keys().cloned().collect();
        vms.iter().for_each(|vm| self.mesh.feed(vm));
        self.share_views();
    }

    /// Tells every entry VM which others it reaches.
    pub fn share_views(&mut self) {
        let members: Vec<Member> = self.mesh.nodes.values().map(|node| node.me().clone()).collect();
        for me in &members {
            let reached = members.iter().filter(|member| self.reaches(&me.zone, &member.zone));
            self.set_view(&me.name.clone(), &reached.cloned().collect::<Vec<_>>());
        }
    }

    /// Tells one entry VM that it reaches `members`.
    pub fn set_view(&mut self, vm: &str, members: &[Member]) {
        let mut view = View::new(members.iter().cloned());
        view.version = self.mesh.nodes[vm].view().version + 1;
        self.mesh.event(vm, EntryEvent::View(view));
    }

    /// Begins a request of a new caller at `vm`.
    pub fn call(&mut self, vm: &str) {
        self.next += 1;
        self.calls.begun += 1;
        let now = self.mesh.now();
        self.open.insert(self.next, Call { vm: vm.into(), began: now, sent: now, again: None });
        self.send_request(self.next);
    }

    /// Sends one packet of flow `flow` to `vm`.
    pub fn packet(&mut self, vm: &str, flow: u32, open: bool) {
        let [_, _, high, low] = flow.to_be_bytes();
        let caller = SocketAddr::new([127, 0, 3, 1 + high].into(), 1_024 + u16::from(low));
        let service = "127.0.9.1:80".parse().expect("an address");
        let bytes = packet::encapsulate(&tcp_packet(caller, service, open, b"x"));
        self.mesh.event(vm, EntryEvent::Packet(bytes));
    }

    /// Runs the site for `span`.
    pub fn run(&mut self, span: Duration) {
        let end = self.mesh.now() + span;
        while self.mesh.now() < end {
            self.step();
        }
    }

    /// Runs the site for one step of 5 ms.
    pub fn step(&mut self) {
        self.announce_all();
        self.mesh.run(STEP);
        for left in self.mesh.take() {
            self.act(left);
        }
        self.answer();
        self.move_flows();
        self.apply_log();
        self.repeat_calls();
    }

    fn reaches(&self, a: &Name, b: &Name) -> bool {
        a == b || !(self.cut.contains(a) || self.cut.contains(b))
    }

    fn announce_all(&mut self) {
        let now = self.mesh.now();
        if now.since(self.announced) < ANNOUNCE_PERIOD {
            return;
        }
        self.announced = now;
        let announcing = self.backends.values().filter(|backend| backend.up && backend.announces);
        let announces: Vec<Announce> = announcing.map(|b| b.announce.clone()).collect();
        announces.iter().for_each(|announce| self.announce(announce));
    }

    /// Hands an announcement to the entry VMs of the server's availability zone.
    fn announce(&mut self, announce: &Announce) {
        let message = coap::announce(announce, 1).and_then(|message| coap::encode(&message));
        let bytes = message.expect("an announcement is written");
        let nodes = self.mesh.nodes.values();
        let here = nodes.filter(|node| node.me().zone == announce.zone);
        let vms: Vec<Name> = here.map(|node| node.me().name.clone()).collect();
        for vm in vms {
            let event = EntryEvent::FromServer { from: announce.requests, bytes: bytes.clone() };
            self.mesh.event(&vm, event);
        }
    }

    fn act(&mut self, left: Left) {
        match left.action {
            EntryAction::ToServer { to, bytes } => self.pass_to_server(&left.vm, to, &bytes),
            EntryAction::ToCaller { packet } => self.pass_to_caller(&packet),
            EntryAction::Submit(command) => {
                let cut = self.mesh.nodes.get(&left.vm).map(|node| node.me().zone.clone());
                if cut.is_none_or(|zone| !self.cut.contains(&zone)) {
                    self.log.push((left.at + LOG_DELAY, command));
                }
            }
            EntryAction::Send { to, .. } => {
                let server = self.backends.values().find(|b| b.announce.packets == to);
                let server = server.map(|backend| backend.announce.server.clone());
                if let Some(server) = server {
                    self.backend(&server).connections += 1;
                    *self.packets.entry(server).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    fn pass_to_server(&mut self, vm: &Name, to: SocketAddr, bytes: &[u8]) {
        let Some(zone) = self.mesh.nodes.get(vm).map(|node| node.me().zone.clone()) else { return };
        let Ok(message) = coap::decode(bytes) else { return };
        let now = self.mesh.now();
        let cut = &self.cut;
        let backend = self.backends.values_mut().find(|b| b.announce.requests == to);
        let backend = backend.filter(|b| {
            b.announce.zone == zone || !(cut.contains(&zone) || cut.contains(&b.announce.zone))
        });
        let Some(backend) = backend else { return };
        if let Some(answer) = backend.take(now, vm, &message) {
            self.pass_answer(vm.clone(), to, &answer);
        }
    }

    fn pass_answer(&mut self, vm: Name, from: SocketAddr, answer: &Packet) {
        if let Ok(bytes) = coap::encode(answer) {
            self.mesh.event(&vm, EntryEvent::FromServer { from, bytes });
        }
    }

    fn answer(&mut self) {
        let now = self.mesh.now();
        let mut answers = Vec::new();
        for backend in self.backends.values_mut() {
            let from = backend.announce.requests;
            answers.extend(backend.answers(now).into_iter().map(|(vm, answer)| (vm, from, answer)));
        }
        for (vm, from, answer) in answers {
            self.pass_answer(vm, from, &answer);
        }
    }

    fn pass_to_caller(&mut self, packet: &[u8]) {
        let Ok(parsed) = packet::parse(packet) else { return };
        let Ok(answer) = coap::decode(parsed.payload) else { return };
        let Some(id) = answer.get_token().try_into().ok().map(u32::from_be_bytes) else { return };
        if is_served(&answer) {
            self.calls.served += u64::from(self.open.remove(&id).is_some());
            return;
        }
        let now = self.mesh.now();
        let Some(call) = self.open.get_mut(&id) else { return };
        self.calls.refused += 1;
        let age = answer
            .get_first_option_as::<coap_lite::option_value::OptionValueU32>(CoapOption::MaxAge);
        let wait = age.and_then(Result::ok).map_or(1, |age| age.0.max(1));
        call.again = Some(now + Duration::from_secs(wait.into()));
    }

    /// Does the control leader's part of flow placement.
    fn move_flows(&mut self) {
        let now = self.mesh.now();
        if !now.as_micros().is_multiple_of(REPORT_PERIOD.as_micros() as u64) {
            return;
        }
        let reached = self.mesh.nodes.values().filter(|n| !self.cut.contains(&n.me().zone));
        let applied = reached.map(|node| {
            let incarnation = node.me().incarnation;
            (node.me().name.clone(), Applied { incarnation, index: node.state().index })
        });
        let progress = Progress { after: self.mesh.state.index, applied: applied.collect() };
        self.acks.record_report(now, &progress);
        let mut due = Vec::new();
        self.mover.tick(now, &self.mesh.state, &self.acks, &mut due);
        self.log.extend(due.into_iter().map(|command| (now, command)));
    }

    fn apply_log(&mut self) {
        let now = self.mesh.now();
        let due: Vec<_> = self.log.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, command) in due {
            self.commands += 1;
            self.mesh.apply(command);
        }
    }

    fn repeat_calls(&mut self) {
        let now = self.mesh.now();
        let late = self.open.extract_if(.., |_, call| now.since(call.began) > PATIENCE).count();
        self.calls.given_up += late as u64;
        let due = |call: &Call| call.again.unwrap_or(call.sent + REPEAT) <= now;
        let again: Vec<u32> =
            self.open.iter().filter(|(_, call)| due(call)).map(|(&id, _)| id).collect();
        for id in again {
            let call = self.open.get_mut(&id).expect("the call is open");
            // A refusal is final for its message id, so that a later try is a new request.
            (call.sent, call.again) = (now, None);
            self.send_request(id);
        }
    }

    fn send_request(&mut self, id: u32) {
        let Some(call) = self.open.get(&id) else { return };
        let vm = call.vm.clone();
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
        self.mesh.event(&vm, EntryEvent::Packet(bytes));
    }
}
