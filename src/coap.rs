//! CoAP messages (RFC 7252), encoded and decoded by `coap_lite`.

use coap_lite::{
    CoapOption, MessageClass, MessageType, Packet, RequestType, ResponseType,
    option_value::OptionValueU32,
};

use crate::{
    error::{Error, Result},
    state::Announce,
};

/// Option number of the time left for an exchange, in milliseconds: elective, safe to forward, from
/// the range for experimental use (RFC 7252, section 12.2).
pub const DEADLINE_OPTION: u16 = 65_000;

/// Payload of the answer to a request that may have run.
pub const UNKNOWN_OUTCOME: &str = "outcome unknown";

/// Path of the resource on an entry VM that receives announcements.
pub(crate) const ANNOUNCE_PATH: &str = "announce";

/// Decodes a CoAP message.
///
/// # Errors
///
/// Fails if the bytes are not a CoAP message.
pub fn decode(bytes: &[u8]) -> Result<Packet> {
    Packet::from_bytes(bytes).map_err(|_| Error::protocol("not a CoAP message"))
}

/// Encodes a CoAP message.
///
/// # Errors
///
/// Fails if an option is longer than the protocol allows.
pub fn encode(message: &Packet) -> Result<Vec<u8>> {
    message.to_bytes_unlimited().map_err(|_| Error::protocol("CoAP option too long"))
}

/// Returns whether `message` is a request.
pub fn is_request(message: &Packet) -> bool {
    matches!(message.header.code, MessageClass::Request(_))
}

/// Builds the confirmable request with which a backend server announces itself.
///
/// # Errors
///
/// Fails if the announcement cannot be serialized as JSON.
pub fn announce(announce: &Announce, message_id: u16) -> Result<Packet> {
    let mut message = Packet::new();
    message.header.set_type(MessageType::Confirmable);
    message.header.code = MessageClass::Request(RequestType::Post);
    message.header.message_id = message_id;
    message.add_option(CoapOption::UriPath, ANNOUNCE_PATH.as_bytes().to_vec());
    message.payload = serde_json::to_vec(announce)
        .map_err(|_| Error::protocol("cannot serialize announcement"))?;
    Ok(message)
}

/// Decodes an announcement, or returns `None` if the request is for another path.
///
/// # Errors
///
/// Fails if the payload is not an announcement.
pub fn read_announce(message: &Packet) -> Result<Option<Announce>> {
    let path = message.get_option(CoapOption::UriPath);
    let at_path = path.is_some_and(|segments| {
        segments.len() == 1 && segments.front().is_some_and(|s| s == ANNOUNCE_PATH.as_bytes())
    });
    if !at_path {
        return Ok(None);
    }
    serde_json::from_slice(&message.payload)
        .map(Some)
        .map_err(|_| Error::protocol("invalid announcement"))
}

/// Builds the response to `request`, piggybacked if the request is confirmable.
pub fn response(request: &Packet, code: ResponseType) -> Packet {
    let mut message = Packet::new();
    let kind = match request.header.get_type() {
        MessageType::Confirmable => MessageType::Acknowledgement,
        _ => MessageType::NonConfirmable,
    };
    message.header.set_type(kind);
    message.header.code = MessageClass::Response(code);
    message.header.message_id = request.header.message_id;
    message.set_token(request.get_token().to_vec());
    message
}

/// Builds the refusal of a request that did not run: 5.03 with Max-Age in seconds (RFC 7252,
/// section 5.9.3.4).
pub fn refusal(request: &Packet, retry_s: u32) -> Packet {
    let mut message = response(request, ResponseType::ServiceUnavailable);
    message.add_option_as(CoapOption::MaxAge, OptionValueU32(retry_s));
    message
}

/// Builds the answer to a request that may have run: 5.04 with the payload [`UNKNOWN_OUTCOME`].
pub fn unknown_outcome(request: &Packet) -> Packet {
    let mut message = response(request, ResponseType::GatewayTimeout);
    message.payload = UNKNOWN_OUTCOME.as_bytes().to_vec();
    message
}

/// Builds the message that cancels a request: an empty Reset with its message ID.
pub fn cancel(message_id: u16) -> Packet {
    let mut message = Packet::new();
    message.header.set_type(MessageType::Reset);
    message.header.code = MessageClass::Empty;
    message.header.message_id = message_id;
    message
}

/// Returns whether `message` cancels a request.
pub fn is_cancel(message: &Packet) -> bool {
    message.header.get_type() == MessageType::Reset && message.header.code == MessageClass::Empty
}

/// Builds the empty acknowledgement of a confirmable message.
pub(crate) fn acknowledgement(message_id: u16) -> Packet {
    let mut message = cancel(message_id);
    message.header.set_type(MessageType::Acknowledgement);
    message
}

/// Returns whether the method of a request is idempotent (RFC 7252, section 5.1; RFC 8132, section
/// 4).
pub fn is_idempotent(message: &Packet) -> bool {
    use RequestType::{Delete, Fetch, Get, IPatch, Put};
    matches!(message.header.code, MessageClass::Request(Get | Put | Delete | Fetch | IPatch))
}

/// Returns the time left for the exchange, in milliseconds.
pub fn deadline(message: &Packet) -> Option<u32> {
    let value =
        message.get_first_option_as::<OptionValueU32>(CoapOption::Unknown(DEADLINE_OPTION))?;
    value.ok().map(|value| value.0)
}

/// Sets the time left for the exchange, in milliseconds.
pub fn set_deadline(message: &mut Packet, left_ms: u32) {
    message.clear_option(CoapOption::Unknown(DEADLINE_OPTION));
    message.add_option_as(CoapOption::Unknown(DEADLINE_OPTION), OptionValueU32(left_ms));
}

/// A Block1 or Block2 option (RFC 7959, section 2.2).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Block {
    /// Block number.
    pub(crate) number: u32,
    /// Whether more blocks follow.
    pub(crate) more: bool,
}

/// Decodes a block option.
pub(crate) fn read_block(message: &Packet, option: CoapOption) -> Option<Block> {
    const MORE: u32 = 1 << 3;
    const NUMBER_SHIFT: u32 = 4;
    let value = message.get_first_option_as::<OptionValueU32>(option)?.ok()?.0;
    Some(Block { number: value >> NUMBER_SHIFT, more: value & MORE != 0 })
}
