//! Computations of the capacity tables and of the scale measurements.

use std::collections::BTreeMap;
use testbed::capacity::costs::StepCost;
use testbed::capacity::fit::line;
use testbed::capacity::messages::{changed, configuration_frames, lengths};
use testbed::capacity::model::{Flow, Role, bytes_per_s, core_share, messages};
use testbed::capacity::samples::configuration_bytes;
use testbed::capacity::size::{GATEWAYS, PLAN, Size};
use testbed::capacity::timing::Spread;
use testbed::scale::report::{Arrival, Report, Traffic};
use testbed::scale::run::{Outcome, RoleFigures};
use testbed::scale::{quantities, table};

#[test]
fn sizes_scale_with_the_plan_but_keep_five_control_planes() {
    assert_eq!(Size::of(PLAN.gateways), PLAN);
    let small = Size::of(14);
    assert_eq!((small.control_planes, small.backends, small.tenants), (5, 150, 310));
}

#[test]
fn line_fits_collinear_points_and_reports_the_spread_of_others() {
    let exact = line(&[(13.0, 113.0), (85.0, 185.0), (300.0, 400.0)]).expect("a line");
    assert!((exact.base - 100.0).abs() < 1e-6 && (exact.slope - 1.0).abs() < 1e-9 && exact.spread < 1e-9);
    let square = line(&[(10.0, 100.0), (20.0, 400.0), (30.0, 900.0)]).expect("a line");
    assert!(square.spread > 0.05);
    assert_eq!(line(&[(10.0, 1.0), (10.0, 2.0)]), None);
    assert_eq!(line(&[(10.0, 1.0), (20.0, 0.0)]), None);
}

#[test]
fn spread_has_median_minimum_and_maximum() {
    assert_eq!(Spread::of(vec![3.0, 1.0, 2.0]), Spread { median: 2.0, minimum: 1.0, maximum: 3.0 });
    assert_eq!(Spread::of(Vec::new()).median, 0.0);
}

#[test]
fn sample_configurations_are_valid_and_match_their_size() {
    let size = Size::of(85);
    for body in [configuration_bytes(&size, 1), changed(&size)] {
        let config = config::Config::parse(&body).expect("valid");
        let tenants = config.tenants.as_ref().map_or(0, BTreeMap::len);
        assert_eq!(
            (config.routes.len(), config.services.len(), tenants),
            (size.routes, size.services, size.tenants)
        );
    }
    assert_ne!(configuration_bytes(&size, 2), changed(&size));
}

#[test]
fn differences_are_short_and_heartbeats_do_not_grow() {
    let (whole, difference) = configuration_frames(&Size::of(85));
    assert!(difference * 20 < whole, "{difference} of {whole}");
    let of = |gateways, kind: &str| {
        let all = lengths(&Size::of(gateways));
        all.iter().find(|length| length.kind.starts_with(kind)).map_or(0, |length| length.bytes)
    };
    assert!(of(300, "heartbeat to a follower") <= of(13, "heartbeat to a follower") + 4);
    assert!(of(300, "all backends") > 10 * of(13, "all backends"));
}

#[test]
fn load_of_a_holder_grows_with_the_fleet_but_that_of_a_data_plane_does_not() {
    let sum = |role, size: &Size| {
        let all = lengths(size);
        messages(role, size, true).iter().map(|flow| bytes_per_s(flow, &all)).sum::<f64>()
    };
    let (small, large) = (Size::of(140), Size::of(280));
    let holder = sum(Role::QuotaHolder, &large) / sum(Role::QuotaHolder, &small);
    assert!((holder - 2.0).abs() < 0.01, "{holder}");
    let gateway = sum(Role::DataPlane, &large) / sum(Role::DataPlane, &small);
    assert!((gateway - 1.0).abs() < 0.05, "{gateway}");
}

#[test]
fn core_share_is_cost_times_rate() {
    let costs = [StepCost { step: "a step", cost: Spread::of(vec![1000.0]) }];
    let flow = Flow { name: "a step", per_s: 100.0 };
    assert!((core_share(&flow, &costs) - 0.1).abs() < 1e-9);
    assert_eq!(core_share(&Flow { name: "another", ..flow }, &costs), 0.0);
}

#[test]
fn previous_body_is_kept_at_each_size() {
    for gateways in GATEWAYS {
        assert!(Size::of(gateways).keeps_previous_body(), "{gateways}");
    }
    let all = lengths(&Size::of(1_400));
    let of =
        |kind: &str| all.iter().find(|length| length.kind.starts_with(kind)).map_or(0, |length| length.bytes);
    let (difference, whole) = (of("configuration as a difference"), of("configuration to a follower"));
    assert!(difference * 100 < whole, "{difference} of {whole}");
}

fn report(messages: u64, arrivals: &[(u64, f64, f64, usize)]) -> Report {
    let mut report = Report::default();
    report.traffic.insert("grant".to_owned(), Traffic { messages, bytes: messages * 60 });
    let arrival = |(version, first, last, count): &(u64, f64, f64, usize)| {
        (*version, Arrival { first: *first, last: *last, count: *count })
    };
    report.arrivals = arrivals.iter().map(arrival).collect();
    report
}

#[test]
fn reports_can_be_added_and_subtracted() {
    let mut sum = report(10, &[(2, 5.0, 6.0, 3)]);
    sum.add(&report(5, &[(2, 4.5, 5.5, 4), (3, 9.0, 9.0, 1)]));
    assert_eq!(sum.arrivals[&2], Arrival { first: 4.5, last: 6.0, count: 7 });
    assert_eq!(sum.since(&report(4, &[])).traffic["grant"], Traffic { messages: 11, bytes: 900 - 240 });
}

#[test]
fn wait_quantiles_are_the_upper_end_of_their_class() {
    let mut report = Report::default();
    (0..99).for_each(|_| report.waited(900));
    report.waited(70_000);
    assert_eq!((report.wait_ms(0.5), report.wait_ms(0.999)), (1.024, 131.072));
    assert_eq!(Report::default().wait_ms(0.5), 0.0);
}

fn outcome(gateways: usize, processor: f64) -> Outcome {
    let leader = RoleFigures { processor, ..RoleFigures::default() };
    Outcome { gateways, seconds: 1.0, roles: [leader; 4], ..Outcome::default() }
}

#[test]
fn left_out_size_checks_the_fit() {
    let fitted = [outcome(10, 0.02), outcome(100, 0.11), outcome(300, 0.31)];
    let mut all = fitted.to_vec();
    all.push(outcome(200, 0.22));
    let found = quantities(&all, Some(200));
    let processor = &found[0];
    assert_eq!(processor.fitted.len(), 3);
    assert!(processor.relative_error().is_some_and(|relative_error| relative_error < 0.06), "{processor:?}");
    assert!(table(&found).contains("within (5%)"), "{}", table(&found));
    all[3] = outcome(200, 0.7);
    assert!(table(&quantities(&all, Some(200))).contains("OFF by 70%"));
}
