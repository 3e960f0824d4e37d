//! The reports of entry VMs at a control VM, and the sums that it sends to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use super::{
    load_summary::{
        Counts, LoadContribution, LoadReport, LoadSummary, MAX_PER_SLOT, REPORT_RETENTION, before,
        keep_largest, pair_number, server_number, zone_number,
    },
    record::{ServerRecord, ServerState, server_cookie},
};
use crate::{name::Name, time::Time};

/// Part of the slots of a service in a zone, as a divisor, that is in use while sums are sent to the
/// zone's VMs; on an ordinary day a ninth is in use.
const LOADED_DIVISOR: u32 = 3;
/// Shortest interval of summaries to the VMs of a zone.
const MIN_INTERVAL: Duration = Duration::from_millis(250);
/// Longest interval of summaries to the VMs of a zone that is loaded.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of totals by service and zone.
const ZONES_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes per second of one VM's summaries and reports by which the interval is chosen: the budget of
/// 1 KB/s less what a summary with totals is longer.
const BYTES_PER_SECOND: f64 = 900.0;
/// Bytes of an exchange besides the summary: the TCP and IP headers of 52 bytes of both directions,
/// the lengths of the frame and a report of some 12 servers.
const EXCHANGE_OVERHEAD: usize = 160;
/// Most servers in a summary, some 1 KB: a zone of the largest system has 260.
const MAX_SERVERS: usize = 256;
/// Most services and zones in a summary, some 900 bytes: four services in 27 zones are 108.
const MAX_PAIRS: usize = 128;
/// Limit on entry VMs and on control VMs that report, some more than the largest system has.
const MAX_REPORTERS: usize = 4_096;

#[derive(Debug, Clone)]
struct Report {
    zone: Name,
    /// When the VM took the counts.
    counted: Time,
    counts: Counts,
}

/// What another control VM contributes.
#[derive(Debug, Clone)]
struct Peer {
    /// Mean time of the reports that it has received.
    counted: Time,
    /// Requests in progress by service and zone.
    pairs: Counts,
    /// Requests in progress by server, by the zone of the VMs.
    zones: BTreeMap<u32, Counts>,
}

/// The slots of all servers that are not gone.
#[derive(Default)]
struct Capacity {
    /// Service and zone, and slots, by server.
    servers: BTreeMap<u32, (u32, u32)>,
    /// Zone and slots by service and zone.
    pairs: BTreeMap<u32, (Name, u32)>,
}

impl Capacity {
    fn new<'a>(records: impl Iterator<Item = &'a ServerRecord>) -> Capacity {
        let mut capacity = Capacity::default();
        for record in records.filter(|record| record.state != ServerState::Gone) {
            let server = &record.announcement;
            let pair = pair_number(&server.service, &server.zone);
            let number = server_number(server_cookie(server.id));
            let slots = &mut capacity.servers.entry(number).or_insert((pair, 0)).1;
            *slots = slots.saturating_add(server.slots);
            let slots = &mut capacity.pairs.entry(pair).or_insert((server.zone.clone(), 0)).1;
            if record.state == ServerState::Ready && !record.silent {
                *slots = slots.saturating_add(server.slots);
            }
        }
        capacity
    }

    /// Removes servers that have left, and reduces counts that cannot be true.
    fn clamp(&self, counts: &mut Counts) {
        counts.retain(|number, count| {
            let slots = self.servers.get(number).map_or(0, |(_, slots)| *slots);
            *count = (*count).min(slots.saturating_mul(MAX_PER_SLOT));
            *count > 0
        });
    }

    /// Reduces `counts` to the servers with the largest share of their slots in use.
    fn keep_largest(&self, counts: &mut Counts) {
        keep_largest(counts, MAX_SERVERS, |number, count| {
            let slots = self.servers.get(&number).map_or(1, |(_, slots)| *slots);
            count.saturating_mul(1_000) / slots.max(1)
        });
    }

    /// Adds up counts by server to those by service and zone.
    fn by_pair(&self, counts: &Counts) -> Counts {
        let mut pairs = Counts::new();
        for (number, count) in counts {
            if let Some((pair, _)) = self.servers.get(number) {
                add(&mut pairs, *pair, *count);
            }
        }
        pairs
    }

    fn is_loaded(&self, counts: &Counts) -> bool {
        let pairs = self.by_pair(counts);
        pairs.iter().any(|(pair, used)| {
            let slots = self.pairs.get(pair).map_or(0, |(_, slots)| *slots);
            *used > 0 && used.saturating_mul(LOADED_DIVISOR) >= slots
        })
    }
}

