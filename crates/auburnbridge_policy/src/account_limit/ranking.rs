//! Groups of accounts, and rendezvous hashing of groups over gateways.

use super::message::{AccountHash, GatewayId};
use super::{GROUPS, OWNERS};

/// Number of gateways of a group that are considered as its owners.
const CANDIDATES: usize = 16;

/// A group of accounts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AccountGroup(pub(super) usize);

impl AccountGroup {
    pub(super) fn of(account: AccountHash) -> Self {
        let group = mix(account.0) % GROUPS as u64;
        Self(usize::try_from(group).expect("the number of groups fits"))
    }

    pub(super) fn all() -> impl Iterator<Item = Self> {
        (0..GROUPS).map(Self)
    }

    /// The bit of a part of this group.
    pub(super) fn bit(self, part: usize) -> u32 {
        1 << (self.0 * OWNERS + part)
    }
}

/// The gateways of each group that rank highest, best first.
#[derive(Clone, Debug, Default)]
pub(super) struct Ranking {
    groups: Vec<Vec<GatewayId>>,
}

impl Ranking {
    pub(super) fn of(gateways: &[GatewayId]) -> Self {
        let rank = |group: AccountGroup| {
            let mut ranked: Vec<GatewayId> = gateways.to_vec();
            let salt = mix(group.0 as u64 + 1);
            ranked.sort_unstable_by_key(|gateway| (mix(gateway.0 ^ salt), *gateway));
            ranked.truncate(CANDIDATES);
            ranked
        };
        Self {
            groups: AccountGroup::all().map(rank).collect(),
        }
    }

    pub(super) fn candidates(&self, group: AccountGroup) -> &[GatewayId] {
        self.groups.get(group.0).map_or(&[], Vec::as_slice)
    }
}

/// FNV-1a, whose result is the same in every build.
pub(super) fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    mix(text.bytes().fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    }))
}

/// The finalizer of `SplitMix64`, which spreads similar values evenly.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
