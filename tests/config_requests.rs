//! Concurrent changes, lost answers, resent requests, access rights and validation of the tree.

use std::{collections::BTreeMap, time::Duration};

use galenatrail::{
    Access, Branch, Change, Command, DEDUP_WINDOW, Outcome, Request, Rights, StateMachine,
    Submission, SubmitResult, Tree, standin::Replicas,
};

fn branch(port: u16) -> Branch {
    let text =
        format!("[services.hub]\naddress = \"127.0.9.1\"\nport = {port}\nprotocol = \"tcp\"");
    toml::from_str(&text).unwrap()
}

fn apply(id: u64, made: u64, base: u64, port: u16) -> Submission {
    let command = Command::Apply { team: "filtrex".into(), base, branch: branch(port) };
    Submission { request: Some(Request { id, made }), token: None, command }
}

fn new_cluster(seed: u64) -> Replicas {
    let mut replicas = Replicas::new(seed, 3);
    assert!(replicas.run_until(Duration::from_secs(10), Replicas::all_voters_synced));
    replicas
}

fn submit(replicas: &mut Replicas, vm: &str, submission: Submission) -> SubmitResult {
    let ticket = replicas.submit(vm, submission);
    replicas.run(Duration::from_millis(500));
    replicas.submit_results[&ticket].clone()
}

#[track_caller]
fn refusal(outcome: &Outcome) -> &str {
    match outcome {
        Outcome::Refused { message } => message,
        Outcome::Accepted { .. } => panic!("it was accepted"),
    }
}

/// Two concurrent changes are based on the same revision: one is accepted, and the refusal of the
/// other names the current revision.
#[test]
fn equal_revisions() {
    let mut replicas = new_cluster(1);
    let tickets = [
        replicas.submit("control-1", apply(1, 0, 0, 80)),
        replicas.submit("control-2", apply(2, 0, 0, 81)),
    ];
    replicas.run(Duration::from_secs(1));
    let results = tickets.map(|ticket| replicas.submit_results[&ticket].clone());
    let accepted = SubmitResult::Ordered(Outcome::Accepted { revision: 1 });
    assert_eq!(results.iter().filter(|result| **result == accepted).count(), 1, "{results:?}");
    let lost = results.iter().find(|result| **result != accepted);
    let Some(SubmitResult::Ordered(outcome)) = lost else { panic!("{results:?}") };
    assert!(refusal(outcome).contains("--base 1"), "{outcome:?}");
}

/// The answer to a request is lost and the leader crashes. A resend to another VM returns the
/// recorded outcome.
#[test]
fn lost_answer() {
    let mut replicas = new_cluster(2);
    let leader = replicas.leader().unwrap();
    let first = submit(&mut replicas, &leader, apply(7, 0, 0, 80));
    assert_eq!(first, SubmitResult::Ordered(Outcome::Accepted { revision: 1 }));
    replicas.crash(&leader, 0);
    let led = replicas.run_until(Duration::from_secs(10), |replicas| replicas.leader().is_some());
    assert!(led, "there is a leader");
    for vm in replicas.vm_names().into_iter().filter(|vm| *vm != leader) {
        assert_eq!(submit(&mut replicas, &vm, apply(7, 0, 0, 80)), first, "{vm}");
    }
    let leader = replicas.leader().unwrap();
    let revised = &replicas.node(&leader).unwrap().state().tree.teams["filtrex"];
    assert_eq!(revised.revision, 1);
}

/// The leader crashes before it answers. The result is unknown, and a resend applies the change
/// exactly once.
#[test]
fn lost_leader() {
    for seed in 0..20 {
        let mut replicas = new_cluster(100 + seed);
        let leader = replicas.leader().unwrap();
        let follower = replicas.vm_names().into_iter().find(|vm| *vm != leader).unwrap();
        let ticket = replicas.submit(&follower, apply(7, 0, 0, 80));
        replicas.run(Duration::from_millis(5 + seed));
        replicas.crash(&leader, 0);
        replicas.run(Duration::from_secs(5));
        let early = replicas.submit_results[&ticket].clone();
        let again = submit(&mut replicas, &follower, apply(7, 0, 0, 80));
        assert_eq!(again, SubmitResult::Ordered(Outcome::Accepted { revision: 1 }), "seed {seed}");
        assert!(early == again || early == SubmitResult::Unknown, "seed {seed}: {early:?}");
        assert_eq!(replicas.violations, Vec::<String>::new());
    }
}

#[test]
fn reused_id() {
    let mut replicas = new_cluster(3);
    assert!(matches!(
        submit(&mut replicas, "control-1", apply(7, 0, 0, 80)),
        SubmitResult::Ordered(_)
    ));
    let SubmitResult::Ordered(outcome) = submit(&mut replicas, "control-1", apply(7, 0, 1, 81))
    else {
        panic!("no outcome")
    };
    assert!(refusal(&outcome).contains("another change"));
}

