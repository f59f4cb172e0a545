//! Cells: groups of gateways of one data centre that share some of its targets.
//!
//! In a full mesh every gateway reports to every other one, so the reports grow with the square of
//! their number. In a large fleet a gateway reports mostly to its own cell, and prefers the targets
//! that are assigned to the cell. Each gateway computes the cells from the list of gateways that
//! the keepers hand out; there is no agreement beyond that list. Gateways whose lists differ for a
//! moment may place each other in different cells: reports then go to some gateways that don't need
//! them, or miss some, until the lists agree.
//!
//! Gateways and targets are assigned by rendezvous hashing with a bound, so that the groups are of
//! even size and few members move when one joins or leaves.

use auburnbridge_types::{DataCentre, LinkRate, Millis, Timestamp, VmId};

use super::subset::{GatewayHost, mix, vm_hash};

/// Preferred number of gateways in a cell.
const CELL_SIZE: usize = 6;
/// Share of a link that a full mesh of reports may use: one part in this many.
const MESH_LINK_PARTS: u64 = 16;
/// Share of a link that the reports of a gateway in a cell may use, in parts of this many: first that
/// of load reports, from which urgent ones are subtracted, then that of failures passed on.
const CELL_LINK_PARTS: u64 = 256;
const LOAD_PARTS: u64 = 2;
const RELAY_PARTS: u64 = 2;
/// Size of a load report with its packet headers, for the estimate of the mesh.
const NOMINAL_REPORT_BYTES: u64 = 80;
/// Load reports per second to a gateway of the same data centre.
const LOCAL_REPORTS_PER_SECOND: u64 = 10;
/// Local load reports for each one to another data centre.
const LOCAL_REPORTS_PER_REMOTE: u64 = 8;
/// Time for which a mesh must fit the link before the gateways return to it.
const RETURN_TO_MESH_AFTER: Millis = Millis(30_000);

/// The cell of a gateway within its data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CellPlace {
    /// Number of the cell, from zero.
    pub number: usize,
    /// Number of cells of the data centre.
    pub count: usize,
}

/// Where another gateway is, as seen from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Proximity {
    /// In the same cell.
    Cell,
    /// In another cell of the same data centre, or not listed yet.
    DataCentre,
    /// In another data centre.
    Remote,
}

/// The cells of one data centre, and the gateways of the other ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cells {
    own_vm: VmId,
    own_cell: usize,
    /// Gateways of this data centre by cell.
    local: Vec<Vec<VmId>>,
    /// Gateways of each other data centre.
    remote: Vec<(DataCentre, Vec<VmId>)>,
}

impl Cells {
    /// Groups the gateways; `others` lists all gateways except `own`.
    pub fn new(own: &GatewayHost, others: &[GatewayHost]) -> Self {
        let mut local = vec![own.vm.clone()];
        let mut remote: Vec<(DataCentre, Vec<VmId>)> = Vec::new();
        for other in others.iter().filter(|other| other.vm != own.vm) {
            if other.data_centre == own.data_centre {
                local.push(other.vm.clone());
                continue;
            }
            match remote.iter_mut().find(|(dc, _)| *dc == other.data_centre) {
                Some((_, gateways)) => gateways.push(other.vm.clone()),
                None => remote.push((other.data_centre.clone(), vec![other.vm.clone()])),
            }
        }
        local.sort_unstable();
        local.dedup();
        remote.sort_unstable();
        let cells = group(&local);
        let own_cell = cells.iter().position(|cell| cell.contains(&own.vm));
        Self {
            own_vm: own.vm.clone(),
            own_cell: own_cell.unwrap_or(0),
            local: cells,
            remote,
        }
    }

    /// The cell of this gateway.
    pub fn place(&self) -> CellPlace {
        CellPlace {
            number: self.own_cell,
            count: self.local.len(),
        }
    }

    /// The other gateways of this cell.
    pub fn peers(&self) -> impl Iterator<Item = &VmId> {
        let cell = self.local[self.own_cell].iter();
        cell.filter(|vm| **vm != self.own_vm)
    }

