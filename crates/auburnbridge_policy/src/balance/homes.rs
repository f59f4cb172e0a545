//! Home gateways: each target belongs to one gateway of its data centre.
//!
//! A gateway that sends most of its work to targets of its own knows at once what they do and what
//! is in flight there, without a report of anyone. Homes are chosen by rendezvous hashing with a
//! bound on the targets of one gateway, so that they are even and few of them move when a gateway or
//! a target comes or goes. Gateways whose lists differ for a moment may both take a target for
//! theirs, or neither; homes are only preferred, so nothing depends on it.

use std::collections::{HashMap, HashSet};

use auburnbridge_types::{DataCentre, VmId};

use super::report::TargetHash;

/// Part of an equal share of the targets that one gateway gets at most, in percent.
const MOST_SHARE_PERCENT: usize = 125;

/// A gateway and where it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayPlace {
    /// Its VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The targets whose home is `own`; `gateways` lists all gateways, `own` included. The targets of a
/// data centre without a gateway have no home.
pub fn home_targets<'a>(
    own: &GatewayPlace,
    gateways: &[GatewayPlace],
    targets: impl Iterator<Item = (TargetHash, &'a DataCentre)>,
) -> HashSet<TargetHash> {
    let near_gateways: Vec<u64> = gateways
        .iter()
        .filter(|gateway| gateway.data_centre == own.data_centre)
        .map(|gateway| hash_of(&gateway.vm))
        .collect();
    let mut near_targets: Vec<TargetHash> = targets
        .filter(|(_, data_centre)| **data_centre == own.data_centre)
        .map(|(target, _)| target)
        .collect();
    // All gateways have to fill each other's shares in the same order.
    near_targets.sort_unstable();
    let share = near_targets.len() * MOST_SHARE_PERCENT;
    let most = share.div_ceil(100 * near_gateways.len().max(1));
    let own_hash = hash_of(&own.vm);
    let mut counts: HashMap<u64, usize> = HashMap::new();
    let mut homes = HashSet::new();
    for target in near_targets {
        let home = near_gateways
            .iter()
            .filter(|gateway| counts.get(gateway).is_none_or(|count| *count < most))
            .max_by_key(|gateway| mix(**gateway ^ u64::from(target.0)));
        let Some(home) = home else {
            continue;
        };
        *counts.entry(*home).or_default() += 1;
        if *home == own_hash {
            homes.insert(target);
        }
    }
    homes
}

/// FNV-1a, whose result doesn't depend on the build.
fn hash_of(vm: &VmId) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    vm.as_str().bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Spreads close values evenly (the finalizer of `SplitMix64`).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
