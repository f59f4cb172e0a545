//! Guards the budget of further sends: its bound in every window, over all gateways together.

use auburnbridge_policy::balance::{SendBudget, SendBudgetOptions};
use auburnbridge_types::{Millis, Timestamp};
use proptest::prelude::*;

const OPTIONS: SendBudgetOptions = SendBudgetOptions {
    ratio: 0.2,
    allowance: 60.0,
    window: Millis(10_000),
};

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

proptest! {
    /// Guards against a window, wherever it begins, with more further sends than the bound of all
    /// gateways allows, however their requests and failures are spread.
    #[test]
    fn every_window_keeps_the_bound(
        gateways in 1_usize..8,
        events in prop::collection::vec((0_usize..8, 0_u64..200, 0_u8..3), 1..600),
    ) {
        let mut budgets: Vec<SendBudget> =
            (0..gateways).map(|_| SendBudget::new(OPTIONS)).collect();
        let mut now = 0;
        let (mut requests, mut further) = (Vec::new(), Vec::new());
        for (gateway, gap, kind) in events {
            now += gap;
            let budget = &mut budgets[gateway % gateways];
            if kind == 0 {
                budget.record_request(time(now));
                requests.push(now);
            } else if budget.try_send_again(time(now), gateways) {
                further.push(now);
            }
        }
        for begin in further.iter().copied() {
            let window = begin..=begin + OPTIONS.window.0;
            let count = further.iter().filter(|at| window.contains(at)).count();
            // The requests of the window itself, of the one before, or of the one half a window
            // before count, whichever has most.
            let most = [0, 5_000, 10_000]
                .iter()
                .map(|back| {
                    let from = begin.saturating_sub(*back);
                    let window = from..=from + OPTIONS.window.0;
                    requests.iter().filter(|at| window.contains(at)).count()
                })
                .max()
                .unwrap_or_default();
            let most = f64::from(u32::try_from(most).unwrap());
            let bound = OPTIONS.ratio * most + OPTIONS.allowance;
            prop_assert!(f64::from(u32::try_from(count).unwrap()) <= bound, "{count} of {bound}");
        }
    }
}

/// Guards against a budget that never refills.
#[test]
fn budget_refills_after_its_window() {
    let mut budget = SendBudget::new(OPTIONS);
    let taken = |budget: &mut SendBudget, now: u64| {
        (0..100)
            .filter(|_| budget.try_send_again(time(now), 1))
            .count()
    };
    let first = taken(&mut budget, 0);
    assert!(first > 0 && first <= 60, "{first}");
    assert_eq!(taken(&mut budget, 5_000), 0);
    assert_eq!(taken(&mut budget, 11_000), first);
}
