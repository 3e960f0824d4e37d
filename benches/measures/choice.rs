//! The choice of a backend server for flows of many requests, at the sizes and loads of both users.
//!
//! Entry VMs are real forwarders; callers and backend servers are played in memory: callers keep a
//! flow for some requests with pauses between them, servers have two slots and a short queue.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use galenatrail::{
    Announcement, FeedMessage, FlowVerdict, Forwarder, Name, PacketInfo, ServerRecord, Time,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::table::Table;

#[path = "../../tests/support/cookie.rs"]
mod cookie;

use cookie::{ROUTE, plan, source};

const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// Mean work of a request; the work is even between half and one and a half of it.
const WORK_MS: u64 = 24;
const AIM_MS: u64 = 150;
/// One way from a caller to an entry VM or from a server to a caller.
const CALLER_MS: u64 = 3;
/// One way between availability zones.
const ACROSS_MS: u64 = 4;
/// Requests of a flow.
const REQUESTS: u32 = 20;
const LENGTH_MS: u64 = 60_000;
/// An entry VM is out of the rotation for this span.
const ROLL_MS: std::ops::Range<u64> = 20_000..25_000;
/// A server starts anew, cold, at this time.
const RESTART_MS: u64 = 30_000;
const COLD: Duration = Duration::from_secs(2);

struct Size {
    name: &'static str,
    /// Entry VMs, servers, callers and requests a second by availability zone.
    zones: &'static [(usize, usize, u64, u64)],
}

