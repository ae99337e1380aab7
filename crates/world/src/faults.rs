//! What can go wrong, and be put right again.

use peers::api::ServerState;

use crate::discovery::Way;
use crate::links::Fate;
use crate::member::{Life, Told};
use crate::rules::File;
use crate::time::micros;
use crate::world::World;

/// Discovery notices that a server is gone after this, in milliseconds.
const NOTICED: f64 = 2_000.0;
/// A server that drains is gone after this.
const DRAINED: f64 = 5_000.0;

/// One change to the world.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Clients ask for so many times what all servers can do.
    Load(f64),
    /// A sidecar gets through to discovery like this.
    Discovery(usize, Way),
    /// Discovery takes this long to answer and to tell what changed, in milliseconds.
    DiscoveryLate(f64),
    /// A share of all links between sidecars fares so.
    Links(f64, Fate),
    /// A sidecar is on this side of a partition; 0 is where all begin.
    Side(usize, u32),
    /// A link from one sidecar to another is cut one way, or mended.
    Cut(usize, usize, bool),
    /// A sidecar does not reach the servers of a zone, or does again.
    CutZone(usize, usize, bool),
    /// A sidecar's process is stopped; its clients and its timers wait.
    Stop(usize),
    /// It goes on.
    Wake(usize),
    /// It ends.
    Kill(usize),
    /// It starts anew.
    Start(usize),
    /// A server takes so many times its usual time.
    Pace(usize, f64),
    /// A server works on nothing, or does again.
    Hang(usize, bool),
    /// A server answers with errors, with this chance.
    Errors(usize, f64),
    /// A server drains, and discovery says so at once.
    Drain(usize),
    /// A server drains, and discovery does not know.
    DrainUnsaid(usize),
    /// A server is gone; discovery notices after a while.
    CrashServer(usize),
    /// A server's process starts, cold; discovery says so at once.
    StartServer(usize),
    /// Discovery says how a server stands.
    List(usize, ServerState),
    /// A server's name is that of another in this zone from now on: it starts there, cold.
    Move(usize, usize),
    /// A sidecar's operators' file has these rules of residency from now on, and its process rereads it.
    Rules(usize, File),
}

impl World {
    /// Something changes now.
    pub fn act(&mut self, fault: Fault) {
        match fault {
            Fault::Load(load) => self.load = load,
            Fault::Discovery(member, way) => self.way(member, way),
            Fault::DiscoveryLate(late) => self.spec.discovery.late = late,
            Fault::Links(share, fate) => self.links.spoil(share, fate),
            Fault::Side(member, side) => self.links.side(member, side),
            Fault::Cut(from, to, cut) => self.links.cut(from, to, cut),
            Fault::CutZone(member, zone, cut) => self.links.cut_zone(member, zone, cut),
            Fault::Stop(member) => {
                if self.members[member].runs() {
                    self.members[member].life = Life::Stopped(Vec::new());
                    self.sees_coordinator(member);
                }
            }
            Fault::Wake(member) => self.wake(member),
            Fault::Kill(member) => self.end(member),
            Fault::Start(member) => {
                self.end(member);
                self.start(member);
            }
            Fault::Rules(member, file) => self.reread(member, file),
            Fault::Pace(server, pace) => self.servers[server].pace = pace,
            Fault::Hang(server, hung) => {
                for (key, end) in self.servers[server].hang(self.now, hung, &self.spec.safety) {
                    self.done_at(end, server, key);
                }
            }
            Fault::Errors(server, share) => self.servers[server].errors = share,
            Fault::Drain(server) => {
                self.act(Fault::DrainUnsaid(server));
                self.act(Fault::List(server, ServerState::Draining));
            }
            Fault::DrainUnsaid(server) => {
                self.servers[server].life = crate::server::Life::Draining;
                self.at(self.now + micros(DRAINED), Fault::CrashServer(server));
            }
            Fault::CrashServer(server) => self.crash(server),
            Fault::StartServer(server) => {
                self.servers[server].start(self.now);
                let (now, zone) = (self.now, self.servers[server].zone);
                self.relist(server, |entry| {
                    (entry.standing, entry.started, entry.zone) = (ServerState::Serving, now, zone);
                });
            }
            Fault::List(server, standing) => {
                let started = self.servers[server].started.unwrap_or(0);
                // What was noticed of a former life says nothing of this one.
                let up = self.servers[server].life == crate::server::Life::Up;
                if standing != ServerState::Gone || !up {
                    self.relist(server, |entry| (entry.standing, entry.started) = (standing, started));
                }
            }
            Fault::Move(server, zone) => {
                self.crash(server);
                self.servers[server].zone = zone;
                self.act(Fault::StartServer(server));
            }
        }
    }

    fn way(&mut self, member: usize, way: Way) {
        self.links.set_way(member, way);
        if way == Way::Refused && self.members[member].watches {
            self.tell_at(self.now, member, Told::ListEnded);
        }
    }

    fn wake(&mut self, member: usize) {
        let this = &mut self.members[member];
        let Life::Stopped(waits) = std::mem::replace(&mut this.life, Life::Runs) else { return };
        this.woke = self.now;
        // Timers that came due ring first, in an engine as in here: they were put in first.
        for told in waits {
            self.hears(member, told);
        }
    }

    fn crash(&mut self, server: usize) {
        if self.servers[server].life == crate::server::Life::Down {
            return;
        }
        for key in self.servers[server].crash(self.now) {
            self.answers(key, sagemast::api::Outcome::Reset, None);
        }
        self.at(self.now + micros(NOTICED), Fault::List(server, ServerState::Gone));
    }
}
