//! The load of backend servers, inferred from callers' packets: requests in progress, response
//! times and outcomes, as far as this VM sees them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{
    decayed_share::DecayedShare,
    exchange::{Exchange, ExchangeEvent},
    responses::{Response, ServiceResponses},
};
use crate::{name::Name, routing_config::Route, time::Time};

/// Weight of a new response time in the moving average of a server.
const MEAN_WEIGHT: f32 = 0.125;
/// Time constant of a server's share of failures.
const FAILURE_WINDOW: Duration = Duration::from_secs(4);
/// Time without an outcome after which a server's averages are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Limit on outcomes that have not been taken; further ones are discarded.
const MAX_OUTCOMES: usize = 1_024;

/// How a request or an opening ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered after this time, less the way to the server and to the caller.
    Answered(Duration),
    /// The server refused it: a short response, much sooner than usual.
    Refused,
    /// The opening was not answered.
    Unanswered,
    /// The caller sent the request's data again without having received a response.
    Repeated,
    /// The flow ended without a response.
    Reset,
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ServerOutcome {
    pub(crate) service: Name,
    /// Number of the server.
    pub(crate) id: u64,
    /// Priority of the request's route.
    pub(crate) priority: u8,
    /// Time within which the request should have been answered.
    pub(crate) target: Duration,
    pub(crate) outcome: RequestOutcome,
    /// Whether it is worse than a usual answer of the service.
    pub(crate) bad: bool,
}

#[derive(Debug, Clone)]
struct Server {
    in_progress: u32,
    /// Mean response time, in microseconds.
    mean: Option<f32>,
    failures: DecayedShare,
    last_outcome: Time,
}

/// The load of backend servers by cookie.
#[derive(Debug, Clone, Default)]
pub struct ServerLoad {
    servers: BTreeMap<u32, Server>,
    services: BTreeMap<Name, ServiceResponses>,
    outcomes: VecDeque<ServerOutcome>,
}

impl ServerLoad {
    /// Returns the number of this VM's requests in progress at the server that holds `cookie`.
    pub fn in_progress(&self, cookie: u32) -> u32 {
        self.servers.get(&cookie).map_or(0, |server| server.in_progress)
    }

    /// Iterates over the servers at which this VM has requests in progress, by cookie.
    pub(crate) fn all_in_progress(&self) -> impl Iterator<Item = (u32, u32)> {
        let servers = self.servers.iter().filter(|(_, server)| server.in_progress > 0);
        servers.map(|(cookie, server)| (*cookie, server.in_progress))
    }

    /// Returns the moving average of the response time of the server that holds `cookie`, less the
    /// way to the server and to the caller.
    pub fn mean_time(&self, cookie: u32) -> Option<Duration> {
        let mean = self.servers.get(&cookie)?.mean?;
        Some(Duration::from_micros(mean as u64))
    }

    /// Returns the share of recent requests and openings that the server that holds `cookie` did
    /// not answer.
    pub fn failure_share(&self, now: Time, cookie: u32) -> f32 {
        let Some(server) = self.servers.get(&cookie) else { return 0.0 };
        let (results, failures) = server.failures.at(now);
        // Decay lowers both numbers; without recent results, a failure hardly counts.
        failures / results.max(1.0)
    }

    /// Takes the oldest outcome that has not been taken.
    pub(crate) fn take_outcome(&mut self) -> Option<ServerOutcome> {
        self.outcomes.pop_front()
    }

    /// Adds a flow at the server that holds `cookie` to the requests in progress.
    pub(super) fn add(&mut self, cookie: u32, exchange: &Exchange) {
        if exchange.in_progress() {
            self.server(cookie).in_progress += 1;
        }
    }

    /// Removes a flow at the server that holds `cookie` from the requests in progress.
    pub(super) fn remove(&mut self, cookie: u32, exchange: &Exchange) {
        if exchange.in_progress()
            && let Some(server) = self.servers.get_mut(&cookie)
        {
            server.in_progress = server.in_progress.saturating_sub(1);
        }
    }

    /// Records what a packet tells of a request at server `id` of `service`.
    pub(super) fn record(
        &mut self,
        now: Time,
        (service, id, cookie): (&Name, u64, u32),
        route: &Route,
        event: ExchangeEvent,
    ) {
        let (outcome, bad) = match event {
            ExchangeEvent::Answered { after, length } => {
                let new = || ServiceResponses::new(now, after);
                let responses = self.services.entry(service.clone()).or_insert_with(new);
                match responses.classify(now, after, length) {
                    Response::Answer => (RequestOutcome::Answered(after), false),
                    Response::SlowAnswer => (RequestOutcome::Answered(after), true),
                    Response::Refusal => (RequestOutcome::Refused, true),
                }
            }
            ExchangeEvent::Repeated => (RequestOutcome::Repeated, true),
            ExchangeEvent::Ended => (RequestOutcome::Reset, true),
        };
        let server = self.server(cookie);
        if let RequestOutcome::Answered(after) = outcome {
            let micros = after.as_micros() as f32;
            let mean = server.mean.unwrap_or(micros);
            server.mean = Some(mean + (micros - mean) * MEAN_WEIGHT);
        }
        self.report(now, (service, id, cookie), route, outcome, bad);
    }

    /// Reports an outcome at server `id` of `service`.
    pub(super) fn report(
        &mut self,
        now: Time,
        (service, id, cookie): (&Name, u64, u32),
        route: &Route,
        outcome: RequestOutcome,
        bad: bool,
    ) {
        let server = self.server(cookie);
        server.last_outcome = now;
        server.failures.record(now, !matches!(outcome, RequestOutcome::Answered(_)));
        if self.outcomes.len() < MAX_OUTCOMES {
            let (service, priority, target) = (service.clone(), route.priority, route.target);
            let outcome = ServerOutcome { service, id, priority, target, outcome, bad };
            self.outcomes.push_back(outcome);
        }
    }

    /// Forgets servers without requests in progress or recent outcomes.
    pub(super) fn sweep(&mut self, now: Time) {
        self.servers.retain(|_, server| {
            server.in_progress > 0 || now.since(server.last_outcome) < FORGET_AFTER
        });
    }

    fn server(&mut self, cookie: u32) -> &mut Server {
        self.servers.entry(cookie).or_insert_with(|| Server {
            in_progress: 0,
            mean: None,
            failures: DecayedShare::new(FAILURE_WINDOW),
            last_outcome: Time::ZERO,
        })
    }
}
