//! State of one backend server at its home.

use std::{collections::BTreeSet, fmt, time::Duration};

use statig::{blocking::StateMachine, prelude::IntoStateMachineExt};

use crate::{
    backend::{
        Completion,
        evidence::Evidence,
        phase::{Lifecycle, LifecycleEvent, ServerPhase},
        probe::{Load, PROBE_PERIOD, ProbeKind, ProbeResult},
        ramp::{LAST_STEP, Ramp},
        slots::{Holder, Slots, TAKEOVER_DELAY},
        standing::{RAMP_WEIGHTS, Standing},
    },
    counter::Counter,
    member::hash,
    name::Name,
    state::{Announce, State},
    time::Time,
    tree::Mode,
};

/// Time without an announcement or an answered request after which a server is gone.
pub(crate) const GONE_AFTER: Duration = Duration::from_secs(6);
/// Time for which a server that only announced itself, and showed no other sign of life, receives
/// no requests.
const ANNOUNCED_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum time between two reports of one server.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a suspect server receives no requests; it doubles with each further suspicion, up
/// to eight times.
const SUSPECT_HOLD: Duration = Duration::from_secs(5);
/// Retry delay of a request that found no free slot.
pub(crate) const BUSY_RETRY: Duration = Duration::from_millis(100);
/// Retry delay of a request when no server accepts requests.
pub(crate) const IDLE_RETRY: Duration = Duration::from_secs(1);
/// Share of the connections in use, in percent, from which a server receives no new flows.
const FULL_PERCENT: u64 = 95;
/// Share of the connections in use, in percent, below which a full server receives new flows again.
const REOPEN_PERCENT: u64 = 85;

/// A backend server whose home is this VM.
pub(crate) struct ManagedServer {
    announce: Announce,
    last_seen: Time,
    lifecycle: StateMachine<Lifecycle>,
    ramp: Ramp,
    evidence: Evidence,
    slots: Slots,
    predecessor: Option<Name>,
    opens_at: Time,
    suspicions: u32,
    suspected_at: Time,
    phase_since: Time,
    connections_full: bool,
    zone_out: bool,
    assumed_ready: bool,
    unconfirmed: bool,
    reported_at: Option<Time>,
    next_probes: [Time; 2],
}

/// An action of the home for a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum HomeAction {
    /// Send a probe.
    Probe(ProbeKind),
    /// Report the standing to the configuration log.
    Report(Standing),
    /// Report that the server is gone.
    ReportGone,
}

impl ManagedServer {
    /// Creates the state of a server that had no home before.
    pub(crate) fn new(now: Time, announce: Announce) -> ManagedServer {
        let mut server = ManagedServer {
            last_seen: now,
            lifecycle: Lifecycle.state_machine(),
            ramp: Ramp::new(now, 0),
            evidence: Evidence::default(),
            slots: Slots::default(),
            predecessor: None,
            opens_at: now,
            suspicions: 0,
            suspected_at: now,
            phase_since: now,
            connections_full: false,
            zone_out: false,
            assumed_ready: false,
            unconfirmed: false,
            reported_at: None,
            next_probes: first_probes(now, &announce.server),
            announce,
        };
        if server.announce.draining {
            server.apply(now, LifecycleEvent::Drain);
        }
        server
    }

    /// Creates the state of a server that had the home `predecessor` before, if that is known; the
    /// server is closed until `predecessor` hands it over or [`TAKEOVER_DELAY`] has passed.
    pub(crate) fn with_standing(
        now: Time,
        announce: Announce,
        standing: &Standing,
        predecessor: Option<Name>,
    ) -> ManagedServer {
        let mut server = ManagedServer::new(now, announce);
        server.ramp = Ramp::new(now, standing.weight);
        match standing.phase {
            ServerPhase::Announced | ServerPhase::Draining => {}
            ServerPhase::Cold => server.apply(now, LifecycleEvent::FirstSign),
            ServerPhase::Warming => server.apply(now, LifecycleEvent::Warm),
            ServerPhase::Ready => server.apply(now, LifecycleEvent::RampComplete),
            ServerPhase::Suspect => server.apply(now, LifecycleEvent::Suspect),
        }
        server.predecessor = predecessor;
        server.unconfirmed = true;
        server.close(now);
        server
    }

    /// Creates the state of a server that takes its full share at once and needs no announcement.
    pub(crate) fn with_full_share(now: Time, announce: Announce) -> ManagedServer {
        let mut server = ManagedServer::new(now, announce);
        server.assumed_ready = true;
        server.ramp = Ramp::new(now, RAMP_WEIGHTS[LAST_STEP]);
        server.apply(now, LifecycleEvent::RampComplete);
        server
    }

