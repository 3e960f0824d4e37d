//! Callers that send non-idempotent requests and repeat them until an answer comes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use coap_lite::{MessageClass, MessageType, Packet, RequestType, ResponseType};
use galenatrail::{
    coap,
    standin::{Caller, loopback, udp_packet},
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::{task::JoinHandle, time::sleep};

use crate::{fleet, flows::Callers};

const CALLER_HOST: u8 = 4;
const FIRST_PORT: u16 = 30_000;
const ANSWER_LIMIT: Duration = Duration::from_millis(400);
const TRIES: usize = 30;
const PERIOD: Duration = Duration::from_millis(150);
const SEED: u64 = 1_000;

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum End {
    /// It was answered.
    Answered,
    /// It was refused as not run.
    NotRun,
    /// Its outcome is unknown.
    Unknown,
    /// No answer came.
    Lost,
}

/// How each request ended, by payload.
pub(crate) type Ends = BTreeMap<Vec<u8>, End>;

/// Starts `n` callers; each sends one request after another.
pub(crate) fn start(callers: &Arc<Callers>, n: u16) -> Vec<JoinHandle<eyre::Result<Ends>>> {
    (0..n).map(|n| tokio::spawn(call(callers.clone(), n))).collect()
}

/// Waits for the callers and puts together how their requests ended.
pub(crate) async fn join(tasks: Vec<JoinHandle<eyre::Result<Ends>>>) -> eyre::Result<Ends> {
    let mut ends = Ends::new();
    for task in tasks {
        ends.extend(task.await??);
    }
    Ok(ends)
}

async fn call(callers: Arc<Callers>, n: u16) -> eyre::Result<Ends> {
    let addr = loopback(CALLER_HOST, FIRST_PORT + n);
    let caller = Caller::new(addr).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED + u64::from(n));
    let mut ends = Ends::new();
    for serial in 1..u16::MAX {
        if callers.is_stopped() {
            break;
        }
        let payload = format!("intake-{n}-{serial}").into_bytes();
        let token = [n.to_be_bytes(), serial.to_be_bytes()].concat();
        let request = coap::encode(&post(serial, &token, &payload))?;
        let packet = udp_packet(addr, fleet::desk(), &request);
        let mut end = End::Lost;
        for _ in 0..TRIES {
            callers.spray(&mut rng, &packet).await;
            if let Some(seen) = answer(&caller, &token).await {
                end = seen;
                break;
            }
        }
        ends.insert(payload, end);
        sleep(PERIOD).await;
    }
    Ok(ends)
}

fn post(message_id: u16, token: &[u8], payload: &[u8]) -> Packet {
    let mut message = Packet::new();
    message.header.set_type(MessageType::Confirmable);
    message.header.code = MessageClass::Request(RequestType::Post);
    message.header.message_id = message_id;
    message.set_token(token.to_vec());
    message.payload = payload.to_vec();
    message
}

/// Waits for the answer that carries `token`; others are late answers to earlier requests.
async fn answer(caller: &Caller, token: &[u8]) -> Option<End> {
    loop {
        let bytes = caller.receive(ANSWER_LIMIT).await.ok()?;
        let Ok(message) = coap::decode(&bytes) else { continue };
        if message.get_token() != token {
            continue;
        }
        return match message.header.code {
            MessageClass::Response(ResponseType::Content) => Some(End::Answered),
            MessageClass::Response(ResponseType::ServiceUnavailable) => Some(End::NotRun),
            MessageClass::Response(_) => Some(End::Unknown),
            // An empty acknowledgement: the answer follows.
            _ => continue,
        };
    }
}
