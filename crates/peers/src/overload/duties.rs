//! Who asks a server for its load, and who tries one that was ejected: few members for each server, chosen by
//! rendezvous hashing over the living, so that neither grows with the fleet and no word is needed for it.
//!
//! A member may be chosen that cannot do it: its list lacks the server, its link to it is cut, it hangs. So where
//! nothing was heard of a server for [`TAKEOVER_AFTER`], the next in rank do it as well; where one is not ejected for the
//! member whose turn its trial is, the turn goes on.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::api::{Fact, FactKind, KnownServer, LoadReport, MemberId, Millis, ServerKey};
use crate::rendezvous;

/// Members that ask a server for its load: two, so that one that fails is not missed.
pub const POLLERS_PER_SERVER: usize = 2;

/// Members that may ever have to do with a server: a bound on who asks it while nothing is heard of it.
const RANKED: usize = 8;

/// After so long without word of a server, or of a trial of it, others take over.
pub const TAKEOVER_AFTER: Millis = 3_000;

#[derive(Debug)]
struct Server {
    ranked: Vec<MemberId>,
    heard: Millis,
    tried: Millis,
    ejected: bool,
}

/// The duties of one member.
#[derive(Debug, Default)]
pub struct Duties {
    servers: BTreeMap<ServerKey, Server>,
    /// In order.
    living: Vec<MemberId>,
    me: Option<MemberId>,
}

impl Duties {
    /// Takes the servers that there are now.
    pub fn set_servers(&mut self, now: Millis, servers: &[KnownServer]) {
        let names: BTreeSet<ServerKey> = servers.iter().map(|known| known.server).collect();
        self.servers.retain(|key, _| names.contains(key));
        for known in servers {
            let server = self.servers.entry(known.server).or_insert_with(|| Server {
                ranked: rendezvous::owners(known.server.0, &self.living, RANKED),
                heard: now,
                tried: now,
                ejected: false,
            });
            if known.ejected && !server.ejected {
                server.tried = now;
            }
            server.ejected = known.ejected;
        }
    }

    /// Takes who lives, this member included. Only servers whose ranks change are ranked anew.
    pub fn set_alive(&mut self, now: Millis, me: MemberId, mut living: Vec<MemberId>) {
        self.me = Some(me);
        living.sort_unstable();
        living.dedup();
        if living == self.living {
            return;
        }
        let gone = |member: &MemberId| living.binary_search(member).is_err();
        let new: Vec<MemberId> =
            living.iter().copied().filter(|member| self.living.binary_search(member).is_err()).collect();
        for (key, server) in &mut self.servers {
            let first = server.ranked.first().copied();
            if server.ranked.iter().any(gone) {
                server.ranked = rendezvous::owners(key.0, &living, RANKED);
            } else {
                server.ranked.extend(&new);
                server.ranked = rendezvous::owners(key.0, &server.ranked, RANKED);
            }
            if server.ranked.first().copied() != first {
                // Whose turn it has become gets its time.
                (server.heard, server.tried) = (server.heard.max(now), server.tried.max(now));
            }
        }
        self.living = living;
    }

    /// Who lives, in order.
    pub fn alive_members(&self) -> &[MemberId] {
        &self.living
    }

    /// The servers that this member asks for their load now.
    pub fn load_polls(&self, now: Millis) -> Vec<ServerKey> {
        self.servers.iter().filter(|(_, server)| self.asks(now, server)).map(|(&key, _)| key).collect()
    }

    /// The ejected servers that this member tries now.
    pub fn ejection_probes(&self, now: Millis) -> Vec<ServerKey> {
        let mine = self.servers.iter().filter(|(_, server)| {
            let turn = (now.saturating_sub(server.tried) / TAKEOVER_AFTER) as usize;
            // Nobody in rank seems to have it ejected: each that has tries by itself.
            server.ejected && (turn >= server.ranked.len() || server.ranked.get(turn).copied() == self.me)
        });
        mine.map(|(&key, _)| key).collect()
    }

