//! Subsets: each target is assigned to one gateway of its data centre.
//!
//! A gateway that sends most of its requests to its own subset knows the state and load of these
//! targets at once, without reports of other gateways. Targets are assigned by rendezvous hashing
//! with a bound on the targets of one gateway, so that subsets are of even size and few targets
//! move when a gateway or a target comes or goes. Gateways whose lists differ for a moment may both
//! have a target in their subset, or neither; since subsets are only a preference, this does no
//! harm.

use std::collections::{HashMap, HashSet};

use auburnbridge_types::{DataCentre, VmId};

use super::report::TargetHash;

/// Upper bound of a subset, in percent of an equal share of the targets.
const MAX_SHARE_PERCENT: usize = 125;

/// VM and data centre of a gateway. `GatewayLocation`, in messages, also holds its address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayHost {
    /// VM on which it runs.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
}

/// Returns the targets assigned to `own`; `gateways` lists all gateways, `own` included. Targets of
/// a data centre without a gateway are in no subset.
pub fn gateway_subset<'a>(
    own: &GatewayHost,
    gateways: &[GatewayHost],
    targets: impl Iterator<Item = (TargetHash, &'a DataCentre)>,
) -> HashSet<TargetHash> {
    let local_gateways: Vec<u64> = gateways
        .iter()
        .filter(|gateway| gateway.data_centre == own.data_centre)
        .map(|gateway| vm_hash(&gateway.vm))
        .collect();
    let mut local_targets: Vec<TargetHash> = targets
        .filter(|(_, data_centre)| **data_centre == own.data_centre)
        .map(|(target, _)| target)
        .collect();
    // All gateways have to assign the targets in the same order, since the bound depends on it.
    local_targets.sort_unstable();
    let scaled_count = local_targets.len() * MAX_SHARE_PERCENT;
    let max_targets = scaled_count.div_ceil(100 * local_gateways.len().max(1));
    let own_hash = vm_hash(&own.vm);
    let mut counts: HashMap<u64, usize> = HashMap::new();
    let mut subset = HashSet::new();
    for target in local_targets {
        let assigned = local_gateways
            .iter()
            .filter(|gateway| counts.get(gateway).is_none_or(|count| *count < max_targets))
            .max_by_key(|gateway| mix(**gateway ^ u64::from(target.0)));
        let Some(assigned) = assigned else {
            continue;
        };
        *counts.entry(*assigned).or_default() += 1;
        if *assigned == own_hash {
            subset.insert(target);
        }
    }
    subset
}

/// FNV-1a, whose result is the same in every build.
pub(super) fn vm_hash(vm: &VmId) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    vm.as_str().bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// The finalizer of `SplitMix64`, which spreads similar values evenly.
pub(super) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