/// A resend after the deduplication window is refused and not applied again.
#[test]
fn past_dedup_window() {
    let zone = |out| Command::Zone { zone: "sofia-a".into(), out };
    let asked = |id, made, out| Change {
        request: Some(Request { id, made }),
        author: None,
        command: zone(out),
    };
    let mut machine = StateMachine::new();
    let first = asked(1, 0, true);
    assert_eq!(machine.apply(&first), (Outcome::Accepted { revision: 0 }, true));
    machine.apply(&asked(2, 1, false));
    let report = Change { request: None, author: None, command: zone(false) };
    while machine.state().index < DEDUP_WINDOW {
        machine.apply(&report);
    }
    assert_eq!(machine.apply(&first), (Outcome::Accepted { revision: 0 }, false), "the same");
    for _ in 0..2 {
        machine.apply(&report);
    }
    let (outcome, was_applied) = machine.apply(&first);
    assert!(refusal(&outcome).contains("too old") && !was_applied, "{outcome:?}");
    assert!(machine.state().zones_out.is_empty(), "it was not applied again");
    let ahead = asked(3, DEDUP_WINDOW * 2, true);
    assert!(!machine.apply(&ahead).1, "a request from the future is no request");
}

#[test]
fn rights() {
    let mut replicas = new_cluster(4);
    let secret = "sixteen letters!";
    let admin = Access { admin: true, ..Access::new("a", secret) };
    let team = Access { teams: ["filtrex".into()].into(), ..Access::new("b", secret) };
    let tokens = BTreeMap::from([("ana".into(), admin), ("boris".into(), team)]);
    let grant = |base, tokens| Command::Rights { base, rights: Rights { tokens } };
    let lockout = BTreeMap::from([("boris".into(), Access::new("b", secret))]);
    let ask = |id, token: Option<&str>, command| Submission {
        request: Some(Request { id, made: 0 }),
        token: token.map(Into::into),
        command,
    };
    let SubmitResult::Ordered(outcome) =
        submit(&mut replicas, "control-1", ask(1, None, grant(0, lockout)))
    else {
        panic!("no outcome")
    };
    assert!(refusal(&outcome).contains("admin = true"));
    let accepted = SubmitResult::Ordered(Outcome::Accepted { revision: 1 });
    assert_eq!(submit(&mut replicas, "control-2", ask(2, None, grant(0, tokens))), accepted);

    let boris = format!("boris:{secret}");
    let own = Command::Apply { team: "filtrex".into(), base: 0, branch: branch(80) };
    let other = Command::Apply { team: "siktelag".into(), base: 0, branch: branch(81) };
    let zone = Command::Zone { zone: "sofia-a".into(), out: true };
    let denied: [(Option<&str>, &Command); 5] = [
        (None, &own),
        (Some("boris:wrong secret!!!"), &own),
        (Some("nobody:sixteen letters!"), &own),
        (Some(&boris), &other),
        (Some(&boris), &zone),
    ];
    for (id, (token, command)) in (10..).zip(denied) {
        let result = submit(&mut replicas, "control-3", ask(id, token, command.clone()));
        let SubmitResult::Ordered(outcome) = result else { panic!("{result:?}") };
        assert!(refusal(&outcome).starts_with("rights: "), "{outcome:?}");
    }
    assert_eq!(submit(&mut replicas, "control-3", ask(20, Some(&boris), own)), accepted);
    let leader = replicas.leader().unwrap();
    let machine = replicas.node(&leader).unwrap().read(replicas.now()).unwrap();
    let past = machine.history().last().unwrap();
    assert_eq!((past.author.as_deref(), &*past.subject), (Some("boris"), "branch filtrex"));
}

#[test]
fn whole_tree() {
    let mut tree = Tree::default();
    tree.replace_branch(&"filtrex".into(), 0, branch(80)).unwrap();
    let check = |text: &str, path: &str, remedy: &str| {
        let branch: Branch = toml::from_str(text).unwrap();
        let err = tree.clone().replace_branch(&"siktelag".into(), 0, branch).unwrap_err();
        assert!(err.path().is_some_and(|own| own.contains(path)), "{err}");
        assert!(err.to_string().contains(remedy), "{err}");
    };
    let service = |name: &str, rest: &str| format!("[services.{name}]\n{rest}");
    let spec = "address = \"127.0.9.1\"\nport = 80\nprotocol = \"tcp\"";
    check(&service("desk", spec), "siktelag.services.desk", "choose another address");
    check(&service("hub", &spec.replace("80", "81")), "siktelag.services.hub", "choose another");
    check(&service("Desk", &spec.replace("80", "81")), "siktelag.services.Desk", "lower-case");
    check(&service("desk", &spec.replace("80", "0")), "desk.port", "1 to 65535");
    check(&service("desk", &spec.replace("127.0.9.1", "0.0.0.0")), "desk.address", "name one");
    check(&service("desk", &spec.replace("127.0.9.1", "224.0.0.1")), "desk.address", "name one");
    check(
        &service("desk", &format!("{spec}\nmode = \"request\"").replace("80", "82")),
        "desk.mode",
        "udp",
    );
    check(
        &service("desk", &format!("{spec}\nidle_s = 0").replace("80", "82")),
        "desk.idle_s",
        "seconds",
    );
    check(
        &service("desk", &format!("{spec}\nidle_s = 86401").replace("80", "82")),
        "desk.idle_s",
        "86400",
    );
    let unknown = toml::from_str::<Branch>(&service("desk", &format!("{spec}\nweigth = 3")));
    let message = unknown.unwrap_err().to_string();
    assert!(message.contains("weigth") && message.contains("expected one of"), "{message}");
    assert_eq!(tree.teams.len(), 1, "a refused change changes nothing");
}