    /// One gateway of each other cell of the data centre, which passes reports on to its cell.
    /// Successive rounds go through different gateways, so that one that has ended and is still
    /// listed is skipped by the next round.
    pub fn local_relays(&self, round: u64) -> impl Iterator<Item = &VmId> {
        self.local
            .iter()
            .enumerate()
            .filter(|(number, _)| *number != self.own_cell)
            .filter_map(move |(_, cell)| self.relay(cell, round))
    }

    /// One gateway of each other data centre, which passes reports on to its cell and to the other
    /// cells there.
    pub fn remote_relays(&self, round: u64) -> impl Iterator<Item = &VmId> {
        let remote = self.remote.iter();
        remote.filter_map(move |(_, gateways)| self.relay(gateways, round))
    }

    /// The gateway that takes the reports of this one in a round; the order differs by sender.
    fn relay<'a>(&self, gateways: &'a [VmId], round: u64) -> Option<&'a VmId> {
        let own_hash = vm_hash(&self.own_vm);
        let mut ranked: Vec<&VmId> = gateways.iter().collect();
        ranked.sort_by_cached_key(|vm| mix(own_hash ^ vm_hash(vm).rotate_left(1)));
        let len = u64::try_from(ranked.len()).ok().filter(|len| *len > 0)?;
        let rank = usize::try_from(round % len).ok()?;
        ranked.get(rank).copied()
    }

    /// Where the gateway on `vm` is.
    pub fn proximity(&self, vm: &VmId) -> Proximity {
        if self.local[self.own_cell].contains(vm) {
            return Proximity::Cell;
        }
        let is_remote = self.remote.iter().any(|(_, vms)| vms.contains(vm));
        if is_remote {
            Proximity::Remote
        } else {
            Proximity::DataCentre
        }
    }
}

/// Groups the gateways of a data centre, which must be sorted, into cells.
fn group(gateways: &[VmId]) -> Vec<Vec<VmId>> {
    let count = ((gateways.len() + CELL_SIZE / 2) / CELL_SIZE).max(1);
    let hashes: Vec<u64> = gateways.iter().map(vm_hash).collect();
    let mut cells = vec![Vec::new(); count];
    for (gateway, assigned) in gateways.iter().zip(assign_evenly(&hashes, count, 1)) {
        for cell in assigned {
            cells[cell].push(gateway.clone());
        }
    }
    cells
}

/// Assigns each item to `copies` of `count` groups whose sizes differ by at most one. Items must be
/// in the same order on all gateways.
pub(super) fn assign_evenly(items: &[u64], count: usize, copies: usize) -> Vec<Vec<usize>> {
    let count = count.max(1);
    let copies = copies.clamp(1, count);
    let (min_size, mut larger) = (items.len() * copies / count, items.len() * copies % count);
    let mut sizes = vec![0; count];
    let mut assigned = vec![Vec::new(); items.len()];
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_by_key(|item| (mix(items[*item]), *item));
    for item in order {
        let mut ranked: Vec<usize> = (0..count).collect();
        ranked.sort_by_cached_key(|group| std::cmp::Reverse(mix(items[item] ^ group_hash(*group))));
        for is_bounded in [true, false] {
            for group in &ranked {
                if assigned[item].len() == copies {
                    break;
                }
                let has_room =
                    sizes[*group] < min_size || (sizes[*group] == min_size && larger > 0);
                if assigned[item].contains(group) || (is_bounded && !has_room) {
                    continue;
                }
                if sizes[*group] == min_size {
                    larger = larger.saturating_sub(1);
                }
                sizes[*group] += 1;
                assigned[item].push(*group);
            }
        }
    }
    assigned
}

fn group_hash(group: usize) -> u64 {
    mix(u64::try_from(group).unwrap_or(u64::MAX).wrapping_add(1))
}

/// Decides whether the gateways form cells. The answer depends only on the list of gateways and the
/// link rate, except that a return to the mesh is delayed by [`RETURN_TO_MESH_AFTER`], so that a
/// fleet near the limit doesn't change its cells with every gateway that restarts.
#[derive(Clone, Debug)]
pub struct CellSwitch {
    link_rate: Option<LinkRate>,
    uses_cells: bool,
    /// Since when the mesh fits the link.
    fits_since: Option<Timestamp>,
}

