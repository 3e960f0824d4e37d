//! Callers with long-lived flows and repeated tries on a small deployment: 7 entry VMs and 14 servers of
//! one service in four availability zones, and a second service that no one overloads.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use galenatrail::{
    FeedMessage, FlowVerdict, Forwarder, ForwardingPlan, Name, PacketInfo, ResetReason,
    RoutingConfig, Share, Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{PERIOD, ROUTE, announce, announcement, control_addr, following, opening, plan};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Entry VMs and servers of the main service in each zone.
const VMS: [usize; 4] = [2, 2, 2, 1];
const SERVERS: [u64; 4] = [4, 4, 3, 3];
const SLOTS: usize = 2;
const QUEUE_LEN: usize = 8;
const SERVICE_MS: f64 = 24.0;
/// Service time of the second service, which has a server in each zone.
const PULL_MS: f64 = 5.0;
/// Requests per second that the servers of the main service can serve.
const CAPACITY: f64 = 28.0 * 1_000.0 / SERVICE_MS;
const TARGET: Duration = Duration::from_millis(150);
const TRIES: u32 = 3;
const HOP_US: u64 = 3_000;
/// Load on an ordinary day, relative to the capacity.
const USUAL: f64 = 0.3;
const BURST: std::ops::Range<u64> = 4_000_000..10_000_000;
const END_US: u64 = 12_000_000;
/// Clients by zone, each with flows that it keeps for its next requests.
const CLIENTS: u64 = 25;
/// Part of the requests that goes to the second service, a flow each.
const PULLS: f64 = 0.06;

/// Kinds of request; the port of a route is 1 more than its index.
const FEED: usize = 0;
const ORDER: usize = 1;
const PULL: usize = 2;

struct Call {
    kind: usize,
    client: u64,
    start: u64,
    tries: u32,
    /// Time from the first try to the answer, in microseconds.
    answered: Option<u64>,
}

/// An open flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Flow {
    vm: usize,
    port: u16,
    id: u64,
    cookie: u32,
    /// Requests that it has carried.
    sent: u32,
    acknowledged: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Try(usize),
    Send(usize, Flow),
    Receive(usize, Flow, bool),
    Acknowledge(usize, Flow),
}

/// Slots and a queue.
#[derive(Default)]
struct Server {
    slots: [u64; SLOTS],
    ends: Vec<u64>,
}

impl Server {
    /// Returns when a request that arrives at `now` is answered, and whether it is refused.
    fn take(&mut self, now: u64, work: u64) -> (u64, bool) {
        self.ends.retain(|end| *end > now);
        if self.ends.len() >= SLOTS + QUEUE_LEN {
            return (now, true);
        }
        let slot = self.slots.iter_mut().min().unwrap();
        *slot = now.max(*slot) + work;
        self.ends.push(*slot);
        (*slot, false)
    }
}

/// Returns a plan with the routes of feeds, orders and pulls; orders have the highest priority.
fn routes() -> Arc<ForwardingPlan> {
    let mut plan = (*plan(2, &[])).clone();
    let mut config: RoutingConfig = (*plan.config).clone();
    let mut route = config.routes.remove(0);
    for (kind, service, priority) in [(FEED, "hub", 2), (ORDER, "hub", 1), (PULL, "pull", 2)] {
        (route.port, route.priority, route.target) = (kind as u16 + 1, priority, TARGET);
        route.shares = vec![Share { service: service.into(), weight: 1 }];
        config.routes.push(route.clone());
    }
    let warmup = config.services.values().next().unwrap().clone();
    config.services.insert("pull".into(), warmup);
    plan.config = Arc::new(config);
    Arc::new(plan)
}

/// Deployment and callers.
struct Model {
    vms: Vec<Forwarder>,
    /// Index of the first VM of each zone.
    first_vm: [usize; 4],
    servers: BTreeMap<u64, Server>,
    calls: Vec<Call>,
    /// Idle flows by client and kind.
    idle: BTreeMap<(u64, usize), Vec<Flow>>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    random: ChaCha8Rng,
    port: u16,
}

