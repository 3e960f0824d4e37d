//! The request in progress on one flow, as its caller's packets show it.
//!
//! An entry VM sees no replies. A request begins with new data of the caller, and is answered when
//! the caller acknowledges bytes that it had not received before.

use std::time::Duration;

use super::verdict::PacketInfo;
use crate::time::Time;

/// Length, in bytes, up to which a response may be a refusal.
pub(super) const SHORT_RESPONSE: u32 = 512;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Stage {
    /// No request is in progress.
    #[default]
    Idle,
    /// The opening was sent once.
    Opening { sent: Time },
    /// No byte of the response has been acknowledged.
    Waiting { since: Time, repeated: bool },
    /// A part of the response has been acknowledged, if known after this time in microseconds; the
    /// response may still turn out to be short.
    Answered { after: Option<u32> },
}

/// What a packet tells of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExchangeEvent {
    /// It was answered.
    Answered {
        /// Time from its last data to the first acknowledgement of the response, less the handshake
        /// delay of the flow, which is the way to the server and back through the caller.
        after: Duration,
        /// Bytes of the response that were acknowledged.
        length: u32,
    },
    /// Its data was sent again without an acknowledgement of a response.
    Repeated,
    /// Its flow ended without a response.
    Ended,
}

/// The request in progress on a flow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Exchange {
    stage: Stage,
    /// End of the caller's data, as a sequence number.
    sent: u32,
    /// Acknowledged sequence number at the start of the request.
    base: u32,
    /// Time from the opening to the caller's next packet, in microseconds, if the opening was sent
    /// once.
    handshake: Option<u32>,
}

impl Exchange {
    /// Creates the state of a flow that `opening` opens.
    pub(super) fn opened(now: Time, opening: &PacketInfo) -> Exchange {
        let stage = match opening.retransmits {
            0 => Stage::Opening { sent: now },
            _ => Stage::Idle,
        };
        Exchange { stage, sent: opening.sequence, ..Exchange::default() }
    }

    /// Creates the state of a flow of which `packet` is the first one seen.
    ///
    /// Its data may have been sent before, to another VM; it begins no request here.
    pub(super) fn joined(packet: &PacketInfo) -> Exchange {
        Exchange { sent: end_of_data(packet), ..Exchange::default() }
    }

    /// Returns the state after a repetition of the opening, whose answers cannot be told apart.
    pub(super) fn repeated(self) -> Exchange {
        Exchange { stage: Stage::Idle, ..self }
    }

    /// Returns whether the server has a request of the flow to answer.
    pub(super) fn in_progress(&self) -> bool {
        matches!(self.stage, Stage::Waiting { .. })
    }

    /// Ends a request that began `limit` or longer ago.
    pub(super) fn expire(&mut self, now: Time, limit: Duration) {
        if let Stage::Waiting { since, .. } = self.stage
            && now.since(since) >= limit
        {
            self.stage = Stage::Idle;
        }
    }

    /// Applies a packet of the flow that does not open it.
    pub(super) fn apply(&mut self, now: Time, packet: &PacketInfo) -> Option<ExchangeEvent> {
        if let Stage::Opening { sent } = self.stage {
            self.handshake = Some(micros_since(now, sent));
            self.stage = Stage::Idle;
        }
        let is_new = packet.data_len > 0 && is_after(end_of_data(packet), self.sent);
        let event = self.apply_to_request(now, packet, is_new);
        if is_new {
            if self.stage == Stage::Idle && !packet.closes {
                self.stage = Stage::Waiting { since: now, repeated: false };
                self.base = packet.acknowledged;
            }
            self.sent = end_of_data(packet);
        }
        event
    }

    fn apply_to_request(
        &mut self,
        now: Time,
        packet: &PacketInfo,
        is_new: bool,
    ) -> Option<ExchangeEvent> {
        let is_answer = packet.acknowledges_after(self.base);
        if let Stage::Waiting { since, repeated } = &mut self.stage {
            if !is_answer {
                return match (packet.closes, is_new, packet.data_len) {
                    (true, ..) => {
                        self.stage = Stage::Idle;
                        Some(ExchangeEvent::Ended)
                    }
                    // The request has several packets.
                    (false, true, _) => {
                        *since = now;
                        None
                    }
                    (false, false, 1..) if !*repeated => {
                        *repeated = true;
                        Some(ExchangeEvent::Repeated)
                    }
                    _ => None,
                };
            }
            // The time of a request that was sent twice says nothing about its server.
            let handshake = self.handshake.filter(|_| !*repeated);
            let after =
                handshake.map(|handshake| micros_since(now, *since).saturating_sub(handshake));
            self.stage = Stage::Answered { after };
        }
        let Stage::Answered { after } = self.stage else { return None };
        let length = packet.acknowledged.wrapping_sub(self.base);
        if length <= SHORT_RESPONSE && !packet.closes && !is_new {
            return None;
        }
        self.stage = Stage::Idle;
        match length {
            // The end of the server's side takes one sequence number.
            ..=1 => Some(ExchangeEvent::Ended),
            _ => {
                let after = Duration::from_micros(after?.into());
                Some(ExchangeEvent::Answered { after, length })
            }
        }
    }
}

// The flow table has up to 16,384 of them.
const _: () = assert!(size_of::<Exchange>() <= 32);

fn end_of_data(packet: &PacketInfo) -> u32 {
    packet.sequence.wrapping_add(packet.data_len.into())
}

fn micros_since(now: Time, earlier: Time) -> u32 {
    u32::try_from(now.since(earlier).as_micros()).unwrap_or(u32::MAX)
}

fn is_after(number: u32, other: u32) -> bool {
    (number.wrapping_sub(other) as i32) > 0
}
