//! What the stand-ins have counted.

use std::collections::BTreeMap;

use comfy_table::Table;

use crate::{
    fleet::Fleet,
    flows::FlowCounts,
    requests::{End, Ends},
};

/// Counts of one run.
pub(crate) struct Outcome {
    flows: FlowCounts,
    ends: Ends,
    runs: BTreeMap<Vec<u8>, u64>,
    misrouted: u64,
    peak: u32,
}

impl Outcome {
    /// Puts together what callers and backend servers have seen.
    pub(crate) fn new(fleet: &Fleet, flows: &FlowCounts, ends: Ends) -> Outcome {
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
        Outcome { flows: *flows, ends, runs, misrouted, peak }
    }

    /// Returns the table of service levels.
    pub(crate) fn table(&self) -> Table {
        let mut table = Table::new();
        table.set_header(["service", "events", "good", "given up", "refused", "unknown", "bad"]);
        let flows = &self.flows;
        let good = flows.opened - flows.broken - flows.given_up;
        let row = [flows.opened, good, flows.given_up, flows.unopened, 0, flows.broken];
        table.add_row(cells("workshop-hub", row));
        let [answered, not_run, unknown] =
            [End::Answered, End::NotRun, End::Unknown].map(|end| self.ended(end));
        let row = [self.ends.len() as u64, answered, 0, not_run, unknown, self.lost()];
        table.add_row(cells("cert-desk", row));
        table
    }

    /// Returns the last line of a run.
    pub(crate) fn line(&self) -> String {
        format!(
            "flows={} broken={} young={} requests={} doubled={} lost={} untrue_refusals={} misrouted={}",
            self.flows.opened,
            self.flows.broken,
            self.flows.young,
            self.ends.len(),
            self.doubled(),
            self.lost(),
            self.untrue_refusals(),
            self.misrouted
        )
    }

    /// Returns whether nothing went wrong.
    pub(crate) fn is_clean(&self) -> bool {
        let wrong = self.flows.broken + self.doubled() + self.lost() + self.untrue_refusals();
        let served = self.flows.opened > 0 && self.ended(End::Answered) > 0;
        wrong + self.misrouted == 0 && served && self.peak <= SLOTS
    }

    fn doubled(&self) -> u64 {
        self.runs.values().filter(|&&n| n > 1).count() as u64
    }

    /// Requests without an end, and requests answered that never ran.
    fn lost(&self) -> u64 {
        let answered = self.ends.iter().filter(|(_, end)| **end == End::Answered);
        let unrun = answered.filter(|(payload, _)| !self.runs.contains_key(*payload));
        self.ended(End::Lost) + unrun.count() as u64
    }

    fn untrue_refusals(&self) -> u64 {
        let refused = self.ends.iter().filter(|(_, end)| **end == End::NotRun);
        refused.filter(|(payload, _)| self.runs.contains_key(*payload)).count() as u64
    }

    fn ended(&self, end: End) -> u64 {
        self.ends.values().filter(|&&seen| seen == end).count() as u64
    }
}

/// Requests that a backend server runs at the same time.
const SLOTS: u32 = 2;

fn cells(service: &str, counts: [u64; 6]) -> Vec<String> {
    std::iter::once(service.to_owned()).chain(counts.map(|n| n.to_string())).collect()
}
