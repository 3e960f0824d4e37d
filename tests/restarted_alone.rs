//! A restarted entry VM without any reachable seed becomes ready, but only after running VMs had
//! time to admit it.

use galenatrail::{EntryEvent, EntryNode, Member, Time};

fn is_ready_after(millis: u64) -> bool {
    let me = Member {
        name: "plovdiv-1".into(),
        zone: "plovdiv".into(),
        packets: "127.0.1.1:6081".parse().unwrap(),
        peers: "127.0.1.1:7946".parse().unwrap(),
        incarnation: 2,
        ready: false,
    };
    let mut node = EntryNode::with_seeds(me, vec!["127.0.1.2:7946".parse().unwrap()]);
    let mut out = Vec::new();
    for now in (0..=millis).step_by(50) {
        node.handle(Time::from_millis(now), EntryEvent::Tick, &mut out);
    }
    node.view().members["plovdiv-1"].ready
}

#[test]
fn not_first() {
    assert!(!is_ready_after(5_000), "the others take up to 4 s to let a restarted VM in");
    assert!(is_ready_after(9_000), "a VM that is alone serves");
}
