//! `galenactl cookies`: what entry VMs that forward by flow cookies are told, and what they make
//! of it.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use argh::FromArgs;
use serde::Serialize;

use super::show;
use crate::{
    cookie::{
        ControlEndpoint, Eligibility, Explanation, FeedMessage, FlowVerdict, Forwarder,
        ForwardingPlan, PacketInfo, ServerAssessment, ServerRecord,
    },
    daemon::listen,
    error::{Error, Result},
    name::Name,
    time::Time,
};

/// Time between two announcements of a server. Any will do: the forwarder is asked once, when
/// every server has been named.
const PERIOD: Duration = Duration::from_secs(1);

/// Look at the feed of a control VM on the cookie path; --control names its link address.
#[derive(FromArgs)]
#[argh(subcommand, name = "cookies")]
pub(super) struct Cookies {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Status(Status),
    Explain(Explain),
}

/// Print the plan in force, the control VMs and the backend servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {}

/// Say which backend server a new flow would reach at an entry VM that has just started, and why.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// availability zone of the entry VM
    #[argh(option)]
    zone: String,
    /// address and port of the caller
    #[argh(option)]
    caller: SocketAddrV4,
    /// address and port of the route
    #[argh(option)]
    route: SocketAddrV4,
}

impl Cookies {
    pub(super) async fn run(self, control: &[SocketAddr], json: bool) -> Result<()> {
        let (from, told) = hear(control).await?;
        match self.action {
            Action::Status(_) => status(told, json),
            Action::Explain(explain) => explain.run(from, told, json),
        }
    }
}

/// Hears the first control VM that answers.
async fn hear(control: &[SocketAddr]) -> Result<(SocketAddr, Vec<FeedMessage>)> {
    let mut last =
        Error::settings("no control VM named; name at least one (--control ADDRESS:PORT)");
    for addr in control {
        match listen(*addr).await {
            Ok(told) => return Ok((*addr, told)),
            Err(err) => last = err,
        }
    }
    Err(last)
}

/// What a control VM tells an entry VM that has just started.
#[derive(Default, Serialize)]
struct Told {
    index: u64,
    fresh: bool,
    age_ms: u64,
    seats: Vec<ControlEndpoint>,
    plan: Option<ForwardingPlan>,
    servers: Vec<ServerRecord>,
}

impl Told {
    fn new(messages: Vec<FeedMessage>) -> Told {
        let mut told = Told::default();
        for message in messages {
            match message {
                FeedMessage::Plan(plan) => told.plan = Some((*plan).clone()),
                FeedMessage::Servers { records, .. } => told.servers.extend(records),
                FeedMessage::Heartbeat { index, confirmed, registry_age, control_vms } => {
                    (told.index, told.fresh, told.seats) = (index, confirmed, control_vms);
                    told.age_ms = registry_age.as_millis() as u64;
                }
            }
        }
        told
    }
}

fn status(messages: Vec<FeedMessage>, json: bool) -> Result<()> {
    let told = Told::new(messages);
    if json {
        return show::json(&told);
    }
    let confirmed = if told.fresh { "confirmed by a quorum" } else { "not confirmed lately" };
    println!("commands applied: {}, {confirmed}", told.index);
    match &told.plan {
        Some(plan) => {
            let out: Vec<_> = plan.zones_out.iter().map(|zone| &**zone).collect();
            let out = if out.is_empty() { "none".into() } else { out.join(", ") };
            println!("configuration number {}, zones out: {out}", plan.config.number);
        }
        None => println!("no configuration yet"),
    }
    println!("announcements heard for {} ms\n", told.age_ms);
    let rows = told.seats.iter().map(|seat| vec![seat.addr.to_string(), seat.zone.to_string()]);
    show::table(&["control VM", "zone"], rows);
    let rows = told.servers.iter().map(|record| {
        let server = &record.announcement;
        vec![
            format!("{:x}", server.id),
            server.service.to_string(),
            server.zone.to_string(),
            server.addr.to_string(),
            format!("{:?}", record.state).to_lowercase(),
            if record.silent { "silent" } else { "heard" }.to_owned(),
            server.warmup_left.as_millis().to_string(),
        ]
    });
    println!();
    show::table(&["server", "service", "zone", "address", "state", "heard", "cold ms"], rows);
    Ok(())
}

/// The decision, for scripts.
#[derive(Serialize)]
struct Decision {
    verdict: String,
    servers: Vec<ServerAssessment>,
}

impl Explain {
    fn run(self, from: SocketAddr, told: Vec<FeedMessage>, json: bool) -> Result<()> {
        let Explain { zone, caller, route } = self;
        let mut forwarder = Forwarder::new(Time::ZERO, Name::from(zone), PERIOD);
        for message in told {
            forwarder.handle_feed(Time::ZERO, from, message);
        }
        let head =
            PacketInfo { caller, route, opens: true, retransmits: 0, closes: false, cookie: 0 };
        let Explanation { verdict, servers } = forwarder.explain(Time::ZERO, &head);
        if json {
            return show::json(&Decision { verdict: sentence(&verdict), servers });
        }
        println!("{}\n", sentence(&verdict));
        let rows = servers.iter().map(|server| {
            vec![
                format!("{:x}", server.id),
                server.service.to_string(),
                server.zone.to_string(),
                server.addr.to_string(),
                reason(server).to_owned(),
            ]
        });
        show::table(&["server", "service", "zone", "address", "new flows"], rows);
        Ok(())
    }
}

fn sentence(verdict: &FlowVerdict) -> String {
    match verdict {
        FlowVerdict::Forward { to, id, cookie } => {
            format!("the flow would reach server {id:x} at {to} under cookie {cookie:08x}")
        }
        FlowVerdict::Reset(reason) => format!("the flow would be reset: {reason:?}"),
        FlowVerdict::Drop(reason) => format!("the packet would be dropped: {reason:?}"),
    }
}

/// Returns whether a server takes new flows, and if not, why.
fn reason(server: &ServerAssessment) -> &'static str {
    match server.eligibility {
        _ if server.zone_out => "no: its availability zone is out",
        Eligibility::Available => "yes",
        Eligibility::Cold => "no: cold",
        Eligibility::Draining => "no: draining",
        Eligibility::Silent => "only where every server is silent",
        Eligibility::Unavailable => "no: gone, or its cookie is another server's",
    }
}
