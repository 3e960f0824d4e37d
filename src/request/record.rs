//! Records of requests: the outcome of each as far as this VM knows it.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use crate::{member::hash, name::Name, packet::FlowKey, time::Time};

/// Time in which a retransmission of a non-idempotent request may arrive: EXCHANGE_LIFETIME of RFC
/// 7252, section 4.8.2.
pub(crate) const RECORD_LIFETIME: Duration = Duration::from_secs(247);

/// Time for which the answer to an idempotent request is kept for duplicates.
const IDEMPOTENT_LIFETIME: Duration = Duration::from_secs(5);

/// Maximum number of records on a VM.
const MAX_RECORDS: usize = 65_536;

/// Maximum total size of the recorded answers on a VM, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Identifies a request of a caller (RFC 7252, sections 4.4 and 5.3.1).
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    /// Address and port of the caller.
    pub caller: SocketAddr,
    /// Address and port of the service.
    pub service: SocketAddr,
    /// CoAP message ID.
    pub message_id: u16,
    /// CoAP token.
    pub token: Vec<u8>,
}

/// Returns the key that selects the owner of a caller's requests to a service.
///
/// All requests of the pair have one owner, so that it sees every block of a block-wise transfer,
/// whatever the tokens and message IDs of the blocks.
pub(crate) fn owner_key(key: &FlowKey) -> u64 {
    pair_key(key.caller, key.service)
}

fn pair_key(caller: SocketAddr, service: SocketAddr) -> u64 {
    hash(format!("{caller}>{service}").as_bytes())
}

impl RequestId {
    /// Returns the key that selects the owner of the request.
    pub(crate) fn owner_key(&self) -> u64 {
        pair_key(self.caller, self.service)
    }
}

/// Recorded state of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// This VM carries out the exchange.
    Open,
    /// Only another VM may carry out the exchange.
    OwnedBy {
        /// The owner's name.
        owner: Name,
        /// The owner's incarnation.
        incarnation: u64,
    },
    /// It did not run, and the caller is told so.
    Refused {
        /// Retry delay for the caller, in seconds.
        retry_s: u32,
    },
    /// It was answered with this CoAP message.
    Answered(Vec<u8>),
    /// It may have run, and the caller is told so.
    Unknown,
}

struct Record {
    state: RecordState,
    written: Time,
    expires: Time,
}

/// A bounded table of records.
pub(crate) struct Records {
    records: BTreeMap<RequestId, Record>,
    expiry: BTreeSet<(Time, RequestId)>,
    answers: BTreeSet<(Time, RequestId)>,
    answer_bytes: usize,
}

impl Records {
    pub(crate) fn new() -> Records {
        Records {
            records: BTreeMap::new(),
            expiry: BTreeSet::new(),
            answers: BTreeSet::new(),
            answer_bytes: 0,
        }
    }

    pub(crate) fn get(&self, id: &RequestId) -> Option<&RecordState> {
        self.records.get(id).map(|record| &record.state)
    }

    /// Returns the time since the record of a request was last written, or zero without a record.
    pub(crate) fn age(&self, now: Time, id: &RequestId) -> Duration {
        self.records.get(id).map_or(Duration::ZERO, |record| now.since(record.written))
    }

    /// Returns whether the table is full.
    pub(crate) fn is_full(&self) -> bool {
        self.records.len() >= MAX_RECORDS
    }

    /// Sets the state of a request and restarts its lifetime.
    ///
    /// If the recorded answers exceed their size limit, the oldest ones become unknown; returns
    /// their number.
    pub(crate) fn insert(
        &mut self,
        now: Time,
        id: RequestId,
        state: RecordState,
        idempotent: bool,
    ) -> u64 {
        self.remove(&id);
        let expires = now + if idempotent { IDEMPOTENT_LIFETIME } else { RECORD_LIFETIME };
        self.answer_bytes += answer_len(&state);
        self.expiry.insert((expires, id.clone()));
        if matches!(state, RecordState::Answered(_)) {
            self.answers.insert((expires, id.clone()));
        }
        self.records.insert(id, Record { state, written: now, expires });
        self.evict_answers()
    }

    /// Removes the record of a request.
    pub(crate) fn remove(&mut self, id: &RequestId) {
        let Some(record) = self.records.remove(id) else { return };
        self.answer_bytes -= answer_len(&record.state);
        let entry = (record.expires, id.clone());
        self.expiry.remove(&entry);
        self.answers.remove(&entry);
    }

    /// Removes expired records except those of open exchanges.
    pub(crate) fn expire(&mut self, now: Time) {
        while let Some((at, id)) = self.expiry.first().cloned() {
            if at > now {
                return;
            }
            if self.get(&id) == Some(&RecordState::Open) {
                self.insert(now, id, RecordState::Open, false);
            } else {
                self.remove(&id);
            }
        }
    }

    fn evict_answers(&mut self) -> u64 {
        let mut evicted = 0;
        while self.answer_bytes > MAX_ANSWER_BYTES {
            let Some((_, id)) = self.answers.pop_first() else { return evicted };
            if let Some(record) = self.records.get_mut(&id) {
                self.answer_bytes -= answer_len(&record.state);
                record.state = RecordState::Unknown;
                evicted += 1;
            }
        }
        evicted
    }
}

fn answer_len(state: &RecordState) -> usize {
    match state {
        RecordState::Answered(bytes) => bytes.len(),
        _ => 0,
    }
}
