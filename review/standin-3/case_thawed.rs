//! An entry daemon freezes and wakes again. Openings that waited at it are forwarded although their
//! callers' copies have opened the flows through another daemon; the idle flows are lost by it.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    cluster::{CONTACT, Class, Cluster, READY_PORT, SIGCONT, SIGSTOP, VESTLAND},
    flows::{Clients, DEADLINE, Servers},
    operator::{Fate, Operator, config},
    record::Record,
    router::{Router, Target},
};

/// Port of the route to the service `hub`.
const ROUTE: u16 = 8080;
const FROZEN: Duration = Duration::from_millis(2_500);
/// New flows of the zone come at this interval while the daemon is frozen.
const OPEN_INTERVAL: Duration = Duration::from_millis(30);
const OPEN_TIME: Duration = Duration::from_millis(1_500);
const FLOW_SLACK: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(500);

pub fn run(record: Record, trouble: bool) -> Outcome {
    let mut cluster = Cluster::new(record.clone());
    let mut core = Vec::new();
    for (zone, host) in VESTLAND.iter().zip(10..) {
        core.push(cluster.add(Class::Core, zone, host));
    }
    let mut edge = Vec::new();
    for (place, host) in [0, 0, 0, 1, 1, 2, 3, 3].into_iter().zip(20..) {
        edge.push(cluster.add(Class::Edge, VESTLAND[place], host));
    }
    let control: Vec<SocketAddr> = core.iter().map(|at| cluster.machines[*at].control()).collect();
    for machine in &mut cluster.machines {
        machine.write_settings(&control[..3], true);
        machine.start();
    }
    cluster.say("4 core and 8 edge machines started");
    let counts = VESTLAND.iter().zip([4, 4, 3, 3]);
    let zones = counts.flat_map(|(zone, count)| std::iter::repeat_n(*zone, count));
    let places: Vec<_> = zones.zip(40..).map(|(zone, host)| (cluster.ip(host), zone)).collect();
    let servers = Servers::start("hub", &places, &control, &record);
    let mut operator = Operator::new(control.clone(), record.clone());
    if operator.order("/api/config/replace", &config(3), Duration::from_secs(10))
        != Fate::Acknowledged
    {
        return Outcome::NotRun("the first configuration was not acknowledged".into());
    }
    let entries = edge.clone();
    let ready = |cluster: &mut Cluster| entries.iter().all(|at| cluster.machines[*at].is_ready());
    if !cluster.wait(Duration::from_secs(10), ready) {
        return Outcome::NotRun("the entry daemons did not become ready".into());
    }
    std::thread::sleep(CONTACT + MARGIN);

    let frozen = edge[3];
    let targets = [edge[3], edge[4]].map(|at| {
        let machine = &cluster.machines[at];
        let ready = SocketAddr::new(IpAddr::V4(machine.ip), READY_PORT);
        Target { name: machine.name.clone(), datagrams: machine.datagrams(), ready }
    });
    let router = Router::start(targets.to_vec(), &record);
    let mut clients = Clients::new(cluster.ip(60), ROUTE, router, record.clone());
    let began = Instant::now();
    if trouble {
        cluster.machines[frozen].signal(SIGSTOP);
        cluster.say(format!("{} freezes", cluster.machines[frozen].name));
    }
    while began.elapsed() < OPEN_TIME {
        clients.open();
        clients.work(OPEN_INTERVAL);
    }
    clients.work(FROZEN.saturating_sub(began.elapsed()));
    if trouble {
        cluster.machines[frozen].signal(SIGCONT);
        cluster.say(format!("{} wakes up", cluster.machines[frozen].name));
    }
    // From here on all machines are calm; `contactMs` later all of them are in touch.
    clients.resume = Some(Instant::now() + CONTACT + MARGIN);
    cluster.say(format!("the flows are idle for {} ms", (CONTACT + MARGIN).as_millis()));
    let number = clients.flows.len() as u32;
    clients.work(CONTACT + MARGIN + Duration::from_millis(20) * number + DEADLINE + MARGIN);
    for machine in &mut cluster.machines {
        if let Some(how) = machine.ended() {
            let name = machine.name.clone();
            return Outcome::NotRun(format!("{name} has ended: {how}"));
        }
    }
    judge(&cluster, &clients, &servers)
}

fn judge(cluster: &Cluster, clients: &Clients, servers: &Servers) -> Outcome {
    let seen = servers.seen.lock().unwrap();
    let (mut tried, mut answered, mut broken) = (0, 0, 0);
    for flow in &clients.flows {
        let (Some(sent), Some((own, since))) = (flow.second, seen.open.get(&flow.port)) else {
            continue;
        };
        tried += 1;
        if flow.answers.len() > 1 {
            answered += 1;
            continue;
        }
        let arrivals = seen.arrivals.get(&flow.port).into_iter().flatten();
        let arrivals: Vec<_> =
            arrivals.filter(|arrival| (sent..sent + FLOW_SLACK).contains(&arrival.at)).collect();
        let others = arrivals.iter().filter(|arrival| arrival.server != *own).count();
        let places: Vec<String> = arrivals
            .iter()
            .map(|arrival| {
                let name = &servers.names[arrival.server];
                format!("{:.3} s {name} ({} B)", arrival.at.as_secs_f64(), arrival.len)
            })
            .collect();
        cluster.say(format!(
            "flow {}: opened at {} at {:.3} s, first request answered, second one sent at {:.3} s and not \
             answered; its packets reached: {}; reset: {:?}",
            flow.port,
            servers.names[*own],
            since.as_secs_f64(),
            sent.as_secs_f64(),
            places.join(", "),
            flow.reset
        ));
        if others >= 3 && others == arrivals.len() {
            broken += 1;
        }
    }
    cluster.say(format!(
        "{} flows, {tried} opened and resumed, {answered} of them answered again; servers ran {} requests \
         and none of them has ended",
        clients.flows.len(),
        seen.requests
    ));
    match (tried, broken) {
        (0, _) => Outcome::NotRun("no flow was opened".into()),
        (_, 0) => Outcome::Held,
        _ => Outcome::Broken(format!(
            "FLOW, for flowSlackMs three or more packets of each of {broken} open flows reached other servers and \
             none their own"
        )),
    }
}
