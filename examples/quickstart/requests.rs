//! Callers that send non-idempotent requests and retransmit them until they are answered.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coap_lite::{MessageClass, MessageType, Packet, RequestType, ResponseType};
use galenatrail::{
    coap,
    standin::{Caller, loopback, udp_packet},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinHandle, time::sleep};

use crate::{fleet, flows::CallerContext};

const CALLER_HOST: u8 = 4;
const FIRST_PORT: u16 = 30_000;
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_ATTEMPTS: usize = 30;
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
const FIRST_SEED: u64 = 1_000;

/// The result of a request as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RequestResult {
    /// It was answered.
    Answered,
    /// It was refused; the server did not run it.
    NotRun,
    /// The answer says that its outcome is unknown.
    Unknown,
    /// It was not answered.
    Lost,
}

/// Results of requests by payload.
pub(crate) type RequestResults = BTreeMap<Vec<u8>, RequestResult>;

/// Starts `n` callers; each sends one request after another.
pub(crate) fn start(
    context: &Arc<CallerContext>,
    n: u16,
) -> Vec<JoinHandle<eyre::Result<RequestResults>>> {
    (0..n).map(|n| tokio::spawn(run_caller(context.clone(), n))).collect()
}

/// Waits for the callers and merges their results.
pub(crate) async fn join(
    tasks: Vec<JoinHandle<eyre::Result<RequestResults>>>,
) -> eyre::Result<RequestResults> {
    let mut results = RequestResults::new();
    for task in tasks {
        results.extend(task.await??);
    }
    Ok(results)
}

async fn run_caller(context: Arc<CallerContext>, n: u16) -> eyre::Result<RequestResults> {
    let addr = loopback(CALLER_HOST, FIRST_PORT + n);
    let caller = Caller::new(addr).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(FIRST_SEED + u64::from(n));
    let mut results = RequestResults::new();
    for serial in 1..u16::MAX {
        if context.is_stopped() {
            break;
        }
        let payload = format!("intake-{n}-{serial}").into_bytes();
        let token = [n.to_be_bytes(), serial.to_be_bytes()].concat();
        let request = coap::encode(&post_request(serial, &token, &payload))?;
        let packet = udp_packet(addr, fleet::request_service_addr(), &request);
        let mut result = RequestResult::Lost;
        for _ in 0..MAX_ATTEMPTS {
            context.send_to_random_entry(&mut rng, &packet).await;
            if let Some(received) = receive_answer(&caller, &token).await {
                result = received;
                break;
            }
        }
        context.progress.update(|phase| match result {
            RequestResult::Answered => phase.answered += 1,
            RequestResult::NotRun => phase.refused += 1,
            RequestResult::Unknown => phase.unknown += 1,
            RequestResult::Lost => phase.lost += 1,
        });
        if result == RequestResult::Lost {
            log::warn!("event=request_lost caller={addr} serial={serial}");
        }
        results.insert(payload, result);
        sleep(REQUEST_INTERVAL).await;
    }
    Ok(results)
}

fn post_request(message_id: u16, token: &[u8], payload: &[u8]) -> Packet {
    let mut message = Packet::new();
    message.header.set_type(MessageType::Confirmable);
    message.header.code = MessageClass::Request(RequestType::Post);
    message.header.message_id = message_id;
    message.set_token(token.to_vec());
    message.payload = payload.to_vec();
    message
}

/// Waits for the answer that carries `token`; skips late answers to earlier requests.
async fn receive_answer(caller: &Caller, token: &[u8]) -> Option<RequestResult> {
    loop {
        let bytes = caller.receive(ANSWER_TIMEOUT).await.ok()?;
        let Ok(message) = coap::decode(&bytes) else { continue };
        if message.get_token() != token {
            continue;
        }
        return match message.header.code {
            MessageClass::Response(ResponseType::Content) => Some(RequestResult::Answered),
            MessageClass::Response(ResponseType::ServiceUnavailable) => Some(RequestResult::NotRun),
            MessageClass::Response(_) => Some(RequestResult::Unknown),
            // An empty acknowledgement: the answer is sent separately.
            _ => continue,
        };
    }
}
