//! Client side of admission control: obtains slots from homes, renews them and releases them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    backend::{
        Admission, AdmissionRequest, Completion,
        choice::{Candidate, ServerSelector},
        home::IDLE_RETRY,
        message::{FinishedExchange, HomeMessage},
        roster::home_of,
    },
    counter::Counter,
    entry::{EntryContext, EntryMessage, REQUESTS, Shared},
    name::Name,
    time::Time,
};

/// Time after which an unanswered admission request counts as lost.
const ADMISSION_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of homes that are asked for one request before it is refused.
const MAX_HOMES: usize = 3;
/// Time between two renewals of the held slots.
const RENEW_PERIOD: Duration = Duration::from_millis(500);
/// Time after the last grant for which a home receives renewals even when no slot of its servers is
/// held.
const RENEWAL_AGE: Duration = Duration::from_secs(2);
/// Time after which a slot is no longer renewed.
const MAX_HOLD_TIME: Duration = Duration::from_secs(300);
/// Maximum number of concurrent admission requests.
const MAX_PENDING: usize = 16_384;

struct Attempt {
    request: AdmissionRequest,
    candidate: Candidate,
    sent: Time,
    homes: Vec<Name>,
    retry: Duration,
}

struct HeldSlot {
    server: Name,
    since: Time,
}

/// A message to the home `to`, which may be this VM.
pub(crate) struct OutboundMessage {
    pub(crate) to: Name,
    pub(crate) message: HomeMessage,
}

/// The requests of this VM that wait for a slot or hold one.
#[derive(Default)]
pub(crate) struct AdmissionClient {
    pub(crate) selector: ServerSelector,
    attempts: BTreeMap<u64, Attempt>,
    held: BTreeMap<u64, HeldSlot>,
    recent_homes: BTreeMap<Name, Time>,
    finished: BTreeMap<Name, Vec<FinishedExchange>>,
    renewed_at: Time,
}

impl AdmissionClient {
    /// Starts the admission of a request.
    pub(crate) fn start(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        cx: &mut EntryContext<'_>,
    ) -> Vec<OutboundMessage> {
        if self.attempts.len() >= MAX_PENDING {
            cx.count(Counter::AsksOverflowed);
            send_admission(request.ticket, Admission::Refused { retry: IDLE_RETRY }, cx);
            return Vec::new();
        }
        self.try_next(now, request, Vec::new(), None, cx)
    }

    /// Handles the answer of the home `from`.
    pub(crate) fn handle_answer(
        &mut self,
        now: Time,
        from: &Name,
        ticket: u64,
        admission: Admission,
        cx: &mut EntryContext<'_>,
    ) -> Vec<OutboundMessage> {
        let attempt = self.attempts.get(&ticket);
        let is_awaited = attempt.is_some_and(|attempt| attempt.candidate.home == *from);
        match admission {
            Admission::Granted { server, to } if is_awaited && is_available(&server, cx.shared) => {
                self.attempts.remove(&ticket);
                self.recent_homes.insert(from.clone(), now);
                self.handle_grant(now, ticket, server, to, cx);
                Vec::new()
            }
            Admission::Granted { server, .. } => {
                let held = self.held.get(&ticket);
                if held.is_some_and(|held| held.server == server) {
                    return Vec::new();
                }
                cx.count(Counter::GrantsReturned);
                let exchanges =
                    vec![FinishedExchange { ticket, server, completion: Completion::Cancelled }];
                let message =
                    HomeMessage::Finished { incarnation: cx.shared.me.incarnation, exchanges };
                vec![OutboundMessage { to: from.clone(), message }]
            }
            Admission::Refused { retry } if is_awaited => {
                let service = self.attempts[&ticket].request.service.clone();
                self.selector.record_refusal(now, from, &service, retry);
                self.handle_refusal(now, ticket, retry, cx)
            }
            Admission::Refused { .. } => Vec::new(),
        }
    }

    /// Releases the slot of an exchange.
    pub(crate) fn finish(
        &mut self,
        ticket: u64,
        server: Name,
        completion: Completion,
        cx: &mut EntryContext<'_>,
    ) -> Option<OutboundMessage> {
        if self.held.get(&ticket).is_none_or(|held| held.server != server) {
            return None;
        }
        self.held.remove(&ticket);
        self.selector.record_release(&server);
        let announce = cx.shared.state.servers.get(&server)?;
        let to = home_of(cx.shared, announce)?.clone();
        let exchange = FinishedExchange { ticket, server, completion };
        if to != cx.shared.me.name {
            self.finished.entry(to.clone()).or_default().push(exchange.clone());
        }
        let incarnation = cx.shared.me.incarnation;
        Some(OutboundMessage {
            to,
            message: HomeMessage::Finished { incarnation, exchanges: vec![exchange] },
        })
    }

