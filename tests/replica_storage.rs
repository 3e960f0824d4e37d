//! Data folder: torn writes, corruption, full disks and failing syncs.

use std::{fs, path::Path, time::Duration};

use galenatrail::{
    Change, Command, DirDisk, Disk, Entry, HardState, LogId, Outcome, Payload, Recovered,
    ReplicaId, Snapshot, Storage, Submission, SubmitResult, Write,
    standin::{MemoryDisk, Replicas},
};

const ME: ReplicaId = ReplicaId::new(7);
const SEGMENT: &str = "log-0000000000000000";

fn entry(zone: &str) -> Entry {
    let command = Command::Zone { zone: zone.into(), out: true };
    Entry { term: 1, payload: Payload::Change(Change { request: None, author: None, command }) }
}

fn write(first: u64, zones: &[&str]) -> Write {
    let entries = zones.iter().map(|zone| entry(zone)).collect();
    Write { id: first, first, entries, ..Write::default() }
}

fn recover(disk: &MemoryDisk) -> galenatrail::Result<(Storage<MemoryDisk>, Recovered)> {
    Storage::open(disk.clone()).recover(ME)
}

fn disk_with_entries() -> MemoryDisk {
    let disk = MemoryDisk::new();
    let (mut storage, _) = recover(&disk).unwrap();
    storage.write(&write(1, &["a"])).unwrap();
    storage.write(&write(2, &["b", "c"])).unwrap();
    disk
}

#[test]
fn torn_tail() {
    let mut len = 0;
    disk_with_entries().modify(SEGMENT, |bytes| len = bytes.len());
    let mut first_len = 0;
    let disk = MemoryDisk::new();
    recover(&disk).unwrap().0.write(&write(1, &["a"])).unwrap();
    disk.modify(SEGMENT, |bytes| first_len = bytes.len());
    for cut in first_len..len {
        let disk = disk_with_entries();
        disk.modify(SEGMENT, |bytes| bytes.truncate(cut));
        let (mut storage, recovered) = recover(&disk).unwrap();
        assert_eq!(recovered.entries, [entry("a")], "cut at byte {cut}");
        // The torn frame is truncated: the log continues after the last valid frame.
        storage.write(&write(2, &["d"])).unwrap();
        assert_eq!(recover(&disk).unwrap().1.entries, [entry("a"), entry("d")]);
    }
}

/// Guards against the loss of acknowledged entries when a build starts on the disk of a newer one: the
/// last frame, intact but in a form that it can't read, is not a torn one.
#[test]
fn unknown_form_behind() {
    let body = [0xff; 20];
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(crc32fast::hash(&body).to_le_bytes());
    frame.extend(crc32fast::hash(&frame).to_le_bytes());
    frame.extend(body);
    let disk = disk_with_entries();
    disk.modify(SEGMENT, |bytes| bytes.extend(&frame));
    let before = disk.copy();
    let err = recover(&disk).map(|_| ()).unwrap_err().to_string();
    assert!(err.contains("start the version that wrote it"), "{err}");
    let mut lens = [0; 2];
    before.modify(SEGMENT, |bytes| lens[0] = bytes.len());
    disk.modify(SEGMENT, |bytes| lens[1] = bytes.len());
    assert_eq!(lens[0], lens[1], "the frame was cut off");
}

#[test]
fn zeros_behind() {
    let disk = disk_with_entries();
    disk.modify(SEGMENT, |bytes| bytes.extend([0; 100]));
    assert_eq!(recover(&disk).unwrap().1.entries.len(), 3);
}

#[test]
fn damaged_middle() {
    let mut first_len = 0;
    let disk = MemoryDisk::new();
    recover(&disk).unwrap().0.write(&write(1, &["a"])).unwrap();
    disk.modify(SEGMENT, |bytes| first_len = bytes.len());
    for at in 0..first_len {
        let disk = disk_with_entries();
        disk.modify(SEGMENT, |bytes| bytes[at] ^= 1);
        let err = recover(&disk).err().unwrap_or_else(|| panic!("byte {at} was not missed"));
        assert!(err.is_storage() && err.path() == Some(SEGMENT), "{err}");
        assert!(err.to_string().contains("move the data folder away"), "{err}");
    }
}

#[test]
fn damaged_files() {
    for file in ["hard", "snapshot"] {
        let disk = disk_with_entries();
        let (mut storage, _) = recover(&disk).unwrap();
        let last_entry = LogId { index: 2, term: 1 };
        let snapshot = Some(Snapshot { last_entry, ..Snapshot::default() });
        storage.write(&Write { id: 3, snapshot, ..Write::default() }).unwrap();
        disk.modify(file, |bytes| bytes[5] ^= 1);
        assert!(recover(&disk).err().unwrap().is_storage(), "{file}");
    }
}

#[test]
fn missing_hard() {
    let mut disk = disk_with_entries();
    disk.remove("hard").unwrap();
    assert!(recover(&disk).err().unwrap().is_storage());
}

#[test]
fn replaced_tail() {
    let disk = disk_with_entries();
    let (mut storage, _) = recover(&disk).unwrap();
    storage.write(&write(2, &["x"])).unwrap();
    assert_eq!(recover(&disk).unwrap().1.entries, [entry("a"), entry("x")]);
}

#[test]
fn reset_log() {
    let disk = disk_with_entries();
    let (mut storage, _) = recover(&disk).unwrap();
    let last_entry = LogId { index: 10, term: 2 };
    let snapshot = Some(Snapshot { last_entry, ..Snapshot::default() });
    let reset = Write { id: 3, snapshot, reset: true, first: 11, ..Write::default() };
    storage.write(&reset).unwrap();
    storage.write(&write(11, &["k"])).unwrap();
    let (_, recovered) = recover(&disk).unwrap();
    assert_eq!(
        (recovered.snapshot.last_entry, &*recovered.entries),
        (last_entry, &[entry("k")][..])
    );
    assert!(!disk.list().unwrap().contains(&SEGMENT.to_owned()));
}

