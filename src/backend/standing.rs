//! State of a backend server in the configuration log beyond its announcement, and the share of
//! work derived from it.

use serde::{Deserialize, Serialize};

use crate::{
    backend::phase::ServerPhase,
    name::Name,
    state::{Announce, FULL_WEIGHT, State},
};

/// Weights of the ramp steps up to the full share; a ramp costs one report per step.
pub(crate) const RAMP_WEIGHTS: [u32; 5] = [5, 10, 25, 50, FULL_WEIGHT];

/// Fraction (numerator, denominator) of the servers of a returning availability zone that must have
/// passed a step before the zone does.
const ZONE_STEP_SHARE: (usize, usize) = (3, 4);

/// The report of a home on a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Standing {
    /// The entry VM that probes the server and admits its requests.
    pub home: Name,
    /// Lifecycle phase of the server.
    pub phase: ServerPhase,
    /// Its share of new work, from 0 to 100, relative to the other servers of its service.
    pub weight: u32,
}

impl State {
    /// Returns the share of new work of a backend server, or `None` if it takes none.
    ///
    /// A suspect server keeps its share when more than half of the servers of its service are
    /// suspect: the health signal is then assumed to be wrong.
    pub fn share(&self, announce: &Announce) -> Option<u32> {
        if self.is_draining(announce) || self.zones_out.contains_key(&announce.zone) {
            return None;
        }
        let Some(standing) = self.standings.get(&announce.server) else {
            return Some(FULL_WEIGHT);
        };
        let weight = match standing.phase {
            ServerPhase::Draining => 0,
            ServerPhase::Suspect if !self.is_majority_suspect(&announce.service) => 0,
            _ => standing.weight.min(self.zone_weight_limit(&announce.zone)),
        };
        (weight > 0).then_some(weight)
    }

    /// Returns whether a backend server accepts no new work, as announced or as set by an operator.
    pub(crate) fn is_draining(&self, announce: &Announce) -> bool {
        announce.draining || self.drains.contains(&announce.server)
    }

    /// Returns whether more than half of the servers of `service` are suspect.
    pub(crate) fn is_majority_suspect(&self, service: &Name) -> bool {
        let (all, suspects) = self.count_suspects(service);
        suspects * 2 > all
    }

    /// Returns the number of servers of `service`, and how many of them are suspect.
    pub(crate) fn count_suspects(&self, service: &Name) -> (usize, usize) {
        let here = self.servers.values().filter(|server| {
            server.service == *service
                && !self.is_draining(server)
                && !self.zones_out.contains_key(&server.zone)
        });
        here.fold((0, 0), |(all, suspects), server| {
            let standing = self.standings.get(&server.server);
            let suspect = standing.is_some_and(|standing| standing.phase == ServerPhase::Suspect);
            (all + 1, suspects + usize::from(suspect))
        })
    }

    /// Returns the weight limit of the servers of `zone` while the zone returns.
    fn zone_weight_limit(&self, zone: &Name) -> u32 {
        self.returning.get(zone).map_or(FULL_WEIGHT, |&step| RAMP_WEIGHTS[usize::from(step)])
    }

    /// Takes an availability zone out of service and marks its servers cold.
    pub(crate) fn zone_out(&mut self, zone: &Name) {
        self.zones_out.entry(zone.clone()).or_insert(self.index);
        self.returning.remove(zone);
        for (name, standing) in &mut self.standings {
            let here = self.servers.get(name).is_some_and(|server| server.zone == *zone);
            if here {
                standing.weight = standing.weight.min(RAMP_WEIGHTS[0]);
                standing.phase = match standing.phase {
                    ServerPhase::Warming | ServerPhase::Ready => ServerPhase::Cold,
                    phase => phase,
                };
            }
        }
    }

    /// Returns an availability zone to service, at the first step.
    pub(crate) fn zone_in(&mut self, zone: &Name) {
        if self.zones_out.remove(zone).is_some() {
            self.returning.insert(zone.clone(), 0);
            self.advance_zone_step(zone);
        }
    }

    /// Advances a returning availability zone to the step that enough of its servers have passed.
    pub(crate) fn advance_zone_step(&mut self, zone: &Name) {
        let Some(&(mut step)) = self.returning.get(zone) else { return };
        let weights: Vec<u32> = self
            .servers
            .values()
            .filter(|server| server.zone == *zone && !self.is_draining(server))
            .filter_map(|server| self.standings.get(&server.server))
            .filter(|standing| standing.phase < ServerPhase::Suspect)
            .map(|standing| standing.weight)
            .collect();
        while usize::from(step) + 1 < RAMP_WEIGHTS.len() {
            let passed = weights.iter().filter(|&&weight| weight > RAMP_WEIGHTS[usize::from(step)]);
            if passed.count() * ZONE_STEP_SHARE.1 < weights.len() * ZONE_STEP_SHARE.0 {
                self.returning.insert(zone.clone(), step);
                return;
            }
            step += 1;
        }
        self.returning.remove(zone);
    }
}
