//! Prints measures and checks them against their bounds.

use std::{collections::BTreeMap, process::ExitCode};

use serde::Deserialize;

const BOUNDS: &str = include_str!("../../measures/bounds.toml");

/// List of known failures. A line `measure: NAME` allows that measure to violate its bound.
const KNOWN_FAILURES: &str = include_str!("../../KNOWN-RED.txt");

/// The bound of one measure.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Bound {
    /// Largest permitted value.
    Max(f64),
    /// Smallest permitted value.
    Min(f64),
}

/// Prints measures, compares them with their bounds and counts violations.
pub(crate) struct Table {
    bounds: BTreeMap<String, Bound>,
    violations: u32,
}

impl Table {
    /// Loads the bounds from `measures/bounds.toml`.
    pub(crate) fn new() -> Table {
        let bounds = toml::from_str(BOUNDS).expect("measures/bounds.toml is valid");
        Table { bounds, violations: 0 }
    }

    /// Prints a measure with its bound and counts it if it violates the bound.
    ///
    /// # Panics
    ///
    /// Panics if `measures/bounds.toml` has no bound named `name`.
    pub(crate) fn check(&mut self, name: &str, value: f64) {
        let bound = self.bounds.get(name);
        let (limit, passes) = match bound
            .unwrap_or_else(|| panic!("measure `{name}` has no bound in measures/bounds.toml"))
        {
            Bound::Max(limit) => (limit, value <= *limit),
            Bound::Min(limit) => (limit, value >= *limit),
        };
        let verdict = if passes { "ok" } else { "over" };
        let known = KNOWN_FAILURES.lines().any(|line| line == format!("measure: {name}"));
        let known = if known && !passes { " known" } else { "" };
        println!("{name} {value} {limit} {verdict}{known}");
        self.violations += u32::from(!passes && known.is_empty());
    }

    /// Prints a value that has no bound, such as the value of a baseline.
    #[allow(dead_code, reason = "some users of this module have no baseline")]
    pub(crate) fn note(&self, name: &str, value: f64) {
        println!("{name} {value} - -");
    }

    /// Returns the exit status: a failure if any measure violated its bound unexpectedly.
    pub(crate) fn finish(self) -> ExitCode {
        if self.violations == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}
