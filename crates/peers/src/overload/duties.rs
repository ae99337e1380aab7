//! Assigns per-server duties to members: polling a server for its load, and probing a server that was
//! ejected. Rendezvous hashing over the alive members chooses a few members for each server. So the work
//! per server does not grow with the cluster, and the members need no messages to agree on the assignment.
//!
//! An assigned member may be unable to do its duty: its list may lack the server, its link to the server
//! may be cut, or its process may hang. If there was no load report of a server for [`TAKEOVER_AFTER`], the
//! members next in rank poll it as well. If there was no result of an ejection probe for that long, the
//! turn to probe passes to the next member in rank. This also covers a member that has not ejected the
//! server itself.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::api::{Fact, FactKind, KnownServer, LoadReport, MemberId, Millis, ServerKey};
use crate::rendezvous;

/// How many members poll a server for its load. There are two, so that the failure of one leaves no gap.
pub const POLLERS_PER_SERVER: usize = 2;

/// How many members are ranked for a server. This limits which members poll a server that sends no load
/// reports.
const RANKED_MEMBERS: usize = 8;

/// How long a server may go without a load report, or an ejected server without the result of an ejection
/// probe, before members of lower rank take over.
pub const TAKEOVER_AFTER: Millis = 3_000;

/// What this member knows about a server.
#[derive(Debug)]
struct Server {
    /// The members with the highest rendezvous weights for the server, the highest first.
    ranked: Vec<MemberId>,
    /// When the last load report was received, or when the wait for one started again.
    last_report: Millis,
    /// When the last result of an ejection probe was received, or when the wait for one started again.
    last_probe: Millis,
    /// Whether this member has ejected the server.
    ejected: bool,
}

/// The duties of one member.
#[derive(Debug, Default)]
pub struct Duties {
    servers: BTreeMap<ServerKey, Server>,
    /// The alive members, sorted by id.
    alive: Vec<MemberId>,
    /// This member. `None` until [`Duties::set_alive`] is called for the first time.
    me: Option<MemberId>,
}

impl Duties {
    /// Replaces the set of known servers. The wait for a probe result starts when a server becomes ejected.
    pub fn set_servers(&mut self, now: Millis, servers: &[KnownServer]) {
        let keys: BTreeSet<ServerKey> = servers.iter().map(|known| known.server).collect();
        self.servers.retain(|key, _| keys.contains(key));
        for known in servers {
            let server = self.servers.entry(known.server).or_insert_with(|| Server {
                ranked: rendezvous::owners(known.server.0, &self.alive, RANKED_MEMBERS),
                last_report: now,
                last_probe: now,
                ejected: false,
            });
            if known.ejected && !server.ejected {
                server.last_probe = now;
            }
            server.ejected = known.ejected;
        }
    }

    /// Sets the alive members, which must include this one. A server is ranked over all members only if one
    /// of its ranked members is gone. Otherwise its ranked members are compared with the new members alone.
    pub fn set_alive(&mut self, now: Millis, me: MemberId, mut alive: Vec<MemberId>) {
        self.me = Some(me);
        alive.sort_unstable();
        alive.dedup();
        if alive == self.alive {
            return;
        }
        let gone = |member: &MemberId| alive.binary_search(member).is_err();
        let new: Vec<MemberId> =
            alive.iter().copied().filter(|member| self.alive.binary_search(member).is_err()).collect();
        for (key, server) in &mut self.servers {
            let first = server.ranked.first().copied();
            if server.ranked.iter().any(gone) {
                server.ranked = rendezvous::owners(key.0, &alive, RANKED_MEMBERS);
            } else {
                server.ranked.extend(&new);
                server.ranked = rendezvous::owners(key.0, &server.ranked, RANKED_MEMBERS);
            }
            if server.ranked.first().copied() != first {
                // The new first member gets the full time before others take over.
                (server.last_report, server.last_probe) =
                    (server.last_report.max(now), server.last_probe.max(now));
            }
        }
        self.alive = alive;
    }

    /// Returns the alive members, sorted by id.
    pub fn alive_members(&self) -> &[MemberId] {
        &self.alive
    }

    /// Returns the servers that this member is to poll for their load at the moment.
    pub fn load_polls(&self, now: Millis) -> Vec<ServerKey> {
        self.servers.iter().filter(|(_, server)| self.is_poller(now, server)).map(|(&key, _)| key).collect()
    }

    /// Returns the ejected servers that this member is to probe at the moment.
    pub fn ejection_probes(&self, now: Millis) -> Vec<ServerKey> {
        let assigned = self.servers.iter().filter(|(_, server)| {
            let turn = (now.saturating_sub(server.last_probe) / TAKEOVER_AFTER) as usize;
            // When the turns of all ranked members have passed without a result, probably none of them has
            // ejected the server. Then every member that has ejected it probes it.
            server.ejected && (turn >= server.ranked.len() || server.ranked.get(turn).copied() == self.me)
        });
        assigned.map(|(&key, _)| key).collect()
    }

