//! Tests of target selection: trials of suspected targets, the floor, and incarnations at one
//! address.

use std::collections::{BTreeMap, BTreeSet};

use auburnbridge_policy::RequestClass;
use auburnbridge_policy::balance::{
    BalancedMember, Balancer, BalancerOptions, Finding, GatewayHost, LoadReport, Pick,
    ReportedFinding, TargetHash, TargetLoad,
};
use auburnbridge_types::{Incarnation, Millis, Slots, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn time(ms: u64) -> Timestamp {
    Timestamp(1_000_000 + ms)
}

fn member(name: &str, data_centre: &str) -> BalancedMember {
    BalancedMember {
        id: name.parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.parse().unwrap(),
        incarnation: Incarnation(1),
        slots: Slots(2),
    }
}

fn balancer(members: &[BalancedMember]) -> Balancer {
    balancer_with(members, false)
}

fn balancer_with(members: &[BalancedMember], even_load: bool) -> Balancer {
    let mut balancer = Balancer::new(BalancerOptions {
        own: GatewayHost {
            vm: "gateway-1".parse().unwrap(),
            data_centre: "north".parse().unwrap(),
        },
        floor_share: 0.7,
        seed: 1,
        even_load,
    });
    balancer.set_members(time(0), members);
    balancer
}

fn pick(balancer: &mut Balancer, now: u64, class: RequestClass) -> Option<Pick> {
    balancer.pick(time(now), class, &[], &mut ChaCha8Rng::seed_from_u64(now))
}

fn reported(name: &str, finding: Finding) -> ReportedFinding {
    ReportedFinding {
        target: TargetHash::of(&name.parse().unwrap(), Incarnation(1)),
        finding,
    }
}

/// Requests must not cross data centres while a local target has a free slot, and must not be
/// refused when only remote ones do.
#[test]
fn local_targets_are_preferred() {
    let mut balancer = balancer(&[member("t-near", "north"), member("t-far", "south")]);
    let picks: Vec<String> = (0..4)
        .map(|_| {
            pick(&mut balancer, 100, RequestClass::Once)
                .unwrap()
                .target
                .to_string()
        })
        .collect();
    assert_eq!(picks, ["t-near", "t-near", "t-far", "t-far"]);
    assert_eq!(pick(&mut balancer, 100, RequestClass::Once), None);
}

/// Requests of other gateways must occupy slots, and their reports must expire.
#[test]
fn reported_requests_occupy_slots_until_the_report_expires() {
    let mut balancer = balancer(&[member("t-1", "north")]);
    let report = LoadReport {
        in_flight: vec![TargetLoad {
            target: TargetHash::of(&"t-1".parse().unwrap(), Incarnation(1)),
            in_flight: 2,
            proof_age: 0,
        }],
    };
    let other = "gateway-2".parse().unwrap();
    balancer.apply_load_report(time(100), &other, report);
    assert_eq!(pick(&mut balancer, 200, RequestClass::Once), None);
    // The next report of any gateway removes the expired one.
    let third = "gateway-3".parse().unwrap();
    balancer.apply_load_report(time(2_000), &third, LoadReport::default());
    assert!(pick(&mut balancer, 2_000, RequestClass::Once).is_some());
}

/// Reported requests must not be counted twice or leak when a gateway reports again, when its
/// report expires or when the set of targets changes.
#[test]
fn newer_reports_replace_earlier_ones() {
    fn in_flight(balancer: &mut Balancer, now: u64) -> Vec<u32> {
        ["t-1", "t-2"]
            .map(|name| {
                // Targets are picked at random, so this repeats until the pick is `name`.
                let mut picks = Vec::new();
                loop {
                    let pick = balancer
                        .pick_any(
                            time(now),
                            RequestClass::Once,
                            &picks,
                            &mut ChaCha8Rng::seed_from_u64(now),
                        )
                        .unwrap();
                    balancer.finish(time(now), pick.key, None);
                    if pick.target.as_str() == name {
                        return pick.in_flight - 1;
                    }
                    picks.push(pick.key);
                }
            })
            .to_vec()
    }
    let report = |loads: &[(&str, u8)]| LoadReport {
        in_flight: loads
            .iter()
            .map(|(name, in_flight)| TargetLoad {
                target: reported(name, Finding::Answered).target,
                in_flight: *in_flight,
                proof_age: u8::MAX,
            })
            .collect(),
    };
    let (second, third) = ("gateway-2".parse().unwrap(), "gateway-3".parse().unwrap());
    let mut balancer = balancer(&[member("t-1", "north"), member("t-2", "north")]);
    balancer.apply_load_report(
        time(0),
        &second,
        report(&[("t-1", 2), ("t-2", 1), ("t-9", 5)]),
    );
    balancer.apply_load_report(time(1_000), &third, report(&[("t-1", 4)]));
    assert_eq!(in_flight(&mut balancer, 1_000), [6, 1]);
    balancer.apply_load_report(time(1_100), &third, report(&[("t-1", 1), ("t-2", 3)]));
    assert_eq!(in_flight(&mut balancer, 1_100), [3, 4]);
    let members = [
        member("t-1", "north"),
        member("t-2", "north"),
        member("t-9", "north"),
    ];
    balancer.set_members(time(1_200), &members);
    assert_eq!(in_flight(&mut balancer, 1_200), [3, 4]);
    balancer.apply_load_report(time(2_000), &third, report(&[("t-2", 1)]));
    assert_eq!(in_flight(&mut balancer, 2_000), [0, 1]);
}

/// At-most-once requests must avoid a target for which another gateway reported a broken answer,
/// and trials must take place, one at a time.
#[test]
fn reported_failure_diverts_requests_until_trials_clear_it() {
    let members = [member("t-1", "north"), member("t-2", "north")];
    let mut balancer = balancer(&members);
    balancer.apply_findings(time(100), &[reported("t-1", Finding::Broken)]);
    for now in 200..220 {
        if let Some(pick) = pick(&mut balancer, now, RequestClass::Once) {
            assert_eq!(pick.target.as_str(), "t-2");
            balancer.finish(time(now), pick.key, Some(Finding::Answered));
        }
    }
    assert_eq!(balancer.pick_trial(time(300)), None);
    let mut now = 1_500;
    let mut trials = 0;
    while let Some(trial) = balancer.pick_trial(time(now)) {
        assert_eq!(trial.target.as_str(), "t-1");
        assert_eq!(balancer.pick_trial(time(now)), None, "two trials at once");
        balancer.finish(time(now + 50), trial.key, Some(Finding::Answered));
        trials += 1;
        now += 700;
    }
    assert!((2..=4).contains(&trials), "{trials}");
    let picked = (0..40).any(|step| {
        let pick = pick(&mut balancer, now + step, RequestClass::Once).unwrap();
        balancer.finish(time(now + step), pick.key, Some(Finding::Answered));
        pick.target.as_str() == "t-1"
    });
    assert!(picked, "the cleared target receives no requests");
}

/// A target whose address another target has taken over must receive no requests, and a restarted
/// one must not inherit the findings of its earlier incarnation.
#[test]
fn replaced_target_is_avoided_until_it_restarts() {
    let mut balancer = balancer(&[member("t-1", "north")]);
    let first = pick(&mut balancer, 100, RequestClass::Once).unwrap();
    balancer.finish(time(110), first.key, Some(Finding::Replaced));
    assert_eq!(pick(&mut balancer, 120, RequestClass::Once), None);
    let restarted = BalancedMember {
        incarnation: Incarnation(2),
        ..member("t-1", "north")
    };
    balancer.set_members(time(200), &[restarted]);
    assert!(pick(&mut balancer, 210, RequestClass::Once).is_some());
}

/// Server errors, which healthy targets return occasionally, must not exclude more targets than the
/// floor allows, and the floor must not keep failing targets in use.
#[test]
fn floor_applies_to_errors_but_not_to_broken_answers() {
    let names: Vec<String> = (0..10).map(|number| format!("t-{number}")).collect();
    let members: Vec<BalancedMember> = names.iter().map(|name| member(name, "north")).collect();
    for (finding, least) in [(Finding::ServerError, 7), (Finding::Broken, 4)] {
        let mut balancer = balancer(&members);
        let findings: Vec<ReportedFinding> = names[..6]
            .iter()
            .map(|name| reported(name, finding))
            .collect();
        balancer.apply_findings(time(100), &findings);
        let mut used = std::collections::BTreeSet::new();
        while let Some(pick) = pick(&mut balancer, 110, RequestClass::Once) {
            used.insert(pick.target.to_string());
        }
        assert!(used.len() >= least, "{finding}: {used:?}");
        if finding == Finding::Broken {
            assert_eq!(used.len(), 4, "{used:?}");
        }
    }
}

/// At-most-once requests must not go to a suspected target, trusted only because of the floor,
/// while a remote target is not suspected.
#[test]
fn trusted_remote_target_precedes_a_suspected_local_one() {
    let mut balancer = balancer(&[member("t-near", "north"), member("t-far", "south")]);
    balancer.apply_findings(time(100), &[reported("t-near", Finding::ServerError)]);
    let pick = pick(&mut balancer, 110, RequestClass::Once).unwrap();
    assert_eq!(pick.target.to_string(), "t-far");
}

/// Gateways must not all try a suspected target at the same moment, and a target must not stay
/// suspected where no gateway tries it.
#[test]
fn suspected_targets_are_tried_only_within_the_subset() {
    let others: Vec<GatewayHost> = (2..6)
        .map(|number| GatewayHost {
            vm: format!("gateway-{number}").parse().unwrap(),
            data_centre: "north".parse().unwrap(),
        })
        .collect();
    let names: Vec<String> = (0..20).map(|number| format!("t-{number}")).collect();
    let members: Vec<BalancedMember> = names.iter().map(|name| member(name, "north")).collect();
    let mut balancer = balancer(&members);
    balancer.set_gateways(&others);
    let findings: Vec<ReportedFinding> = names
        .iter()
        .map(|name| reported(name, Finding::Broken))
        .collect();
    balancer.apply_findings(time(0), &findings);
    let mut trials_until = |ms: u64| {
        let mut count = 0;
        while balancer.pick_trial(time(ms)).is_some() {
            count += 1;
        }
        count
    };
    let in_subset = trials_until(1_500);
    assert!(
        (1..=5).contains(&in_subset),
        "{in_subset} of 20 are in the subset"
    );
    assert_eq!(trials_until(5_000), 0);
    let unsuspected = balancer.summary(time(6_000)).unsuspected;
    assert_eq!(unsuspected, 20);
}

/// At-most-once requests must not be spread over targets without a recent proof while hardly any is
/// lost.
#[test]
fn at_most_once_requests_stay_on_proven_targets() {
    let names: Vec<String> = (0..10).map(|number| format!("t-{number}")).collect();
    let members: Vec<BalancedMember> = names.iter().map(|name| member(name, "north")).collect();
    let mut balancer = balancer(&members);
    let mut used: BTreeSet<String> = BTreeSet::new();
    for step in 0..100 {
        let now = step * 20;
        let picked = pick(&mut balancer, now, RequestClass::Once).unwrap();
        used.insert(picked.target.to_string());
        balancer.finish(time(now + 15), picked.key, Some(Finding::Answered));
    }
    assert!(used.len() <= 2, "{used:?}");
}

/// Every kind of pick must leave a paused target alone, also where no other target is left.
#[test]
fn paused_target_is_never_picked() {
    type PickKind = fn(&mut Balancer, u64, RequestClass) -> Option<Pick>;
    let kinds: [PickKind; 4] = [
        |balancer, now, class| pick(balancer, now, class),
        |balancer, now, _| balancer.pick_trial(time(now)),
        |balancer, now, class| {
            balancer.pick_busy(time(now), class, &[], &mut ChaCha8Rng::seed_from_u64(now))
        },
        |balancer, now, class| {
            balancer.pick_any(time(now), class, &[], &mut ChaCha8Rng::seed_from_u64(now))
        },
    ];
    for (number, kind) in kinds.into_iter().enumerate() {
        for class in [RequestClass::Once, RequestClass::Idempotent] {
            let mut balancer = balancer(&[member("t-1", "north")]);
            let picked = pick(&mut balancer, 0, class).unwrap();
            balancer.finish(time(100), picked.key, Some(Finding::Shed));
            // A suspicion makes the target due for trials.
            balancer.apply_findings(time(100), &[reported("t-1", Finding::Broken)]);
            balancer.pause(time(100), picked.key, Millis(4_000));
            for now in (100..4_100).step_by(100) {
                assert_eq!(
                    kind(&mut balancer, now, class),
                    None,
                    "kind {number} at {now}"
                );
            }
        }
    }
}

/// A paused target must return after the pause, and all gateways must not return at once.
#[test]
fn gateways_return_from_a_pause_one_after_the_other() {
    let returns: BTreeSet<u64> = (0..20)
        .map(|seed| {
            let mut balancer = Balancer::new(BalancerOptions {
                own: GatewayHost {
                    vm: "gateway-1".parse().unwrap(),
                    data_centre: "north".parse().unwrap(),
                },
                floor_share: 0.7,
                seed: seed * 7_919,
                even_load: false,
            });
            balancer.set_members(time(0), &[member("t-1", "north")]);
            let picked = pick(&mut balancer, 0, RequestClass::Once).unwrap();
            balancer.finish(time(10), picked.key, Some(Finding::Shed));
            balancer.pause(time(10), picked.key, Millis(2_000));
            let left = balancer.pause_left(time(10)).unwrap();
            assert!((2_000..=2_500).contains(&left.0), "{left}");
            let returned = (10..3_000).find(|now| {
                let mut balancer = balancer.clone();
                pick(&mut balancer, *now, RequestClass::Once).is_some()
            });
            returned.expect("the target never returned")
        })
        .collect();
    assert!(returns.len() > 10, "{returns:?}");
}

/// A new incarnation must not inherit the pause or the proof of the former one.
#[test]
fn new_incarnation_starts_without_the_state_of_the_former_one() {
    let mut balancer = balancer(&[member("t-1", "north")]);
    let picked = pick(&mut balancer, 0, RequestClass::Once).unwrap();
    balancer.finish(time(100), picked.key, Some(Finding::Answered));
    balancer.pause(time(100), picked.key, Millis(60_000));
    let restarted = BalancedMember {
        incarnation: Incarnation(2),
        ..member("t-1", "north")
    };
    balancer.set_members(time(200), &[restarted]);
    assert_eq!(balancer.pause_left(time(200)), None);
    pick(&mut balancer, 300, RequestClass::Once).expect("the target is still paused");
    let report = balancer.load_report(time(301));
    assert_eq!(report.in_flight[0].proof_age, u8::MAX);
}

/// Guards against overflows where a target states an absurd number of slots.
#[test]
fn absurd_number_of_slots_is_harmless() {
    let members: Vec<BalancedMember> = ["t-1", "t-2", "t-3"]
        .iter()
        .map(|name| BalancedMember {
            slots: Slots(u32::MAX),
            ..member(name, "north")
        })
        .collect();
    let mut balancer = balancer(&members);
    for now in 0..50 {
        for class in [RequestClass::Once, RequestClass::Idempotent] {
            assert!(pick(&mut balancer, now, class).is_some());
        }
    }
    assert_eq!(balancer.summary(time(50)).in_flight, 100);
    assert!(!balancer.is_crowded(time(50)));
}

fn full_report(name: &str) -> LoadReport {
    LoadReport {
        in_flight: vec![TargetLoad {
            target: TargetHash::of(&name.parse().unwrap(), Incarnation(1)),
            in_flight: 2,
            proof_age: 0,
        }],
    }
}

/// A gateway that is frozen sends no report that withdraws its last one, which must not keep its targets
/// from use for long: after a second, four average answer times, hardly any of its requests is left.
#[test]
fn last_report_of_a_frozen_gateway_loses_its_weight() {
    let mut balancer = balancer_with(&[member("t-1", "north")], true);
    let other = "gateway-2".parse().unwrap();
    balancer.apply_load_report(time(100), &other, full_report("t-1"));
    assert_eq!(pick(&mut balancer, 110, RequestClass::Once), None);
    let picked = pick(&mut balancer, 1_100, RequestClass::Once).expect("the report still counts");
    assert!(picked.estimate.unwrap().in_flight < 1.1, "{picked:?}");
    // Back again, it reports the requests that it has now.
    balancer.finish(time(1_150), picked.key, None);
    balancer.apply_load_report(time(1_200), &other, full_report("t-1"));
    assert_eq!(pick(&mut balancer, 1_210, RequestClass::Once), None);
}

/// The first report of a restarted gateway must replace the one that it sent before.
#[test]
fn report_of_a_restarted_gateway_replaces_the_former_one() {
    let mut balancer = balancer_with(&[member("t-1", "north")], true);
    let other = "gateway-2".parse().unwrap();
    balancer.apply_load_report(time(100), &other, full_report("t-1"));
    balancer.apply_load_report(time(150), &other, LoadReport::default());
    let picked = pick(&mut balancer, 150, RequestClass::Once).expect("the former report counts");
    assert_eq!(picked.in_flight, 1);
}

/// Requests of others that were reported for the former incarnation of a target must not fill the new one.
#[test]
fn reported_load_ends_with_the_incarnation_of_the_target() {
    let mut balancer = balancer_with(&[member("t-1", "north")], true);
    let other = "gateway-2".parse().unwrap();
    balancer.apply_load_report(time(100), &other, full_report("t-1"));
    let restarted = BalancedMember {
        incarnation: Incarnation(2),
        ..member("t-1", "north")
    };
    balancer.set_members(time(110), &[restarted]);
    let picked = pick(&mut balancer, 120, RequestClass::Once).expect("the former load counts");
    assert_eq!(picked.estimate.unwrap().report_age, None);
}

/// Gateways that choose at the same moment without any report must choose slots of their own: together
/// they use no target beyond its slots, and leave none without a request.
#[test]
fn gateways_use_different_slots_without_reports() {
    let names: Vec<String> = (0..12).map(|number| format!("t-{number}")).collect();
    let members: Vec<BalancedMember> = names.iter().map(|name| member(name, "north")).collect();
    let hosts: Vec<GatewayHost> = (0..8)
        .map(|number| GatewayHost {
            vm: format!("gateway-{number}").parse().unwrap(),
            data_centre: "north".parse().unwrap(),
        })
        .collect();
    let mut loads: BTreeMap<String, u32> = BTreeMap::new();
    for own in &hosts {
        let mut balancer = Balancer::new(BalancerOptions {
            own: own.clone(),
            floor_share: 0.7,
            seed: 1,
            even_load: true,
        });
        balancer.set_members(time(0), &members);
        let others: Vec<GatewayHost> = hosts.iter().filter(|host| *host != own).cloned().collect();
        balancer.set_gateways(&others);
        for _ in 0..3 {
            let picked = pick(&mut balancer, 10, RequestClass::Once).unwrap();
            *loads.entry(picked.target.to_string()).or_default() += 1;
        }
    }
    assert_eq!(loads.len(), 12, "{loads:?}");
    assert!(loads.values().all(|load| *load == 2), "{loads:?}");
}
