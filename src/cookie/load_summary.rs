//! The messages in which VMs tell each other how many requests are in progress where.
//!
//! Entry VMs report to a control VM ([`LoadReporter`]), which adds up the reports ([`LoadTable`])
//! and sends the sums to the entry VMs ([`LoadView`]).
//!
//! [`LoadReporter`]: super::LoadReporter
//! [`LoadTable`]: super::LoadTable
//! [`LoadView`]: super::LoadView

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::{member::hash, name::Name, time::Time};

/// Age from which on a report counts no more: the next one comes after a second at most, with the
/// acknowledgement of a heartbeat, and its counts are up to 250 ms old.
pub(crate) const REPORT_RETENTION: Duration = Duration::from_millis(1_500);
/// Age at which a summary weighs nothing.
pub(crate) const SUMMARY_RETENTION: Duration = Duration::from_secs(2);
/// Largest possible number of requests in progress at a server for each of its slots; those beyond
/// its slots and its queue are refused. A sum of contradictory reports is reduced to it.
pub(crate) const MAX_PER_SLOT: u32 = 8;
/// Longest accepted report or summary, in bytes.
pub(crate) const MAX_MESSAGE_LEN: usize = 4_096;
/// Longest accepted contribution, in bytes: 27 zones of 256 servers take 28 KB.
const MAX_CONTRIBUTION_LEN: usize = 65_536;
/// Numbers have 24 bits: in messages with the differences of 50 or more numbers, most take 3 bytes.
/// Two of 260 servers share a number in one of 500 zones; both then appear to have the load of
/// both.
const NUMBER_MASK: u32 = 0xff_ffff;
/// Largest count in a message.
const MAX_COUNT: u32 = u16::MAX as u32;

/// Counts by number.
pub(crate) type Counts = BTreeMap<u32, u32>;

/// Returns the number of the server that holds `cookie`.
pub(crate) fn server_number(cookie: u32) -> u32 {
    hash(&cookie.to_le_bytes()) as u32 & NUMBER_MASK
}

/// Returns the number of the servers of `service` in `zone`.
pub(crate) fn pair_number(service: &Name, zone: &Name) -> u32 {
    let pair = [hash(service.as_bytes()), hash(zone.as_bytes())].map(u64::to_le_bytes);
    hash(pair.as_flattened()) as u32 & NUMBER_MASK
}

/// Returns the number of a zone.
pub(crate) fn zone_number(zone: &Name) -> u32 {
    hash(zone.as_bytes()) as u32 & NUMBER_MASK
}

/// The form in which numbers are sent: each as the difference from the one before.
type Differences<V> = Vec<(u32, V)>;

fn to_differences<V: Clone>(values: &BTreeMap<u32, V>) -> Differences<V> {
    let mut last = 0;
    let difference = |(number, value): (&u32, &V)| {
        let difference = number - last;
        last = *number;
        (difference, value.clone())
    };
    values.iter().map(difference).collect()
}

/// Returns `None` if the numbers are not in ascending order.
fn from_differences<V>(differences: Differences<V>) -> Option<BTreeMap<u32, V>> {
    let mut values = BTreeMap::new();
    let mut last = 0_u32;
    for (place, (difference, value)) in differences.into_iter().enumerate() {
        if place > 0 && difference == 0 {
            return None;
        }
        last = last.checked_add(difference).filter(|number| *number <= NUMBER_MASK)?;
        values.insert(last, value);
    }
    Some(values)
}

/// Returns counts, none above [`MAX_COUNT`].
fn from_counts(differences: Differences<u32>) -> Option<Counts> {
    let mut counts = from_differences(differences)?;
    counts.values_mut().for_each(|count| *count = (*count).min(MAX_COUNT));
    Some(counts)
}

fn decode<T: DeserializeOwned>(bytes: &[u8], limit: usize) -> Option<T> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) if bytes.len() <= limit => Some(message),
        _ => None,
    }
}

fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages are plain data")
}

/// Returns the time `age` before `now`.
pub(crate) fn before(now: Time, age: Duration) -> Time {
    Time::from_micros(now.as_micros().saturating_sub(age.as_micros() as u64))
}

