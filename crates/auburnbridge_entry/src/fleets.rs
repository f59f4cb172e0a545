//! The targets of each service, grouped into one fleet per service and shared by all requests in
//! flight.
//!
//! Lock order: the map of services, then one fleet, then its admission queue. No lock is held
//! across an await point.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_messages::ServiceEvidence;
use auburnbridge_metrics::{Counter, Metrics};
use auburnbridge_policy::{
    Action, AdmissionPolicy, Choice, Decision, EjectionPolicy, Fleet, Member, Observation,
    RequestClass, RetryBudget, Sensitivity, TargetKey, TargetView,
};
use auburnbridge_rules::{Rules, Service};
use auburnbridge_types::{Clock, DataCentre, Incarnation, ServiceName, TargetId, Timestamp, VmId};
use log::{debug, info};
use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::admission::{Admission, NotAdmitted, Permit};

/// Targets, retry budget and admission queue of one service.
pub struct ServiceFleet {
    name: ServiceName,
    state: Mutex<ServiceState>,
    admission: Arc<Admission>,
    metrics: Arc<Metrics>,
}

#[derive(Debug)]
struct ServiceState {
    fleet: Fleet,
    retries: RetryBudget,
    rng: StdRng,
}

/// Assignment of a request to a target. Dropping it without a result adds no evidence about the
/// target.
pub struct Assignment {
    service: Arc<ServiceFleet>,
    choice: Choice,
    is_finished: bool,
}

impl Assignment {
    /// Key of the target in its fleet.
    pub fn key(&self) -> TargetKey {
        self.choice.key
    }

    /// Id of the target.
    pub fn target(&self) -> &TargetId {
        &self.choice.target
    }

    /// Address on which the target accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.choice.address
    }

    /// Incarnation of the target.
    pub fn incarnation(&self) -> Incarnation {
        self.choice.incarnation
    }

    /// Log fields with the values that led to the choice.
    pub fn log_fields(&self) -> String {
        format!(
            "load={:.2} suspicion={:.2} candidates={}",
            self.choice.load, self.choice.suspicion, self.choice.candidates
        )
    }

    /// Ends the request on the target and records the observation.
    pub fn finish(mut self, now: Timestamp, observation: Observation) {
        self.is_finished = true;
        self.service.finish(now, self.choice.key, observation);
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if !self.is_finished {
            let observation = Observation::NotAttributable;
            // The time is used only for observations that are evidence.
            self.service
                .finish(Timestamp(0), self.choice.key, observation);
        }
    }
}

impl ServiceFleet {
    /// Chooses a target for one request, other than those in `exclude`.
    pub fn choose(
        self: &Arc<Self>,
        now: Timestamp,
        class: RequestClass,
        exclude: &[TargetKey],
    ) -> Option<Assignment> {
        let choice = {
            let state = &mut *self.state.lock();
            state.fleet.choose(now, class, exclude, &mut state.rng)?
        };
        Some(Assignment {
            service: Arc::clone(self),
            choice,
            is_finished: false,
        })
    }

    /// Adds a request to the retry budget; the budget allows retries as a share of these requests.
    pub fn record_request(&self, now: Timestamp) {
        self.state.lock().retries.record_request(now);
    }

    /// Takes one retry from the budget; returns `false` if none is available.
    pub fn try_retry(&self, now: Timestamp) -> bool {
        self.state.lock().retries.try_retry(now)
    }

    /// Waits until the admission queue lets a request run.
    pub(crate) async fn admit(
        &self,
        class: RequestClass,
        deadline: Timestamp,
    ) -> Result<Permit, NotAdmitted> {
        self.admission.admit(class, deadline).await
    }

    fn finish(&self, now: Timestamp, key: TargetKey, observation: Observation) {
        if observation == Observation::Shed {
            self.admission.record_shed();
        }
        let decisions = self.state.lock().fleet.finish(now, key, observation);
        self.record_decisions(&decisions);
    }

    /// Logs placement decisions and counts them in the metrics.
    fn record_decisions(&self, decisions: &[Decision]) {
        for decision in decisions {
            if decision.action == Action::Keep {
                debug!("placement service={} {decision}", self.name);
            } else {
                info!("placement service={} {decision}", self.name);
            }
            let tags = [
                ("service", self.name.as_str()),
                ("action", decision.action.into()),
                ("reason", decision.reason.into()),
            ];
            self.metrics.count(Counter::Placement, &tags);
        }
    }
}

