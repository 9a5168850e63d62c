//! Checks each rule of the judge against handmade histories: a planted violation is found and attributed to its rule,
//! and a correct history has no violations.

use testbed::demo::TIME_BOUNDS;
use testbed::history::{End, Event, ProcessEvent, Record};
use testbed::judge::{Rule, Verdict, judge, seal};

const SECOND: u64 = 1_000_000;

/// A history under construction; each record advances the clock by one millisecond.
#[derive(Default)]
struct HistoryBuilder {
    lines: Vec<Record>,
    now: u64,
}

impl HistoryBuilder {
    /// Starts a history with a backend of `customs` (1), one of `chandler` (2), and a first configuration.
    fn new() -> Self {
        let mut history = Self::default();
        for (backend, service) in [(1, "customs"), (2, "chandler")] {
            history.add_event(Event::BackendStarted {
                backend,
                id: format!("i-{backend}"),
                service: service.into(),
            });
        }
        history.change(1, 0, true, Some(true));
        history
    }

    fn add_event(&mut self, event: Event) {
        self.now += 1000;
        self.lines.push(Record { at: self.now, event });
    }

    fn wait(&mut self, us: u64) {
        self.now += us;
    }

    /// Sends an effectful request of the third tenant for `customs`.
    fn sent(&mut self, id: u64) {
        self.add_event(Event::Sent { id, kind: Some(3), tenant: Some(2), pure: false });
        self.add_event(Event::Connected { id, machine: 3 });
    }

    fn arrived(&mut self, id: u64, backend: u32) {
        self.add_event(Event::Arrived { id: Some(id), backend, machine: Some(3) });
    }

    fn ran(&mut self, id: u64, backend: u32) {
        self.arrived(id, backend);
        let (tenant, arrived) = (Some("cutter".into()), self.now);
        self.add_event(Event::Ran { id: Some(id), backend, arrived, tenant, key: false, unchanged: true });
    }

    fn answered(&mut self, id: u64, status: u16, by: &str) {
        let seal = (status == 200).then(|| seal(by, id));
        self.add_event(Event::Answered { id, status, seal, echoed: true, whole: true });
    }

    fn served(&mut self, id: u64) {
        self.sent(id);
        self.ran(id, 1);
        self.answered(id, 200, "i-1");
    }

    fn done(&mut self, end: End) {
        let due = self.now;
        self.add_event(Event::Done { kind: 3, owed: true, due, end, tries: 1 });
    }

    fn process(&mut self, machine: usize, data_plane: bool, process_event: ProcessEvent) {
        self.add_event(Event::Process { machine, data_plane, process_event });
    }

    /// Sends a change that is acknowledged (`Some(true)`), rejected (`Some(false)`) or not answered (`None`).
    fn change(&mut self, version: u64, base: u64, valid: bool, acknowledged: Option<bool>) {
        self.add_event(Event::ChangeSent { version, base, valid, routes: vec![version] });
        match acknowledged {
            Some(true) => self.add_event(Event::Acked { version }),
            Some(false) => self.add_event(Event::ChangeRejected { version, status: 412 }),
            None => {}
        }
    }

    fn probed(&mut self, version: u64, status: u16) {
        let sent = self.now;
        self.add_event(Event::Probed { version, machine: 3, sent, status });
    }

    fn read(&mut self, version: Option<u64>, same: bool) {
        for machine in 0..3 {
            self.add_event(Event::Read { machine, version, same });
        }
    }

    fn evaluate(&self) -> Verdict {
        judge(&self.lines, &TIME_BOUNDS, None)
    }
}

/// Guards against false accusations: many kinds of events occur, and none of them breaks a rule.
#[test]
fn correct_history_has_no_violations() {
    let mut history = HistoryBuilder::new();
    for id in 0..40 {
        history.served(id);
        history.done(End::Served);
        history.wait(SECOND / 20);
    }
    // A request is refused and never runs. A pure request runs at two backends, and the first answer arrives.
    history.sent(100);
    history.answered(100, 503, "");
    history.add_event(Event::Sent { id: 101, kind: Some(2), tenant: Some(2), pure: true });
    history.ran(101, 1);
    history.ran(101, 2);
    history.answered(101, 200, "i-1");
    // A backend is drained, and a request arrives just before the drain deadline.
    history.add_event(Event::Drained { backend: 2 });
    history.wait(TIME_BOUNDS.drain - 10_000);
    history.add_event(Event::Sent { id: 102, kind: Some(0), tenant: None, pure: true });
    history.arrived(102, 2);
    // A race with one winner, a rejected invalid change, and a change without a definite answer.
    history.change(3, 1, true, Some(true));
    history.change(4, 1, true, Some(false));
    history.change(6, 3, false, Some(false));
    history.change(7, 3, true, None);
    history.wait(TIME_BOUNDS.apply + SECOND);
    history.probed(3, 200);
    history.probed(4, 404);
    history.probed(7, 200);
    history.probed(7, 404);
    history.read(Some(7), true);
    let verdict = history.evaluate();
    assert_eq!((verdict.total(), verdict.violations), (0, vec![]));
    assert!(verdict.worth.iter().all(|(owed, earned)| owed == earned));
}