fn add(counts: &mut Counts, number: u32, count: u32) {
    let sum = counts.entry(number).or_default();
    *sum = sum.saturating_add(count);
}

fn add_all(counts: &mut Counts, others: &Counts) {
    others.iter().for_each(|(number, count)| add(counts, *number, *count));
}

/// The newest reports of the entry VMs that a control VM feeds, and the contributions of the other
/// control VMs.
#[derive(Debug, Clone, Default)]
pub struct LoadTable {
    reports: BTreeMap<Name, Report>,
    peers: BTreeMap<SocketAddr, Peer>,
    /// When the VMs of a zone are due for a summary and for one with totals by service and zone.
    due: BTreeMap<Name, (Time, Time)>,
    received: u64,
    dropped: u64,
    sent: u64,
}

impl LoadTable {
    /// Creates a table without reports.
    pub fn new() -> LoadTable {
        LoadTable::default()
    }

    /// Replaces the report of the entry VM `vm` in `zone`; returns whether it was used.
    ///
    /// One that is unreadable or too old changes nothing.
    pub fn record_report(&mut self, now: Time, vm: &Name, zone: &Name, report: &[u8]) -> bool {
        let report = LoadReport::decode(report).filter(|report| report.age < REPORT_RETENTION);
        let full = self.reports.len() >= MAX_REPORTERS && !self.reports.contains_key(vm);
        let Some(LoadReport { age, counts }) = report.filter(|_| !full) else {
            self.dropped += 1;
            return false;
        };
        self.received += 1;
        let report = Report { zone: zone.clone(), counted: before(now, age), counts };
        self.reports.insert(vm.clone(), report);
        true
    }

    /// Forgets the report of an entry VM that has started again.
    pub fn forget(&mut self, vm: &Name) {
        self.reports.remove(vm);
    }

    /// Replaces the contribution of another control VM; returns whether it was used.
    pub fn record_peer(&mut self, now: Time, from: SocketAddr, contribution: &[u8]) -> bool {
        let decoded = LoadContribution::decode(contribution);
        let decoded = decoded.filter(|contribution| contribution.age < REPORT_RETENTION);
        let full = self.peers.len() >= MAX_REPORTERS && !self.peers.contains_key(&from);
        let Some(LoadContribution { age, pairs, zones }) = decoded.filter(|_| !full) else {
            self.dropped += 1;
            return false;
        };
        self.peers.insert(from, Peer { counted: before(now, age), pairs, zones });
        true
    }