/// Fleets of all services.
pub struct Fleets {
    services: RwLock<HashMap<ServiceName, Arc<ServiceFleet>>>,
    data_centre: DataCentre,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    seed: u64,
}

impl Fleets {
    /// Creates the fleets of an entry in `data_centre`, without services. `seed` is the seed of the
    /// random choices of targets.
    pub fn new(
        data_centre: DataCentre,
        clock: Arc<dyn Clock>,
        metrics: Arc<Metrics>,
        seed: u64,
    ) -> Self {
        Self {
            services: RwLock::default(),
            data_centre,
            clock,
            metrics,
            seed,
        }
    }

    /// Fleet of a service, or `None` if the rules have no such service.
    pub fn get(&self, service: &ServiceName) -> Option<Arc<ServiceFleet>> {
        self.services.read().get(service).cloned()
    }

    /// Adds, updates and removes services according to new rules.
    pub fn apply_rules(&self, now: Timestamp, rules: &Rules) {
        let mut services = self.services.write();
        services.retain(|name, _| rules.service(name).is_some());
        for service in rules.services() {
            let policy = ejection_policy_of(service);
            let retries = RetryBudget::new(now, service.retry_percent.0, service.retry_rate);
            if let Some(fleet) = services.get(&service.name) {
                let mut state = fleet.state.lock();
                let decisions = state.fleet.set_policy(now, policy);
                state.retries = retries;
                drop(state);
                fleet.admission.set_policy(admission_policy_of(service));
                fleet.record_decisions(&decisions);
            } else {
                let fleet = ServiceFleet {
                    name: service.name.clone(),
                    metrics: Arc::clone(&self.metrics),
                    admission: Arc::new(Admission::new(
                        admission_policy_of(service),
                        Arc::clone(&self.clock),
                    )),
                    state: Mutex::new(ServiceState {
                        fleet: Fleet::new(policy).with_data_centre(self.data_centre.clone()),
                        retries,
                        rng: StdRng::seed_from_u64(self.seed),
                    }),
                };
                services.insert(service.name.clone(), Arc::new(fleet));
            }
        }
    }

    /// Updates the members of one service and makes the placement decisions that are due.
    pub fn update(&self, now: Timestamp, service: &ServiceName, members: &[Member]) {
        let Some(fleet) = self.get(service) else {
            return;
        };
        let mut state = fleet.state.lock();
        let mut decisions = state.fleet.reconcile(now, members);
        decisions.extend(state.fleet.tick(now));
        let slots = state.fleet.slots_in_use();
        drop(state);
        fleet.admission.set_slots(slots);
        fleet.record_decisions(&decisions);
    }

    /// Evidence of this entry about suspected targets, to be sent to the other entries.
    pub fn due_reports(&self, now: Timestamp) -> Vec<ServiceEvidence> {
        let services: Vec<Arc<ServiceFleet>> = self.services.read().values().cloned().collect();
        services
            .iter()
            .map(|service| ServiceEvidence {
                service: service.name.clone(),
                reports: service.state.lock().fleet.due_reports(now),
            })
            .filter(|evidence| !evidence.reports.is_empty())
            .collect()
    }

    /// Merges another entry's evidence.
    pub fn merge_evidence(&self, now: Timestamp, from: &VmId, evidence: &[ServiceEvidence]) {
        for ServiceEvidence { service, reports } in evidence {
            let Some(fleet) = self.get(service) else {
                continue;
            };
            let decisions = fleet.state.lock().fleet.merge_evidence(now, from, reports);
            fleet.record_decisions(&decisions);
        }
    }

    /// Services that have a fleet, in no particular order.
    pub fn names(&self) -> Vec<ServiceName> {
        self.services.read().keys().cloned().collect()
    }

    /// Targets of a service, for status reports.
    pub fn view(&self, service: &ServiceName) -> Vec<TargetView> {
        self.get(service)
            .map(|fleet| fleet.state.lock().fleet.view())
            .unwrap_or_default()
    }
}

fn admission_policy_of(service: &Service) -> AdmissionPolicy {
    AdmissionPolicy {
        queue_limit: service.queue as usize,
        idempotent_share: f64::from(service.lookup_share.0) / 100.0,
        ..AdmissionPolicy::default()
    }
}

fn ejection_policy_of(service: &Service) -> EjectionPolicy {
    EjectionPolicy::builder()
        .floor(service.slots_floor)
        .sensitivity(Sensitivity::new(service.ejection.0))
        .build()
}
