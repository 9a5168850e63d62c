//! Voter membership: which processes could vote, and which losses the current voters tolerate.

use super::*;
use crate::tolerance::Losses;
use observability::MetricsPage;
use raft::{MembershipStatus, RetirementPolicy};
use serde_json::{Value, json};

/// A process without a message for this long, in milliseconds, is not proposed as a voter.
const CANDIDATE_TIMEOUT_MS: u64 = 2500;

impl ControlPlane {
    /// Sets the policy by which the Raft node removes silent voters. On the leader, also proposes all connected
    /// processes that keep a Raft log but are not voters; the Raft node expects each proposal to be repeated until the
    /// process is a voter.
    pub(super) fn maintain_voters(&mut self, now: u64) {
        let silence = self.settings.retire_after_ms;
        let Some(node) = &self.node else { return };
        let min_voter_count = self.settings.tolerance.min_voters(&self.zones_of(node.members()));
        let missing: Vec<_> = if node.is_leader() {
            self.voter_candidates(now).into_iter().filter(|voter| !node.members().contains(voter)).collect()
        } else {
            Vec::new()
        };
        if let Some(node) = &mut self.node {
            node.set_retirement_policy(RetirementPolicy {
                silence_timeout: silence,
                min_voters: min_voter_count,
            });
        }
        for voter in missing {
            self.step_raft(Input::AddVoter(voter));
        }
    }

    /// Another control plane is shutting down. If that control plane is a voter, the leader may remove it from
    /// the voter list: a list of even size tolerates more further losses without the stopped voter than with it.
    pub(super) fn on_control_plane_shutdown(&mut self, connection: u64, hello: &Hello) {
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.is_shutting_down = true;
        }
        if let Some(incarnation) = hello.voter_incarnation.filter(|_| hello.quorum) {
            self.step_raft(Input::VoterShuttingDown(VoterId { address: hello.address.clone(), incarnation }));
        }
    }

    /// The connected processes that store the Raft log. Processes without a recent message are left out: such processes
    /// may be gone, and would occupy some of the limited number of learners.
    fn voter_candidates(&self, now: u64) -> BTreeSet<VoterId> {
        let connected = self
            .peers
            .values()
            .filter(|peer| !peer.is_shutting_down && now < peer.last_received_at + CANDIDATE_TIMEOUT_MS);
        let hellos = connected.filter_map(|peer| peer.hello.as_ref());
        let hellos = hellos.filter(|hello| hello.plane == Plane::ControlPlane && hello.quorum);
        hellos
            .filter_map(|hello| Some((hello.address.parse::<SocketAddr>().ok()?, hello.voter_incarnation?)))
            .filter(|(address, _)| *address != self.settings.address)
            .map(|(address, incarnation)| VoterId { address: address.to_string(), incarnation })
            .collect()
    }

    /// The zones of these voters. A voter whose zone is unknown counts as the only voter in its zone.
    fn zones_of<'a>(&'a self, voters: &'a [VoterId]) -> Vec<&'a str> {
        let zone = |voter: &'a VoterId| match voter.address.parse() {
            Ok(address) if address == self.settings.address => self.settings.me.zone.as_str(),
            Ok(address) => self.directory.zone(&address).unwrap_or(voter.address.as_str()),
            Err(_) => voter.address.as_str(),
        };
        voters.iter().map(zone).collect()
    }

    fn tolerated_losses(&self, membership: &MembershipStatus) -> Losses {
        let tolerated =
            self.settings.tolerance.tolerated(membership.voters, &self.zones_of(&membership.healthy));
        Losses { machines: tolerated.machines.min(membership.further_losses), ..tolerated }
    }

    /// Health of the voter list as the leader knows it; `null` on any other process.
    pub(super) fn quorum_status(&self, now: u64) -> Value {
        let Some(membership) = self.node.as_ref().and_then(|node| node.membership_status(now)) else {
            return Value::Null;
        };
        let to_json = |losses: &Losses| json!({ "machines": losses.machines, "zones": losses.zones, "regions": losses.regions });
        let unheard: Vec<_> = membership.unresponsive.iter().map(|voter| voter.address.as_str()).collect();
        let learners: Vec<_> = membership
            .learners
            .iter()
            .map(|learner| json!({ "address": learner.id.address, "caught_up": learner.caught_up }))
            .collect();
        json!({ "voters": membership.voters, "counted": membership.healthy.len(), "unheard": unheard,
            "learners": learners, "further_losses": to_json(&self.tolerated_losses(&membership)),
            "tolerated": to_json(&self.settings.tolerance.losses) })
    }

    pub(super) fn quorum_metrics(&self, page: &mut MetricsPage, now: u64) {
        let Some(membership) = self.node.as_ref().and_then(|node| node.membership_status(now)) else {
            return;
        };
        let rows = |losses: Losses| {
            let kinds = [("machine", losses.machines), ("zone", losses.zones), ("region", losses.regions)];
            kinds.map(|(kind, count)| (vec![("of", kind.to_owned())], count as f64))
        };
        let help = "How many more may be lost at once while a majority of the voters is left, at the leader";
        page.gauges("further_losses", help, rows(self.tolerated_losses(&membership)));
        let help = "How many the settings want to be borne";
        page.gauges("tolerated_losses", help, rows(self.settings.tolerance.losses));
        let help = "Voters that have not answered the leader within an election";
        page.gauge("voters_unheard", help, membership.unresponsive.len() as f64);
        let help = "Processes that receive the log to become voters";
        page.gauge("learners", help, membership.learners.len() as f64);
    }
}
