//! The dispatchers of all services, and the targets that the keepers reported.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_membership::{AnnouncedState, Announcement, TargetMembership};
use auburnbridge_policy::balance::{
    BalancedMember, CellPlace, DispatcherOptions, GatewayHost, LoadReport, ReportedFinding,
};
use auburnbridge_routing::RouteSet;
use auburnbridge_types::{Clock, Incarnation, ServiceName, TargetId, VmId};
use log::info;
use parking_lot::{Mutex, RwLock};

use crate::service_dispatcher::ServiceDispatcher;

/// Dispatchers of one gateway, by service.
///
/// Lock order: `members`, then `other_gateways`, then `cell`, then `dispatchers`, then the state of one dispatcher.
pub struct ServiceTable {
    clock: Arc<dyn Clock>,
    options: DispatcherOptions,
    members: Mutex<TargetMembership>,
    other_gateways: Mutex<Vec<GatewayHost>>,
    cell: Mutex<Option<CellPlace>>,
    dispatchers: RwLock<HashMap<ServiceName, Arc<ServiceDispatcher>>>,
}

impl ServiceTable {
    /// Creates a table without services.
    pub fn new(clock: Arc<dyn Clock>, options: DispatcherOptions) -> Self {
        Self {
            clock,
            options,
            members: Mutex::default(),
            other_gateways: Mutex::default(),
            cell: Mutex::default(),
            dispatchers: RwLock::default(),
        }
    }

    /// The dispatcher of a service, if the service is configured.
    pub fn get(&self, service: &ServiceName) -> Option<Arc<ServiceDispatcher>> {
        self.dispatchers.read().get(service).cloned()
    }

    /// The dispatchers of all services.
    pub fn dispatchers(&self) -> Vec<Arc<ServiceDispatcher>> {
        self.dispatchers.read().values().cloned().collect()
    }

    /// Adds and removes dispatchers to match the services of `routes`. The dispatcher of a removed
    /// service is dropped after its last request.
    pub fn apply_routes(&self, routes: &RouteSet) {
        let members = self.members.lock();
        {
            let other_gateways = self.other_gateways.lock();
            let cell = self.cell.lock();
            let mut dispatchers = self.dispatchers.write();
            dispatchers.retain(|name, _| routes.service(name).is_some());
            for service in routes.services() {
                dispatchers.entry(service.name.clone()).or_insert_with(|| {
                    let clock = Arc::clone(&self.clock);
                    let dispatcher =
                        ServiceDispatcher::new(service.name.clone(), &self.options, clock);
                    dispatcher.set_gateways(&other_gateways);
                    dispatcher.set_cell(*cell);
                    Arc::new(dispatcher)
                });
            }
        }
        self.update_dispatchers(&members);
    }

    /// Applies announcements and departures of targets.
    pub fn apply_targets(&self, announcements: &[Announcement]) {
        let now = self.clock.now();
        let mut members = self.members.lock();
        let is_changed = !members.merge(now, announcements).is_empty();
        if is_changed {
            self.update_dispatchers(&members);
        }
    }

    /// Records that an incarnation of a target is leaving, as if it had announced it. Returns the
    /// departure unless it is known already.
    pub fn record_departure(
        &self,
        service: &ServiceName,
        target: &TargetId,
        incarnation: Incarnation,
    ) -> Option<Announcement> {
        let now = self.clock.now();
        let mut members = self.members.lock();
        let known = members
            .get(service, target)
            .filter(|known| known.incarnation == incarnation)?;
        let departure = Announcement {
            state: AnnouncedState::Leaving,
            ..known.clone()
        };
        let is_new = !members
            .merge(now, std::slice::from_ref(&departure))
            .is_empty();
        if !is_new {
            return None;
        }
        self.update_dispatchers(&members);
        Some(departure)
    }

    /// Whether a service has a target that accepts requests.
    pub(crate) fn has_target(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        self.members.lock().view(service, now).next().is_some()
    }

    /// Number of targets that accept requests.
    pub fn targets(&self) -> usize {
        self.members.lock().len()
    }

    /// Replaces the set of other gateways.
    pub fn set_gateways(&self, others: Vec<GatewayHost>) {
        let mut current = self.other_gateways.lock();
        if *current == others {
            return;
        }
        *current = others;
        for dispatcher in self.dispatchers() {
            dispatcher.set_gateways(&current);
        }
    }

    /// Sets the cell of this gateway; `None` if the gateways form no cells.
    pub fn set_cell(&self, cell: Option<CellPlace>) {
        let mut current = self.cell.lock();
        if *current == cell {
            return;
        }
        *current = cell;
        for dispatcher in self.dispatchers() {
            let targets = dispatcher.set_cell(cell);
            info!(
                service = dispatcher.name().as_str(), targets = targets,
                cell:? = cell.map(|cell| cell.number), cells:? = cell.map(|cell| cell.count);
                "subset changed"
            );
        }
    }

    /// Applies the report of another gateway.
    pub fn apply_report(
        &self,
        from: &VmId,
        findings: &[ReportedFinding],
        load: Option<&LoadReport>,
    ) {
        for dispatcher in self.dispatchers() {
            if !findings.is_empty() {
                dispatcher.apply_findings(findings);
            }
            if let Some(load) = load {
                dispatcher.apply_load_report(from, load.clone());
            }
        }
    }

    /// Passes each dispatcher the targets of its service.
    fn update_dispatchers(&self, members: &TargetMembership) {
        let newest_incarnations = newest_incarnations_by_address(members);
        for dispatcher in self.dispatchers() {
            let now = self.clock.now();
            let targets: Vec<BalancedMember> = members
                .view(dispatcher.name(), now)
                .filter(|(target, _)| {
                    newest_incarnations.get(&target.address) == Some(&target.incarnation)
                })
                .map(|(target, _)| BalancedMember {
                    id: target.target.clone(),
                    address: target.address,
                    data_centre: target.data_centre.clone(),
                    incarnation: target.incarnation,
                    slots: target.slots,
                })
                .collect();
            dispatcher.set_members(&targets);
        }
    }
}

/// The newest incarnation announced at each address. Older ones have ended, whether or not they
/// announced their departure.
fn newest_incarnations_by_address(members: &TargetMembership) -> HashMap<SocketAddr, Incarnation> {
    let mut newest_incarnations: HashMap<SocketAddr, Incarnation> = HashMap::new();
    for target in members
        .iter()
        .filter(|target| target.state == AnnouncedState::Ready)
    {
        let incarnation = newest_incarnations
            .entry(target.address)
            .or_insert(target.incarnation);
        *incarnation = (*incarnation).max(target.incarnation);
    }
    newest_incarnations
}
