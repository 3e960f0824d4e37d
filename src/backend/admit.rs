//! The asking side of admission: finds a home that grants a slot, holds it and gives it back.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    backend::{
        Admission, Ask, Finish,
        choice::{Candidate, Choices},
        home::IDLE_RETRY,
        message::{Ended, HomeMessage},
        roster::home_of,
    },
    counter::Counter,
    entry::{EntryContext, EntryMessage, REQUESTS, Shared},
    name::Name,
    time::Time,
};

/// Time after which an ask without an answer is lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);
/// Homes that are asked for one request before it is refused.
const MAX_HOMES: usize = 3;
/// Time between two renewals of the held slots.
const RENEW_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a home hears of the slots held there after the last grant.
const CONTACT_AGE: Duration = Duration::from_secs(2);
/// Time after which a slot is no longer renewed.
const MAX_HELD: Duration = Duration::from_secs(300);
/// Requests that ask at the same time, at most.
const MAX_ASKS: usize = 16_384;

struct Attempt {
    ask: Ask,
    candidate: Candidate,
    sent: Time,
    homes: Vec<Name>,
    retry: Duration,
}

struct Held {
    server: Name,
    since: Time,
}

/// A message for the home `to`, which may be this VM.
pub(crate) struct Letter {
    pub(crate) to: Name,
    pub(crate) message: HomeMessage,
}

/// The requests of this VM that ask for a slot or hold one.
#[derive(Default)]
pub(crate) struct Asker {
    pub(crate) choices: Choices,
    attempts: BTreeMap<u64, Attempt>,
    held: BTreeMap<u64, Held>,
    contacts: BTreeMap<Name, Time>,
    ended: BTreeMap<Name, Vec<Ended>>,
    renewed: Time,
}

impl Asker {
    /// Starts to ask for `ask`.
    pub(crate) fn ask(&mut self, now: Time, ask: Ask, cx: &mut EntryContext<'_>) -> Vec<Letter> {
        if self.attempts.len() >= MAX_ASKS {
            cx.count(Counter::AsksOverflowed);
            admit(ask.ticket, Admission::Refused { retry: IDLE_RETRY }, cx);
            return Vec::new();
        }
        self.next(now, ask, Vec::new(), None, cx)
    }

    /// Takes the answer of the home `from`.
    pub(crate) fn answer(
        &mut self,
        now: Time,
        from: &Name,
        ticket: u64,
        admission: Admission,
        cx: &mut EntryContext<'_>,
    ) -> Vec<Letter> {
        let waiting = self.attempts.get(&ticket);
        let is_awaited = waiting.is_some_and(|attempt| attempt.candidate.home == *from);
        match admission {
            Admission::Granted { server, to } if is_awaited && is_in(&server, cx.shared) => {
                self.attempts.remove(&ticket);
                self.contacts.insert(from.clone(), now);
                self.granted(now, ticket, server, to, cx);
                Vec::new()
            }
            Admission::Granted { server, .. } => {
                let held = self.held.get(&ticket);
                if held.is_some_and(|held| held.server == server) {
                    return Vec::new();
                }
                cx.count(Counter::GrantsReturned);
                let ended = vec![Ended { ticket, server, finish: Finish::Cancelled }];
                let message = HomeMessage::Finish { start: cx.shared.me.incarnation, ended };
                vec![Letter { to: from.clone(), message }]
            }
            Admission::Refused { retry } if is_awaited => {
                let service = self.attempts[&ticket].ask.service.clone();
                self.choices.refused(now, from, &service, retry);
                self.refused(now, ticket, retry, cx)
            }
            Admission::Refused { .. } => Vec::new(),
        }
    }

    /// Gives the slot of an exchange back.
    pub(crate) fn finish(
        &mut self,
        ticket: u64,
        server: Name,
        finish: Finish,
        cx: &mut EntryContext<'_>,
    ) -> Option<Letter> {
        if self.held.get(&ticket).is_none_or(|held| held.server != server) {
            return None;
        }
        self.held.remove(&ticket);
        self.choices.freed(&server);
        let announce = cx.shared.state.servers.get(&server)?;
        let to = home_of(cx.shared, announce)?.clone();
        let ended = Ended { ticket, server, finish };
        if to != cx.shared.me.name {
            self.ended.entry(to.clone()).or_default().push(ended.clone());
        }
        let start = cx.shared.me.incarnation;
        Some(Letter { to, message: HomeMessage::Finish { start, ended: vec![ended] } })
    }

