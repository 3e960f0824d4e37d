//! Metrics of the daemons, exported in the Prometheus text format through OpenTelemetry.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http_body_util::Full;
use hyper::{Request, Response, body::Bytes, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

mod export;

use export::Exporter;

use crate::{
    counter::{Counter, Counters},
    error::{Error, Result},
    name::Name,
};

/// A latency recorded in a histogram.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Latency {
    /// From an operator's command to its outcome.
    Order,
    /// From a read call to its reply.
    Read,
    /// From the announcement that a server drains or has left, to its confirmation by another VM.
    Confirm,
    /// Writing and syncing one log write.
    Sync,
    /// Handling the packets of one wake-up.
    Batch,
}

impl Latency {
    const ALL: [Latency; 5] =
        [Latency::Order, Latency::Read, Latency::Confirm, Latency::Sync, Latency::Batch];

    const fn name(self) -> &'static str {
        match self {
            Latency::Order => "order_seconds",
            Latency::Read => "read_seconds",
            Latency::Confirm => "confirm_seconds",
            Latency::Sync => "sync_seconds",
            Latency::Batch => "batch_seconds",
        }
    }
}

/// A value that can go up and down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Gauge {
    /// Number of commands applied in the current plan.
    PlanIndex,
    /// The operator's version number of the current configuration.
    PlanNumber,
    /// Milliseconds since the current plan was received.
    PlanAge,
    /// Milliseconds for which the registry has received announcements of backend servers.
    RegistryAge,
    /// Known backend servers.
    Servers,
    /// Backend servers that wait for a configuration to name their service.
    ServersUnnamed,
    /// Flows with recent packets.
    Flows,
    /// Entry VMs subscribed to the feed.
    Subscribers,
    /// Voters that the log may lose now and still have a quorum, as the leader knows; 0 elsewhere.
    LogMargin,
    /// Bytes that the budget of the VM's link has left.
    LinkBudget,
    /// Bytes per second with which this budget refills.
    LinkRate,
    /// Milliseconds that packets wait in front of the link.
    LinkWait,
    /// 1 while openings are refused because the link is short.
    LinkShort,
    /// Smallest share of openings that a service has room for, in thousandths.
    ServiceLevel,
    /// Milliseconds since the load that the newest summary adds up; 0 before the first summary.
    LoadAge,
    /// Entry VMs with a recent load report.
    LoadReporters,
}

impl Gauge {
    const ALL: [Gauge; 16] = [
        Gauge::PlanIndex,
        Gauge::PlanNumber,
        Gauge::PlanAge,
        Gauge::RegistryAge,
        Gauge::Servers,
        Gauge::ServersUnnamed,
        Gauge::Flows,
        Gauge::Subscribers,
        Gauge::LogMargin,
        Gauge::LinkBudget,
        Gauge::LinkRate,
        Gauge::LinkWait,
        Gauge::LinkShort,
        Gauge::ServiceLevel,
        Gauge::LoadAge,
        Gauge::LoadReporters,
    ];

    const fn name(self) -> &'static str {
        match self {
            Gauge::PlanIndex => "plan_index",
            Gauge::PlanNumber => "plan_number",
            Gauge::PlanAge => "plan_age_ms",
            Gauge::RegistryAge => "registry_age_ms",
            Gauge::Servers => "servers_known",
            Gauge::ServersUnnamed => "servers_unnamed",
            Gauge::Flows => "flows_seen",
            Gauge::Subscribers => "subscribers",
            Gauge::LogMargin => "log_margin",
            Gauge::LinkBudget => "link_budget_bytes",
            Gauge::LinkRate => "link_refill_rate",
            Gauge::LinkWait => "link_wait_ms",
            Gauge::LinkShort => "link_short",
            Gauge::ServiceLevel => "service_level_permille",
            Gauge::LoadAge => "load_age_ms",
            Gauge::LoadReporters => "load_reporters",
        }
    }
}

/// Current counters and gauges of a daemon, with its labels.
pub(super) struct MetricValues {
    vm: Name,
    zone: Name,
    counters: Vec<AtomicU64>,
    gauges: Vec<AtomicU64>,
}

/// Shared metrics, updated by a daemon and read by scrapers.
///
/// The exporter uses more memory than the rest of an entry VM, so it is created on the first
/// scrape; latencies are recorded only from then on.
#[derive(Clone)]
pub(super) struct Metrics {
    values: Arc<MetricValues>,
    exporter: Arc<OnceLock<Exporter>>,
}

impl Metrics {
    /// Creates metrics labelled with the VM `vm` and its `zone`, all zero.
    pub(super) fn new(vm: &Name, zone: &Name) -> Metrics {
        let zeros = |len: usize| (0..len).map(|_| AtomicU64::new(0)).collect();
        let (counters, gauges) = (zeros(Counter::ALL.len()), zeros(Gauge::ALL.len()));
        let values = MetricValues { vm: vm.clone(), zone: zone.clone(), counters, gauges };
        Metrics { values: Arc::new(values), exporter: Arc::default() }
    }

    /// Stores the current counts of a node.
    pub(super) fn publish(&self, counters: &Counters) {
        for (counter, count) in counters.iter() {
            self.values.counters[counter as usize].store(count, Ordering::Relaxed);
        }
    }

    /// Sets a gauge.
    pub(super) fn set(&self, gauge: Gauge, value: u64) {
        self.values.gauges[gauge as usize].store(value, Ordering::Relaxed);
    }

    /// Records a latency in its histogram.
    pub(super) fn record(&self, latency: Latency, time: Duration) {
        if let Some(exporter) = self.exporter.get() {
            exporter.record(latency, time.as_secs_f64());
        }
    }

    fn text(&self) -> Vec<u8> {
        if let Some(exporter) = self.exporter.get() {
            return exporter.text();
        }
        match Exporter::new(&self.values) {
            Ok(exporter) => self.exporter.get_or_init(|| exporter).text(),
            Err(err) => {
                log::error!("{err}");
                Vec::new()
            }
        }
    }
}

/// Starts to serve metrics over HTTP on `addr`, if one is given.
///
/// # Errors
///
/// Fails when `addr` cannot be used.
pub(super) async fn start(
    addr: Option<SocketAddr>,
    vm: &Name,
    zone: &Name,
) -> Result<Option<Metrics>> {
    let Some(addr) = addr else { return Ok(None) };
    let metrics = Metrics::new(vm, zone);
    serve(addr, metrics.clone()).await?;
    Ok(Some(metrics))
}

/// Starts a task that serves metrics over HTTP on `addr`; it ends when a connection cannot be
/// accepted.
///
/// # Errors
///
/// Fails when `addr` cannot be used.
pub(super) async fn serve(addr: SocketAddr, metrics: Metrics) -> Result<()> {
    let listener = TcpListener::bind(addr).await.map_err(|err| {
        let message = format!("{addr}: {err}; free the address or choose another");
        Error::settings(message).with_path("metrics")
    })?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let metrics = metrics.clone();
            let answer = service_fn(move |_: Request<hyper::body::Incoming>| {
                let body = Full::new(Bytes::from(metrics.text()));
                async move { Ok::<_, Infallible>(Response::new(body)) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
            tokio::spawn(connection);
        }
    });
    Ok(())
}