    pub(crate) fn announce(&self) -> &Announce {
        &self.announce
    }

    /// Returns the phase, or `None` for a server that is gone.
    pub(crate) fn phase(&self) -> Option<ServerPhase> {
        self.lifecycle.state().phase()
    }

    /// Returns whether the server still has to be confirmed by an announcement after a change of
    /// home.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.unconfirmed
    }

    /// Returns whether the server may be handed over: it is open and confirmed by an announcement.
    pub(crate) fn can_hand_over(&self, now: Time) -> bool {
        now >= self.opens_at && !self.unconfirmed && self.phase().is_some()
    }

    /// Returns whether a handover from `predecessor` is still expected.
    pub(crate) fn expects_handover(&self, now: Time, predecessor: &str) -> bool {
        now < self.opens_at && self.predecessor.as_deref().is_none_or(|name| name == predecessor)
    }

    /// Closes the server for [`TAKEOVER_DELAY`], as another VM may have granted its slots.
    pub(crate) fn close(&mut self, now: Time) {
        self.opens_at = now + TAKEOVER_DELAY;
        self.slots.mark_uncertain(self.opens_at);
    }

    /// Applies the handover of the former home and opens the server.
    pub(crate) fn take_over(&mut self, now: Time, step: usize, holders: Vec<Holder>) {
        self.ramp = Ramp::new(now, RAMP_WEIGHTS[step.min(LAST_STEP)]);
        for holder in holders {
            self.slots.hold(now, holder);
        }
        self.opens_at = now;
    }

    /// Returns the data for a handover: the ramp step and the slot holders.
    pub(crate) fn handover_state(&self) -> (usize, Vec<Holder>) {
        (self.ramp.step(), self.slots.holders().cloned().collect())
    }

    /// Handles an announcement and returns the counter to increment.
    pub(crate) fn handle_announce(&mut self, now: Time, announce: &Announce) -> Option<Counter> {
        if announce.boot < self.announce.boot {
            return Some(Counter::AnnouncesStale);
        }
        self.last_seen = now;
        (self.assumed_ready, self.unconfirmed) = (false, false);
        let booted = announce.boot > self.announce.boot || self.phase().is_none();
        let was_draining = self.announce.draining;
        self.announce = announce.clone();
        if booted {
            self.reset_on_boot(now);
        }
        match (was_draining && !booted, announce.draining) {
            (false, true) => self.apply(now, LifecycleEvent::Drain),
            (true, false) => {
                self.ramp.reset(now);
                self.apply(now, LifecycleEvent::Resume);
            }
            _ => {}
        }
        booted.then_some(Counter::ServersBooted)
    }

    /// Records that an announcement with unchanged content arrived at some VM.
    pub(crate) fn keep_alive(&mut self, now: Time, boot: u64) {
        if boot == self.announce.boot && self.phase().is_some() {
            self.last_seen = now;
            self.unconfirmed = false;
        }
    }

    /// Grants a slot, or returns the retry delay if the request is refused.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        state: &State,
        holder: &Holder,
    ) -> Result<(), Duration> {
        if self.slots.holds(holder) {
            return Ok(());
        }
        let limit = match self.phase() {
            Some(ServerPhase::Cold | ServerPhase::Warming | ServerPhase::Ready) => {
                self.ramp.limit(self.announce.slots)
            }
            Some(ServerPhase::Suspect) if state.is_majority_suspect(&self.announce.service) => {
                1.min(self.announce.slots)
            }
            _ => return Err(IDLE_RETRY),
        };
        // A server that this VM has not heard from may have restarted.
        if self.unconfirmed || self.zone_out || state.zones_out.contains_key(&self.announce.zone) {
            return Err(IDLE_RETRY);
        }
        let opens = self.opens_at.max(self.ramp.closed_until());
        if now < opens {
            return Err(opens.since(now));
        }
        if self.slots.used(now) >= limit {
            return Err(BUSY_RETRY);
        }
        self.slots.hold(now, holder.clone());
        Ok(())
    }

    /// Returns the number of slots that the server offers now.
    pub(crate) fn free_slots(&self, now: Time) -> u32 {
        if self.unconfirmed || now < self.opens_at.max(self.ramp.closed_until()) {
            return 0;
        }
        self.ramp.limit(self.announce.slots).saturating_sub(self.slots.used(now))
    }

    /// Applies the complete list of the tickets that `vm` holds at this server; an unknown ticket
    /// was granted by the former home.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        vm: &Name,
        incarnation: u64,
        tickets: &BTreeSet<u64>,
    ) {
        self.slots.renew(now, vm, incarnation, tickets);
    }

    /// Handles the end of an admitted request and returns the counter to increment.
    pub(crate) fn finish(
        &mut self,
        now: Time,
        state: &State,
        holder: &Holder,
        completion: &Completion,
    ) -> Option<Counter> {
        if !self.slots.release(holder) {
            return None;
        }
        match *completion {
            Completion::Served { latency } => self.handle_served(now, state, latency),
            Completion::Shed { retry } => {
                self.ramp.record_shed(now, retry);
                self.sync_phase(now);
                Some(Counter::ServersShed)
            }
            Completion::TimedOut => {
                self.evidence.record_timeout(self.ramp.step() > 0).then(|| self.mark_suspect(now))
            }
            Completion::Cancelled => None,
        }
    }

    /// Handles a probe result and returns the counter to increment.
    pub(crate) fn handle_probe(
        &mut self,
        now: Time,
        state: &State,
        result: &ProbeResult,
    ) -> Option<Counter> {
        match result {
            ProbeResult::Health(healthy) => return self.handle_health(now, state, *healthy),
            ProbeResult::Load(load) => self.handle_load(now, state, load),
        }
        None
    }

    /// Runs the timers and returns the counter to increment; `zone` is the zone of this VM.
    pub(crate) fn tick(&mut self, now: Time, state: &State, zone: &Name) -> Option<Counter> {
        let expired = self.slots.expire(now) > 0;
        let zone_change = self.update_zone(now, state);
        if zone_change.is_some() {
            return zone_change;
        }
        if self.is_silent(now) {
            // A server of a zone that is partitioned off may still be running there.
            let remote = self.unconfirmed && self.announce.zone != *zone;
            if remote && self.phase() == Some(ServerPhase::Suspect) {
                return None;
            }
            if remote {
                return Some(self.mark_suspect(now));
            }
            self.apply(now, LifecycleEvent::TimedOut);
            return Some(Counter::ServersGone);
        }
        if self.phase() == Some(ServerPhase::Announced)
            && now.since(self.phase_since) > ANNOUNCED_TIMEOUT
        {
            self.apply(now, LifecycleEvent::FirstSign);
        }
        let hold = SUSPECT_HOLD * (1 << self.suspicions.clamp(1, 4)) / 2;
        let may_recover =
            !self.unconfirmed && self.evidence.is_healthy() && now.since(self.suspected_at) > hold;
        if self.phase() == Some(ServerPhase::Suspect) && may_recover {
            self.apply(now, LifecycleEvent::Recover);
        }
        expired.then_some(Counter::GrantsLapsed)
    }

    /// Returns the actions that are due for the server; `me` is this VM.
    pub(crate) fn due_actions(&mut self, now: Time, state: &State, me: &Name) -> Vec<HomeAction> {
        let mut due = Vec::new();
        if self.assumed_ready {
            return due;
        }
        for (next, kind) in self.next_probes.iter_mut().zip([ProbeKind::Health, ProbeKind::Load]) {
            if *next <= now && !self.zone_out {
                *next = now + PROBE_PERIOD;
                due.push(HomeAction::Probe(kind));
            }
        }
        if self.reported_at.is_none_or(|at| now.since(at) >= REPORT_INTERVAL) {
            let report = self.report(state, me);
            self.reported_at = report.as_ref().map(|_| now).or(self.reported_at);
            due.extend(report);
        }
        due
    }

    fn report(&self, state: &State, me: &Name) -> Option<HomeAction> {
        let known = state.servers.get(&self.announce.server);
        let Some(phase) = self.phase() else { return known.map(|_| HomeAction::ReportGone) };
        if self.unconfirmed && phase != ServerPhase::Suspect {
            return None;
        }
        let logged = state.standings.get(&self.announce.server);
        // Only a home that has heard from the server names itself in the report.
        let home = logged.filter(|_| self.unconfirmed).map_or(me, |standing| &standing.home);
        let weight = match phase {
            ServerPhase::Draining => 0,
            _ if self.connections_full => 0,
            _ => self.ramp.weight(),
        };
        let standing = Standing { home: home.clone(), phase, weight };
        let same = known == Some(&self.announce) && logged == Some(&standing);
        (!same).then_some(HomeAction::Report(standing))
    }

    fn handle_served(&mut self, now: Time, state: &State, latency: Duration) -> Option<Counter> {
        if self.evidence.record_latency(now, latency) {
            self.evidence = Evidence::default();
            self.ramp.reset(now);
            self.apply(now, LifecycleEvent::Reset);
            return Some(Counter::ServersFallen);
        }
        let max_step = self.max_step(state);
        self.ramp.record_success(now, latency, max_step);
        if self.phase() == Some(ServerPhase::Announced) {
            self.apply(now, LifecycleEvent::FirstSign);
        }
        self.sync_phase(now);
        None
    }

    fn handle_health(&mut self, now: Time, state: &State, healthy: bool) -> Option<Counter> {
        let suspect = self.evidence.record_probe(now, healthy);
        if healthy && self.phase() == Some(ServerPhase::Announced) {
            self.apply(now, LifecycleEvent::FirstSign);
        }
        if !suspect
            || matches!(self.phase(), None | Some(ServerPhase::Suspect | ServerPhase::Draining))
        {
            return None;
        }
        let (all, suspects) = state.count_suspects(&self.announce.service);
        if (suspects + 1) * 2 > all {
            return Some(Counter::FloorsHeld);
        }
        Some(self.mark_suspect(now))
    }

    fn handle_load(&mut self, now: Time, state: &State, load: &Load) {
        self.slots.set_running(load.running);
        let used = u64::from(load.connections) * 100;
        let all = u64::from(self.announce.connections);
        self.connections_full = all > 0
            && used >= all * if self.connections_full { REOPEN_PERCENT } else { FULL_PERCENT };
        let service = &self.announce.service;
        let spec = state.tree.services().find(|(_, name, _)| *name == service);
        // Only for services in flow mode: request outcomes are better evidence than the server's
        // own load reports.
        if spec.is_some_and(|(_, _, spec)| spec.mode == Mode::Flow) && self.accepts_work() {
            let max_step = self.max_step(state);
            self.ramp.record_load(now, load, max_step);
            self.sync_phase(now);
        }
    }

    fn reset_on_boot(&mut self, now: Time) {
        self.evidence = Evidence::default();
        self.slots.orphan_all();
        self.ramp.reset(now);
        self.ramp.clear_sequence();
        self.connections_full = false;
        self.apply(now, LifecycleEvent::Boot);
    }

    fn mark_suspect(&mut self, now: Time) -> Counter {
        self.suspicions += 1;
        self.suspected_at = now;
        self.ramp.reset(now);
        self.apply(now, LifecycleEvent::Suspect);
        Counter::ServersSuspect
    }

    fn is_silent(&self, now: Time) -> bool {
        !self.assumed_ready
            && now.since(self.last_seen) > GONE_AFTER
            && !self.evidence.has_served(now, GONE_AFTER)
            && self.phase().is_some()
    }

    fn update_zone(&mut self, now: Time, state: &State) -> Option<Counter> {
        let was_out = self.zone_out;
        self.zone_out = state.zones_out.contains_key(&self.announce.zone);
        if !self.zone_out || was_out {
            return None;
        }
        self.ramp.reset(now);
        self.apply(now, LifecycleEvent::Reset);
        Some(Counter::ServersGivenUp)
    }

    /// Returns the highest step that the server may reach: one above the step of its returning
    /// zone.
    fn max_step(&self, state: &State) -> usize {
        match state.returning.get(&self.announce.zone) {
            Some(&step) => usize::from(step) + 1,
            None => LAST_STEP,
        }
    }

    fn accepts_work(&self) -> bool {
        matches!(self.phase(), Some(ServerPhase::Cold | ServerPhase::Warming | ServerPhase::Ready))
    }

    /// Updates the phase from the ramp step.
    fn sync_phase(&mut self, now: Time) {
        if !self.accepts_work() {
            return;
        }
        let event = match self.ramp.step() {
            0 => LifecycleEvent::Reset,
            LAST_STEP => LifecycleEvent::RampComplete,
            _ => LifecycleEvent::Warm,
        };
        if event == LifecycleEvent::RampComplete {
            self.suspicions = 0;
        }
        self.apply(now, event);
    }

    fn apply(&mut self, now: Time, event: LifecycleEvent) {
        let before = self.phase();
        self.lifecycle.handle(&event);
        if self.phase() != before {
            self.phase_since = now;
        }
    }
}

impl fmt::Debug for ManagedServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:?} step {}", self.announce.server, self.phase(), self.ramp.step())
    }
}

/// Returns the first probe times, spread over the period by a hash of the name.
fn first_probes(now: Time, server: &Name) -> [Time; 2] {
    let period = PROBE_PERIOD.as_micros() as u64;
    let offset = hash(server.as_bytes()) % period;
    let health = now + Duration::from_micros(offset);
    [health, health + PROBE_PERIOD / 2]
}