    /// Drops what waits too long and renews what is held.
    pub(crate) fn tick(&mut self, now: Time, cx: &mut EntryContext<'_>) -> Vec<Letter> {
        let late: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| now.since(attempt.sent) >= ASK_TIMEOUT)
            .map(|(&ticket, _)| ticket)
            .collect();
        let start = cx.shared.me.incarnation;
        let mut letters = Vec::new();
        for (to, ended) in std::mem::take(&mut self.ended) {
            letters.push(Letter { to, message: HomeMessage::Finish { start, ended } });
        }
        for ticket in late {
            cx.count(Counter::AsksLost);
            let to = self.attempts[&ticket].candidate.home.clone();
            letters.push(Letter { to, message: HomeMessage::Withdraw { start, ticket } });
            letters.extend(self.refused(now, ticket, IDLE_RETRY, cx));
        }
        if now.since(self.renewed) >= RENEW_PERIOD {
            self.renewed = now;
            self.held.retain(|_, held| now.since(held.since) < MAX_HELD);
            self.contacts.retain(|_, at| now.since(*at) < CONTACT_AGE);
            letters.extend(self.renewals(cx.shared));
        }
        letters
    }

    fn next(
        &mut self,
        now: Time,
        ask: Ask,
        mut homes: Vec<Name>,
        retry: Option<Duration>,
        cx: &mut EntryContext<'_>,
    ) -> Vec<Letter> {
        let left = homes.len() < MAX_HOMES;
        let picked = left.then(|| self.choices.pick(now, cx.shared, &ask, &homes)).flatten();
        let Some(candidate) = picked else {
            cx.count(Counter::AsksRefused);
            let wait = self.choices.wait(now, &ask.service);
            let retry = [retry, wait].into_iter().flatten().min().unwrap_or(IDLE_RETRY);
            admit(ask.ticket, Admission::Refused { retry }, cx);
            return Vec::new();
        };
        let message = HomeMessage::Ask {
            start: cx.shared.me.incarnation,
            index: cx.shared.state.index,
            ask: ask.clone(),
            server: candidate.server.clone(),
        };
        let to = candidate.home.clone();
        homes.push(to.clone());
        let retry = retry.unwrap_or(Duration::MAX);
        self.attempts.insert(ask.ticket, Attempt { ask, candidate, sent: now, homes, retry });
        vec![Letter { to, message }]
    }

    fn granted(
        &mut self,
        now: Time,
        ticket: u64,
        server: Name,
        to: SocketAddr,
        cx: &mut EntryContext<'_>,
    ) {
        self.choices.taken(&server);
        self.held.insert(ticket, Held { server: server.clone(), since: now });
        cx.count(Counter::AsksGranted);
        admit(ticket, Admission::Granted { server, to }, cx);
    }

    fn refused(
        &mut self,
        now: Time,
        ticket: u64,
        retry: Duration,
        cx: &mut EntryContext<'_>,
    ) -> Vec<Letter> {
        let Some(attempt) = self.attempts.remove(&ticket) else { return Vec::new() };
        let retry = attempt.retry.min(retry);
        self.next(now, attempt.ask, attempt.homes, Some(retry), cx)
    }

    /// Lists for each home what is held there; an empty list gives back what was lost.
    fn renewals(&self, shared: &Shared) -> Vec<Letter> {
        let empty = self.contacts.keys().map(|home| (home, BTreeMap::new()));
        let mut lists: BTreeMap<&Name, BTreeMap<Name, BTreeSet<u64>>> = empty.collect();
        for (&ticket, held) in &self.held {
            let Some(announce) = shared.state.servers.get(&held.server) else { continue };
            let Some(home) = home_of(shared, announce) else { continue };
            let servers = lists.entry(home).or_default();
            servers.entry(held.server.clone()).or_default().insert(ticket);
        }
        let start = shared.me.incarnation;
        let letter = |(home, held): (&Name, _)| Letter {
            to: home.clone(),
            message: HomeMessage::Renew { start, held },
        };
        lists.into_iter().map(letter).collect()
    }
}

/// Returns whether this VM knows `server` and has not heard that its availability zone is out.
fn is_in(server: &Name, shared: &Shared) -> bool {
    let state = &shared.state;
    state.servers.get(server).is_some_and(|known| !state.zones_out.contains_key(&known.zone))
}

fn admit(ticket: u64, admission: Admission, cx: &mut EntryContext<'_>) {
    let msg = EntryMessage::Admission { ticket, admission };
    cx.send(REQUESTS, msg).expect("the service is registered in EntryNode::new");
}