    /// Records a load report that a server sent to this member. Returns the fact for the other members if
    /// this member was assigned to poll the server.
    pub fn record_load_report(&mut self, now: Millis, key: ServerKey, report: LoadReport) -> Option<Fact> {
        let server = self.servers.get(&key)?;
        let assigned = self.is_poller(now, server);
        self.servers.get_mut(&key)?.last_report = now;
        let body = postcard::to_allocvec(&sanitized(report)).ok()?;
        assigned.then_some(Fact { kind: FactKind::LOAD_REPORT, key: key.0, body })
    }

    /// Records that an ejection probe by this member has ended. Returns the fact for the other members.
    pub fn record_ejection_probe(&mut self, now: Millis, key: ServerKey, succeeded: bool) -> Option<Fact> {
        self.servers.get_mut(&key)?.last_probe = now;
        let body = postcard::to_allocvec(&ProbeResult { succeeded }).ok()?;
        Some(Fact { kind: FactKind::EJECTION_PROBE, key: key.0, body })
    }

    /// Records a load report or the result of an ejection probe that another member published. Ignores
    /// other facts.
    pub fn record_gossip(&mut self, at: Millis, fact: &Fact) {
        let Some(server) = self.servers.get_mut(&ServerKey(fact.key)) else { return };
        if decode_load_report(fact).is_some() {
            server.last_report = server.last_report.max(at);
        } else if decode_ejection_probe(fact).is_some() {
            server.last_probe = server.last_probe.max(at);
        }
    }

    /// Returns whether this member is to poll the server at the moment.
    fn is_poller(&self, now: Millis, server: &Server) -> bool {
        let Some(rank) = server.ranked.iter().position(|&member| Some(member) == self.me) else {
            return false;
        };
        let turn = (now.saturating_sub(server.last_report) / TAKEOVER_AFTER) as usize;
        // The remaining ranked members take turns in groups of POLLERS_PER_SERVER. So at most twice as many
        // members poll a server as intended.
        let backup_groups = (RANKED_MEMBERS / POLLERS_PER_SERVER - 1).max(1);
        rank < POLLERS_PER_SERVER || turn > 0 && rank / POLLERS_PER_SERVER == 1 + (turn - 1) % backup_groups
    }
}

/// The body of an `EJECTION_PROBE` fact.
#[derive(Serialize, Deserialize)]
struct ProbeResult {
    succeeded: bool,
}

/// Decodes a `LOAD_REPORT` fact. Returns `None` if the fact is of another kind or malformed. Values that no
/// server can have are removed or limited.
pub fn decode_load_report(fact: &Fact) -> Option<LoadReport> {
    if fact.kind != FactKind::LOAD_REPORT {
        return None;
    }
    let (report, rest) = postcard::take_from_bytes(&fact.body).ok()?;
    rest.is_empty().then(|| sanitized(report))
}

/// Decodes an `EJECTION_PROBE` fact and returns whether the server answered the probe. Returns `None` if
/// the fact is of another kind or malformed.
pub fn decode_ejection_probe(fact: &Fact) -> Option<bool> {
    if fact.kind != FactKind::EJECTION_PROBE {
        return None;
    }
    let (ProbeResult { succeeded }, rest) = postcard::take_from_bytes(&fact.body).ok()?;
    rest.is_empty().then_some(succeeded)
}