fn effectful_request_runs_twice(history: &mut HistoryBuilder) {
    history.served(9);
    history.ran(9, 1);
}

fn refused_then_run(history: &mut HistoryBuilder) {
    history.sent(9);
    history.answered(9, 429, "");
    history.wait(SECOND);
    history.ran(9, 1);
}

fn answer_sealed_by_another_backend(history: &mut HistoryBuilder) {
    history.sent(9);
    history.ran(9, 1);
    history.answered(9, 200, "i-2");
}

fn success_that_never_ran(history: &mut HistoryBuilder) {
    history.sent(9);
    history.answered(9, 200, "i-1");
}

fn answer_with_another_body(history: &mut HistoryBuilder) {
    history.sent(9);
    history.ran(9, 1);
    let seal = Some(seal("i-1", 9));
    history.add_event(Event::Answered { id: 9, status: 200, seal, echoed: true, whole: false });
}

fn unknown_id(history: &mut HistoryBuilder) {
    history.ran(9, 1);
}

fn other_tenant(history: &mut HistoryBuilder) {
    history.sent(9);
    let (tenant, arrived) = (Some("albatross".into()), history.now);
    history.add_event(Event::Ran { id: Some(9), backend: 1, arrived, tenant, key: false, unchanged: true });
}

fn key_forwarded(history: &mut HistoryBuilder) {
    history.sent(9);
    let (tenant, arrived) = (Some("cutter".into()), history.now);
    history.add_event(Event::Ran { id: Some(9), backend: 1, arrived, tenant, key: true, unchanged: true });
}

fn request_altered(history: &mut HistoryBuilder) {
    history.sent(9);
    let (tenant, arrived) = (Some("cutter".into()), history.now);
    history.add_event(Event::Ran { id: Some(9), backend: 1, arrived, tenant, key: false, unchanged: false });
}

fn runs_at_another_service(history: &mut HistoryBuilder) {
    history.sent(9);
    history.ran(9, 2);
    history.answered(9, 200, "i-2");
}

fn valid_request_denied(history: &mut HistoryBuilder) {
    history.sent(9);
    history.answered(9, 404, "");
}

fn request_after_drain(history: &mut HistoryBuilder) {
    history.add_event(Event::Drained { backend: 1 });
    history.wait(TIME_BOUNDS.drain + SECOND / 5);
    history.served(9);
}

fn request_cut_by_restart(history: &mut HistoryBuilder) {
    history.sent(9);
    history.arrived(9, 1);
    history.process(3, true, ProcessEvent::Told);
    history.add_event(Event::Cut { id: 9 });
}

fn acknowledged_configuration_lost(history: &mut HistoryBuilder) {
    history.change(3, 1, true, Some(true));
    history.read(Some(1), true);
}

fn two_changes_win(history: &mut HistoryBuilder) {
    history.change(3, 1, true, Some(true));
    history.change(4, 1, true, Some(true));
}

fn invalid_change_acknowledged(history: &mut HistoryBuilder) {
    history.change(3, 1, false, Some(true));
}

fn valid_change_rejected(history: &mut HistoryBuilder) {
    history.change(3, 1, true, Some(false));
}

fn rejected_change_in_force(history: &mut HistoryBuilder) {
    history.change(3, 1, true, Some(true));
    history.change(4, 1, true, Some(false));
    history.wait(TIME_BOUNDS.apply + SECOND);
    history.probed(4, 200);
}

fn old_version_in_force(history: &mut HistoryBuilder) {
    history.change(3, 1, true, Some(true));
    history.wait(TIME_BOUNDS.apply + SECOND);
    history.probed(3, 404);
}

fn read_back_altered(history: &mut HistoryBuilder) {
    history.add_event(Event::Read { machine: 0, version: Some(1), same: false });
}

fn read_back_by_some_only(history: &mut HistoryBuilder) {
    history.change(3, 1, true, Some(true));
    for (machine, version) in [(0, Some(3)), (1, None), (2, Some(3))] {
        history.add_event(Event::Read { machine, version, same: true });
    }
}