impl CellSwitch {
    /// Creates a switch that never forms cells if there is no link rate.
    pub fn new(link_rate: Option<LinkRate>) -> Self {
        Self {
            link_rate,
            uses_cells: false,
            fits_since: None,
        }
    }

    /// Whether the gateways form cells, given all gateways of the fleet.
    pub fn update(&mut self, now: Timestamp, gateways: &[GatewayHost]) -> bool {
        let Some(link_rate) = self.link_rate else {
            return false;
        };
        let limit = link_rate.bytes_per_second() / MESH_LINK_PARTS;
        if mesh_bytes_per_second(gateways) > limit {
            self.uses_cells = true;
            self.fits_since = None;
        } else {
            let fits_since = *self.fits_since.get_or_insert(now);
            self.uses_cells &= now.since(fits_since) < RETURN_TO_MESH_AFTER;
        }
        self.uses_cells
    }
}

/// Estimated rate at which a gateway of the largest data centre sends load reports in a full mesh.
pub fn mesh_bytes_per_second(gateways: &[GatewayHost]) -> u64 {
    let mut counts: Vec<(&DataCentre, u64)> = Vec::new();
    for gateway in gateways {
        match counts
            .iter_mut()
            .find(|(dc, _)| **dc == gateway.data_centre)
        {
            Some((_, count)) => *count += 1,
            None => counts.push((&gateway.data_centre, 1)),
        }
    }
    let total: u64 = counts.iter().map(|(_, count)| count).sum();
    let reports = counts.iter().map(|(_, local)| {
        let remote = (total - local) * LOCAL_REPORTS_PER_SECOND / LOCAL_REPORTS_PER_REMOTE;
        (local - 1) * LOCAL_REPORTS_PER_SECOND + remote
    });
    reports.max().unwrap_or(0) * NOMINAL_REPORT_BYTES
}

/// Limits the bytes of the reports of a gateway in a cell. Urgent reports are always sent, and delay
/// the others.
#[derive(Clone, Debug)]
pub struct ReportBudget {
    bytes_per_second: u64,
    /// Available millibytes; negative after urgent reports.
    available: i64,
    at: Timestamp,
}

impl ReportBudget {
    /// Creates the budget of load reports for a VM with this link.
    pub fn for_load(now: Timestamp, link_rate: LinkRate) -> Self {
        Self::new(now, link_rate, LOAD_PARTS)
    }

    /// Creates the budget of failures that are passed on. It is separate, so that neither kind of
    /// report can stop the other.
    pub fn for_relays(now: Timestamp, link_rate: LinkRate) -> Self {
        Self::new(now, link_rate, RELAY_PARTS)
    }

    fn new(now: Timestamp, link_rate: LinkRate, parts: u64) -> Self {
        Self {
            bytes_per_second: link_rate.bytes_per_second() * parts / CELL_LINK_PARTS,
            available: 0,
            at: now,
        }
    }

    /// Takes `bytes` if they are available.
    pub fn take(&mut self, now: Timestamp, bytes: u64) -> bool {
        self.refill(now);
        // A report larger than the budget of a second is sent from a full budget.
        let needed = millibytes(bytes).min(self.burst());
        let is_available = self.available >= needed;
        if is_available {
            self.available -= millibytes(bytes);
        }
        is_available
    }

    /// Takes the `bytes` of an urgent report; the debt is at most the budget of a second.
    pub fn take_urgent(&mut self, now: Timestamp, bytes: u64) {
        self.refill(now);
        self.available = (self.available - millibytes(bytes)).max(-self.burst());
    }

    /// The budget of a second.
    fn burst(&self) -> i64 {
        millibytes(self.bytes_per_second)
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.since(self.at).0;
        let added =
            i64::try_from(self.bytes_per_second.saturating_mul(elapsed)).unwrap_or(i64::MAX);
        self.available = self.available.saturating_add(added).min(self.burst());
        self.at = self.at.max(now);
    }
}

fn millibytes(bytes: u64) -> i64 {
    i64::try_from(bytes.saturating_mul(1_000)).unwrap_or(i64::MAX)
}