impl Model {
    fn new(seed: u64) -> Model {
        let mut known = Vec::new();
        for (zone, count) in ZONES.into_iter().zip(SERVERS) {
            for _ in 0..count {
                known.push(announcement(1 + known.len() as u64, zone));
            }
        }
        for zone in ZONES {
            let server = announcement(1 + known.len() as u64, zone);
            known.push(galenatrail::Announcement { service: "pull".into(), ..server });
        }
        let mut model = Model {
            vms: Vec::new(),
            first_vm: [0; 4],
            servers: known.iter().map(|server| (server.id, Server::default())).collect(),
            calls: Vec::new(),
            idle: BTreeMap::new(),
            events: BinaryHeap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            port: 0,
        };
        for (index, zone) in ZONES.into_iter().enumerate() {
            model.first_vm[index] = model.vms.len();
            for _ in 0..VMS[index] {
                let name: Name = format!("vm-{}", model.vms.len()).as_str().into();
                let mut vm = Forwarder::new(Time::ZERO, zone.into(), PERIOD).with_name(&name);
                vm.handle_feed(Time::ZERO, control_addr(), FeedMessage::Plan(routes()));
                announce(&mut vm, Time::ZERO, known.clone());
                model.vms.push(vm);
            }
        }
        model
    }

    /// Adds the requests of a day with `load` times the capacity in the burst.
    fn add_calls(&mut self, load: f64) {
        let mut now = 0.0;
        while (now as u64) < END_US {
            let load = if BURST.contains(&(now as u64)) { load } else { USUAL };
            let pause = 1e6 * (1.0 - PULLS) / (CAPACITY * load);
            now += -self.random.random_range(f64::EPSILON..1.0).ln() * pause;
            let kind = match self.random.random_range(0.0..1.0) {
                draw if draw < PULLS => PULL,
                draw if draw < PULLS + 0.2 => ORDER,
                _ => FEED,
            };
            let client = self.random.random_range(0..4 * CLIENTS);
            let (start, index) = (now as u64, self.calls.len());
            self.calls.push(Call { kind, client, start, tries: 0, answered: None });
            self.push(start, Event::Try(index));
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.events.len(), event)));
    }

    fn packet(&self, call: usize, port: u16) -> PacketInfo {
        let Call { kind, client, .. } = self.calls[call];
        PacketInfo {
            caller: SocketAddrV4::new(Ipv4Addr::from(0x6440_0000 + client as u32), port),
            route: SocketAddrV4::new(*ROUTE.ip(), kind as u16 + 1),
            ..opening(0, 0)
        }
    }

    fn run(mut self, load: f64) -> Vec<Call> {
        self.add_calls(load);
        let mut tick = 0;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= tick {
                self.vms.iter_mut().for_each(|vm| vm.tick(Time::from_micros(now)));
                tick = now + 250_000;
            }
            match event {
                Event::Try(call) => self.begin(now, call),
                Event::Send(call, flow) => self.send(now, call, flow),
                Event::Receive(call, flow, refused) => self.receive(now, call, flow, refused),
                Event::Acknowledge(call, flow) => self.acknowledge(now, call, flow),
            }
        }
        self.calls
    }

    /// A caller sends a request on an idle flow, or opens one; a further try opens one.
    fn begin(&mut self, now: u64, call: usize) {
        let Call { kind, client, tries, .. } = self.calls[call];
        self.calls[call].tries += 1;
        let idle = self.idle.get_mut(&(client, kind)).filter(|_| tries == 0);
        if let Some(flow) = idle.and_then(Vec::pop) {
            return self.send(now, call, flow);
        }
        self.port = self.port.wrapping_add(1);
        let zone = (client % 4) as usize;
        let vm = self.first_vm[zone] + self.random.random_range(0..VMS[zone]);
        let (port, packet) = (self.port, self.packet(call, self.port));
        match self.vms[vm].decide(Time::from_micros(now + HOP_US), &packet, false) {
            FlowVerdict::Forward { id, cookie, .. } => {
                let flow = Flow { vm, port, id, cookie, sent: 0, acknowledged: 1 };
                self.push(now + 2 * HOP_US, Event::Send(call, flow));
            }
            FlowVerdict::Reset(ResetReason::Overload(_)) => self.retry(now + 2 * HOP_US, call),
            verdict => panic!("{verdict:?}"),
        }
    }

    fn retry(&mut self, now: u64, call: usize) {
        if self.calls[call].tries < TRIES {
            self.push(now, Event::Try(call));
        }
    }

    fn send(&mut self, now: u64, call: usize, flow: Flow) {
        let data = PacketInfo {
            sequence: 1 + 400 * flow.sent,
            acknowledged: flow.acknowledged,
            data_len: 400,
            ..following(self.packet(call, flow.port), flow.cookie)
        };
        self.vms[flow.vm].decide(Time::from_micros(now + HOP_US), &data, false);
        let mean = if self.calls[call].kind == PULL { PULL_MS } else { SERVICE_MS };
        let work = (mean * self.random.random_range(500.0..1_500.0)) as u64;
        let server = self.servers.get_mut(&flow.id).unwrap();
        let (end, refused) = server.take(now + HOP_US, work);
        let flow = Flow { sent: flow.sent + 1, ..flow };
        self.push(end + HOP_US, Event::Receive(call, flow, refused));
    }

    fn receive(&mut self, now: u64, call: usize, flow: Flow, refused: bool) {
        let length = if refused { 150 } else { 3_000 + self.random.random_range(0..1_000) };
        let flow = Flow { acknowledged: flow.acknowledged + length, ..flow };
        // Callers acknowledge a response of one packet up to 40 ms late.
        let delay = if refused { self.random.random_range(0..40_000) } else { 0 };
        self.push(now + delay, Event::Acknowledge(call, flow));
        match refused {
            true => self.retry(now, call),
            false => self.calls[call].answered = Some(now - self.calls[call].start),
        }
    }

    /// A caller acknowledges a response; its flow is then idle, or closed if it is one of a pull.
    fn acknowledge(&mut self, now: u64, call: usize, flow: Flow) {
        let Call { kind, client, .. } = self.calls[call];
        let closes = kind == PULL;
        let ack = PacketInfo {
            sequence: 1 + 400 * flow.sent,
            acknowledged: flow.acknowledged,
            closes,
            ..following(self.packet(call, flow.port), flow.cookie)
        };
        self.vms[flow.vm].decide(Time::from_micros(now + HOP_US), &ack, false);
        if !closes {
            self.idle.entry((client, kind)).or_default().push(flow);
        }
    }
}