    /// A server told its load to this member: the fact for the others, where it was its duty to ask.
    pub fn record_load_report(&mut self, now: Millis, key: ServerKey, report: LoadReport) -> Option<Fact> {
        let server = self.servers.get(&key)?;
        let duty = self.asks(now, server);
        self.servers.get_mut(&key)?.heard = now;
        let body = postcard::to_allocvec(&sensible(report)).ok()?;
        duty.then_some(Fact { kind: FactKind::LOAD_REPORT, key: key.0, body })
    }

    /// A trial by this member ended: the fact for the others.
    pub fn record_ejection_probe(&mut self, now: Millis, key: ServerKey, well: bool) -> Option<Fact> {
        self.servers.get_mut(&key)?.tried = now;
        let body = postcard::to_allocvec(&Trial { well }).ok()?;
        Some(Fact { kind: FactKind::EJECTION_PROBE, key: key.0, body })
    }

    /// Another member told of a server.
    pub fn record_gossip(&mut self, at: Millis, fact: &Fact) {
        let Some(server) = self.servers.get_mut(&ServerKey(fact.key)) else { return };
        if decode_load_report(fact).is_some() {
            server.heard = server.heard.max(at);
        } else if decode_ejection_probe(fact).is_some() {
            server.tried = server.tried.max(at);
        }
    }

    fn asks(&self, now: Millis, server: &Server) -> bool {
        let Some(rank) = server.ranked.iter().position(|&member| Some(member) == self.me) else {
            return false;
        };
        let turn = (now.saturating_sub(server.heard) / TAKEOVER_AFTER) as usize;
        // The further ones take turns, so that never more than twice as many ask as should.
        let further = (RANKED / POLLERS_PER_SERVER - 1).max(1);
        rank < POLLERS_PER_SERVER || turn > 0 && rank / POLLERS_PER_SERVER == 1 + (turn - 1) % further
    }
}

#[derive(Serialize, Deserialize)]
struct Trial {
    well: bool,
}

/// What a REPORT fact says; `None` for one that makes no sense.
pub fn decode_load_report(fact: &Fact) -> Option<LoadReport> {
    if fact.kind != FactKind::LOAD_REPORT {
        return None;
    }
    let (report, rest) = postcard::take_from_bytes(&fact.body).ok()?;
    rest.is_empty().then(|| sensible(report))
}

/// What a TRIAL fact says: whether the server answered; `None` for one that makes no sense.
pub fn decode_ejection_probe(fact: &Fact) -> Option<bool> {
    if fact.kind != FactKind::EJECTION_PROBE {
        return None;
    }
    let (Trial { well }, rest) = postcard::take_from_bytes(&fact.body).ok()?;
    rest.is_empty().then_some(well)
}

