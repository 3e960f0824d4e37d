//! Compact serialisation of server records: the names of services and availability zones once, and
//! a row of numbers for each record.
//!
//! Control VMs send the records of all servers to each entry VM that starts, so that their size is
//! most of what a feed takes.

use std::{net::SocketAddrV4, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

use super::record::{Announcement, ServerRecord, ServerState};
use crate::name::Name;

const DRAINING: u8 = 1;
const SILENT: u8 = 2;
const STATE_DRAINING: u8 = 4;
const STATE_GONE: u8 = 8;

#[derive(Serialize, Deserialize)]
struct Batch {
    names: Vec<Name>,
    /// Lowest incarnation; rows hold the difference.
    incarnation: u64,
    rows: Vec<Row>,
}

#[derive(Serialize, Deserialize)]
struct Row {
    id: u64,
    service: u16,
    zone: u16,
    addr: SocketAddrV4,
    flags: u8,
    /// Remaining warm-up in milliseconds, rounded up.
    warmup: u32,
    incarnation: u64,
    sequence: u64,
    slots: u32,
}

pub(super) fn serialize<S: Serializer>(
    records: &[ServerRecord],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let incarnations = records.iter().map(|record| record.announcement.incarnation);
    let incarnation = incarnations.min().unwrap_or_default();
    let mut batch = Batch { names: Vec::new(), incarnation, rows: Vec::new() };
    for record in records {
        let row = batch.row(record);
        batch.rows.push(row);
    }
    batch.serialize(serializer)
}

pub(super) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<ServerRecord>, D::Error> {
    let batch = Batch::deserialize(deserializer)?;
    let records = batch.rows.iter().map(|row| batch.record(row));
    records.collect::<Option<_>>().ok_or_else(unknown_name)
}

#[cold]
fn unknown_name<E: Error>() -> E {
    E::custom("a server record refers to a name that the batch does not hold")
}

impl Batch {
    fn row(&mut self, record: &ServerRecord) -> Row {
        let ServerRecord { announcement, state, silent } = record;
        let mut flags = if announcement.draining { DRAINING } else { 0 };
        flags |= if *silent { SILENT } else { 0 };
        flags |= match state {
            ServerState::Ready => 0,
            ServerState::Draining => STATE_DRAINING,
            ServerState::Gone => STATE_GONE,
        };
        let millis = announcement.warmup_left.as_micros().div_ceil(1_000);
        Row {
            id: announcement.id,
            service: self.index_of(&announcement.service),
            zone: self.index_of(&announcement.zone),
            addr: announcement.addr,
            flags,
            warmup: millis.try_into().unwrap_or(u32::MAX),
            incarnation: announcement.incarnation - self.incarnation,
            sequence: announcement.sequence,
            slots: announcement.slots,
        }
    }

    /// Returns the index of a name, which is added if it is new; a frame has a few names.
    fn index_of(&mut self, name: &Name) -> u16 {
        let index = self.names.iter().position(|known| known == name);
        let index = index.unwrap_or_else(|| {
            self.names.push(name.clone());
            self.names.len() - 1
        });
        index as u16
    }

    fn record(&self, row: &Row) -> Option<ServerRecord> {
        let name = |index: u16| self.names.get(usize::from(index)).cloned();
        let state = match row.flags {
            flags if flags & STATE_GONE != 0 => ServerState::Gone,
            flags if flags & STATE_DRAINING != 0 => ServerState::Draining,
            _ => ServerState::Ready,
        };
        let announcement = Announcement {
            id: row.id,
            service: name(row.service)?,
            addr: row.addr,
            zone: name(row.zone)?,
            draining: row.flags & DRAINING != 0,
            warmup_left: Duration::from_millis(row.warmup.into()),
            incarnation: self.incarnation.checked_add(row.incarnation)?,
            sequence: row.sequence,
            slots: row.slots,
        };
        Some(ServerRecord { announcement, state, silent: row.flags & SILENT != 0 })
    }
}
