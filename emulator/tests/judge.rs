//! The judge detects a gateway that breaks a rule, names the request, and reports no breach for the library's policy.

mod helper;
use doorcourse::{Action, Event, Millis, Outcome};
use fennelscale_lab::decider::{BASELINES, Decider, Library, Policy, TrueStateView};
use fennelscale_lab::draw::Day;
use fennelscale_lab::judge::{Breach, Rule};
use helper::*;
use rayon::prelude::*;
use std::collections::BTreeSet;

fn breaches(modify: ModifyActions, troubles: &str) -> Vec<Breach> {
    let day = Day::draw(&small(troubles), 1);
    play(&day, &Modified(modify)).0.judge.breaches
}

/// The requests named by the breaches. Requires at least one breach and no breach of another rule.
fn breached_requests(breaches: &[Breach], rule: Rule) -> BTreeSet<u64> {
    assert!(!breaches.is_empty(), "no breach was detected");
    assert!(breaches.iter().all(|b| b.rule == rule), "{breaches:?}");
    breaches.iter().filter_map(|b| b.request).collect()
}

#[test]
fn the_library_policy_breaks_no_rule_on_two_hundred_days() {
    let troubles = "[[trouble]]\nkind = \"gateway-crash\"\nfor_s = [1, 2]\npart = 0.4\nchance = 0.5\n\
        [[trouble]]\nkind = \"gateway-roll\"\nfor_s = [1, 3]\nchance = 0.3\n\
        [[trouble]]\nkind = \"replace\"\nfor_s = [1, 3]\npart = 0.4\nchance = 0.5\n\
        [[trouble]]\nkind = \"zone-cut\"\nfor_s = [1, 3]\nchance = 0.5\n\
        [[trouble]]\nkind = \"zone-loss\"\nfor_s = 2\nchance = 0.3\n\
        [[trouble]]\nkind = \"counter-down\"\nfor_s = [1, 3]\nchance = 0.5\n\
        [[trouble]]\nkind = \"hot-customer\"\nfor_s = [2, 5]\nsize = [0.04, 0.2]\nchance = 0.5\n\
        [[trouble]]\nkind = \"answers-lost\"\nfor_s = [2, 5]\nsize = 0.03\nchance = 0.5\n\
        [[trouble]]\nkind = \"silent\"\nfor_s = [1, 2]\npart = 0.2\nchance = 0.5\n";
    let scenario = small(troubles);
    let reported: Vec<String> = (0..200u64)
        .into_par_iter()
        .flat_map_iter(|seed| {
            let (record, _) = play(&Day::draw(&scenario, seed), &Library);
            assert!(record.totals.attempts > 50, "seed {seed} sent too few attempts");
            record.judge.breaches.into_iter().map(move |breach| format!("seed {seed}: {breach:?}"))
        })
        .collect();
    assert_eq!(reported, Vec::<String>::new());
}

#[test]
fn a_missing_final_answer_is_detected() {
    // Drops the refusal of every request whose number ends in 7.
    let found =
        breaches(|_, _, out| out.retain(|a| !matches!(a, Action::Refuse { id, .. } if id % 10 == 7)), "");
    let requests = breached_requests(&found, Rule::Lost);
    assert!(requests.iter().all(|id| id % 10 == 7), "{requests:?}");
}

#[test]
fn a_repeat_of_a_request_that_may_have_run_is_detected() {
    let modify: ModifyActions = |_, event, out| {
        let Event::AttemptEnded(end) = event else { return };
        // An attempt that ended in an error may have run; the library fails such a request.
        if end.outcome == Outcome::Error && out.iter().any(|a| matches!(a, Action::Fail { .. })) {
            out.retain(|a| !matches!(a, Action::Fail { .. }));
            let (id, backend) = (end.id, end.backend.clone());
            out.push(Action::Send { id, backend, timeout: 100.0, quota_wait: 0.0 });
        }
    };
    let failing = "[[trouble]]\nkind = \"fast-errors\"\nfrom_s = 1\nfor_s = 5\npart = 1\nsize = 0.3\n";
    let day = Day::draw(&small(failing), 1);
    let (record, _) = play(&day, &Modified(modify));
    let repeated: BTreeSet<u64> = record
        .judge
        .breaches
        .iter()
        .filter(|b| b.rule == Rule::Duplicate)
        .filter_map(|b| b.request)
        .collect();
    assert!(!repeated.is_empty());
    for id in repeated {
        let client_try = &record.tries[id as usize];
        assert!(day.classes[usize::from(day.first_tries[client_try.first_try as usize].class)].once);
        assert!(client_try.attempts.len() > 1);
    }
}

/// Sends to any backend that was ever listed and ignores later changes of the list.
struct IgnoresChanges;

struct IgnoresChangesDecider(Vec<doorcourse::Name>);

impl Decider for IgnoresChangesDecider {
    fn handle(&mut self, _: Millis, event: Event, _: &TrueStateView<'_>, out: &mut Vec<Action>) {
        match event {
            Event::BackendList(list) => self.0.extend(list.into_iter().map(|entry| entry.name)),
            Event::Request(arrival) => {
                let backend = self.0[arrival.id as usize % self.0.len()].clone();
                out.push(Action::Send { id: arrival.id, backend, timeout: 400.0, quota_wait: 0.0 });
            }
            Event::AttemptEnded(end) if !end.finished => out.push(Action::Fail { id: end.id }),
            _ => {}
        }
    }
}