/// Removes values that are negative or not finite from a load report, and limits the utilisation to 1.
fn sanitized(report: LoadReport) -> LoadReport {
    let valid = |value: Option<f32>| value.filter(|value| value.is_finite() && *value >= 0.0);
    LoadReport {
        in_flight: valid(report.in_flight),
        utilisation: valid(report.utilisation).map(|utilisation| utilisation.min(1.0)),
        served_per_s: valid(report.served_per_s),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cluster(members: u16, servers: u64) -> (Vec<Duties>, Vec<MemberId>) {
        let alive: Vec<MemberId> = (0..members).map(MemberId).collect();
        let known: Vec<KnownServer> = (0..servers).map(|key| known_server(key, false)).collect();
        let duties = alive.iter().map(|&me| {
            let mut duties = Duties::default();
            duties.set_alive(0, me, alive.clone());
            duties.set_servers(0, &known);
            duties
        });
        (duties.collect(), alive)
    }

    fn known_server(key: u64, ejected: bool) -> KnownServer {
        let server = ServerKey(key);
        KnownServer { server, started: None, slow_start_requests: 0.0, slow_start_window: 1_000, ejected }
    }

    /// Returns the members that poll each server.
    fn pollers(duties: &[Duties], now: Millis) -> BTreeMap<ServerKey, Vec<usize>> {
        let mut pollers: BTreeMap<ServerKey, Vec<usize>> = BTreeMap::new();
        for (member, duties) in duties.iter().enumerate() {
            duties.load_polls(now).into_iter().for_each(|key| pollers.entry(key).or_default().push(member));
        }
        pollers
    }

    #[test]
    fn each_server_has_two_pollers_in_any_cluster_and_a_lost_one_is_replaced() {
        for members in [3_u16, 20, 300] {
            let (mut duties, alive) = cluster(members, 60);
            let before = pollers(&duties, 1_000);
            assert!(before.len() == 60 && before.values().all(|by| by.len() == POLLERS_PER_SERVER));
            let rest: Vec<MemberId> = alive.iter().copied().filter(|member| member.0 != 1).collect();
            for (member, duties) in duties.iter_mut().enumerate() {
                duties.set_alive(1_000, MemberId(member as u16), rest.clone());
            }
            duties[1] = Duties::default();
            for (server, by) in pollers(&duties, 1_000) {
                let was = &before[&server];
                assert_eq!(by.len(), POLLERS_PER_SERVER);
                assert!(was.iter().all(|member| *member == 1 || by.contains(member)), "{was:?} {by:?}");
            }
            // After member 1 returns, the other members poll the same servers as at first. Member 1 itself
            // is left out of the comparison, because its new process knows no servers yet.
            for (member, duties) in duties.iter_mut().enumerate() {
                duties.set_alive(2_000, MemberId(member as u16), alive.clone());
            }
            let without_member_1 = |pollers: BTreeMap<ServerKey, Vec<usize>>| -> Vec<Vec<usize>> {
                pollers
                    .into_values()
                    .map(|by| by.into_iter().filter(|&member| member != 1).collect())
                    .collect()
            };
            assert_eq!(without_member_1(pollers(&duties, 2_000)), without_member_1(before));
        }
    }

    #[test]
    fn a_server_without_load_reports_has_at_most_twice_as_many_pollers() {
        let (mut duties, _) = cluster(50, 40);
        for second in 1..60 {
            let pollers = pollers(&duties, second * 1_000);
            let expected = if second < 3 { POLLERS_PER_SERVER } else { 2 * POLLERS_PER_SERVER };
            assert!(pollers.values().all(|by| by.len() == expected), "{second}: {pollers:?}");
        }
        let fact = duties
            .iter_mut()
            .find_map(|duties| duties.record_load_report(60_000, ServerKey(7), LoadReport::default()));
        duties.iter_mut().for_each(|duties| duties.record_gossip(60_000, fact.as_ref().unwrap()));
        assert_eq!(pollers(&duties, 60_500)[&ServerKey(7)].len(), POLLERS_PER_SERVER);
    }

    #[test]
    fn one_member_probes_an_ejected_server_and_the_turn_passes_on() {
        let (mut duties, _) = cluster(30, 5);
        // Every member has ejected the server, except the member that is first in rank for it.
        let first = rendezvous::owners(2, &duties[0].alive, 1)[0];
        for (member, duties) in duties.iter_mut().enumerate() {
            let ejected = member != usize::from(first.0);
            duties.set_servers(
                0,
                &(0..5).map(|key| known_server(key, key == 2 && ejected)).collect::<Vec<_>>(),
            );
        }
        let probing = |duties: &[Duties], now| -> Vec<usize> {
            (0..30).filter(|&member| duties[member].ejection_probes(now) == [ServerKey(2)]).collect()
        };
        assert_eq!(probing(&duties, 1_000), Vec::<usize>::new());
        let second = probing(&duties, 4_000);
        assert_eq!(second.len(), 1);
        let fact = duties[second[0]].record_ejection_probe(4_500, ServerKey(2), false).unwrap();
        assert_eq!(decode_ejection_probe(&fact), Some(false));
        duties.iter_mut().for_each(|duties| duties.record_gossip(4_500, &fact));
        assert_eq!(probing(&duties, 4_600), Vec::<usize>::new());
        assert_eq!(probing(&duties, 40_000).len(), 29, "no ranked member probed, so every member must");
    }

    #[test]
    fn malformed_load_reports_are_rejected_and_invalid_values_corrected() {
        let report =
            LoadReport { in_flight: Some(f32::NAN), utilisation: Some(9.0), served_per_s: Some(-1.0) };
        let body = postcard::to_allocvec(&report).unwrap();
        let fact = Fact { kind: FactKind::LOAD_REPORT, key: 1, body };
        let corrected = LoadReport { in_flight: None, utilisation: Some(1.0), served_per_s: None };
        assert_eq!(decode_load_report(&fact), Some(corrected));
        assert_eq!(decode_load_report(&Fact { body: vec![1, 2], ..fact.clone() }), None);
        assert_eq!(decode_ejection_probe(&fact), None);
    }
}
