//! What must hold of requests, by the counts of callers and backend servers.

use std::collections::BTreeSet;

use super::{Reply, Workload};

impl Workload {
    /// Returns what of the promises on requests does not hold.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for number in self.doubled() {
            found.push(format!("request {number} ran {} times", self.runs[&number]));
        }
        for number in self.untrue_refusals() {
            found.push(format!("request {number} ran although it was refused as not run"));
        }
        if self.misdelivered > 0 {
            found.push(format!("{} answers misdelivered", self.misdelivered));
        }
        found
    }

    /// Returns the requests that are not idempotent and ran more than once.
    pub fn doubled(&self) -> Vec<u32> {
        let doubled = |&number: &u32| self.runs(number) > 1;
        self.unsafe_requests().filter(doubled).collect()
    }

    /// Returns the requests that are not idempotent and ran although a caller was told that they
    /// did not.
    pub fn untrue_refusals(&self) -> Vec<u32> {
        let untrue = |number: &u32| {
            let replies = self.replies.get(number);
            let refused = replies.is_some_and(|replies| replies.contains(&Reply::NotRun));
            refused && self.runs(*number) > 0
        };
        self.unsafe_requests().filter(untrue).collect()
    }

    fn unsafe_requests(&self) -> impl Iterator<Item = u32> + '_ {
        self.sent.iter().filter(|(_, sent)| !sent.idempotent).map(|(&number, _)| number)
    }

    fn runs(&self, number: u32) -> u64 {
        self.runs.get(&number).copied().unwrap_or(0)
    }

    /// Returns how many requests have at least one answer.
    pub fn answered(&self) -> u64 {
        let answered = |replies: &&BTreeSet<Reply>| {
            replies.iter().any(|reply| matches!(reply, Reply::Answered(_)))
        };
        self.replies.values().filter(answered).count() as u64
    }
}
