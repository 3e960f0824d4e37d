//! Openings that find no room because of the requests in progress.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use galenatrail::{
    FeedMessage, FlowVerdict, Forwarder, ForwardingPlan, PacketInfo, ResetReason, Resource,
    RoutingConfig, ServerRecord, SlotUse, Time,
};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{
    ROUTE, announce, announcement, at, control_addr, following, forwarder, opening, plan,
};

/// Ports of the routes; those of the first have the higher priority.
const ORDERS: u16 = 443;
const FEEDS: u16 = 444;
/// Servers 1 and 2 are in the forwarder's zone, 3 and 4 in another one; each has two slots.
const OWN: [u64; 2] = [1, 2];
const OTHER: [u64; 2] = [3, 4];
/// Requests in progress that leave no room in a zone with four slots.
const FULL: usize = 8;

fn routes() -> Arc<ForwardingPlan> {
    let mut plan = (*plan(2, &[])).clone();
    let mut config: RoutingConfig = (*plan.config).clone();
    let mut route = config.routes.remove(0);
    for (port, priority) in [(ORDERS, 1), (FEEDS, 2)] {
        (route.port, route.priority) = (port, priority);
        config.routes.push(route.clone());
    }
    plan.config = Arc::new(config);
    Arc::new(plan)
}

/// An entry VM and the callers of its flows.
struct Play {
    vm: Forwarder,
    port: u16,
    now: Time,
}

impl Play {
    fn new() -> Play {
        let mut vm = forwarder(&[]);
        vm.handle_feed(at(0), control_addr(), FeedMessage::Plan(routes()));
        let own = OWN.map(|id| announcement(id, "a"));
        let other = OTHER.map(|id| announcement(id, "b"));
        announce(&mut vm, at(0), [own, other].concat());
        Play { vm, port: 1_000, now: at(10_000) }
    }

    fn opening(&mut self, route: u16) -> PacketInfo {
        self.port += 1;
        self.now = self.now + Duration::from_millis(1);
        let route = SocketAddrV4::new(*ROUTE.ip(), route);
        // Callers have several flows each.
        PacketInfo { route, ..opening((self.port % 200) as u8, self.port) }
    }

    /// Opens a flow and sends a request on it that is not answered; returns the server.
    fn request(&mut self, route: u16) -> Result<u64, ResetReason> {
        let opening = self.opening(route);
        match self.vm.decide(self.now, &opening, false) {
            FlowVerdict::Forward { id, cookie, .. } => {
                let data = PacketInfo {
                    sequence: 1,
                    acknowledged: 1,
                    data_len: 400,
                    ..following(opening, cookie)
                };
                self.vm.decide(self.now, &data, false);
                Ok(id)
            }
            FlowVerdict::Reset(reason) => Err(reason),
            FlowVerdict::Drop(reason) => panic!("dropped: {reason:?}"),
        }
    }

    /// Sends `count` requests on each route in turn.
    fn requests(&mut self, count: usize) -> Vec<Result<u64, ResetReason>> {
        (0..count).map(|index| self.request([ORDERS, FEEDS][index % 2])).collect()
    }
}

fn is_in(zone: [u64; 2], request: Result<u64, ResetReason>) -> bool {
    request.is_ok_and(|id| zone.contains(&id))
}

/// Guards against the first second of a step of the load, in which no response has shown yet that
/// servers are full.
#[test]
fn lower_priorities_go_elsewhere_before_a_response_shows_that_servers_are_full() {
    let mut play = Play::new();
    let first = play.requests(FULL);
    assert!(first.into_iter().all(|request| is_in(OWN, request)));
    assert!(is_in(OTHER, play.request(FEEDS)));
    assert!(is_in(OWN, play.request(ORDERS)), "the higher priority does not yield");
}

/// Guards against queues that are full of requests of a low priority.
#[test]
fn lower_priorities_are_refused_while_no_zone_has_room() {
    let mut play = Play::new();
    let requests = play.requests(8 * FULL);
    let refused = Err(ResetReason::Overload(Resource::Service));
    assert_eq!(play.request(FEEDS), refused);
    let orders = requests.iter().step_by(2);
    assert!(orders.clone().all(Result::is_ok), "the higher priority is refused");
}

/// Guards against refusals while the announcements of all servers are missing: silent servers have no
/// slots that count, and receive flows if there are no others.
#[test]
fn silent_servers_are_not_full() {
    let mut play = Play::new();
    let silent =
        |id, zone| ServerRecord { silent: true, ..ServerRecord::new(announcement(id, zone)) };
    let own = OWN.map(|id| silent(id, "a"));
    let other = OTHER.map(|id| silent(id, "b"));
    let records = [own, other].concat();
    let message = FeedMessage::Servers { all: true, records };
    play.vm.handle_feed(play.now, control_addr(), message);
    let requests = play.requests(FULL);
    assert!(requests.iter().all(Result::is_ok), "{requests:?}");
}

/// Guards against slots that are kept for requests that nobody sends.
#[test]
fn the_lowest_priority_alone_is_not_refused() {
    let mut play = Play::new();
    let refused = (0..4 * FULL).filter(|_| play.request(FEEDS).is_err()).count();
    assert_eq!(refused, 0);
}

/// Guards against room that is counted by the number of servers.
#[test]
fn one_request_may_wait_for_each_that_runs() {
    let slots = 60;
    assert!(SlotUse::new(119, slots).has_room());
    assert!(!SlotUse::new(120, slots).has_room());
    assert!(!SlotUse::new(0, 0).has_room(), "a zone without servers has no room");
}

/// Guards against flows for zones whose queues the VMs of other zones have filled.
#[test]
fn queues_are_nearly_full_at_five_requests_a_slot() {
    assert!(!SlotUse::new(299, 60).is_full());
    assert!(SlotUse::new(300, 60).is_full());
}
