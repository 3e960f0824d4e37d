//! The flow table as a state machine: what each kind of packet does to a flow that is unknown, being
//! opened, established or closed at an entry VM.

use galenatrail::{
    DropReason, FlowVerdict, Forwarder, PacketInfo, ResetReason, Time, server_cookie,
};
use proptest::{
    collection::vec,
    prelude::{Just, ProptestConfig, Strategy, prop_oneof},
    test_runner::{RngAlgorithm, RngSeed, TestRunner},
};

#[path = "support/cookie.rs"]
mod cookie;

use cookie::{announcement, at, expect_forward, following, forwarder, opening};

const SERVERS: [u64; 4] = [1, 2, 3, 4];
const PORT: u16 = 40_000;
/// Sequence number of another flow of the same port.
const OTHER_FLOW: u32 = 1 << 30;
/// Time after which a repeated opening goes to another server.
const RETRY_MS: u64 = 150;
/// Time for which a flow is idle at most.
const IDLE_MS: u64 = 15_000;
const CASES: u32 = 400;

/// A state that an entry VM can have a flow in.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Unknown,
    Opening,
    Established,
    Closed,
}

const STATES: [State; 4] = [State::Unknown, State::Opening, State::Established, State::Closed];

/// Where a packet has to go.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// To the server of the flow.
    Home,
    /// To the server that the caller names.
    Named,
    /// To a server that is not the one of the flow.
    Elsewhere,
    /// To any server.
    Any,
    /// To nobody, for the reason.
    Dropped(DropReason),
}

fn servers() -> Forwarder {
    forwarder(&SERVERS.map(|id| announcement(id, "a")))
}

fn first() -> PacketInfo {
    opening(7, PORT)
}

fn repeated() -> PacketInfo {
    PacketInfo { retransmits: 1, ..first() }
}

fn closing(cookie: u32) -> PacketInfo {
    PacketInfo { closes: true, ..following(first(), cookie) }
}

/// Returns a forwarder that has a flow in `state` at `at(10)`, and the server of that flow.
fn in_state(state: State) -> (Forwarder, u64) {
    let mut forwarder = servers();
    if state == State::Unknown {
        return (forwarder, 0);
    }
    let (home, cookie) = expect_forward(forwarder.decide(at(1), &first(), false));
    if state != State::Opening {
        expect_forward(forwarder.decide(at(5), &following(first(), cookie), false));
    }
    if state == State::Closed {
        expect_forward(forwarder.decide(at(10), &closing(cookie), false));
    }
    (forwarder, home)
}

fn other(home: u64) -> u64 {
    SERVERS.into_iter().find(|id| *id != home).expect("there are several servers")
}

#[track_caller]
fn check(verdict: FlowVerdict, way: Way, home: u64, named: u64, case: &str) {
    if let Way::Dropped(reason) = way {
        assert_eq!(verdict, FlowVerdict::Drop(reason), "{case}");
        return;
    }
    let (id, _) = expect_forward(verdict);
    let fits = match way {
        Way::Home => id == home,
        Way::Named => id == named,
        Way::Elsewhere => id != home,
        Way::Any | Way::Dropped(_) => true,
    };
    assert!(fits, "{case}: {id} instead of {way:?}, home {home}, named {named}");
}

/// Each transition: a state, a packet, its time and age, and the way of the packet.
#[test]
fn each_packet_in_each_state() {
    use State::{Closed, Established, Opening, Unknown};
    type Make = fn(u32) -> PacketInfo;
    let rows: &[(&str, Make, u64, bool, [Way; 4])] = &[
        ("opening", |_| first(), 20, false, [Way::Any, Way::Any, Way::Any, Way::Any]),
        // A copy of an opening: to where the first one went, until that server had time to answer.
        ("copy", |_| repeated(), 20, false, [Way::Any, Way::Home, Way::Home, Way::Home]),
        (
            "copy after the time for an answer",
            |_| repeated(),
            20 + RETRY_MS,
            false,
            [Way::Any, Way::Elsewhere, Way::Home, Way::Home],
        ),
        ("late opening", |_| first(), 20, true, [Way::Dropped(DropReason::Stale); 4]),
        ("late copy", |_| repeated(), 20, true, [Way::Dropped(DropReason::Stale); 4]),
        // The caller names the server whose answer it took. An established flow does not move.
        (
            "packet that names another server",
            |named| following(first(), named),
            20,
            false,
            [Way::Named, Way::Named, Way::Home, Way::Named],
        ),
        (
            "late packet that names another server",
            |named| following(first(), named),
            20,
            true,
            [Way::Named, Way::Named, Way::Home, Way::Named],
        ),
        (
            "packet that names none",
            |_| following(first(), 0),
            20,
            false,
            [Way::Dropped(DropReason::NoCookie), Way::Home, Way::Home, Way::Home],
        ),
        (
            "end that names another server",
            closing,
            20,
            false,
            [Way::Named, Way::Named, Way::Home, Way::Named],
        ),
        (
            "packet of another flow of the port",
            |named| PacketInfo { sequence: OTHER_FLOW, ..following(first(), named) },
            20,
            false,
            [Way::Named; 4],
        ),
        (
            "packet after a long silence",
            |named| following(first(), named),
            20 + 2 * IDLE_MS,
            false,
            [Way::Named, Way::Named, Way::Named, Way::Named],
        ),
    ];
    for (name, make, millis, late, ways) in rows {
        for (state, way) in [Unknown, Opening, Established, Closed].into_iter().zip(ways) {
            let (mut forwarder, home) = in_state(state);
            // Expires what has been silent for long.
            forwarder.tick(at(*millis));
            let named = other(home);
            let verdict = forwarder.decide(at(*millis), &make(server_cookie(named)), *late);
            check(verdict, *way, home, named, &format!("{name}, {state:?}"));
        }
    }
}