    /// Times out unanswered requests and renews the held slots.
    pub(crate) fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Vec<OutboundMessage> {
        let late: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| now.since(attempt.sent) >= ADMISSION_TIMEOUT)
            .map(|(&ticket, _)| ticket)
            .collect();
        let incarnation = cx.shared.me.incarnation;
        let mut messages = Vec::new();
        for (to, exchanges) in std::mem::take(&mut self.finished) {
            messages.push(OutboundMessage {
                to,
                message: HomeMessage::Finished { incarnation, exchanges },
            });
        }
        for ticket in late {
            cx.count(Counter::AsksLost);
            let to = self.attempts[&ticket].candidate.home.clone();
            messages
                .push(OutboundMessage { to, message: HomeMessage::Cancel { incarnation, ticket } });
            messages.extend(self.handle_refusal(now, ticket, IDLE_RETRY, cx));
        }
        if now.since(self.renewed_at) >= RENEW_PERIOD {
            self.renewed_at = now;
            self.held.retain(|_, held| now.since(held.since) < MAX_HOLD_TIME);
            self.recent_homes.retain(|_, at| now.since(*at) < RENEWAL_AGE);
            messages.extend(self.build_renewals(cx.shared));
        }
        messages
    }

    fn try_next(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        mut homes: Vec<Name>,
        retry: Option<Duration>,
        cx: &mut EntryContext<'_>,
    ) -> Vec<OutboundMessage> {
        let may_try = homes.len() < MAX_HOMES;
        let picked =
            may_try.then(|| self.selector.pick(now, cx.shared, &request, &homes)).flatten();
        let Some(candidate) = picked else {
            cx.count(Counter::AsksRefused);
            let delay = self.selector.retry_after(now, &request.service);
            let retry = [retry, delay].into_iter().flatten().min().unwrap_or(IDLE_RETRY);
            send_admission(request.ticket, Admission::Refused { retry }, cx);
            return Vec::new();
        };
        let message = HomeMessage::Admit {
            incarnation: cx.shared.me.incarnation,
            index: cx.shared.state.index,
            request: request.clone(),
            preferred: candidate.server.clone(),
        };
        let to = candidate.home.clone();
        homes.push(to.clone());
        let retry = retry.unwrap_or(Duration::MAX);
        self.attempts
            .insert(request.ticket, Attempt { request, candidate, sent: now, homes, retry });
        vec![OutboundMessage { to, message }]
    }

    fn handle_grant(
        &mut self,
        now: Time,
        ticket: u64,
        server: Name,
        to: SocketAddr,
        cx: &mut EntryContext<'_>,
    ) {
        self.selector.record_grant(&server);
        self.held.insert(ticket, HeldSlot { server: server.clone(), since: now });
        cx.count(Counter::AsksGranted);
        send_admission(ticket, Admission::Granted { server, to }, cx);
    }

    fn handle_refusal(
        &mut self,
        now: Time,
        ticket: u64,
        retry: Duration,
        cx: &mut EntryContext<'_>,
    ) -> Vec<OutboundMessage> {
        let Some(attempt) = self.attempts.remove(&ticket) else { return Vec::new() };
        let retry = attempt.retry.min(retry);
        self.try_next(now, attempt.request, attempt.homes, Some(retry), cx)
    }

    /// Builds the list of held slots for each home; an empty list releases grants whose release
    /// message was lost.
    fn build_renewals(&self, shared: &Shared) -> Vec<OutboundMessage> {
        let empty = self.recent_homes.keys().map(|home| (home, BTreeMap::new()));
        let mut lists: BTreeMap<&Name, BTreeMap<Name, BTreeSet<u64>>> = empty.collect();
        for (&ticket, held) in &self.held {
            let Some(announce) = shared.state.servers.get(&held.server) else { continue };
            let Some(home) = home_of(shared, announce) else { continue };
            let servers = lists.entry(home).or_default();
            servers.entry(held.server.clone()).or_default().insert(ticket);
        }
        let incarnation = shared.me.incarnation;
        let to_message = |(home, held): (&Name, _)| OutboundMessage {
            to: home.clone(),
            message: HomeMessage::Renew { incarnation, held },
        };
        lists.into_iter().map(to_message).collect()
    }
}

/// Returns whether this VM knows `server` and its availability zone is not taken out in the
/// configuration applied here.
fn is_available(server: &Name, shared: &Shared) -> bool {
    let state = &shared.state;
    state.servers.get(server).is_some_and(|known| !state.zones_out.contains_key(&known.zone))
}

fn send_admission(ticket: u64, admission: Admission, cx: &mut EntryContext<'_>) {
    let msg = EntryMessage::Admission { ticket, admission };
    cx.send(REQUESTS, msg).expect("the service is registered in EntryNode::new");
}
