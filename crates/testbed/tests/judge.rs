//! Checks each rule of the judge against handmade histories: a planted violation is found and attributed to its rule,
//! and a correct history has no violations.

use testbed::demo::TIME_BOUNDS;
use testbed::history::{End, Event, ProcessEvent, Record};
use testbed::judge::{Rule, Verdict, judge, seal};

const SECOND: u64 = 1_000_000;

/// A history under construction; each record advances the clock by one millisecond.
#[derive(Default)]
struct Tale {
    lines: Vec<Record>,
    now: u64,
}

impl Tale {
    /// Starts a history with a backend of `customs` (1), one of `chandler` (2), and a first configuration.
    fn new() -> Self {
        let mut tale = Self::default();
        for (backend, service) in [(1, "customs"), (2, "chandler")] {
            tale.see(Event::BackendStarted { backend, id: format!("i-{backend}"), service: service.into() });
        }
        tale.order(1, 0, true, Some(true));
        tale
    }

    fn see(&mut self, event: Event) {
        self.now += 1000;
        self.lines.push(Record { at: self.now, event });
    }

    fn wait(&mut self, us: u64) {
        self.now += us;
    }

    /// Sends an effectful request of the third tenant for `customs`.
    fn sent(&mut self, id: u64) {
        self.see(Event::Sent { id, kind: Some(3), tenant: Some(2), pure: false });
        self.see(Event::Connected { id, machine: 3 });
    }

    fn arrived(&mut self, id: u64, backend: u32) {
        self.see(Event::Arrived { id: Some(id), backend, machine: Some(3) });
    }

    fn ran(&mut self, id: u64, backend: u32) {
        self.arrived(id, backend);
        let (tenant, arrived) = (Some("cutter".into()), self.now);
        self.see(Event::Ran { id: Some(id), backend, arrived, tenant, key: false, unchanged: true });
    }

    fn answered(&mut self, id: u64, status: u16, by: &str) {
        let seal = (status == 200).then(|| seal(by, id));
        self.see(Event::Answered { id, status, seal, echoed: true, whole: true });
    }

    fn served(&mut self, id: u64) {
        self.sent(id);
        self.ran(id, 1);
        self.answered(id, 200, "i-1");
    }

    fn done(&mut self, end: End) {
        let due = self.now;
        self.see(Event::Done { kind: 3, owed: true, due, end, tries: 1 });
    }

    fn process(&mut self, machine: usize, data_plane: bool, process_event: ProcessEvent) {
        self.see(Event::Process { machine, data_plane, process_event });
    }

    /// Sends a change that is acknowledged (`Some(true)`), rejected (`Some(false)`) or not answered (`None`).
    fn order(&mut self, version: u64, base: u64, valid: bool, taken: Option<bool>) {
        self.see(Event::ChangeSent { version, base, valid, routes: vec![version] });
        match taken {
            Some(true) => self.see(Event::Acked { version }),
            Some(false) => self.see(Event::ChangeRejected { version, status: 412 }),
            None => {}
        }
    }

    fn probed(&mut self, version: u64, status: u16) {
        let sent = self.now;
        self.see(Event::Probed { version, machine: 3, sent, status });
    }

    fn read(&mut self, version: Option<u64>, same: bool) {
        for machine in 0..3 {
            self.see(Event::Read { machine, version, same });
        }
    }

    fn judged(&self) -> Verdict {
        judge(&self.lines, &TIME_BOUNDS, None)
    }
}

/// Guards against false accusations: many kinds of events occur, and none of them breaks a rule.
#[test]
fn what_is_in_order_is_no_fault() {
    let mut tale = Tale::new();
    for id in 0..40 {
        tale.served(id);
        tale.done(End::Served);
        tale.wait(SECOND / 20);
    }
    // A request is refused and never runs. A pure request runs at two backends, and the first answer arrives.
    tale.sent(100);
    tale.answered(100, 503, "");
    tale.see(Event::Sent { id: 101, kind: Some(2), tenant: Some(2), pure: true });
    tale.ran(101, 1);
    tale.ran(101, 2);
    tale.answered(101, 200, "i-1");
    // A backend is drained, and a request arrives just before the drain deadline.
    tale.see(Event::Drained { backend: 2 });
    tale.wait(TIME_BOUNDS.drain - 10_000);
    tale.see(Event::Sent { id: 102, kind: Some(0), tenant: None, pure: true });
    tale.arrived(102, 2);
    // A race with one winner, a rejected invalid change, and a change without a definite answer.
    tale.order(3, 1, true, Some(true));
    tale.order(4, 1, true, Some(false));
    tale.order(6, 3, false, Some(false));
    tale.order(7, 3, true, None);
    tale.wait(TIME_BOUNDS.apply + SECOND);
    tale.probed(3, 200);
    tale.probed(4, 404);
    tale.probed(7, 200);
    tale.probed(7, 404);
    tale.read(Some(7), true);
    let verdict = tale.judged();
    assert_eq!((verdict.total(), verdict.violations), (0, vec![]));
    assert!(verdict.worth.iter().all(|(owed, earned)| owed == earned));
}

