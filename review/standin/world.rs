//! The servers, clients and first configuration that the cases share.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, MutexGuard, atomic::AtomicBool},
    thread,
    time::Duration,
};

use crate::{
    client::{Client, End, Flow, Flows, Habit},
    cluster::{CONTACT, Cluster, IDLE, MAX_FLOW, ZONES},
    record::{note, now},
    server::{self, Profile, Seen, Server, SharedSeen},
};

pub const HUB: &str = "hub";
pub const DESK: &str = "desk";
pub const HUB_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8080);
pub const DESK_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8443);

/// Loopback hosts from which servers and clients are numbered.
const SERVER_HOST: u8 = 50;
const CLIENT_HOST: u8 = 100;

pub struct World {
    pub cluster: Cluster,
    pub seen: SharedSeen,
    pub flows: Flows,
    next_client: u8,
    stop: Arc<AtomicBool>,
}

impl World {
    /// Starts the deployment and configures it.
    pub fn start() -> World {
        World::start_build(None)
    }

    /// Starts the deployment with the programs of the repository in the folder `build`.
    pub fn start_build(build: Option<&str>) -> World {
        let cluster = Cluster::start(build);
        cluster.configure(&config(1));
        let stop = Arc::new(AtomicBool::new(false));
        let (seen, flows) = (SharedSeen::default(), Flows::default());
        World { cluster, seen, flows, next_client: CLIENT_HOST, stop }
    }

    /// Describes server `place` of the run.
    pub fn profile(&self, id: u64, service: &'static str, zone: usize, place: u8) -> Profile {
        let addr = server::addr(self.cluster.net.ip(SERVER_HOST + place));
        Profile { id, service, zone: ZONES[zone], addr }
    }

    /// Starts a server that calls core machine `first` first.
    pub fn server(&self, profile: Profile, first: usize) -> Server {
        let daemons = self.cluster.daemons(first);
        Server::start(profile, daemons, self.cluster.net.packets, &self.seen)
    }

    /// Starts two servers of `service` in each zone, with ids from `id` and addresses from `place`.
    pub fn servers(&self, service: &'static str, id: u64, place: u8) -> Vec<Server> {
        let numbers = 0..2 * ZONES.len();
        let server = |number: usize| {
            let zone = number % ZONES.len();
            let profile = self.profile(id + number as u64, service, zone, place + number as u8);
            self.server(profile, zone)
        };
        numbers.map(server).collect()
    }

    /// Starts `count` clients in each zone.
    pub fn clients(&mut self, count: usize, route: SocketAddrV4, habit: Habit) {
        for zone in ZONES.iter().cycle().take(count * ZONES.len()) {
            let ip = self.cluster.net.ip(self.next_client);
            self.next_client += 1;
            let (net, routers) = (self.cluster.net, self.cluster.routers.clone());
            let (flows, stop) = (self.flows.clone(), self.stop.clone());
            let client = Client { net, routers, zone, ip, route, habit, flows, stop };
            client.start();
        }
    }

    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(|err| err.into_inner())
    }

    /// Returns the flows that have ended so far.
    pub fn ended(&self) -> Vec<Flow> {
        self.flows.lock().unwrap_or_else(|err| err.into_inner()).clone()
    }

    /// Checks that clients are served.
    pub fn assert_served(&self) {
        let served = self.ended().iter().filter(|flow| flow.answered > 0).count();
        note(&format!("{served} flows have been served so far"));
        assert!(served > 10, "clients are not served");
    }

    /// Returns the flows that break rule FLOW (a) at the server `id` that started at `born`: the
    /// system resets them while they are open, their server lives, and every machine has been in
    /// touch and the server undisturbed since `calm`.
    pub fn broken_flows(&self, server: &Server, calm: Duration) -> Vec<Flow> {
        let name = format!("{:x} {}", server.id(), server.born());
        let seen = self.seen();
        let breaks = |flow: &Flow| {
            flow.end == End::ResetBySystem
                && flow.server == name
                && server.is_alive()
                && seen.opened.contains_key(&flow.client)
                && !seen.reset.contains(&flow.client)
                && flow.ended >= calm + CONTACT
                && flow.opened.is_some_and(|opened| flow.ended - opened < MAX_FLOW)
                && flow.ended - flow.last < IDLE
        };
        let flows = self.ended();
        flows.into_iter().filter(breaks).collect()
    }
}

/// Waits until `at`, counted from the start of the run.
pub fn wait_until(at: Duration) {
    thread::sleep(at.saturating_sub(now()));
}

pub fn wait(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// A configuration with one route to each service.
pub fn config(version: u64) -> String {
    let route = |name: &str, to: SocketAddrV4, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{}\",\"pathPrefix\":\"/{}/\",\"type\":\"{kind}\",\
             \"timeoutMs\":2500,\"targetLatencyMs\":200,\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":2}}",
            to.ip(),
            to.port()
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":2000,\
             \"protocol\":\"h1\",\"tls\":false,\"warmupS\":2.0,\"warmupPerS\":0.0}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{},{}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        route("r-hub", HUB_ROUTE, "unsafe", HUB),
        route("r-desk", DESK_ROUTE, "safe", DESK),
        service(HUB),
        service(DESK)
    )
}