impl Policy for IgnoresChanges {
    fn name(&self) -> &str {
        "ignores-changes"
    }

    fn start(&self, _: doorcourse::Settings, _: u64) -> Result<Box<dyn Decider>, doorcourse::SettingsError> {
        Ok(Box::new(IgnoresChangesDecider(Vec::new())))
    }
}

#[test]
fn sends_to_a_draining_backend_are_detected() {
    let day = Day::draw(&small("[[trouble]]\nkind = \"replace\"\nfrom_s = 1\nfor_s = 0.5\npart = 0.3\n"), 1);
    let (record, _) = play(&day, &IgnoresChanges);
    let drains: Vec<_> = record.judge.breaches.iter().filter(|b| b.rule == Rule::Drain).collect();
    assert!(!drains.is_empty());
    for breach in drains {
        let client_try = &record.tries[breach.request.expect("the breach names a request") as usize];
        let backend = &day.backends[client_try.attempts[0].backend];
        let (from, _) = backend.drains.expect("the backend drains");
        assert!(breach.at * 1000.0 > from as f64 + 2_000_000.0, "{breach:?}");
    }
}

#[test]
fn admitting_all_requests_exceeds_ceilings() {
    let troubles = "[[trouble]]\nkind = \"hot-customer\"\nfrom_s = 1\nfor_s = 6\nsize = 0.3\n";
    let scenario = small(troubles);
    let all_in = &BASELINES[0];
    let breaches_of_ceilings = (0..8).flat_map(|seed| {
        let day = Day::draw(&scenario, seed);
        let (record, _) = play(&day, all_in);
        let of_ceiling = record.judge.breaches.into_iter().filter(|b| b.rule == Rule::Ceiling);
        of_ceiling
            .inspect(|breach| {
                let client_try = &record.tries[breach.request.expect("the breach names a request") as usize];
                let customer =
                    &day.customers[day.first_tries[client_try.first_try as usize].customer as usize];
                assert!(day.settings.plans[customer.plan].ceiling_rate > 0.0);
            })
            .collect::<Vec<_>>()
    });
    assert!(breaches_of_ceilings.count() > 0);
}

/// Sends everything to one backend as soon as the list reports its restart.
struct OverloadsRestarted;

struct OverloadsRestartedDecider(Vec<doorcourse::Name>, Option<doorcourse::Name>);

impl Decider for OverloadsRestartedDecider {
    fn handle(&mut self, _: Millis, event: Event, _: &TrueStateView<'_>, out: &mut Vec<Action>) {
        match event {
            Event::BackendList(list) | Event::BackendChanges(list) => {
                for entry in list {
                    if entry.started.is_some() {
                        self.1.get_or_insert(entry.name.clone());
                    }
                    self.0.push(entry.name);
                }
            }
            Event::Request(arrival) => {
                let any = &self.0[arrival.id as usize % self.0.len()];
                let backend = self.1.as_ref().unwrap_or(any).clone();
                out.push(Action::Send { id: arrival.id, backend, timeout: 400.0, quota_wait: 0.0 });
            }
            Event::AttemptEnded(end) if !end.finished => out.push(Action::Fail { id: end.id }),
            _ => {}
        }
    }
}

impl Policy for OverloadsRestarted {
    fn name(&self) -> &str {
        "overloads-restarted"
    }

    fn start(&self, _: doorcourse::Settings, _: u64) -> Result<Box<dyn Decider>, doorcourse::SettingsError> {
        Ok(Box::new(OverloadsRestartedDecider(Vec::new(), None)))
    }
}

#[test]
fn overload_of_a_cold_backend_is_detected() {
    let day = Day::draw(&small("[[trouble]]\nkind = \"replace\"\nfrom_s = 1\nfor_s = 0.5\npart = 0.1\n"), 1);
    let (record, _) = play(&day, &OverloadsRestarted);
    let falls: Vec<_> = record.judge.breaches.iter().filter(|b| b.rule == Rule::Fall).collect();
    assert!(!falls.is_empty());
    assert_eq!(record.totals.cold_failures, falls.len() as u64);
    for breach in falls {
        let client_try = &record.tries[breach.request.expect("the breach names a request") as usize];
        let backend = client_try.attempts.last().expect("the try has an attempt").backend;
        assert!(day.backends[backend].starts.is_some());
    }
}

#[test]
fn protocol_violations_are_described() {
    let cases: [(ModifyActions, &str); 5] = [
        (
            |_, event, out| {
                if let Event::Request(arrival) = event {
                    let (id, backend) = (arrival.id, "nobody".into());
                    out.push(Action::Send { id, backend, timeout: 1.0, quota_wait: 0.0 });
                }
            },
            "no list",
        ),
        (|_, _, out| out.push(Action::CallOff { id: 0, attempt: 99 }), "never made"),
        (|_, _, out| out.push(Action::Refuse { id: 1 << 40, retry_after: 0.0 }), "not given"),
        (|_, _, out| out.push(Action::AddToCounter { name: 1 << 63, amount: 1.0, ttl: 10.0 }), "counter"),
        (|_, _, out| out.push(Action::SetTimer { after: f64::NAN, token: 0 }), "timer"),
    ];
    for (modify, what) in cases {
        let found = breaches(modify, "");
        assert!(found.iter().any(|b| b.rule == Rule::Protocol && b.what.contains(what)), "{what}: {found:?}");
    }
}
