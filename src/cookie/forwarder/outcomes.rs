//! What callers' packets tell of backend servers, and the parts of the forwarder that depend on it.

use super::{
    super::{
        exchange::Exchange, flow_table::FlowEntry, record::server_cookie,
        server_load::RequestOutcome, verdict::PacketInfo,
    },
    Forwarder,
};
use crate::time::Time;

impl Forwarder {
    /// Records what a packet tells of the server of its flow.
    ///
    /// A flow that another VM has opened shows progress with its second packet here, as the first
    /// one may be a retransmission.
    pub(super) fn note_progress(
        &mut self,
        now: Time,
        packet: &PacketInfo,
        entry: Option<FlowEntry>,
        id: u64,
    ) {
        let endpoints = (packet.caller, packet.route);
        let established = entry.filter(|entry| entry.established);
        if let Some(entry) = established {
            if packet.acknowledges_after(entry.acknowledged) {
                self.health.progress(now, id);
            }
            return;
        }
        // A caller that gives up without an answer has no cookie; without an entry, the flow table
        // was full.
        let given_up = packet.closes && packet.cookie == 0;
        if !given_up && (entry.is_some() || self.health.is_pending(&endpoints)) {
            self.health.opening_answered(now, &endpoints, id);
        }
    }

    /// Records what a packet tells of the request on its flow, and returns the new state of the
    /// request.
    pub(super) fn note_exchange(
        &mut self,
        now: Time,
        packet: &PacketInfo,
        entry: Option<FlowEntry>,
        cookie: u32,
    ) -> Exchange {
        let Some(entry) = entry else { return Exchange::joined(packet) };
        let mut exchange = entry.exchange;
        let event = exchange.apply(now, packet);
        if let Some(event) = event
            && let Some(record) = self.directory.by_cookie(cookie)
            && let Some(route) = self.routes.get(&packet.route)
        {
            let server = &record.announcement;
            self.load.record(now, (&server.service, server.id, cookie), route, event);
        }
        exchange
    }

    /// Applies the outcomes of requests and openings to what depends on them.
    pub(super) fn apply_outcomes(&mut self, now: Time) {
        self.health.tick(now);
        while let Some(opening) = self.health.take_unanswered() {
            let cookie = server_cookie(opening.id);
            if let Some(record) = self.directory.by_cookie(cookie)
                && let Some(route) = self.routes.get(&opening.route)
            {
                let server = (&record.announcement.service, opening.id, cookie);
                self.load.report(now, server, route, RequestOutcome::Unanswered, true);
            }
        }
        while let Some(outcome) = self.load.take_outcome() {
            self.health.record(now, outcome.id, outcome.bad, &self.directory);
            // A server that answers worse than the others says nothing about the room of these.
            if !self.health.is_limited(outcome.id)
                && let Some((server, _)) = self.directory.assess(now, outcome.id)
            {
                let place = (&server.service, &server.zone);
                self.room.record(now, place, outcome.target, &outcome.outcome);
            }
            match outcome.outcome {
                RequestOutcome::Answered(after) => self.pool.answered(outcome.id, after),
                RequestOutcome::Refused => self.pool.refused(outcome.id),
                _ => {}
            }
        }
    }
}
