//! Rules that pick a target by its load alone, for comparison with the dispatchers.
//!
//! Every gateway knows its own sends at once, and of the other gateways what they have reported last.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use strum::{EnumIter, IntoStaticStr};

use crate::simulation::Scenario;

/// Time in which half of the reported requests have ended, for [`Rule::AgedWeights`].
const AGING_MS: f64 = 150.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Rule {
    /// Any target of the data centre.
    Random,
    /// The least reported load, own requests as of the own report.
    LeastReported,
    /// The less loaded of two random targets.
    TwoChoices,
    /// The least reported load, with the own requests as they are now.
    LeastWithOwn,
    /// Random, weighted by free slots and the less so the older the reports are.
    AgedWeights,
    /// A slot that is this gateway's own, otherwise the least load with the own requests.
    SharedSlots,
}

/// Requests in flight of all gateways on all targets, as they are and as they were last reported.
pub struct KnownLoads {
    data_centres: usize,
    gateways: usize,
    targets: usize,
    slots: u32,
    own: Vec<Vec<u32>>,
    reported: Vec<Vec<u32>>,
    total_reported: Vec<u32>,
    reported_at: u64,
}

impl KnownLoads {
    pub fn new(scenario: &Scenario) -> Self {
        let none = vec![vec![0; scenario.targets]; scenario.gateways];
        Self {
            data_centres: scenario.data_centres,
            gateways: scenario.gateways,
            targets: scenario.targets,
            slots: scenario.slots,
            own: none.clone(),
            reported: none,
            total_reported: vec![0; scenario.targets],
            reported_at: 0,
        }
    }

    pub fn end(&mut self, gateway: usize, target: usize) {
        self.own[gateway][target] -= 1;
    }

    pub fn publish(&mut self, gateway: usize, now: u64) {
        for target in 0..self.targets {
            let own = self.own[gateway][target];
            self.total_reported[target] += own;
            self.total_reported[target] -= self.reported[gateway][target];
            self.reported[gateway][target] = own;
        }
        self.reported_at = now;
    }

    /// Picks a target and counts the request as in flight on it.
    pub fn pick(&mut self, rule: Rule, gateway: usize, now: u64, rng: &mut ChaCha8Rng) -> usize {
        let own_data_centre = gateway % self.data_centres;
        let local: Vec<usize> = (own_data_centre..self.targets)
            .step_by(self.data_centres)
            .collect();
        let target = self.select(rule, gateway, now, &local, rng);
        self.own[gateway][target] += 1;
        target
    }

    fn select(
        &self,
        rule: Rule,
        gateway: usize,
        now: u64,
        local: &[usize],
        rng: &mut ChaCha8Rng,
    ) -> usize {
        let load = |target: usize| {
            self.total_reported[target] - self.reported[gateway][target] + self.own[gateway][target]
        };
        let mut random = || local[rng.random_range(0..local.len())];
        match rule {
            Rule::Random => random(),
            Rule::TwoChoices => {
                let (first, second) = (random(), random());
                if load(first) <= load(second) {
                    first
                } else {
                    second
                }
            }
            Rule::LeastReported => least(local, |target| self.total_reported[target], rng),
            Rule::LeastWithOwn => least(local, load, rng),
            Rule::AgedWeights => {
                let fresh = (-((now - self.reported_at) as f64) / AGING_MS).exp();
                let weights: Vec<f64> = local
                    .iter()
                    .map(|target| f64::from(self.slots.saturating_sub(load(*target))))
                    .map(|free| fresh * free.powi(2) + (1.0 - fresh) + 0.001)
                    .collect();
                let mut drawn = rng.random::<f64>() * weights.iter().sum::<f64>();
                let position = weights.iter().position(|weight| {
                    drawn -= weight;
                    drawn <= 0.0
                });
                local[position.unwrap_or(0)]
            }
            Rule::SharedSlots => self
                .own_slot(gateway, local)
                .unwrap_or_else(|| least(local, load, rng)),
        }
    }

    /// A target on which this gateway has a slot of its own that is free.
    fn own_slot(&self, gateway: usize, local: &[usize]) -> Option<usize> {
        let gateways = (gateway % self.data_centres..self.gateways)
            .step_by(self.data_centres)
            .count();
        let rank = gateway / self.data_centres;
        let slots = local.len() * self.slots as usize;
        (rank..slots)
            .step_by(gateways)
            .map(|slot| local[slot % local.len()])
            .find(|target| self.own[gateway][*target] == 0)
    }
}

/// One of the targets with the least load, at random.
fn least(targets: &[usize], load: impl Fn(usize) -> u32, rng: &mut ChaCha8Rng) -> usize {
    let min = targets.iter().map(|target| load(*target)).min();
    let least: Vec<usize> = targets
        .iter()
        .copied()
        .filter(|target| Some(load(*target)) == min)
        .collect();
    least[rng.random_range(0..least.len())]
}
