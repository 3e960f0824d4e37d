//! What an entry VM knows of one backend server by its results.

use std::time::Duration;

use super::decayed_share::DecayedShare;
use crate::time::Time;

/// How long a server stays suspect; its failure is known from its announcements by then.
const SUSPECT_DURATION: Duration = Duration::from_secs(3);
/// Consecutive unanswered openings that make a server suspect; a single one may be a lost packet.
const FAILURE_THRESHOLD: u32 = 2;
/// Probability of losing as many consecutive openings, given the share that other servers left
/// unanswered, below which a server is suspect.
const LOSS_PROBABILITY: f32 = 0.000_1;
/// Answered openings that are assumed of the other servers, so that a single lost one does not pass
/// for a general loss.
const ASSUMED_ANSWERS: f32 = 2.0;
/// Time constant of the recent share of openings that go unanswered.
const LOSS_WINDOW: Duration = Duration::from_millis(500);
/// Time constant of the results of requests. A server from which no results come any more gets its
/// full share again after about two of them.
pub(super) const RESULT_WINDOW: Duration = Duration::from_secs(4);
/// Results as good as the service's mean that are assumed of every server, so that a single bad one
/// has no effect.
const ASSUMED_RESULTS: f32 = 10.0;
/// Weight of all results of a server: those of a failure count after few requests, at any rate.
const MAX_RESULTS: f32 = 20.0;
/// By how much a server's share of bad results may exceed the service's before it gets fewer flows.
const TOLERATED_EXCESS: f32 = 0.15;
/// Decrease of a server's weight per increase of its excess share of bad results; the weight
/// reaches [`MIN_WEIGHT`] at an excess of 0.31.
const WEIGHT_SLOPE: f32 = 6.0;
/// Share of its flows that a server with bad results still gets, so that better ones show.
const MIN_WEIGHT: f32 = 0.05;
/// Time without another result after which unanswered openings are forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(6);

/// Openings answered and unanswered, since the start and recently.
#[derive(Debug, Clone, Copy)]
pub(super) struct Openings {
    answered: u64,
    unanswered: u64,
    recent: DecayedShare,
}

impl Openings {
    pub(super) const fn new() -> Openings {
        Openings { answered: 0, unanswered: 0, recent: DecayedShare::new(LOSS_WINDOW) }
    }

    pub(super) fn record(&mut self, now: Time, unanswered: bool) {
        match unanswered {
            true => self.unanswered += 1,
            false => self.answered += 1,
        }
        self.recent.record(now, unanswered);
    }
}

/// What is known of a server by its results.
#[derive(Debug, Clone, Copy)]
pub(super) struct Server {
    /// When a caller last acknowledged something new from it.
    progress: Time,
    /// Unanswered openings since then.
    unanswered: u32,
    last_unanswered: Time,
    /// Openings of all servers that have not failed, before the first of these.
    before: Openings,
    /// Its recent openings.
    recent: DecayedShare,
    /// Whether the unanswered openings are too many to be lost packets.
    pub(super) failed: bool,
    /// Results, of which some were bad; earlier ones weigh little.
    results: DecayedShare,
    /// Results as they count in those of the service.
    all_results: DecayedShare,
    /// Share of bad results of the other servers of its service at its last result.
    usual: f32,
    /// Whether it gets fewer flows or none; at most a third of a service's servers do.
    pub(super) limited: bool,
}

impl Server {
    /// Creates a server without results.
    pub(super) const fn new() -> Server {
        Server {
            progress: Time::ZERO,
            unanswered: 0,
            last_unanswered: Time::ZERO,
            before: Openings::new(),
            recent: DecayedShare::new(LOSS_WINDOW),
            failed: false,
            results: DecayedShare::new(RESULT_WINDOW),
            all_results: DecayedShare::new(RESULT_WINDOW),
            usual: 0.0,
            limited: false,
        }
    }

    /// Records a result, given all results of its service before.
    pub(super) fn record(&mut self, now: Time, bad: bool, service: &DecayedShare) {
        let (results, all_bad) = service.at(now);
        let (own, own_bad) = self.all_results.at(now);
        self.usual = (all_bad - own_bad).max(0.0) / (results - own).max(1.0);
        self.all_results.record(now, bad);
        self.results.record_limited(now, bad, MAX_RESULTS);
    }

    /// Records that something new of the server's was acknowledged.
    pub(super) fn progressed(&mut self, now: Time) {
        (self.progress, self.unanswered, self.failed) = (now, 0, false);
    }

    /// Records that an opening sent at `sent` was answered or not, given all openings before.
    pub(super) fn opening_ended(
        &mut self,
        now: Time,
        sent: Time,
        unanswered: bool,
        all: &Openings,
    ) {
        // If flows there made progress later, the server is full of connections.
        if unanswered && self.progress < sent {
            if self.unanswered == 0 {
                self.before = *all;
            }
            let loss = self.loss_elsewhere(now, all);
            self.unanswered += 1;
            self.last_unanswered = now;
            self.failed |= self.unanswered >= FAILURE_THRESHOLD
                && loss.powi(self.unanswered as i32) < LOSS_PROBABILITY;
        }
        self.recent.record(now, unanswered);
    }

    /// Returns whether recent openings went unanswered with no other sign of life.
    pub(super) fn is_unanswered(&self, now: Time) -> bool {
        self.unanswered >= FAILURE_THRESHOLD && now.since(self.last_unanswered) < SUSPECT_DURATION
    }

    /// Forgets what is too old to count; returns whether anything is left.
    pub(super) fn sweep(&mut self, now: Time) -> bool {
        if now.since(self.last_unanswered) >= FORGET_AFTER {
            (self.unanswered, self.failed) = (0, false);
        }
        let idle = now.since(self.progress.max(self.last_unanswered)) >= FORGET_AFTER;
        !idle || self.limited
    }

    pub(super) fn is_failed(&self, now: Time) -> bool {
        self.failed && now.since(self.last_unanswered) < SUSPECT_DURATION
    }

    /// Returns the share of openings that other servers left unanswered, recently or since the
    /// first unanswered one of this server.
    fn loss_elsewhere(&self, now: Time, all: &Openings) -> f32 {
        let loss = |openings: f32, lost: f32| lost.max(0.0) / (openings.max(0.0) + ASSUMED_ANSWERS);
        let lost = (all.unanswered - self.before.unanswered) as f32 - self.unanswered as f32;
        let answered = (all.answered - self.before.answered) as f32;
        let (openings, recently_lost) = all.recent.at(now);
        let (own, own_lost) = self.recent.at(now);
        loss(answered + lost, lost).max(loss(openings - own, recently_lost - own_lost))
    }

    /// Returns the share of its usual flows that the server should get.
    pub(super) fn weight(&self, now: Time) -> f32 {
        if self.is_failed(now) {
            return 0.0;
        }
        if self.failed {
            return MIN_WEIGHT;
        }
        let (results, bad) = self.results.at(now);
        let excess = (bad - results * self.usual) / (results + ASSUMED_RESULTS);
        (1.0 - (excess - TOLERATED_EXCESS) * WEIGHT_SLOPE).clamp(MIN_WEIGHT, 1.0)
    }
}
