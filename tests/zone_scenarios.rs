//! Scenarios of availability zones: taken out and in, partitioned, several at once.

#[path = "support/script.rs"]
mod script;

#[test]
fn scenarios() {
    let zones = ["sofia-a", "sofia-b", "plovdiv", "varna"];
    script::run_scenarios("tests/scenarios/zone", &zones, 2);
}
