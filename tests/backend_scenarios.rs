//! Scenarios of backend servers: cold starts, admission, change of home, misleading health probes.

#[path = "support/script.rs"]
mod script;

#[test]
fn scenarios() {
    script::run_scenarios("tests/scenarios/backend", &["sofia-a", "varna"], 2);
}
