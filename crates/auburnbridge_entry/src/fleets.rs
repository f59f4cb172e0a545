//! The targets of all services, shared by the requests in flight.
//!
//! Lock order: the table of services, then one fleet, then its admission queue. None is held over
//! an await.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use auburnbridge_messages::ServiceEvidence;
use auburnbridge_metrics::{Counter, Metrics};
use auburnbridge_policy::{
    Action, AdmissionPolicy, Choice, Decision, Fleet, Member, Observation, RequestClass,
    RetryBudget, Sensitivity, ServicePolicy, TargetKey, TargetView,
};
use auburnbridge_rules::{Rules, Service};
use auburnbridge_types::{Clock, DataCentre, Incarnation, ServiceName, TargetId, Timestamp, VmId};
use log::{debug, info};
use parking_lot::{Mutex, RwLock};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::admission::{Admission, NotAdmitted, Permit};

/// Targets and retry budget of one service.
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
    random: StdRng,
}

/// A target chosen for one request; dropping it without a result counts as no evidence.
pub struct Assignment {
    service: Arc<ServiceFleet>,
    choice: Choice,
    is_finished: bool,
}

impl Assignment {
    /// Handle of the target.
    pub fn key(&self) -> TargetKey {
        self.choice.key
    }

    /// The target's name.
    pub fn target(&self) -> &TargetId {
        &self.choice.target
    }

    /// Where the target accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.choice.address
    }

    /// Number of the target's life.
    pub fn incarnation(&self) -> Incarnation {
        self.choice.incarnation
    }

    /// Figures that decided the choice, for the log.
    pub fn figures(&self) -> String {
        format!(
            "load={:.2} suspicion={:.2} candidates={}",
            self.choice.load, self.choice.suspicion, self.choice.candidates
        )
    }

    /// Ends the request on the target.
    pub fn finish(mut self, now: Timestamp, observation: Observation) {
        self.is_finished = true;
        self.service.finish(now, self.choice.key, observation);
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if !self.is_finished {
            let observation = Observation::NotAttributable;
            // The time matters only for observations that are evidence.
            self.service
                .finish(Timestamp(0), self.choice.key, observation);
        }
    }
}

impl ServiceFleet {
    /// Chooses a target for one request.
    pub fn choose(
        self: &Arc<Self>,
        now: Timestamp,
        class: RequestClass,
        exclude: &[TargetKey],
    ) -> Option<Assignment> {
        let choice = {
            let state = &mut *self.state.lock();
            state.fleet.choose(now, class, exclude, &mut state.random)?
        };
        Some(Assignment {
            service: Arc::clone(self),
            choice,
            is_finished: false,
        })
    }

    /// Counts a first attempt for the retry budget.
    pub fn record_request(&self, now: Timestamp) {
        self.state.lock().retries.record_request(now);
    }

    /// Takes one retry from the budget if it has one.
    pub fn try_retry(&self, now: Timestamp) -> bool {
        self.state.lock().retries.try_retry(now)
    }

    /// Waits until a request may run.
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
        self.report(&decisions);
    }

    /// Logs and counts decisions.
    fn report(&self, decisions: &[Decision]) {
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

/// The targets of all services.
pub struct Fleets {
    services: RwLock<HashMap<ServiceName, Arc<ServiceFleet>>>,
    data_centre: DataCentre,
    clock: Arc<dyn Clock>,
    metrics: Arc<Metrics>,
    seed: u64,
}

impl Fleets {
    /// Creates the table of an entry in `data_centre` without services; `seed` is that of the
    /// choices of targets.
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

    /// The fleet of a service.
    pub fn get(&self, service: &ServiceName) -> Option<Arc<ServiceFleet>> {
        self.services.read().get(service).cloned()
    }

    /// Takes over the services of new rules.
    pub fn apply_rules(&self, now: Timestamp, rules: &Rules) {
        let mut services = self.services.write();
        services.retain(|name, _| rules.service(name).is_some());
        for service in rules.services() {
            let policy = policy_of(service);
            let retries = RetryBudget::new(now, service.retry_percent.0, service.retry_rate);
            if let Some(fleet) = services.get(&service.name) {
                let mut state = fleet.state.lock();
                let decisions = state.fleet.set_policy(now, policy);
                state.retries = retries;
                drop(state);
                fleet.admission.set_policy(admission_policy_of(service));
                fleet.report(&decisions);
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
                        random: StdRng::seed_from_u64(self.seed),
                    }),
                };
                services.insert(service.name.clone(), Arc::new(fleet));
            }
        }
    }

    /// Takes over the members of one service and makes the decisions that are due.
    pub fn update(&self, now: Timestamp, service: &ServiceName, members: &[Member]) {
        let Some(fleet) = self.get(service) else {
            return;
        };
        let mut state = fleet.state.lock();
        let mut decisions = state.fleet.reconcile(now, members);
        decisions.extend(state.fleet.decide(now));
        let slots = state.fleet.in_use();
        drop(state);
        fleet.admission.set_slots(slots);
        fleet.report(&decisions);
    }

    /// What this entry saw of suspected targets, for the other entries.
    pub fn evidence(&self, now: Timestamp) -> Vec<ServiceEvidence> {
        let services: Vec<Arc<ServiceFleet>> = self.services.read().values().cloned().collect();
        services
            .iter()
            .map(|service| ServiceEvidence {
                service: service.name.clone(),
                reports: service.state.lock().fleet.evidence(now),
            })
            .filter(|evidence| !evidence.reports.is_empty())
            .collect()
    }

    /// Takes over what another entry saw.
    pub fn merge_evidence(&self, now: Timestamp, from: &VmId, evidence: &[ServiceEvidence]) {
        for ServiceEvidence { service, reports } in evidence {
            let Some(fleet) = self.get(service) else {
                continue;
            };
            let decisions = fleet.state.lock().fleet.merge_evidence(now, from, reports);
            fleet.report(&decisions);
        }
    }

    /// Names of the services.
    pub fn names(&self) -> Vec<ServiceName> {
        self.services.read().keys().cloned().collect()
    }

    /// The targets of a service, for status reports.
    pub fn view(&self, service: &ServiceName) -> Vec<TargetView> {
        self.get(service)
            .map(|fleet| fleet.state.lock().fleet.view())
            .unwrap_or_default()
    }
}

fn admission_policy_of(service: &Service) -> AdmissionPolicy {
    AdmissionPolicy {
        queue_limit: service.queue as usize,
        lookup_share: f64::from(service.lookup_share.0) / 100.0,
        ..AdmissionPolicy::default()
    }
}

fn policy_of(service: &Service) -> ServicePolicy {
    ServicePolicy::builder()
        .floor(service.slots_floor)
        .sensitivity(Sensitivity::new(service.ejection.0))
        .build()
}
