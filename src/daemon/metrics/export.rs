//! The exporter: OpenTelemetry instruments that read the values of a process.

use std::sync::{Arc, atomic::Ordering};

use opentelemetry::{
    KeyValue,
    metrics::{Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use super::{Latency, Level, Values};
use crate::{
    counter::Counter,
    error::{Error, Result},
};

/// Name of the instrumentation scope.
const SCOPE: &str = "galenatrail";
/// Bounds of the latency histograms, in seconds: from a tenth of a millisecond to the time after
/// which operators and servers go on to another VM.
const BOUNDS: [f64; 12] = [0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2];

/// The instruments of a process.
pub(super) struct Exporter {
    registry: Registry,
    latencies: Vec<Histogram<f64>>,
    labels: [KeyValue; 2],
    _provider: SdkMeterProvider,
}

impl Exporter {
    /// Returns instruments that read `values`.
    ///
    /// # Errors
    ///
    /// Fails when the exporter cannot be built.
    pub(super) fn new(values: &Arc<Values>) -> Result<Exporter> {
        let registry = Registry::new();
        let reader = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|err| Error::settings(format!("no metrics exporter: {err}")))?;
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        let meter = provider.meter(SCOPE);
        let vm = KeyValue::new("vm", values.vm.clone());
        let labels = [vm, KeyValue::new("zone", values.zone.clone())];
        Counter::ALL.iter().for_each(|counter| add_counter(&meter, values, &labels, *counter));
        Level::ALL.iter().for_each(|level| add_level(&meter, values, &labels, *level));
        let histogram = |latency: &Latency| {
            meter.f64_histogram(latency.name()).with_boundaries(BOUNDS.to_vec()).build()
        };
        let latencies = Latency::ALL.iter().map(histogram).collect();
        Ok(Exporter { registry, latencies, labels, _provider: provider })
    }

    /// Adds a time to its histogram, in seconds.
    pub(super) fn record(&self, latency: Latency, seconds: f64) {
        self.latencies[latency as usize].record(seconds, &self.labels);
    }

    /// Returns all values in the text format of Prometheus.
    pub(super) fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // A failure leaves the text short, which the scraper reports.
        _ = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        buf
    }
}

fn add_counter(meter: &Meter, values: &Arc<Values>, labels: &[KeyValue; 2], counter: Counter) {
    let (values, labels) = (values.clone(), labels.clone());
    meter
        .u64_observable_counter(counter.name())
        .with_callback(move |observer| {
            let count = values.counts[counter as usize].load(Ordering::Relaxed);
            observer.observe(count, &labels);
        })
        .build();
}

fn add_level(meter: &Meter, values: &Arc<Values>, labels: &[KeyValue; 2], level: Level) {
    let (values, labels) = (values.clone(), labels.clone());
    meter
        .u64_observable_gauge(level.name())
        .with_callback(move |observer| {
            let value = values.levels[level as usize].load(Ordering::Relaxed);
            observer.observe(value, &labels);
        })
        .build();
}