const SIZES: [Size; 2] = [
    Size {
        name: "filtrex",
        zones: &[(2, 4, 81, 104), (2, 4, 84, 107), (1, 3, 57, 73), (1, 3, 72, 91)],
    },
    Size {
        name: "siktelag",
        zones: &[(3, 4, 81, 104), (2, 4, 84, 107), (1, 3, 57, 73), (2, 3, 72, 91)],
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends its next request.
    Send(usize),
    /// A request reaches its server.
    Arrive(usize),
    /// A server has done a caller's request.
    Done(usize),
}

struct Caller {
    zone: usize,
    /// Mean pause between two requests, in milliseconds.
    pause: u64,
    port: u16,
    left: u32,
    cookie: u32,
    server: usize,
    since: u64,
}

#[derive(Default)]
struct Server {
    zone: usize,
    running: usize,
    queue: VecDeque<usize>,
    served: u64,
    opened: Vec<u64>,
}

#[derive(Debug, Default)]
struct Figures {
    asked: u64,
    in_aim: u64,
    opened: u64,
    across: u64,
    /// Busiest server over the mean.
    imbalance: f64,
    /// Most openings at the cold server in any second while it is cold.
    cold: usize,
}

pub(crate) fn measure(table: &mut Table) {
    for size in &SIZES {
        let figures = World::new(size).run();
        let share = |part: u64, whole: u64| part as f64 / whole.max(1) as f64;
        let mut add =
            |name: &str, value| table.check(&format!("choice.{name}.{}", size.name), value);
        add("imbalance", figures.imbalance);
        add("in_aim", share(figures.in_aim, figures.asked));
        add("across_zones", share(figures.across, figures.opened));
        add("cold_in_a_second", figures.cold as f64);
    }
}

struct World {
    entries: Vec<(usize, Forwarder)>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    serial: u64,
    rng: ChaCha8Rng,
    figures: Figures,
}

impl World {
    fn new(size: &Size) -> World {
        let mut world = World {
            entries: Vec::new(),
            servers: Vec::new(),
            callers: Vec::new(),
            events: BinaryHeap::new(),
            serial: 0,
            rng: ChaCha8Rng::seed_from_u64(9),
            figures: Figures::default(),
        };
        for (zone, &(entries, servers, callers, rate)) in size.zones.iter().enumerate() {
            let forwarder = || Forwarder::new(Time::ZERO, name(zone), Duration::from_millis(1_200));
            world.entries.extend((0..entries).map(|_| (zone, forwarder())));
            world.servers.extend((0..servers).map(|_| Server { zone, ..Server::default() }));
            for _ in 0..callers {
                let pause = callers * 1_000 / rate;
                let caller =
                    Caller { zone, pause, port: 0, left: 0, cookie: 0, server: 0, since: 0 };
                world.callers.push(caller);
            }
        }
        for server in 0..world.servers.len() {
            world.announce(0, server, Duration::ZERO, 1);
        }
        for (_, forwarder) in &mut world.entries {
            forwarder.handle_feed(Time::ZERO, source(), FeedMessage::Plan(plan(1, &[])));
        }
        for caller in 0..world.callers.len() {
            let at = world.rng.random_range(0..1_000);
            world.push(at, Event::Send(caller));
        }
        world
    }

    fn announce(&mut self, now: u64, server: usize, cold: Duration, born: u64) {
        let announced = Announcement {
            id: server as u64 + 1,
            service: "hub".into(),
            addr: SocketAddrV4::new(Ipv4Addr::new(10, 1, 64, server as u8), 8_080),
            zone: name(self.servers[server].zone),
            draining: false,
            warmup_left: cold,
            incarnation: born,
            sequence: 1,
        };
        for (_, forwarder) in &mut self.entries {
            let records = vec![ServerRecord::new(announced.clone())];
            let message = FeedMessage::Servers { all: false, records };
            forwarder.handle_feed(Time::from_millis(now), source(), message);
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn run(mut self) -> Figures {
        let mut restarted = false;
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= RESTART_MS && !std::mem::replace(&mut restarted, true) {
                self.announce(now, 0, COLD, 2);
            }
            match event {
                Event::Send(caller) if now < LENGTH_MS => self.send(now, caller),
                Event::Send(_) => {}
                Event::Arrive(caller) => self.arrive(now, caller),
                Event::Done(caller) => self.done(now, caller),
            }
        }
        let served: Vec<f64> = self.servers.iter().map(|server| server.served as f64).collect();
        let mean = served.iter().sum::<f64>() / served.len() as f64;
        self.figures.imbalance = served.iter().fold(0.0_f64, |most, n| most.max(*n)) / mean;
        self.figures.cold = most_in_a_second(&self.servers[0].opened);
        self.figures
    }

    /// Sends a request, after opening a flow where the last one is used up.
    fn send(&mut self, now: u64, number: usize) {
        self.figures.asked += 1;
        self.callers[number].since = now;
        if self.callers[number].left == 0 {
            self.open(now, number);
        }
        let caller = &mut self.callers[number];
        caller.left -= 1;
        let head = head(number, caller.port, false, caller.cookie);
        let zone = caller.zone;
        self.route(now, zone, &head);
        let way = CALLER_MS + self.distance(number);
        self.push(now + way, Event::Arrive(number));
    }

    fn open(&mut self, now: u64, number: usize) {
        let caller = &mut self.callers[number];
        caller.port += 1;
        caller.left = REQUESTS;
        let (zone, head) = (caller.zone, head(number, caller.port, true, 0));
        let (id, cookie) = self.route(now, zone, &head);
        let server = id as usize - 1;
        let caller = &mut self.callers[number];
        caller.cookie = cookie;
        caller.server = server;
        self.figures.opened += 1;
        self.figures.across += u64::from(self.servers[server].zone != zone);
        if (RESTART_MS..RESTART_MS + COLD.as_millis() as u64).contains(&now) {
            self.servers[server].opened.push(now);
        }
    }

    /// Hands a packet to the entry VM that the routers choose.
    fn route(&mut self, now: u64, zone: usize, head: &PacketInfo) -> (u64, u32) {
        let rolled = |place: usize| place == 0 && ROLL_MS.contains(&now);
        let places = (0..self.entries.len()).filter(|place| self.entries[*place].0 == zone);
        let places: Vec<usize> = places.filter(|place| !rolled(*place)).collect();
        let hash = usize::from(head.caller.port()).wrapping_mul(2_654_435_761)
            ^ usize::from(head.caller.ip().octets()[3]);
        let forwarder = &mut self.entries[places[(hash >> 4) % places.len()]].1;
        forwarder.tick(Time::from_millis(now));
        match forwarder.decide(Time::from_millis(now), head, false) {
            FlowVerdict::Forward { id, cookie, .. } => (id, cookie),
            other => panic!("a flow was not placed: {other:?}"),
        }
    }

    fn distance(&self, number: usize) -> u64 {
        let caller = &self.callers[number];
        if self.servers[caller.server].zone == caller.zone { 0 } else { ACROSS_MS }
    }

    fn arrive(&mut self, now: u64, number: usize) {
        let place = self.callers[number].server;
        let server = &mut self.servers[place];
        if server.running < SLOTS {
            server.running += 1;
            self.start(now, number);
        } else if server.queue.len() < QUEUE {
            server.queue.push_back(number);
        } else {
            // Turned away: the caller opens another flow.
            self.callers[number].left = 0;
            self.push(now + CALLER_MS, Event::Send(number));
        }
    }

    fn start(&mut self, now: u64, number: usize) {
        let work = self.rng.random_range(WORK_MS / 2..=WORK_MS * 3 / 2);
        self.push(now + work, Event::Done(number));
    }

    fn done(&mut self, now: u64, number: usize) {
        let place = self.callers[number].server;
        self.servers[place].served += 1;
        match self.servers[place].queue.pop_front() {
            Some(next) => self.start(now, next),
            None => self.servers[place].running -= 1,
        }
        let answered = now + CALLER_MS + self.distance(number);
        let caller = &self.callers[number];
        self.figures.in_aim += u64::from(answered - caller.since <= AIM_MS);
        let pause = self.rng.random_range(caller.pause / 2..=caller.pause * 3 / 2);
        self.push(answered + pause, Event::Send(number));
    }
}

fn most_in_a_second(times: &[u64]) -> usize {
    let within =
        |start: u64| times.iter().filter(|at| (start..start + 1_000).contains(*at)).count();
    times.iter().map(|start| within(*start)).max().unwrap_or(0)
}

fn name(zone: usize) -> Name {
    format!("zone-{zone}").into()
}

fn head(number: usize, port: u16, opens: bool, cookie: u32) -> PacketInfo {
    let [high, low] = (number as u16).to_be_bytes();
    PacketInfo {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, high, low), 10_000 + port),
        route: ROUTE,
        opens,
        retransmits: 0,
        closes: false,
        cookie,
    }
}