/// Returns the part of the burst's requests of `kinds` that were not answered.
fn failed(calls: &[Call], kinds: &[usize]) -> f64 {
    let counted = calls.iter().filter(|call| BURST.contains(&call.start));
    let counted: Vec<_> = counted.filter(|call| kinds.contains(&call.kind)).collect();
    let failed = counted.iter().filter(|call| call.answered.is_none()).count();
    failed as f64 / counted.len() as f64
}

/// Guards against refusals while servers have room: at 0.95 of the slots the queues of all zones together
/// hold every request, although two zones have more than their own servers can serve.
#[test]
#[ignore = "KNOWN-RED.txt: failed near the capacity"]
fn near_the_capacity_nothing_fails() {
    for seed in [1, 2, 3, 4] {
        let failed = failed(&Model::new(seed).run(0.95), &[FEED, ORDER, PULL]);
        assert_eq!(failed, 0.0, "seed {seed}");
    }
}

/// Guards against a service that fails because another one is short.
#[test]
fn a_service_with_room_is_served_while_another_is_short() {
    for (seed, load) in [(1, 1.3), (2, 1.3), (3, 3.0), (4, 3.0)] {
        let failed = failed(&Model::new(seed).run(load), &[PULL]);
        assert_eq!(failed, 0.0, "seed {seed}, {load} times the capacity");
    }
}

/// Returns the part of the burst's requests of `kinds` that were answered in time.
fn in_time(calls: &[Call], kinds: &[usize]) -> f64 {
    let counted = calls.iter().filter(|call| BURST.contains(&call.start));
    let counted: Vec<_> = counted.filter(|call| kinds.contains(&call.kind)).collect();
    let is_in_time = |after: u64| Duration::from_micros(after) <= TARGET;
    let in_time = counted.iter().filter(|call| call.answered.is_some_and(is_in_time)).count();
    in_time as f64 / counted.len() as f64
}

/// Guards against queues that are full of requests of a low priority: orders are a fifth of the
/// requests and fit at both loads.
#[test]
#[ignore = "KNOWN-RED.txt: the highest priority above the capacity"]
fn above_the_capacity_orders_are_in_time() {
    for (seed, load) in [(1, 1.3), (2, 1.3), (3, 3.0), (4, 3.0)] {
        let share = in_time(&Model::new(seed).run(load), &[ORDER]);
        assert!(share >= 0.98, "seed {seed}, {load} times the capacity: {share:.3} in time");
    }
}
