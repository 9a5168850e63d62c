//! Read-only answers for operators: status, configuration history, events and metrics.

use super::ControlPlane;
use crate::call::Reply;
use observability::MetricsPage;
use serde_json::json;

impl ControlPlane {
    /// The status of this process and of everything that it knows.
    pub(super) fn status(&self, now: u64) -> Reply {
        let (leader, epoch, fresh) = self.leader(now);
        let log = self.node.as_ref().map(|node| {
            let members: Vec<_> = node
                .members()
                .iter()
                .map(|m| json!({ "address": m.address, "birth": m.incarnation }))
                .collect();
            json!({ "leads": node.is_leader(), "holds_lease": node.holds_lease(now), "commit": node.commit(),
                "birth": node.me().incarnation, "voter": node.is_voter(), "members": members,
                "standing": self.quorum_status(now) })
        });
        let lines: Vec<_> = self
            .peers
            .values()
            .filter_map(|p| Some((p, p.hello.as_ref()?)))
            .map(|(p, hello)| {
                json!({ "name": hello.name, "plane": format!("{:?}", hello.plane), "address": hello.address,
                "follows": p.is_subscriber, "silent_ms": now.saturating_sub(p.last_received_at) })
            })
            .collect();
        let control_planes: Vec<_> = self
            .control_plane_addresses()
            .into_iter()
            .map(|control_plane| {
                let is_reached =
                    |address| address == self.settings.address || self.line_to(&address).is_some();
                let reached = control_plane.address.parse().is_ok_and(is_reached);
                json!({ "address": control_plane.address, "zone": control_plane.zone, "reached": reached })
            })
            .collect();
        let backends: Vec<_> = self
            .register
            .active(now)
            .into_iter()
            .map(|b| {
                json!({ "id": b.id, "service": b.service, "address": b.address, "zone": b.zone,
                "phase": format!("{:?}", b.phase), "overdue": b.overdue, "capacity": b.capacity })
            })
            .collect();
        let counts: Vec<_> = self
            .quota_service
            .holder()
            .iter()
            .flat_map(|holder| holder.stats())
            .map(|c| json!({ "tenant": c.tenant, "window": c.window, "granted": c.granted, "left": c.remaining }))
            .collect();
        let data_planes: Vec<_> = self.fleet.names().collect();
        let watch = self.neighbor_watch.as_ref().map(|neighbor_watch| {
            let detector_status = neighbor_watch.status();
            let watched = detector_status.watched.into_iter();
            let watched: Vec<_> = watched
                .map(|(name, silent, doubted)| json!({ "name": name, "silent_ms": silent, "doubted": doubted }))
                .collect();
            json!({ "isolated": detector_status.isolated, "here": detector_status.alive_count, "watched": watched })
        });
        let status = json!({ "name": self.settings.me.name, "zone": self.settings.me.zone, "up_ms": now, "frames": self.messages_received,
            "leader": leader.map(|l| l.to_string()), "epoch": epoch, "fresh": fresh,
            "version": format!("r{}", self.config_history.version()), "log": log, "control_planes": control_planes, "lines": lines,
            "data_planes": data_planes, "backends": backends, "counts": counts, "holders": self.assignment.holders,
            "assignment": self.assignment.epoch.number, "watch": watch });
        Reply { status: 200, body: status.to_string().into_bytes() }
    }

    /// The latest accepted versions, with their positions in the log.
    pub(super) fn history(&self, now: u64) -> Reply {
        let versions: Vec<_> = self
            .config_history
            .history()
            .map(|(version, digest, at)| {
                let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
                let kept = self.config_history.body_of(version).is_some();
                json!({ "version": format!("r{version}"), "digest": digest, "epoch": at.epoch, "index": at.index,
                    "body_kept": kept })
            })
            .collect();
        let (leader, _, fresh) = self.leader(now);
        let body = json!({ "leader": leader.map(|l| l.to_string()), "fresh": fresh, "versions": versions });
        Reply { status: 200, body: body.to_string().into_bytes() }
    }

    /// The configuration of one of the latest versions.
    pub(super) fn version_body(&self, version: u64) -> Reply {
        match self.config_history.body_of(version) {
            Some(body) => Reply { status: 200, body: body.to_vec() },
            None => Reply::error(404, &format!("r{version} is not kept here")),
        }
    }