#[test]
fn hard_state() {
    let disk = MemoryDisk::new();
    let (mut storage, recovered) = recover(&disk).unwrap();
    assert_eq!(recovered, Recovered { id: ME, ..Recovered::default() });
    let hard_state = HardState { term: 4, vote: Some(ReplicaId::new(9)) };
    storage.write(&Write { id: 1, hard_state: Some(hard_state), ..Write::default() }).unwrap();
    disk.crash(0);
    let (_, recovered) = Storage::open(disk.clone()).recover(ReplicaId::new(8)).unwrap();
    assert_eq!((recovered.id, recovered.hard_state), (ME, hard_state));
}

#[test]
fn refuses_after_failure() {
    let disk = disk_with_entries();
    let (mut storage, _) = recover(&disk).unwrap();
    disk.set_sync_failure(true);
    assert!(storage.write(&write(4, &["d"])).is_err());
    disk.set_sync_failure(false);
    assert!(storage.write(&write(4, &["d"])).is_err(), "nobody knows what is on the disk");
}

#[test]
fn folder_disk() {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("folder-disk-{}", std::process::id()));
    _ = fs::remove_dir_all(&folder);
    let open = || Storage::open(DirDisk::new(&folder)?).recover(ME);
    let (mut storage, _) = open().unwrap();
    assert!(open().err().unwrap().is_storage(), "the folder is locked");
    storage.write(&write(1, &["a"])).unwrap();
    drop(storage);
    let (mut storage, recovered) = open().unwrap();
    assert_eq!(recovered.entries, [entry("a")]);
    storage.write(&write(2, &["b"])).unwrap();
    drop(storage);
    assert_eq!(open().unwrap().1.entries.len(), 2);
    fs::remove_dir_all(&folder).unwrap();
}

fn submit(replicas: &mut Replicas, vm: &str, zone: &str) -> Option<SubmitResult> {
    let command = Command::Zone { zone: zone.into(), out: true };
    let ticket = replicas.submit(vm, Submission::new(command));
    replicas.run(Duration::from_secs(3));
    replicas.submit_results.get(&ticket).cloned()
}

/// A leader with a full disk acknowledges no change, and another VM becomes leader.
#[test]
fn full_leader() {
    let mut replicas = Replicas::new(1, 3);
    assert!(replicas.run_until(Duration::from_secs(10), Replicas::all_voters_synced));
    let leader = replicas.leader().unwrap();
    replicas.disk(&leader).set_full(true);
    let result = submit(&mut replicas, &leader, "sofia-a");
    assert!(!matches!(result, Some(SubmitResult::Ordered(_))), "{result:?}");
    assert!(replicas.run_until(Duration::from_secs(10), |replicas| replicas.leader().is_some()));
    assert_ne!(replicas.leader(), Some(leader.clone()));
    // The halted VM receives the changes of the new leader once its disk is repaired.
    let other = replicas.leader().unwrap();
    let result = submit(&mut replicas, &other, "sofia-b");
    assert!(matches!(result, Some(SubmitResult::Ordered(Outcome::Accepted { .. }))), "{result:?}");
    replicas.disk(&leader).set_full(false);
    assert!(replicas.run_until(Duration::from_secs(10), Replicas::all_voters_synced));
    assert!(replicas.node(&leader).unwrap().state().zones_out.contains_key("sofia-b"));
    assert_eq!(replicas.violations, Vec::<String>::new());
}

/// Without a quorum of working disks no change is acknowledged, and the last state remains.
#[test]
fn failing_quorum() {
    let mut replicas = Replicas::new(2, 3);
    assert!(replicas.run_until(Duration::from_secs(10), Replicas::all_voters_synced));
    let leader = replicas.leader().unwrap();
    let result = submit(&mut replicas, &leader, "sofia-a");
    assert!(matches!(result, Some(SubmitResult::Ordered(Outcome::Accepted { .. }))));
    for vm in ["control-1", "control-2"] {
        replicas.disk(vm).set_sync_failure(true);
    }
    for vm in replicas.vm_names() {
        let result = submit(&mut replicas, &vm, "sofia-b");
        assert!(!matches!(result, Some(SubmitResult::Ordered(_))), "{result:?}");
        assert!(replicas.node(&vm).unwrap().state().zones_out.contains_key("sofia-a"));
    }
    for vm in ["control-1", "control-2"] {
        replicas.disk(vm).set_sync_failure(false);
    }
    assert!(replicas.run_until(Duration::from_secs(20), Replicas::all_voters_synced));
    assert_eq!(replicas.violations, Vec::<String>::new());
}

/// Disks that report syncs they have not done lose an accepted change, and the checks detect it.
#[test]
fn lying_disks() {
    let mut replicas = Replicas::new(3, 3);
    assert!(replicas.run_until(Duration::from_secs(10), Replicas::all_voters_synced));
    for vm in replicas.vm_names() {
        replicas.disk(&vm).set_ignore_syncs(true);
    }
    let leader = replicas.leader().unwrap();
    submit(&mut replicas, &leader, "sofia-a");
    for vm in replicas.vm_names() {
        replicas.crash(&vm, 0);
        replicas.start(&vm);
    }
    replicas.run(Duration::from_secs(10));
    assert!(!replicas.violations.is_empty(), "the fault is seen");
}