fn too_many_retries(history: &mut HistoryBuilder) {
    for id in 0..70 {
        history.add_event(Event::Sent { id, kind: Some(2), tenant: None, pure: true });
        history.arrived(id, 1);
        history.arrived(id, 1);
        history.arrived(id, 1);
    }
}

fn quota_exceeded(history: &mut HistoryBuilder) {
    for id in 0..219 {
        history.sent(id);
        history.ran(id, 1);
        history.wait(SECOND / 100);
    }
}

fn service_does_not_recover(history: &mut HistoryBuilder) {
    (0..40).for_each(|_| history.done(End::Served));
    history.wait(SECOND);
    history.process(3, true, ProcessEvent::Killed);
    history.wait(SECOND);
    history.process(3, true, ProcessEvent::Started);
    history.wait(TIME_BOUNDS.recovery + SECOND);
    (0..40).for_each(|_| history.done(End::Failed(None)));
}

fn process_exited(history: &mut HistoryBuilder) {
    history.process(0, false, ProcessEvent::Wrong("ended by itself".into()));
}

#[yare::parameterized(
    twice = { effectful_request_runs_twice, Rule::Twice },
    refused = { refused_then_run, Rule::Refused },
    mixed_seal = { answer_sealed_by_another_backend, Rule::Mixed },
    mixed_unrun = { success_that_never_ran, Rule::Mixed },
    mixed_body = { answer_with_another_body, Rule::Mixed },
    unasked_id = { unknown_id, Rule::Unasked },
    unasked_tenant = { other_tenant, Rule::Unasked },
    unasked_key = { key_forwarded, Rule::Unasked },
    unasked_change = { request_altered, Rule::Unasked },
    route = { runs_at_another_service, Rule::Route },
    denied = { valid_request_denied, Rule::Denied },
    drain = { request_after_drain, Rule::Drain },
    lost_request = { request_cut_by_restart, Rule::Lost },
    lost_configuration = { acknowledged_configuration_lost, Rule::Lost },
    config_two = { two_changes_win, Rule::Config },
    config_invalid = { invalid_change_acknowledged, Rule::Config },
    config_none = { valid_change_rejected, Rule::Config },
    config_loser = { rejected_change_in_force, Rule::Config },
    config_old = { old_version_in_force, Rule::Config },
    config_changed = { read_back_altered, Rule::Config },
    config_silent = { read_back_by_some_only, Rule::Config },
    budget = { too_many_retries, Rule::Budget },
    quota = { quota_exceeded, Rule::Quota },
    recover = { service_does_not_recover, Rule::Recover },
    ended = { process_exited, Rule::Ended },
)]
fn planted_violation_is_attributed_to_its_rule(add_violation: fn(&mut HistoryBuilder), rule: Rule) {
    let mut history = HistoryBuilder::new();
    add_violation(&mut history);
    let verdict = history.evaluate();
    assert_eq!(verdict.counts.into_iter().collect::<Vec<_>>(), [(rule, 1)], "{:?}", verdict.violations);
    assert_eq!((verdict.violations.len(), verdict.violations[0].rule), (1, rule));
}

/// Rules with a time bound apply only to undisturbed machines, and a kill is not counted as planned work.
#[yare::parameterized(
    drain = { request_after_drain, Rule::Drain },
    denied = { valid_request_denied, Rule::Denied },
    old_version = { old_version_in_force, Rule::Config },
    cut = { request_cut_by_restart, Rule::Lost },
)]
fn disturbed_machines_are_excused(add_violation: fn(&mut HistoryBuilder), rule: Rule) {
    for core in [false, true] {
        let mut history = HistoryBuilder::new();
        let machine = if core { 0 } else { 3 };
        history.add_event(Event::FaultBegan { fault: 0, text: "cut".into(), machines: vec![machine] });
        add_violation(&mut history);
        assert_eq!(history.evaluate().total(), 0, "{:?}", history.evaluate().violations);
        // After the fault has ended and the contact time has passed, the same events are a violation.
        history.add_event(Event::FaultEnded { fault: 0 });
        history.wait(TIME_BOUNDS.contact);
        let mut second = HistoryBuilder { lines: Vec::new(), now: history.now };
        add_violation(&mut second);
        history
            .lines
            .extend(second.lines.into_iter().filter(|line| !matches!(line.event, Event::Drained { .. })));
        assert!(history.evaluate().counts.contains_key(&rule));
    }
}

#[test]
fn violations_name_the_active_faults() {
    let mut history = HistoryBuilder::new();
    history.add_event(Event::FaultBegan { fault: 0, text: "cut m4-m1".into(), machines: vec![3] });
    effectful_request_runs_twice(&mut history);
    assert_eq!(history.evaluate().violations[0].faults, ["cut m4-m1"]);
}
