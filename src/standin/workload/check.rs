//! Checks of the delivery guarantees against the recorded executions and replies.

use std::collections::BTreeSet;

use super::{Reply, Workload};

impl Workload {
    /// Returns a description of each violated delivery guarantee.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for number in self.duplicate_executions() {
            violations
                .push(format!("request {number} was executed {} times", self.executions[&number]));
        }
        for number in self.false_refusals() {
            violations
                .push(format!("request {number} was executed although it was refused with 5.03"));
        }
        if self.misdelivered > 0 {
            violations.push(format!("{} responses misdelivered", self.misdelivered));
        }
        violations
    }

    /// Returns the non-idempotent requests that were executed more than once.
    pub fn duplicate_executions(&self) -> Vec<u32> {
        let is_duplicate = |&number: &u32| self.execution_count(number) > 1;
        self.non_idempotent_requests().filter(is_duplicate).collect()
    }

    /// Returns the non-idempotent requests that were executed although their caller received
    /// [`Reply::NotRun`].
    pub fn false_refusals(&self) -> Vec<u32> {
        let is_false = |number: &u32| {
            let replies = self.replies.get(number);
            let refused = replies.is_some_and(|replies| replies.contains(&Reply::NotRun));
            refused && self.execution_count(*number) > 0
        };
        self.non_idempotent_requests().filter(is_false).collect()
    }

    fn non_idempotent_requests(&self) -> impl Iterator<Item = u32> + '_ {
        self.sent.iter().filter(|(_, sent)| !sent.idempotent).map(|(&number, _)| number)
    }

    fn execution_count(&self, number: u32) -> u64 {
        self.executions.get(&number).copied().unwrap_or(0)
    }

    /// Returns the number of requests that received at least one [`Reply::Answered`].
    pub fn answered_count(&self) -> u64 {
        let is_answered = |replies: &&BTreeSet<Reply>| {
            replies.iter().any(|reply| matches!(reply, Reply::Answered(_)))
        };
        self.replies.values().filter(is_answered).count() as u64
    }
}
