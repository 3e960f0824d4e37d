//! The capacity of an entry VM's own link that is left for new flows.
//!
//! Packets that wait in front of the link cannot be withdrawn. The budget therefore counts what an
//! opening brings when it is admitted: the bytes that flows of its route bring on average.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Duration,
};

use super::handshake_delay::HandshakeDelay;
use crate::{routing_config::Route, time::Time};

/// Most bytes per second that control traffic takes on the link.
const CONTROL_RATE: f64 = 12_000.0;
/// Fraction of the rest that packets of flows may take: the queue in front of a link that is used
/// fully grows without bound.
const USABLE: f64 = 0.95;
/// Burst that a full budget admits, as time at the refill rate.
const BURST: Duration = Duration::from_millis(100);
/// Most that the budget may be overdrawn, as time at the refill rate: openings are admitted again
/// within a second after an overload.
const MAX_DEBT: Duration = Duration::from_millis(500);
/// Wait up to which a reset is sent: it has to arrive before the caller repeats its opening after
/// 200 ms.
const MAX_SEND_WAIT: Duration = Duration::from_millis(100);
/// Bytes that a forwarded packet takes more on the link than a received one.
const FORWARD_EXTRA: u32 = 8;
/// Mean bytes of a flow before any has ended.
const INITIAL_MEAN: f64 = 2_048.0;
/// Number of flows over which the mean of a route is taken.
const MEAN_FLOWS: f64 = 64.0;
/// Age from which on the packets of a flow are no longer part of what its opening brings. Flows
/// that last longer would reserve at once what they take over minutes.
const RESERVED_TIME: Duration = Duration::from_secs(1);

/// Bytes on the link, by direction.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct LinkBytes {
    inward: f32,
    outward: f32,
}

impl LinkBytes {
    fn forwarded(link_len: u16) -> LinkBytes {
        let inward = f32::from(link_len);
        LinkBytes { inward, outward: inward + FORWARD_EXTRA as f32 }
    }

    fn zip(self, other: LinkBytes, f: impl Fn(f32, f32) -> f32) -> LinkBytes {
        LinkBytes { inward: f(self.inward, other.inward), outward: f(self.outward, other.outward) }
    }
}

/// What a flow has taken on the link, and what was reserved for it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct FlowBytes {
    /// When its first opening was forwarded.
    opened: Time,
    used: LinkBytes,
    /// `None` for a flow that this VM did not open, or whose reservation has ended.
    reserved: Option<LinkBytes>,
}

/// The budget's view of a route.
#[derive(Debug, Clone, Copy)]
struct RouteBudget {
    /// Fraction of the burst that has to be left for an opening to be admitted.
    threshold: f64,
    /// Mean bytes of a flow in its first second.
    mean: LinkBytes,
    /// Number of flows in the mean.
    flows: f64,
}

/// A token bucket for each direction of the link.
///
/// Without a rate it admits everything and counts nothing.
#[derive(Debug, Clone, Default)]
pub(crate) struct LinkBudget {
    /// Usable rate of the link, in bytes per second.
    rate: Option<f64>,
    inward: f64,
    outward: f64,
    /// Sent bytes that still wait in front of the link, if it carries the refill rate.
    waiting: f64,
    refilled: Time,
    delay: HandshakeDelay,
    routes: BTreeMap<SocketAddrV4, RouteBudget>,
}

impl LinkBudget {
    /// Creates a full budget for a link that carries `rate` bytes per second in each direction.
    pub(crate) fn new(now: Time, rate: Option<u64>) -> LinkBudget {
        let rate = rate.map(|rate| rate as f64);
        let rate = rate.map(|rate| (rate - CONTROL_RATE.min(rate / 2.0)) * USABLE);
        let burst = rate.unwrap_or_default() * BURST.as_secs_f64();
        LinkBudget {
            rate,
            inward: burst,
            outward: burst,
            waiting: 0.0,
            refilled: now,
            delay: HandshakeDelay::new(now),
            routes: BTreeMap::new(),
        }
    }

    /// Sets the routes; those that stay keep their means.
    ///
    /// Thresholds are evenly spaced from 0 for the highest priority to half of the burst for the
    /// lowest.
    pub(crate) fn set_routes(&mut self, routes: &BTreeMap<SocketAddrV4, Route>) {
        let priorities: BTreeSet<_> = routes.values().map(|route| route.priority).collect();
        let lowest = priorities.len().saturating_sub(1).max(1) as f64;
        let budget = |(socket, route): (&SocketAddrV4, &Route)| {
            let rank = priorities.range(..route.priority).count() as f64;
            let initial = INITIAL_MEAN as f32;
            let initial = RouteBudget {
                threshold: 0.0,
                mean: LinkBytes { inward: initial, outward: initial },
                flows: 1.0,
            };
            let known = self.routes.get(socket).copied().unwrap_or(initial);
            (*socket, RouteBudget { threshold: 0.5 * rank / lowest, ..known })
        };
        self.routes = routes.iter().map(budget).collect();
    }

    /// Returns whether the budget has room for an opening of `route`.
    pub(crate) fn has_room(&mut self, now: Time, route: &SocketAddrV4) -> bool {
        let Some(rate) = self.refill(now) else { return true };
        let threshold = self.routes.get(route).map_or(0.5, |route| route.threshold);
        self.inward.min(self.outward) > threshold * rate * BURST.as_secs_f64()
    }

