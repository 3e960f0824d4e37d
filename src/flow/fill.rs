//! Assigns buckets to backend servers in proportion to their weights with minimal movement.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::flow::{BUCKETS, Target};

/// Assigns each bucket to a slot of `targets` so that each target gets its quota to within one
/// bucket. A bucket keeps its slot in `held` unless that target is over quota.
///
/// Buckets that have to move are assigned by weighted rendezvous hashing (Thaler and Ravishankar,
/// 1998) among the targets below quota, as in consistent hashing with bounded loads (Mirrokni,
/// Thorup and Zadimoghaddam, 2018).
pub(crate) fn assign_buckets(held: &[Option<u16>], targets: &[Target]) -> Vec<u16> {
    let mut room = quotas(targets);
    if room.iter().all(|&quota| quota == 0) {
        return Vec::new();
    }
    let mut slots = held.to_vec();
    slots.resize(BUCKETS, None);
    for slot in 0..targets.len() {
        trim_to_quota(&mut slots, slot, &mut room[slot], &targets[slot]);
    }
    let assign = |(bucket, slot): (usize, Option<u16>)| {
        let slot = slot.or_else(|| {
            let chosen = best_slot(bucket, targets, &room)?;
            room[usize::from(chosen)] -= 1;
            Some(chosen)
        });
        slot.unwrap_or_default()
    };
    slots.into_iter().enumerate().map(assign).collect()
}

/// Returns the number of buckets per target, rounded by the largest remainder method.
fn quotas(targets: &[Target]) -> Vec<usize> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return vec![0; targets.len()];
    }
    let share = |target: &Target| u64::from(target.weight) * BUCKETS as u64;
    let mut quotas: Vec<_> =
        targets.iter().map(|target| (share(target) / total) as usize).collect();
    let mut order: Vec<_> = (0..targets.len()).collect();
    order.sort_by_key(|&slot| std::cmp::Reverse(share(&targets[slot]) % total));
    let leftover = BUCKETS - quotas.iter().sum::<usize>();
    for &slot in order.iter().take(leftover) {
        quotas[slot] += 1;
    }
    quotas
}

/// Unassigns the buckets of `slot` that exceed its quota `room`, those with the worst score first,
/// and sets `room` to the remaining capacity.
fn trim_to_quota(slots: &mut [Option<u16>], slot: usize, room: &mut usize, target: &Target) {
    let mut held: Vec<_> =
        (0..slots.len()).filter(|&bucket| slots[bucket] == Some(slot as u16)).collect();
    if held.len() > *room {
        held.sort_by(|&a, &b| score(a, target).total_cmp(&score(b, target)));
        for &bucket in &held[*room..] {
            slots[bucket] = None;
        }
    }
    *room = room.saturating_sub(held.len());
}

fn best_slot(bucket: usize, targets: &[Target], room: &[usize]) -> Option<u16> {
    let candidates = (0..targets.len()).filter(|&slot| room[slot] > 0);
    let best = candidates
        .min_by(|&a, &b| score(bucket, &targets[a]).total_cmp(&score(bucket, &targets[b])));
    best.map(|slot| slot as u16)
}

fn score(bucket: usize, target: &Target) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(bucket as u64, 0);
    hasher.write(target.name.as_bytes());
    let unit = (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64;
    -unit.max(f64::MIN_POSITIVE).ln() / f64::from(target.weight.max(1))
}
