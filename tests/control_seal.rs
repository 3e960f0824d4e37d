//! Messages between control VMs with valid, invalid and expired keys.

use std::time::Duration;

use galenatrail::{ControlEndpoint, ControlMessage, Envelope, Keys, ReplicaId, Signer};

const KEY: &str = "8a1f0c5d2b7e4936a1c0ffee00112233445566778899aabbccddeeff01234567";
const OTHER: &str = "9a1f0c5d2b7e4936a1c0ffee00112233445566778899aabbccddeeff01234567";
const NOON: Duration = Duration::from_secs(1_000_000);

fn signer(text: &str) -> Signer {
    Signer::new(Keys::parse(text).unwrap())
}

fn envelope() -> Envelope {
    let endpoint =
        ControlEndpoint { name: "control-1".into(), addr: "127.0.0.1:8500".parse().unwrap() };
    Envelope { from: ReplicaId::new(1), endpoint, to: None, message: ControlMessage::Probe }
}

#[test]
fn right_key() {
    let text = signer(KEY).sign(NOON, &envelope()).unwrap();
    assert_eq!(signer(KEY).verify(NOON, &text).unwrap(), envelope());
    let late = NOON + Duration::from_secs(250);
    assert_eq!(signer(KEY).verify(late, &text).unwrap(), envelope());
    // During key rotation, each VM has both keys.
    let both = signer(&format!("{OTHER}\n{KEY}\n"));
    assert_eq!(both.verify(NOON, &text).unwrap(), envelope());
}

#[test]
fn refused() {
    let text = signer(KEY).sign(NOON, &envelope()).unwrap();
    assert!(signer(OTHER).verify(NOON, &text).is_err(), "a wrong key");
    let hour = Duration::from_secs(3_600);
    assert!(signer(KEY).verify(NOON + hour, &text).is_err(), "an old key");
    for at in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[at] = if bytes[at] == b'0' { b'1' } else { b'0' };
        let changed = String::from_utf8(bytes).unwrap();
        assert!(signer(KEY).verify(NOON, &changed).is_err(), "digit {at}");
        assert!(signer(KEY).verify(NOON, &text[..at]).is_err(), "cut at digit {at}");
    }
    for garbage in
        ["", "zz", "ééééééééééééééééééééééééééééééééé", "+1+1+1+1+1+1+1+1+1+1+1+1+1+1+1+1+1"]
    {
        assert!(signer(KEY).verify(NOON, garbage).is_err(), "{garbage}");
        assert!(Envelope::decode(garbage).is_err(), "{garbage}");
    }
}
