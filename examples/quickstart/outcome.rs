//! Results of a run, counted by the simulated callers and backend servers.

use std::collections::BTreeMap;

use comfy_table::Table;

use crate::{
    fleet::Fleet,
    flows::FlowCounts,
    requests::{RequestResult, RequestResults},
};

/// Counts of one run.
pub(crate) struct Outcome {
    flows: FlowCounts,
    results: RequestResults,
    runs: BTreeMap<Vec<u8>, u64>,
    misrouted: u64,
    peak: u32,
}

impl Outcome {
    /// Combines the counts of callers and backend servers.
    pub(crate) fn new(fleet: &Fleet, flows: &FlowCounts, results: RequestResults) -> Outcome {
        let mut runs = BTreeMap::<Vec<u8>, u64>::new();
        let (mut misrouted, mut peak) = (0, 0);
        for (_, server) in &fleet.servers {
            let stats = server.stats();
            misrouted += stats.misrouted;
            peak = peak.max(stats.peak_running);
            for (payload, n) in stats.runs {
                *runs.entry(payload).or_default() += n;
            }
        }
        Outcome { flows: *flows, results, runs, misrouted, peak }
    }

    /// Returns the table of service levels.
    pub(crate) fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["service", "events", "good", "given up", "refused", "unknown", "bad"]);
        let flows = &self.flows;
        let good = flows.opened - flows.broken - flows.given_up;
        let row = [flows.opened, good, flows.given_up, flows.unopened, 0, flows.broken];
        table.add_row(row_cells("workshop-hub", row));
        let [answered, not_run, unknown] =
            [RequestResult::Answered, RequestResult::NotRun, RequestResult::Unknown]
                .map(|result| self.count(result));
        let row = [self.results.len() as u64, answered, 0, not_run, unknown, self.lost()];
        table.add_row(row_cells("cert-desk", row));
        table
    }

    /// Returns the summary line.
    pub(crate) fn summary(&self) -> String {
        format!(
            "flows={} broken={} young={} requests={} doubled={} lost={} untrue_refusals={} misrouted={}",
            self.flows.opened,
            self.flows.broken,
            self.flows.young,
            self.results.len(),
            self.doubled(),
            self.lost(),
            self.untrue_refusals(),
            self.misrouted
        )
    }

    /// Returns whether flows and requests were served without a fault and no server exceeded its
    /// limit on concurrent requests.
    pub(crate) fn is_clean(&self) -> bool {
        let faults = self.flows.broken + self.doubled() + self.lost() + self.untrue_refusals();
        let served = self.flows.opened > 0 && self.count(RequestResult::Answered) > 0;
        faults + self.misrouted == 0 && served && self.peak <= MAX_CONCURRENT_REQUESTS
    }

    /// Returns the number of requests that ran more than once.
    fn doubled(&self) -> u64 {
        self.runs.values().filter(|&&n| n > 1).count() as u64
    }

    /// Returns the number of requests that were not answered, or were answered but never ran.
    fn lost(&self) -> u64 {
        let answered =
            self.results.iter().filter(|(_, result)| **result == RequestResult::Answered);
        let never_run = answered.filter(|(payload, _)| !self.runs.contains_key(*payload));
        self.count(RequestResult::Lost) + never_run.count() as u64
    }

    /// Returns the number of requests that were refused as not run but did run.
    fn untrue_refusals(&self) -> u64 {
        let refused = self.results.iter().filter(|(_, result)| **result == RequestResult::NotRun);
        refused.filter(|(payload, _)| self.runs.contains_key(*payload)).count() as u64
    }

    fn count(&self, result: RequestResult) -> u64 {
        self.results.values().filter(|&&other| other == result).count() as u64
    }
}

/// Limit on requests that a backend server runs concurrently.
const MAX_CONCURRENT_REQUESTS: u32 = 2;

fn row_cells(service: &str, counts: [u64; 6]) -> Vec<String> {
    std::iter::once(service.to_owned()).chain(counts.map(|n| n.to_string())).collect()
}