    /// Returns what the other control VMs are told of the reports; `None` without load.
    ///
    /// `shared` says of a zone whether its VMs may report to another control VM, too.
    pub fn contribution<'a>(
        &mut self,
        now: Time,
        servers: impl Iterator<Item = &'a ServerRecord>,
        shared: impl Fn(&Name) -> bool,
    ) -> Option<Vec<u8>> {
        self.expire(now);
        let age = self.mean_age(now, |_| true)?;
        let capacity = Capacity::new(servers);
        let mut zones: BTreeMap<u32, Counts> = BTreeMap::new();
        for report in self.reports.values().filter(|report| shared(&report.zone)) {
            let sums = zones.entry(zone_number(&report.zone)).or_default();
            add_all(sums, &report.counts);
        }
        for sums in zones.values_mut() {
            capacity.clamp(sums);
            capacity.keep_largest(sums);
        }
        zones.retain(|_, sums| !sums.is_empty());
        Some(LoadContribution { age, pairs: self.total(&capacity), zones }.encode())
    }

    /// Returns the summaries that are due, each with the entry VM that it is for: one with a recent
    /// report.
    ///
    /// `reachable` are the zones with a VM that is known to be up; others have no totals unless their
    /// VMs report.
    pub fn take_due<'a>(
        &mut self,
        now: Time,
        servers: impl Iterator<Item = &'a ServerRecord>,
        reachable: &BTreeSet<Name>,
    ) -> Vec<(Name, Vec<u8>)> {
        self.expire(now);
        let loaded = self.reports.values().filter(|report| !report.counts.is_empty());
        let zones: BTreeSet<Name> = loaded.map(|report| report.zone.clone()).collect();
        let is_due = |zone: &&Name| self.due.get(*zone).is_none_or(|(due, _)| now >= *due);
        let zones: Vec<&Name> = zones.iter().filter(is_due).collect();
        if zones.is_empty() {
            return Vec::new();
        }
        let capacity = Capacity::new(servers);
        let mut summaries = Vec::new();
        for zone in zones {
            let (_, zones_due) = self.due.get(zone).copied().unwrap_or_default();
            let totals = (now >= zones_due).then(|| self.totals_by_zone(&capacity, reachable));
            let zones_due = if totals.is_some() { now + ZONES_INTERVAL } else { zones_due };
            let sent = self.summarize(now, zone, &capacity, totals);
            let longest = sent.iter().map(|(_, bytes)| bytes.len()).max().unwrap_or(0);
            let seconds = (longest + EXCHANGE_OVERHEAD) as f64 / BYTES_PER_SECOND;
            let interval = Duration::from_secs_f64(seconds).clamp(MIN_INTERVAL, MAX_INTERVAL);
            let zones_due = if sent.is_empty() { Time::ZERO } else { zones_due };
            self.due.insert(zone.clone(), (now + interval, zones_due));
            summaries.extend(sent);
        }
        self.sent += summaries.len() as u64;
        summaries
    }

    /// Returns a summary for each VM with a report in a zone that is loaded.
    fn summarize(
        &self,
        now: Time,
        zone: &Name,
        capacity: &Capacity,
        totals: Option<BTreeMap<u32, (u32, u32)>>,
    ) -> Vec<(Name, Vec<u8>)> {
        let mut sums = Counts::new();
        let local = self.reports.iter().filter(|(_, report)| report.zone == *zone);
        local.clone().for_each(|(_, report)| add_all(&mut sums, &report.counts));
        let number = zone_number(zone);
        let peers = self.peers.values().filter_map(|peer| peer.zones.get(&number));
        peers.for_each(|counts| add_all(&mut sums, counts));
        let mut clamped = sums.clone();
        capacity.clamp(&mut clamped);
        let Some(age) = self.mean_age(now, |report| report.zone == *zone) else {
            return Vec::new();
        };
        if !capacity.is_loaded(&clamped) {
            return Vec::new();
        }
        let summary = |(vm, report): (&Name, &Report)| {
            let mut servers = sums.clone();
            for (number, own) in &report.counts {
                servers.entry(*number).and_modify(|sum| *sum -= (*own).min(*sum));
            }
            capacity.clamp(&mut servers);
            capacity.keep_largest(&mut servers);
            let summary = LoadSummary { age, servers, zones: totals.clone() };
            (vm.clone(), summary.encode())
        };
        local.map(summary).collect()
    }

    /// Returns the requests in progress and the slots by service and zone, as far as they are known.
    fn totals_by_zone(
        &self,
        capacity: &Capacity,
        reachable: &BTreeSet<Name>,
    ) -> BTreeMap<u32, (u32, u32)> {
        let mut used = self.total(capacity);
        self.peers.values().for_each(|peer| add_all(&mut used, &peer.pairs));
        let pairs = capacity.pairs.iter().filter(|(pair, (zone, _))| {
            reachable.contains(zone) || used.get(*pair).is_some_and(|used| *used > 0)
        });
        let total = |(pair, (_, slots)): (&u32, &(Name, u32))| {
            let used = used.get(pair).copied().unwrap_or(0);
            (*pair, (used.min(slots.saturating_mul(MAX_PER_SLOT)), *slots))
        };
        let mut totals = pairs.map(total).collect();
        keep_largest(&mut totals, MAX_PAIRS, |_, total| *total);
        totals
    }

    /// Returns the requests in progress of all reports by service and zone.
    fn total(&self, capacity: &Capacity) -> Counts {
        let mut sums = Counts::new();
        self.reports.values().for_each(|report| add_all(&mut sums, &report.counts));
        capacity.clamp(&mut sums);
        capacity.by_pair(&sums)
    }

    /// Returns the mean age of the reports of loaded VMs that `filter` selects.
    fn mean_age(&self, now: Time, filter: impl Fn(&Report) -> bool) -> Option<Duration> {
        let loaded = self.reports.values().filter(|report| !report.counts.is_empty());
        let ages: Vec<_> = loaded.filter(|r| filter(r)).map(|r| now.since(r.counted)).collect();
        let count = u32::try_from(ages.len()).ok().filter(|count| *count > 0)?;
        Some(ages.iter().sum::<Duration>() / count)
    }

    fn expire(&mut self, now: Time) {
        self.reports.retain(|_, report| now.since(report.counted) < REPORT_RETENTION);
        self.peers.retain(|_, peer| now.since(peer.counted) < REPORT_RETENTION);
    }

    /// Returns the number of entry VMs with a recent report.
    pub fn reporters(&self) -> usize {
        self.reports.len()
    }

    /// Returns the number of reports that were used so far.
    pub fn received(&self) -> u64 {
        self.received
    }

    /// Returns the number of reports and contributions that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of summaries so far.
    pub fn sent(&self) -> u64 {
        self.sent
    }
}