fn runs_again(tale: &mut Tale) {
    tale.served(9);
    tale.ran(9, 1);
}

fn refused_then_run(tale: &mut Tale) {
    tale.sent(9);
    tale.answered(9, 429, "");
    tale.wait(SECOND);
    tale.ran(9, 1);
}

fn sealed_by_another(tale: &mut Tale) {
    tale.sent(9);
    tale.ran(9, 1);
    tale.answered(9, 200, "i-2");
}

fn success_that_never_ran(tale: &mut Tale) {
    tale.sent(9);
    tale.answered(9, 200, "i-1");
}

fn body_of_another(tale: &mut Tale) {
    tale.sent(9);
    tale.ran(9, 1);
    let seal = Some(seal("i-1", 9));
    tale.see(Event::Answered { id: 9, status: 200, seal, echoed: true, whole: false });
}

fn unknown_id(tale: &mut Tale) {
    tale.ran(9, 1);
}

fn other_tenant(tale: &mut Tale) {
    tale.sent(9);
    let (tenant, arrived) = (Some("albatross".into()), tale.now);
    tale.see(Event::Ran { id: Some(9), backend: 1, arrived, tenant, key: false, unchanged: true });
}

fn key_shown(tale: &mut Tale) {
    tale.sent(9);
    let (tenant, arrived) = (Some("cutter".into()), tale.now);
    tale.see(Event::Ran { id: Some(9), backend: 1, arrived, tenant, key: true, unchanged: true });
}

fn changed_on_the_way(tale: &mut Tale) {
    tale.sent(9);
    let (tenant, arrived) = (Some("cutter".into()), tale.now);
    tale.see(Event::Ran { id: Some(9), backend: 1, arrived, tenant, key: false, unchanged: false });
}

fn other_service(tale: &mut Tale) {
    tale.sent(9);
    tale.ran(9, 2);
    tale.answered(9, 200, "i-2");
}

fn turned_down(tale: &mut Tale) {
    tale.sent(9);
    tale.answered(9, 404, "");
}

fn drained(tale: &mut Tale) {
    tale.see(Event::Drained { backend: 1 });
    tale.wait(TIME_BOUNDS.drain + SECOND / 5);
    tale.served(9);
}

fn cut_by_a_restart(tale: &mut Tale) {
    tale.sent(9);
    tale.arrived(9, 1);
    tale.process(3, true, ProcessEvent::Told);
    tale.see(Event::Cut { id: 9 });
}

fn configuration_gone(tale: &mut Tale) {
    tale.order(3, 1, true, Some(true));
    tale.read(Some(1), true);
}

fn two_winners(tale: &mut Tale) {
    tale.order(3, 1, true, Some(true));
    tale.order(4, 1, true, Some(true));
}

fn invalid_taken(tale: &mut Tale) {
    tale.order(3, 1, false, Some(true));
}

fn no_winner(tale: &mut Tale) {
    tale.order(3, 1, true, Some(false));
}

fn loser_in_force(tale: &mut Tale) {
    tale.order(3, 1, true, Some(true));
    tale.order(4, 1, true, Some(false));
    tale.wait(TIME_BOUNDS.apply + SECOND);
    tale.probed(4, 200);
}

fn old_version_in_force(tale: &mut Tale) {
    tale.order(3, 1, true, Some(true));
    tale.wait(TIME_BOUNDS.apply + SECOND);
    tale.probed(3, 404);
}

fn read_back_changed(tale: &mut Tale) {
    tale.see(Event::Read { machine: 0, version: Some(1), same: false });
}

fn read_back_by_some_only(tale: &mut Tale) {
    tale.order(3, 1, true, Some(true));
    for (machine, version) in [(0, Some(3)), (1, None), (2, Some(3))] {
        tale.see(Event::Read { machine, version, same: true });
    }
}