    /// The events of one subject, or all events.
    pub(super) fn events(&self, now: u64, about: Option<&str>) -> Reply {
        // A control plane may be given by its name or by its address.
        let me = (&self.settings.me.name, self.settings.address.to_string());
        let others =
            self.peers.values().filter_map(|p| p.hello.as_ref()).map(|h| (&h.name, h.address.clone()));
        let names: Vec<_> = others
            .chain([me])
            .filter(|(name, address)| about == Some(name.as_str()) || about == Some(address))
            .flat_map(|(name, address)| [name.clone(), address])
            .collect();
        let is_wanted = |subject: &str| match about {
            Some(about) => subject == about || names.iter().any(|name| name == subject),
            None => true,
        };
        let body = json!({ "name": self.settings.me.name, "events": self.event_log.events_about(now, is_wanted),
            "dropped": self.event_log.dropped_events() });
        Reply { status: 200, body: body.to_string().into_bytes() }
    }

    /// Metrics in the Prometheus text format.
    pub(super) fn metrics(&self, now: u64) -> Reply {
        let mut page = MetricsPage::new("control-plane", now);
        let (leader, epoch, fresh) = self.leader(now);
        let flag = |set: bool| f64::from(u8::from(set));
        page.gauge("leader_known", "1 while this process knows a leader", flag(leader.is_some()));
        page.gauge("fresh", "1 while what this process tells is of this moment", flag(fresh));
        page.gauge("epoch", "Term of the leader, as known here", epoch as f64);
        page.gauge("config_version", "Version in force here", self.config_history.version() as f64);
        if let Some(node) = &self.node {
            page.gauge("leads", "1 while this process leads", flag(node.is_leader()));
            page.gauge("holds_lease", "1 while this process holds the counts", flag(node.holds_lease(now)));
            page.gauge(
                "holders",
                "Processes that hold counts, as known here",
                self.assignment.holders.len() as f64,
            );
            page.gauge("voter", "1 while this process votes", flag(node.is_voter()));
            page.gauge("voters", "Voters of the log", node.members().len() as f64);
            self.quorum_metrics(&mut page, now);
            page.gauge("log_commit", "Last entry of the log that is decided", node.commit() as f64);
        }
        let row = |label: &'static str, value: &str| vec![(label, value.to_owned())];
        let control_planes =
            self.other_control_planes().into_iter().map(|address| self.line_to(&address).is_some());
        let control_planes =
            control_planes.map(|reached| (row("reached", if reached { "yes" } else { "no" }), 1.0));
        page.gauges(
            "control_planes",
            "Other processes that serve control, by whether they are reached",
            control_planes,
        );
        let follows = self.peers.values().filter(|p| p.is_subscriber).count();
        page.gauge("followers", "Processes that follow the news here", follows as f64);
        page.gauge("data_planes", "Data planes that count", f64::from(self.fleet.size()));
        let backends = self.register.active(now).into_iter().map(|b| {
            let phase = if b.overdue { "overdue" } else { phase(b.phase) };
            (vec![("service", b.service), ("phase", phase.to_owned())], 1.0)
        });
        page.gauges("backends", "Backends by service and phase", backends);
        let counters = &self.event_log.counters;
        let calls = counters.calls.iter().map(|(kind, calls)| (row("call", kind), *calls));
        page.counters("calls", "Calls on the control socket", calls);
        let changes = counters.changes.iter().map(|(outcome, changes)| (row("outcome", outcome), *changes));
        page.counters("changes", "Configurations judged here", changes);
        page.counter("leader_changes", "Times that another leader was known here", counters.leader_changes);
        let (acknowledged, refused) = counters.drain_replies;
        let drain_calls =
            [(row("outcome", "acknowledged"), acknowledged), (row("outcome", "refused"), refused)];
        page.counters("leavings", "Calls of backends that leave, by the answer", drain_calls);
        let draws = [
            (row("outcome", "answered"), counters.lease_requests.0),
            (row("outcome", "not_holder"), counters.lease_requests.1),
        ];
        page.counters("draws", "Draws of data planes on the counts", draws);
        page.gauge(
            "calls_waiting",
            "Calls that wait for a leader or its word",
            self.pending_calls.len() as f64,
        );
        page.counter("events_dropped", "Records that made room for others", self.event_log.dropped_events());
        Reply { status: 200, body: page.text().into_bytes() }
    }
}

fn phase(phase: protocol::Phase) -> &'static str {
    match phase {
        protocol::Phase::Serving => "serving",
        protocol::Phase::Draining => "draining",
        protocol::Phase::Gone => "gone",
    }
}