/// Guards against a packet that leaves something behind that decides a later one: an opening that came
/// late, or packets of an earlier flow of the port.
#[test]
fn what_came_late_leaves_nothing_behind() {
    let late: [fn(u32) -> (PacketInfo, bool); 3] = [
        |_| (first(), true),
        |_| (repeated(), true),
        |named| (PacketInfo { sequence: OTHER_FLOW, ..following(first(), named) }, false),
    ];
    for state in [State::Unknown, State::Opening] {
        for (number, make) in late.iter().enumerate() {
            let (mut forwarder, home) = in_state(state);
            let named = other(home);
            let (packet, stale) = make(server_cookie(named));
            forwarder.decide(at(20), &packet, stale);
            let next = forwarder.decide(at(30), &following(first(), 0), false);
            let case = format!("{state:?}, packet {number}");
            match state {
                State::Opening => check(next, Way::Home, home, named, &case),
                _ => check(next, Way::Dropped(DropReason::NoCookie), home, named, &case),
            }
        }
    }
}

/// Guards against a flow that is idle while an answer that came late changes what its caller names.
#[test]
fn an_idle_flow_stays_at_its_server() {
    for silence in [0, 200, 5_000, IDLE_MS - 1_000] {
        let (mut forwarder, home) = in_state(State::Established);
        let named = other(home);
        let now = at(20 + silence);
        forwarder.tick(now);
        let packet = following(first(), server_cookie(named));
        check(forwarder.decide(now, &packet, false), Way::Home, home, named, "idle");
    }
}

#[derive(Debug, Clone)]
enum Event {
    Open,
    Copy,
    LateOpen,
    Packet(u64),
    Unnamed,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => Just(Event::Open),
        3 => Just(Event::Copy),
        3 => Just(Event::LateOpen),
        4 => (0..SERVERS.len()).prop_map(|number| Event::Packet(SERVERS[number])),
        2 => Just(Event::Unnamed),
        3 => (1..2_000_u64).prop_map(Event::Wait),
    ]
}

/// Plays `events` and returns what came of all that were not late. Checks that a flow which is
/// established does not move.
fn play(events: &[Event], with_late: bool) -> Vec<FlowVerdict> {
    let (mut forwarder, mut now, mut verdicts) = (servers(), 10, Vec::new());
    let mut established: Option<u64> = None;
    let mut last = 0;
    for event in events {
        let (packet, late) = match event {
            Event::Wait(millis) => {
                now += millis;
                forwarder.tick(at(now));
                continue;
            }
            Event::LateOpen if !with_late => continue,
            Event::LateOpen => (repeated(), true),
            Event::Open => (first(), false),
            Event::Copy => (repeated(), false),
            Event::Packet(id) => (following(first(), server_cookie(*id)), false),
            Event::Unnamed => (following(first(), 0), false),
        };
        if now - last >= IDLE_MS {
            established = None;
        }
        let verdict = forwarder.decide(at(now), &packet, late);
        if late {
            assert_eq!(verdict, FlowVerdict::Drop(DropReason::Stale));
            continue;
        }
        if let FlowVerdict::Forward { id, .. } = verdict {
            last = now;
            match (packet.opens, packet.retransmits) {
                (true, 0) => established = None,
                (true, _) => assert!(established.is_none_or(|home| home == id), "a copy moved it"),
                _ => assert_eq!(*established.get_or_insert(id), id, "the caller moved it"),
            }
        }
        verdicts.push(verdict);
    }
    verdicts
}

fn check_random(cases: u32, seed: u64) {
    let config = ProptestConfig {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let checked = TestRunner::new(config).run(&vec(event(), 1..40), |events| {
        assert_eq!(play(&events, true), play(&events, false), "a late opening left something");
        Ok(())
    });
    checked.unwrap();
}

/// Guards against a late opening that changes a later decision, and a flow that moves.
#[test]
fn random_packets_of_a_flow() {
    check_random(CASES, 11);
}

#[test]
#[ignore = "takes longer; run by hand"]
fn many_random_packets_of_a_flow() {
    for seed in 0..50 {
        check_random(CASES, seed);
    }
}

/// An unknown route is never forwarded, whatever the table has.
#[test]
fn an_unknown_route_has_no_state() {
    for state in STATES {
        let (mut forwarder, home) = in_state(state);
        let route = "198.18.0.9:443".parse().unwrap();
        let packet = PacketInfo { route, ..following(first(), server_cookie(home.max(1))) };
        let verdict = forwarder.decide(Time::from_millis(20), &packet, false);
        assert_eq!(verdict, FlowVerdict::Reset(ResetReason::NoRoute), "{state:?}");
    }
}