fn many_further_tries(tale: &mut Tale) {
    for id in 0..70 {
        tale.see(Event::Sent { id, kind: Some(2), tenant: None, pure: true });
        tale.arrived(id, 1);
        tale.arrived(id, 1);
        tale.arrived(id, 1);
    }
}

fn beyond_the_quota(tale: &mut Tale) {
    for id in 0..219 {
        tale.sent(id);
        tale.ran(id, 1);
        tale.wait(SECOND / 100);
    }
}

fn service_that_stays_away(tale: &mut Tale) {
    (0..40).for_each(|_| tale.done(End::Served));
    tale.wait(SECOND);
    tale.process(3, true, ProcessEvent::Killed);
    tale.wait(SECOND);
    tale.process(3, true, ProcessEvent::Started);
    tale.wait(TIME_BOUNDS.recovery + SECOND);
    (0..40).for_each(|_| tale.done(End::Failed(None)));
}

fn process_gone(tale: &mut Tale) {
    tale.process(0, false, ProcessEvent::Wrong("ended by itself".into()));
}

#[yare::parameterized(
    twice = { runs_again, Rule::Twice },
    refused = { refused_then_run, Rule::Refused },
    mixed_seal = { sealed_by_another, Rule::Mixed },
    mixed_unrun = { success_that_never_ran, Rule::Mixed },
    mixed_body = { body_of_another, Rule::Mixed },
    unasked_id = { unknown_id, Rule::Unasked },
    unasked_tenant = { other_tenant, Rule::Unasked },
    unasked_key = { key_shown, Rule::Unasked },
    unasked_change = { changed_on_the_way, Rule::Unasked },
    route = { other_service, Rule::Route },
    denied = { turned_down, Rule::Denied },
    drain = { drained, Rule::Drain },
    lost_request = { cut_by_a_restart, Rule::Lost },
    lost_configuration = { configuration_gone, Rule::Lost },
    config_two = { two_winners, Rule::Config },
    config_invalid = { invalid_taken, Rule::Config },
    config_none = { no_winner, Rule::Config },
    config_loser = { loser_in_force, Rule::Config },
    config_old = { old_version_in_force, Rule::Config },
    config_changed = { read_back_changed, Rule::Config },
    config_silent = { read_back_by_some_only, Rule::Config },
    budget = { many_further_tries, Rule::Budget },
    quota = { beyond_the_quota, Rule::Quota },
    recover = { service_that_stays_away, Rule::Recover },
    ended = { process_gone, Rule::Ended },
)]
fn a_planted_fault_is_found_and_named(plant: fn(&mut Tale), rule: Rule) {
    let mut tale = Tale::new();
    plant(&mut tale);
    let verdict = tale.judged();
    assert_eq!(verdict.counts.into_iter().collect::<Vec<_>>(), [(rule, 1)], "{:?}", verdict.violations);
    assert_eq!((verdict.violations.len(), verdict.violations[0].rule), (1, rule));
}

/// Rules with a time bound apply only to undisturbed machines, and a kill is not counted as planned work.
#[yare::parameterized(
    drain = { drained, Rule::Drain },
    denied = { turned_down, Rule::Denied },
    old_version = { old_version_in_force, Rule::Config },
    cut = { cut_by_a_restart, Rule::Lost },
)]
fn who_is_out_of_touch_is_excused(plant: fn(&mut Tale), rule: Rule) {
    for core in [false, true] {
        let mut tale = Tale::new();
        let machine = if core { 0 } else { 3 };
        tale.see(Event::FaultBegan { fault: 0, text: "cut".into(), machines: vec![machine] });
        plant(&mut tale);
        assert_eq!(tale.judged().total(), 0, "{:?}", tale.judged().violations);
        // After the fault has ended and the contact time has passed, the same events are a violation.
        tale.see(Event::FaultEnded { fault: 0 });
        tale.wait(TIME_BOUNDS.contact);
        let mut again = Tale { lines: Vec::new(), now: tale.now };
        plant(&mut again);
        tale.lines
            .extend(again.lines.into_iter().filter(|line| !matches!(line.event, Event::Drained { .. })));
        assert!(tale.judged().counts.contains_key(&rule));
    }
}

#[test]
fn breaks_name_the_faults_in_force() {
    let mut tale = Tale::new();
    tale.see(Event::FaultBegan { fault: 0, text: "cut m4-m1".into(), machines: vec![3] });
    runs_again(&mut tale);
    assert_eq!(tale.judged().violations[0].faults, ["cut m4-m1"]);
}
