//! OpenTelemetry instruments that read the metric values of a process.

use std::sync::{Arc, atomic::Ordering};

use opentelemetry::{
    KeyValue,
    metrics::{Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use super::{Gauge, Latency, MetricValues};
use crate::{
    counter::Counter,
    error::{Error, Result},
};

/// Name of the instrumentation scope.
const SCOPE: &str = "galenatrail";
/// Upper bounds of the latency buckets, in seconds: from 0.1 ms to the time after which operators
/// and servers try another VM.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The instruments of a process.
pub(super) struct Exporter {
    registry: Registry,
    latencies: Vec<Histogram<f64>>,
    labels: [KeyValue; 2],
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates instruments that read `values`.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be built.
    pub(super) fn new(values: &Arc<MetricValues>) -> Result<Exporter> {
        let registry = Registry::new();
        let reader =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build().map_err(
                |err| Error::settings(format!("cannot create the metrics exporter: {err}")),
            )?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter(SCOPE);
        let vm = KeyValue::new("vm", values.vm.clone());
        let labels = [vm, KeyValue::new("zone", values.zone.clone())];
        Counter::ALL.iter().for_each(|counter| add_counter(&meter, values, &labels, *counter));
        Gauge::ALL.iter().for_each(|gauge| add_gauge(&meter, values, &labels, *gauge));
        let histogram = |latency: &Latency| {
            meter.f64_histogram(latency.name()).with_boundaries(LATENCY_BUCKETS_S.to_vec()).build()
        };
        let latencies = Latency::ALL.iter().map(histogram).collect();
        Ok(Exporter { registry, latencies, labels, _provider: provider })
    }

    /// Records a latency in its histogram.
    pub(super) fn record(&self, latency: Latency, seconds: f64) {
        self.latencies[latency as usize].record(seconds, &self.labels);
    }

    /// Returns all metrics in the Prometheus text format.
    pub(super) fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // On failure the text is cut short, and the scraper reports a parse error.
        _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

fn add_counter(
    meter: &Meter,
    values: &Arc<MetricValues>,
    labels: &[KeyValue; 2],
    counter: Counter,
) {
    let (values, labels) = (values.clone(), labels.clone());
    meter
        .u64_observable_counter(counter.name())
        .with_callback(move |observer| {
            let count = values.counters[counter as usize].load(Ordering::Relaxed);
            observer.observe(count, &labels);
        })
        .build();
}

fn add_gauge(meter: &Meter, values: &Arc<MetricValues>, labels: &[KeyValue; 2], gauge: Gauge) {
    let (values, labels) = (values.clone(), labels.clone());
    meter
        .u64_observable_gauge(gauge.name())
        .with_callback(move |observer| {
            let value = values.gauges[gauge as usize].load(Ordering::Relaxed);
            observer.observe(value, &labels);
        })
        .build();
}
