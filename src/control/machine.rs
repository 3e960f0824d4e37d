//! Replicated state machine: the configuration, the outcomes of operator requests for
//! deduplication, and the change history.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    member::hash,
    name::Name,
    state::{Command, Outcome, State},
};

/// Commands after which a request's outcome is evicted and resending the request is refused.
pub const DEDUP_WINDOW: u64 = 16_384;
/// Maximum number of history entries.
const HISTORY_LEN: usize = 1_000;

/// Identifies a change, so that a resend is not applied twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Request {
    /// A random number that identifies the request.
    pub id: u64,
    /// State index that the operator had read when creating the request. The request is refused
    /// once the state is more than [`DEDUP_WINDOW`] commands ahead of it.
    pub made: u64,
}

/// A command with its request and author.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Change {
    /// The request, if an operator submitted the command.
    pub request: Option<Request>,
    /// The operator, if tokens are in use.
    pub author: Option<Name>,
    /// The command.
    pub command: Command,
}

/// An operator's change in the history.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Index of the state after the change.
    pub index: u64,
    /// The operator, if tokens are in use.
    pub author: Option<Name>,
    /// Description of what was changed.
    pub subject: Name,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// The recorded outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct CachedOutcome {
    index: u64,
    digest: u64,
    outcome: Outcome,
}

/// State that every control VM computes from the log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StateMachine {
    state: State,
    outcomes: BTreeMap<u64, CachedOutcome>,
    request_ids: BTreeMap<u64, u64>,
    history: Vec<HistoryEntry>,
}

impl StateMachine {
    /// Creates the state machine before the first entry.
    pub fn new() -> StateMachine {
        StateMachine::default()
    }

    /// Returns the configuration state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the operators' changes, oldest first.
    pub fn history(&self) -> &[HistoryEntry] {
        &self.history
    }

    /// Returns whether the outcome of a request is recorded.
    pub fn has_outcome(&self, request: Request) -> bool {
        self.outcomes.contains_key(&request.id)
    }

    /// Returns the operators' changes after the state with index `made`, or `None` if some of them
    /// are no longer in the history.
    pub fn history_after(&self, made: u64) -> Option<&[HistoryEntry]> {
        let is_whole = self.history.len() < HISTORY_LEN;
        let first = self.history.partition_point(|entry| entry.index <= made);
        (is_whole || first > 0).then(|| &self.history[first..])
    }

    /// Applies `change`. Returns its outcome and whether the command was applied to the
    /// configuration.
    ///
    /// A repeated request returns the recorded outcome and is not applied again. A request older
    /// than [`DEDUP_WINDOW`] is refused, because its outcome may have been evicted.
    pub fn apply(&mut self, change: &Change) -> (Outcome, bool) {
        let Some(request) = change.request else { return (self.apply_command(change), true) };
        let digest = digest(&change.command);
        if let Some(cached) = self.outcomes.get(&request.id) {
            let same = cached.digest == digest;
            return (if same { cached.outcome.clone() } else { reused() }, false);
        }
        if request.made > self.state.index || request.made + DEDUP_WINDOW < self.state.index {
            return (expired(), false);
        }
        let outcome = self.apply_command(change);
        let cached = CachedOutcome { index: self.state.index, digest, outcome: outcome.clone() };
        self.request_ids.insert(cached.index, request.id);
        self.outcomes.insert(request.id, cached);
        (outcome, true)
    }

    fn apply_command(&mut self, change: &Change) -> Outcome {
        let outcome = self.state.apply(&change.command);
        self.evict_outcomes();
        if let Some(subject) = change.command.subject() {
            let (index, author) = (self.state.index, change.author.clone());
            self.history.push(HistoryEntry { index, author, subject, outcome: outcome.clone() });
            let excess = self.history.len().saturating_sub(HISTORY_LEN);
            self.history.drain(..excess);
        }
        outcome
    }

    /// Evicts the outcomes of requests that are older than [`DEDUP_WINDOW`].
    fn evict_outcomes(&mut self) {
        while let Some((&index, &id)) = self.request_ids.first_key_value() {
            if index + DEDUP_WINDOW >= self.state.index {
                return;
            }
            self.request_ids.remove(&index);
            self.outcomes.remove(&id);
        }
    }
}

fn digest(command: &Command) -> u64 {
    hash(&postcard::to_stdvec(command).unwrap_or_default())
}

#[cold]
fn reused() -> Outcome {
    let message = "the request id stands for another change; send this one under a new id";
    Outcome::Refused { message: message.into() }
}

#[cold]
fn expired() -> Outcome {
    let message = "the request is too old to tell whether it ran; read the configuration again \
                   and send what is still missing under a new id";
    Outcome::Refused { message: message.into() }
}