fn to_millis(age: Duration) -> u16 {
    age.as_millis().try_into().unwrap_or(u16::MAX)
}

/// A report of an entry VM: its requests in progress by server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LoadReport {
    /// Age of the counts.
    pub(crate) age: Duration,
    pub(crate) counts: Counts,
}

impl LoadReport {
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(&(to_millis(self.age), to_differences(&self.counts)))
    }

    /// Decodes a report; `None` if it is unreadable.
    pub(crate) fn decode(bytes: &[u8]) -> Option<LoadReport> {
        let (age, counts): (u16, Differences<u32>) = decode(bytes, MAX_MESSAGE_LEN)?;
        let counts = from_counts(counts)?;
        Some(LoadReport { age: Duration::from_millis(age.into()), counts })
    }
}

/// What a control VM tells another one of the reports that it has received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LoadContribution {
    /// Mean age of the reports.
    pub(crate) age: Duration,
    /// Requests in progress by service and zone.
    pub(crate) pairs: Counts,
    /// Requests in progress by server, of the VMs of zones whose VMs may report to the receiver too.
    pub(crate) zones: BTreeMap<u32, Counts>,
}

impl LoadContribution {
    pub(crate) fn encode(&self) -> Vec<u8> {
        let zones: BTreeMap<_, _> =
            self.zones.iter().map(|(zone, counts)| (*zone, to_differences(counts))).collect();
        encode(&(to_millis(self.age), to_differences(&self.pairs), to_differences(&zones)))
    }

    /// Decodes a contribution; `None` if it is unreadable.
    pub(crate) fn decode(bytes: &[u8]) -> Option<LoadContribution> {
        type Form = (u16, Differences<u32>, Differences<Differences<u32>>);
        let (age, pairs, zones): Form = decode(bytes, MAX_CONTRIBUTION_LEN)?;
        let zones = from_differences(zones)?.into_iter();
        let zones = zones.map(|(zone, counts)| Some((zone, from_counts(counts)?)));
        Some(LoadContribution {
            age: Duration::from_millis(age.into()),
            pairs: from_counts(pairs)?,
            zones: zones.collect::<Option<_>>()?,
        })
    }
}

/// What a control VM sends to an entry VM.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LoadSummary {
    /// Mean age of the reports.
    pub(crate) age: Duration,
    /// Requests in progress by server, those of the receiver excluded.
    pub(crate) servers: Counts,
    /// Requests in progress and slots by service and zone; `None` if they are not sent this time.
    pub(crate) zones: Option<BTreeMap<u32, (u32, u32)>>,
}

/// The form in which a summary is sent.
#[derive(Serialize, Deserialize)]
struct SummaryForm {
    age: u16,
    servers: Differences<u32>,
    zones: Option<Differences<(u32, u32)>>,
}

impl LoadSummary {
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(&SummaryForm {
            age: to_millis(self.age),
            servers: to_differences(&self.servers),
            zones: self.zones.as_ref().map(to_differences),
        })
    }

    /// Decodes a summary; `None` if it is unreadable.
    pub(crate) fn decode(bytes: &[u8]) -> Option<LoadSummary> {
        let SummaryForm { age, servers, zones } = decode(bytes, MAX_MESSAGE_LEN)?;
        let servers = from_counts(servers)?;
        let zones = match zones {
            Some(zones) => Some(from_differences(zones)?),
            None => None,
        };
        Some(LoadSummary { age: Duration::from_millis(age.into()), servers, zones })
    }
}

/// Reduces `values` to the `limit` entries with the largest `rank`.
pub(crate) fn keep_largest<V, R: Ord>(
    values: &mut BTreeMap<u32, V>,
    limit: usize,
    rank: impl Fn(u32, &V) -> R,
) {
    if values.len() <= limit {
        return;
    }
    let mut ranks: Vec<(R, u32)> = values.iter().map(|(n, value)| (rank(*n, value), *n)).collect();
    ranks.sort_unstable();
    for (_, number) in &ranks[..ranks.len() - limit] {
        values.remove(number);
    }
}
