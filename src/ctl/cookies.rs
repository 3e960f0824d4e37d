//! `galenactl cookies`: inspects the feed that control VMs send to entry VMs with flow cookies.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use argh::FromArgs;
use serde::Serialize;

use super::output;
use crate::{
    cookie::{
        ControlLocation, Eligibility, Explanation, FeedMessage, FlowVerdict, Forwarder,
        ForwardingPlan, PacketInfo, ServerAssessment, ServerRecord, UnnamedServers,
    },
    daemon::{fetch_feed_snapshot, fetch_unnamed_servers},
    error::{Error, Result},
    name::Name,
    time::Time,
};

/// Time between two announcements of a server. The value has no effect: the forwarder decides once,
/// after it has received every server.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

/// Inspect the feed of a control VM to entry VMs with flow cookies; --control takes the address of
/// its link port.
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

/// Print which backend server a newly started entry VM would select for a new flow, and why; without
/// --vm, for a VM with some order of servers.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// availability zone of the entry VM
    #[argh(option)]
    zone: String,
    /// name of the entry VM, which determines the order in which it selects servers
    #[argh(option)]
    vm: Option<String>,
    /// address and port of the caller
    #[argh(option)]
    caller: SocketAddrV4,
    /// address and port of the route
    #[argh(option)]
    route: SocketAddrV4,
}

impl Cookies {
    pub(super) async fn run(self, control: &[SocketAddr], json: bool) -> Result<()> {
        let (from, messages) = fetch_feed(control).await?;
        match self.action {
            Action::Status(_) => {
                print_status(messages, fetch_unnamed_servers(from).await.ok(), json)
            }
            Action::Explain(explain) => explain.run(from, messages, json),
        }
    }
}

/// Fetches the feed of the first control VM that answers.
async fn fetch_feed(control: &[SocketAddr]) -> Result<(SocketAddr, Vec<FeedMessage>)> {
    let mut last =
        Error::settings("no control VM named; name at least one (--control ADDRESS:PORT)");
    for addr in control {
        match fetch_feed_snapshot(*addr).await {
            Ok(messages) => return Ok((*addr, messages)),
            Err(err) => last = err,
        }
    }
    Err(last)
}

/// The feed that a newly started entry VM receives, printed as JSON.
#[derive(Default, Serialize)]
struct FeedStatus {
    index: u64,
    #[serde(rename = "fresh")]
    confirmed: bool,
    age_ms: u64,
    #[serde(rename = "seats")]
    control_vms: Vec<ControlLocation>,
    plan: Option<ForwardingPlan>,
    servers: Vec<ServerRecord>,
    /// Servers that are heard and not used; unknown to a control VM of an earlier build.
    unnamed: Option<UnnamedServers>,
}

impl FeedStatus {
    fn new(messages: Vec<FeedMessage>, unnamed: Option<UnnamedServers>) -> FeedStatus {
        let mut status = FeedStatus { unnamed, ..FeedStatus::default() };
        for message in messages {
            match message {
                FeedMessage::Plan(plan) => status.plan = Some((*plan).clone()),
                FeedMessage::Servers { records, .. } => status.servers.extend(records),
                FeedMessage::ControlVms(control_vms) => status.control_vms = control_vms,
                FeedMessage::ZoneSent | FeedMessage::ChangesOnly | FeedMessage::Load(_) => {}
                FeedMessage::Heartbeat { index, confirmed, registry_age, control_vms } => {
                    (status.index, status.confirmed, status.control_vms) =
                        (index, confirmed, control_vms);
                    status.age_ms = registry_age.as_millis() as u64;
                }
            }
        }
        status
    }
}

fn print_status(
    messages: Vec<FeedMessage>,
    unnamed: Option<UnnamedServers>,
    json: bool,
) -> Result<()> {
    let status = FeedStatus::new(messages, unnamed);
    if json {
        return output::print_json(&status);
    }
    let confirmed = if status.confirmed { "confirmed by a quorum" } else { "not confirmed lately" };
    println!("commands applied: {}, {confirmed}", status.index);
    match &status.plan {
        Some(plan) => {
            let out: Vec<_> = plan.zones_out.iter().map(|zone| &**zone).collect();
            let out = if out.is_empty() { "none".into() } else { out.join(", ") };
            println!("configuration number {}, zones out: {out}", plan.config.number);
        }
        None => println!("no configuration yet"),
    }
    println!("announcements heard for {} ms\n", status.age_ms);
    let rows = status.control_vms.iter().map(|vm| vec![vm.addr.to_string(), vm.zone.to_string()]);
    output::print_table(&["control VM", "zone"], rows);
    println!();
    print_servers(&status.servers);
    match &status.unnamed {
        Some(unnamed) if unnamed.count > 0 => {
            println!(
                "\nheard and not used, as no configuration names the service: {}",
                unnamed.count
            );
            print_servers(&unnamed.records);
        }
        Some(_) => {}
        None => println!("\nservers that are heard and not used: the control VM cannot tell"),
    }
    Ok(())
}

fn print_servers(servers: &[ServerRecord]) {
    let rows = servers.iter().map(|record| {
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
    output::print_table(
        &["server", "service", "zone", "address", "state", "heard", "cold ms"],
        rows,
    );
}

/// The decision, printed as JSON.
#[derive(Serialize)]
struct ExplainOutput {
    verdict: String,
    servers: Vec<ServerAssessment>,
}

impl Explain {
    fn run(self, from: SocketAddr, messages: Vec<FeedMessage>, json: bool) -> Result<()> {
        let Explain { zone, vm, caller, route } = self;
        let mut forwarder = Forwarder::new(Time::ZERO, Name::from(zone), ANNOUNCE_PERIOD)
            .with_name(&Name::from(vm.unwrap_or_default()));
        for message in messages {
            forwarder.handle_feed(Time::ZERO, from, message);
        }
        let packet = PacketInfo {
            caller,
            route,
            opens: true,
            sequence: 0,
            acknowledged: 0,
            retransmits: 0,
            closes: false,
            cookie: 0,
            data_len: 0,
            link_len: 0,
        };
        let Explanation { verdict, servers } = forwarder.explain(Time::ZERO, &packet);
        if json {
            return output::print_json(&ExplainOutput {
                verdict: describe_verdict(&verdict),
                servers,
            });
        }
        println!("{}\n", describe_verdict(&verdict));
        let rows = servers.iter().map(|server| {
            vec![
                format!("{:x}", server.id),
                server.service.to_string(),
                server.zone.to_string(),
                server.addr.to_string(),
                describe_eligibility(server).to_owned(),
            ]
        });
        output::print_table(&["server", "service", "zone", "address", "new flows"], rows);
        Ok(())
    }
}

fn describe_verdict(verdict: &FlowVerdict) -> String {
    match verdict {
        FlowVerdict::Forward { to, id, cookie } => {
            format!("the flow would reach server {id:x} at {to} under cookie {cookie:08x}")
        }
        FlowVerdict::Reset(reason) => format!("the flow would be reset: {reason:?}"),
        FlowVerdict::Drop(reason) => format!("the packet would be dropped: {reason:?}"),
    }
}

/// Returns whether a server accepts new flows, with the reason if it does not.
fn describe_eligibility(server: &ServerAssessment) -> &'static str {
    match server.eligibility {
        _ if server.zone_out => "no: its availability zone is out",
        Eligibility::Available => "yes",
        Eligibility::Cold => "no: cold",
        Eligibility::Draining => "no: draining",
        Eligibility::Silent => "only where every server is silent",
        Eligibility::Unavailable => "no: gone, or its cookie is another server's",
    }
}
