//! Health and load probes: CoAP requests from the home to its backend servers.

use std::{collections::BTreeMap, time::Duration};

use coap_lite::{CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType};
use serde::Deserialize;

use crate::{coap, error::Result, name::Name, time::Time};

/// Time between two probes of one kind to one server.
pub(crate) const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a probe counts as failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(900);

/// First byte of a probe's token; tokens of requests have another length.
const TOKEN_PREFIX: u8 = 0xb5;
const TOKEN_LEN: usize = 3;

const HEALTH_PATH: &[u8] = b"health";
const LOAD_PATH: &[u8] = b"load";

/// Kind of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ProbeKind {
    /// `GET /health`: code 2.05 means healthy.
    Health,
    /// `GET /load`: returns a [`Load`] as JSON.
    Load,
}

/// The answer to `GET /load`, as JSON.
///
/// ```
/// let text = br#"{"running": 1, "connections": 120, "load": 35, "seq": 17}"#;
/// let load: galenatrail::Load = serde_json::from_slice(text).unwrap();
/// assert_eq!(load.age_ms, 0);
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Deserialize)]
pub struct Load {
    /// Number of requests that are running.
    #[serde(default)]
    pub running: u32,
    /// Number of open connections.
    #[serde(default)]
    pub connections: u32,
    /// Utilisation of the most used resource, in percent.
    #[serde(default)]
    pub load: u32,
    /// Sequence number of the measurement; a repeated number means that there is no newer one.
    #[serde(default)]
    pub seq: u64,
    /// Age of the measurement, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// Result of a probe.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ProbeResult {
    /// Whether the server reports that it is healthy.
    Health(bool),
    /// The load that the server reports.
    Load(Load),
}

struct PendingProbe {
    server: Name,
    kind: ProbeKind,
    sent: Time,
}

/// Probes that wait for an answer.
pub(crate) struct Probes {
    next_id: u16,
    pending: BTreeMap<u16, PendingProbe>,
}

impl Probes {
    pub(crate) fn new() -> Probes {
        Probes { next_id: 0, pending: BTreeMap::new() }
    }

    /// Registers a new probe and returns its CoAP message.
    pub(crate) fn start(&mut self, now: Time, server: &Name, kind: ProbeKind) -> Result<Vec<u8>> {
        self.next_id = self.next_id.wrapping_add(1);
        self.pending.insert(self.next_id, PendingProbe { server: server.clone(), kind, sent: now });
        let mut message = Packet::new();
        message.header.set_type(MessageType::NonConfirmable);
        message.header.code = MessageClass::Request(RequestType::Get);
        message.header.message_id = self.next_id;
        let [high, low] = self.next_id.to_be_bytes();
        message.set_token(vec![TOKEN_PREFIX, high, low]);
        let path = match kind {
            ProbeKind::Health => HEALTH_PATH,
            ProbeKind::Load => LOAD_PATH,
        };
        message.add_option(CoapOption::UriPath, path.to_vec());
        coap::encode(&message)
    }

    /// Matches an answer to its probe and returns the server and the result, or `None` if no probe
    /// waits for it or it cannot be parsed.
    pub(crate) fn handle_answer(&mut self, answer: &Packet) -> Option<(Name, ProbeResult)> {
        let &[TOKEN_PREFIX, high, low] = answer.get_token() else { return None };
        let probe = self.pending.remove(&u16::from_be_bytes([high, low]))?;
        let content = answer.header.code == MessageClass::Response(ResponseType::Content);
        let result = match probe.kind {
            ProbeKind::Health => ProbeResult::Health(content),
            ProbeKind::Load if !content => return None,
            ProbeKind::Load => ProbeResult::Load(serde_json::from_slice(&answer.payload).ok()?),
        };
        Some((probe.server, result))
    }

    /// Removes timed-out probes and returns the servers whose health probe was among them.
    pub(crate) fn expire(&mut self, now: Time) -> Vec<Name> {
        let late = self.pending.extract_if(.., |_, probe| now.since(probe.sent) > PROBE_TIMEOUT);
        late.filter(|(_, probe)| probe.kind == ProbeKind::Health)
            .map(|(_, probe)| probe.server)
            .collect()
    }
}

/// Returns whether `answer` belongs to a probe and not to a request.
pub(crate) fn is_probe(answer: &Packet) -> bool {
    let token = answer.get_token();
    token.len() == TOKEN_LEN && token[0] == TOKEN_PREFIX
}