/// A report without figures that no server can have.
fn sensible(report: LoadReport) -> LoadReport {
    let amount = |figure: Option<f32>| figure.filter(|figure| figure.is_finite() && *figure >= 0.0);
    LoadReport {
        in_flight: amount(report.in_flight),
        utilisation: amount(report.utilisation).map(|share| share.min(1.0)),
        served_per_s: amount(report.served_per_s),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet(members: u16, servers: u64) -> (Vec<Duties>, Vec<MemberId>) {
        let living: Vec<MemberId> = (0..members).map(MemberId).collect();
        let known: Vec<KnownServer> = (0..servers).map(|key| known(key, false)).collect();
        let duties = living.iter().map(|&me| {
            let mut duties = Duties::default();
            duties.set_alive(0, me, living.clone());
            duties.set_servers(0, &known);
            duties
        });
        (duties.collect(), living)
    }

    fn known(key: u64, ejected: bool) -> KnownServer {
        let server = ServerKey(key);
        KnownServer { server, started: None, slow_start_requests: 0.0, slow_start_window: 1_000, ejected }
    }

    /// By server, who asks it.
    fn asked(duties: &[Duties], now: Millis) -> BTreeMap<ServerKey, Vec<usize>> {
        let mut asked: BTreeMap<ServerKey, Vec<usize>> = BTreeMap::new();
        for (member, duties) in duties.iter().enumerate() {
            duties.load_polls(now).into_iter().for_each(|key| asked.entry(key).or_default().push(member));
        }
        asked
    }

    #[test]
    fn each_server_has_two_that_ask_it_in_any_fleet_and_others_take_over() {
        for members in [3_u16, 20, 300] {
            let (mut duties, living) = fleet(members, 60);
            let before = asked(&duties, 1_000);
            assert!(before.len() == 60 && before.values().all(|by| by.len() == POLLERS_PER_SERVER));
            let rest: Vec<MemberId> = living.iter().copied().filter(|member| member.0 != 1).collect();
            for (member, duties) in duties.iter_mut().enumerate() {
                duties.set_alive(1_000, MemberId(member as u16), rest.clone());
            }
            duties[1] = Duties::default();
            for (server, by) in asked(&duties, 1_000) {
                let was = &before[&server];
                assert_eq!(by.len(), POLLERS_PER_SERVER);
                assert!(was.iter().all(|member| *member == 1 || by.contains(member)), "{was:?} {by:?}");
            }
            // Back again, all is as before.
            for (member, duties) in duties.iter_mut().enumerate() {
                duties.set_alive(2_000, MemberId(member as u16), living.clone());
            }
            let all_but_it = |asked: BTreeMap<ServerKey, Vec<usize>>| -> Vec<Vec<usize>> {
                asked.into_values().map(|by| by.into_iter().filter(|&member| member != 1).collect()).collect()
            };
            assert_eq!(all_but_it(asked(&duties, 2_000)), all_but_it(before));
        }
    }

    #[test]
    fn who_is_silent_is_helped_by_twice_as_many_at_the_most() {
        let (mut duties, _) = fleet(50, 40);
        for second in 1..60 {
            let asked = asked(&duties, second * 1_000);
            let by = if second < 3 { POLLERS_PER_SERVER } else { 2 * POLLERS_PER_SERVER };
            assert!(asked.values().all(|asking| asking.len() == by), "{second}: {asked:?}");
        }
        let fact = duties
            .iter_mut()
            .find_map(|duties| duties.record_load_report(60_000, ServerKey(7), LoadReport::default()));
        duties.iter_mut().for_each(|duties| duties.record_gossip(60_000, fact.as_ref().unwrap()));
        assert_eq!(asked(&duties, 60_500)[&ServerKey(7)].len(), POLLERS_PER_SERVER);
    }

    #[test]
    fn one_tries_an_ejected_server_and_its_turn_goes_on() {
        let (mut duties, _) = fleet(30, 5);
        // All but the one whose turn it is first have it ejected.
        let first = rendezvous::owners(2, &duties[0].living, 1)[0];
        for (member, duties) in duties.iter_mut().enumerate() {
            let ejected = member != usize::from(first.0);
            duties.set_servers(0, &(0..5).map(|key| known(key, key == 2 && ejected)).collect::<Vec<_>>());
        }
        let trying = |duties: &[Duties], now| -> Vec<usize> {
            (0..30).filter(|&member| duties[member].ejection_probes(now) == [ServerKey(2)]).collect()
        };
        assert_eq!(trying(&duties, 1_000), Vec::<usize>::new());
        let second = trying(&duties, 4_000);
        assert_eq!(second.len(), 1);
        let fact = duties[second[0]].record_ejection_probe(4_500, ServerKey(2), false).unwrap();
        assert_eq!(decode_ejection_probe(&fact), Some(false));
        duties.iter_mut().for_each(|duties| duties.record_gossip(4_500, &fact));
        assert_eq!(trying(&duties, 4_600), Vec::<usize>::new());
        assert_eq!(trying(&duties, 40_000).len(), 29, "nobody in rank tried: each by itself");
    }

    #[test]
    fn reports_that_make_no_sense_are_refused_or_trimmed() {
        let report =
            LoadReport { in_flight: Some(f32::NAN), utilisation: Some(9.0), served_per_s: Some(-1.0) };
        let body = postcard::to_allocvec(&report).unwrap();
        let fact = Fact { kind: FactKind::LOAD_REPORT, key: 1, body };
        let sense = LoadReport { in_flight: None, utilisation: Some(1.0), served_per_s: None };
        assert_eq!(decode_load_report(&fact), Some(sense));
        assert_eq!(decode_load_report(&Fact { body: vec![1, 2], ..fact.clone() }), None);
        assert_eq!(decode_ejection_probe(&fact), None);
    }
}
