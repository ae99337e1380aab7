//! What a sidecar acts with a fleet by, and by rules of residency: put together at the start, where the operators' file
//! has a section for it, and looked at again at SIGHUP.

use anyhow::{Result, anyhow};
use listclock::Pace;
use node::config::Config;
use node::engine::{ClusterSetup, ClusterStatus, DatagramSender, DiscoveryEvents, EngineControl};
use node::operator::{Facts, MEMBER, Operator, Peers};
use node::peers::Datagrams;
use residency::Rules;
use routes::Table;
use routes::policy::Platform;
use sagemast::settings::PlatformSettings as Settings;
use tokio::sync::watch;
use tracing::info;

/// Its parts, before the engine gets them.
pub struct Parts {
    /// The section, where the platform lets sidecars talk.
    peers: Option<Peers>,
    pace: watch::Sender<Pace>,
    standing: watch::Sender<ClusterStatus>,
}

/// Who the environment says that this member is.
fn environment() -> Option<String> {
    std::env::var(MEMBER).ok()
}

impl Parts {
    /// What the file asks for. `None` where it has neither section, or has peers alone and the platform forbids them:
    /// then there is no socket, no task and no allocation.
    pub fn new(operator: &Operator, settings: &Settings) -> Option<Parts> {
        let peers = operator.peers.clone().filter(|_| settings.peers_allowed());
        if operator.peers.is_some() && peers.is_none() {
            info!(
                "peers: off, since the platform's settings (allowed.peers) do not permit messages between sidecars"
            );
        }
        (peers.is_some() || operator.residency.is_some()).then(|| Parts {
            peers,
            pace: watch::channel(Pace::Usual).0,
            standing: watch::channel(ClusterStatus::default()).0,
        })
    }

    /// Where the figures see how it stands.
    pub fn standing(&self) -> watch::Receiver<ClusterStatus> {
        self.standing.subscribe()
    }

    /// News for a roster that is asked as the fleet decides.
    pub fn news(&self, news: &DiscoveryEvents) -> DiscoveryEvents {
        news.with_pace(self.pace.subscribe())
    }

    /// Opens the socket and hands all over to an engine.
    pub fn open(self, config: &Config, orders: &EngineControl, rules: Option<Rules>) -> Result<ClusterSetup> {
        let Parts { peers, pace, standing } = self;
        let me = environment();
        let member = match peers {
            None => None,
            Some(peers) => {
                let told = peers.config(me.as_deref(), &config.settings)?;
                let mailbox = orders.mailbox();
                let others = told.members.iter().enumerate();
                let others = others.filter(|(place, _)| *place != usize::from(told.me.0));
                let others = others.map(|(_, member)| member.address);
                let datagrams = Datagrams::open(peers.bind(me.as_deref())?, others, mailbox.clone())?;
                let name = told.members.get(usize::from(told.me.0)).map_or("?", |member| &member.name);
                info!("peers: {name} on {}, one of {}", datagrams.address(), told.members.len());
                let members: Box<dyn DatagramSender> = Box::new(datagrams);
                Some((told, members, mailbox))
            }
        };
        Ok(ClusterSetup { member, rules, pace, status: standing })
    }
}

/// What was in force at the start.
pub struct AtStart {
    /// The section `peers`.
    pub peers: Option<Peers>,
    /// Whether there are rules, or a fleet that spreads them.
    pub acts: bool,
}

impl AtStart {
    /// Looks at a file that was read again: what is not heeded before a restart is told.
    pub fn compare(&self, operator: &Operator) {
        if self.peers != operator.peers {
            info!("SIGHUP: peers stay as they were at the start: a change of that section takes a restart");
        }
        if !self.acts && operator.residency.is_some() {
            info!("SIGHUP: residency was not there at the start: it takes a restart");
        }
    }
}

/// The rules of a file that is sound but for them. All that is wrong is told, a line each.
pub fn rules(
    operator: &Operator,
    facts: &Facts,
    platform: &Platform,
    table: &Table,
) -> Result<Option<Rules>> {
    let read = operator.residency(facts, platform, table);
    operator.blame(read.map_err(|faults| anyhow!("{}", faults.join("\n"))))
}