    /// Returns whether the budget is not used up.
    pub(crate) fn is_left(&mut self, now: Time) -> bool {
        self.refill(now).is_none() || self.inward.min(self.outward) > 0.0
    }

    /// Returns whether a packet that is sent now does not wait for long in front of the link.
    pub(crate) fn sends_at_once(&mut self, now: Time) -> bool {
        self.refill(now).is_none_or(|rate| self.waiting < rate * MAX_SEND_WAIT.as_secs_f64())
    }

    /// Counts a received packet.
    pub(crate) fn received(&mut self, now: Time, link_len: u16) {
        if self.refill(now).is_some() {
            self.inward -= f64::from(link_len);
            self.delay.count(u32::from(link_len), 0);
        }
    }

    /// Counts a reset, which is as long as an opening.
    pub(crate) fn reset_sent(&mut self, link_len: u16) {
        self.sent(u32::from(link_len));
    }

    /// Counts a forwarded packet.
    pub(crate) fn forwarded(&mut self, link_len: u16) {
        self.sent(u32::from(link_len) + FORWARD_EXTRA);
    }

    fn sent(&mut self, len: u32) {
        if self.rate.is_some() {
            self.outward -= f64::from(len);
            self.waiting += f64::from(len);
            self.delay.count(0, len);
        }
    }

    /// Reserves the mean bytes of a flow of `route` whose opening is forwarded.
    pub(crate) fn reserve(&mut self, now: Time, route: &SocketAddrV4) -> FlowBytes {
        let Some(route) = self.routes.get(route).filter(|_| self.rate.is_some()) else {
            return FlowBytes { opened: now, ..FlowBytes::default() };
        };
        self.delay.opening_sent(now);
        self.inward -= f64::from(route.mean.inward);
        self.outward -= f64::from(route.mean.outward);
        FlowBytes { opened: now, used: LinkBytes::default(), reserved: Some(route.mean) }
    }

    /// Attributes a forwarded packet to its flow: a reservation covers it as far as it goes.
    pub(crate) fn attribute(&mut self, flow: &mut FlowBytes, link_len: u16) {
        let Some(reserved) = flow.reserved else { return };
        let left = reserved.zip(flow.used, |reserved, used| (reserved - used).max(0.0));
        let bytes = LinkBytes::forwarded(link_len);
        self.return_bytes(bytes.zip(left, f32::min));
        flow.used = flow.used.zip(bytes, |used, bytes| used + bytes);
    }

    /// Ends the reservation of a flow that has ended or is older than [`RESERVED_TIME`], and learns
    /// from it.
    pub(crate) fn settle(
        &mut self,
        now: Time,
        flow: &mut FlowBytes,
        route: &SocketAddrV4,
        closed: bool,
    ) {
        if !closed && now.since(flow.opened) < RESERVED_TIME {
            return;
        }
        let Some(reserved) = flow.reserved.take() else { return };
        self.return_bytes(reserved.zip(flow.used, |reserved, used| (reserved - used).max(0.0)));
        if let Some(route) = self.routes.get_mut(route) {
            route.flows = (route.flows + 1.0).min(MEAN_FLOWS);
            let weight = 1.0 / route.flows as f32;
            route.mean = route.mean.zip(flow.used, |mean, used| mean + (used - mean) * weight);
        }
    }

    /// Records the first packet of `flow` after its opening.
    pub(crate) fn opening_answered(&mut self, now: Time, flow: &FlowBytes) {
        if flow.reserved.is_some() {
            self.delay.record(now, flow.opened);
        }
    }

    /// Returns the bytes that are left, not below 0.
    pub(crate) fn left(&self) -> u64 {
        self.inward.min(self.outward).max(0.0) as u64
    }

    /// Returns the refill rate, in bytes per second, or 0 without a link rate.
    pub(crate) fn refill_rate(&self) -> u64 {
        (self.rate.unwrap_or_default() * self.delay.factor()) as u64
    }

    /// Returns the last measured wait in front of the link.
    pub(crate) fn wait(&self) -> Duration {
        self.delay.excess()
    }

    fn return_bytes(&mut self, bytes: LinkBytes) {
        self.inward += f64::from(bytes.inward);
        self.outward += f64::from(bytes.outward);
    }

    /// Adds the tokens since the last call and returns the current rate, if there is one.
    fn refill(&mut self, now: Time) -> Option<f64> {
        let rate = self.rate?;
        let wait = self.delay.tick(now, rate);
        let rate = rate * self.delay.factor();
        let added = rate * now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.waiting = (self.waiting - added).max(0.0);
        let (low, high) = (-rate * MAX_DEBT.as_secs_f64(), rate * BURST.as_secs_f64());
        self.inward = (self.inward + added).clamp(low, high);
        self.outward = (self.outward + added).clamp(low, high);
        if let Some(wait) = wait {
            // Bytes that wait in front of the link have to pass before those of a new flow.
            let debt = -rate * wait.as_secs_f64();
            self.inward = self.inward.min(debt);
            self.outward = self.outward.min(debt);
        }
        Some(rate)
    }
}
