//! What the sidecar is told at start: the file named by `ROUTER_CONFIG`, checked before anything runs.

use std::net::SocketAddr;

use anyhow::{Context, Result, anyhow, bail};
use sagemast::settings::PlatformSettings as SettingsObject;
use serde::Deserialize;

use crate::json;
use crate::message_memory::MessageMemory;
use crate::rosters::host_list::HostList;

/// The configuration file.
#[derive(Deserialize)]
pub struct Config {
    /// Where the application connects.
    pub listen: SocketAddr,
    /// Where discovery is asked.
    pub discovery: SocketAddr,
    /// For random numbers, in hexadecimal digits.
    #[serde(default)]
    pub seed: String,
    /// What the surroundings allow this process.
    #[serde(default)]
    pub limits: Limits,
    /// The list of upstreams as this sidecar last had it.
    #[serde(default)]
    pub known: Option<HostList>,
    /// The settings that the module and the wire share.
    pub settings: SettingsObject,
}

/// Descriptors of the process itself: three standard streams, two listeners, six of the runtime (poller, waker, signal
/// pipe), two watches of discovery while it moves, two calls to it that were given up, two sockets for datagrams and a
/// configuration that is read again. That is 18, and a margin for connections that are closed a moment after their place
/// was given on.
const OWN_SOCKETS: usize = 24;
/// What a busy connection may hold: its buffer, a body each way, and the same again towards the upstream.
const CONNECTION_KIB: usize = 256;
/// What the process takes beside its connections: the program, the list of upstreams, the capture.
const PROCESS_KIB: usize = 4 << 10;
/// What a client's connection takes whatever it carries: the buffers of its HTTP server and the tasks that serve it.
const CLIENT_KIB: usize = 80;
/// What encryption adds to that.
const TLS_KIB: usize = 32;
/// What a connection to an upstream takes.
const UPSTREAM_KIB: usize = 52;
/// The allocator leaves one in so many parts of the rest unused, in gaps.
const ALLOCATOR_GAPS: usize = 4;
/// Fewer descriptors than this leave no room for connections on both sides.
const MIN_SOCKETS: usize = 64;

/// What the surroundings allow this process.
#[derive(Deserialize)]
pub struct Limits {
    /// Memory, in MiB.
    #[serde(default = "default_memory")]
    pub memory_mb: usize,
    /// File descriptors.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: default_memory(), sockets: default_sockets() }
    }
}

impl Limits {
    /// How many connections clients may hold: a third of the descriptors, so that upstreams never lack any.
    pub fn clients(&self) -> usize {
        (self.sockets / 3).min(self.by_memory()).max(1)
    }

    /// How many connections there may be to upstreams: what clients and the process itself leave.
    pub fn upstreams(&self) -> usize {
        (self.sockets - self.sockets / 3).saturating_sub(OWN_SOCKETS).min(self.by_memory()).max(1)
    }

    /// The memory for messages, over what all connections always hold. `tls`: whether those of clients may be encrypted.
    pub fn message_memory(&self, tls: bool) -> MessageMemory {
        let all_kib = self.memory_mb.saturating_mul(1024);
        let client_kib = if tls { CLIENT_KIB + TLS_KIB } else { CLIENT_KIB };
        let connections_kib = self.clients() * client_kib + self.upstreams() * UPSTREAM_KIB;
        let left_kib = all_kib.saturating_sub(PROCESS_KIB + connections_kib);
        MessageMemory::new((left_kib - left_kib / ALLOCATOR_GAPS).saturating_mul(1024))
    }

    /// The connections on one side for which there is memory.
    fn by_memory(&self) -> usize {
        self.memory_mb.saturating_mul(1024) / CONNECTION_KIB
    }
}

/// What the smallest deployments allow.
fn default_memory() -> usize {
    192
}

/// The same for descriptors.
fn default_sockets() -> usize {
    1024
}

impl Config {
    /// Reads and checks the file that the environment names.
    pub fn from_env() -> Result<Config> {
        let path = std::env::var_os("ROUTER_CONFIG").context("ROUTER_CONFIG is not set")?;
        let shown = path.to_string_lossy().into_owned();
        let text = std::fs::read(&path).with_context(|| format!("cannot read {shown}"))?;
        Config::parse(&text).with_context(|| format!("bad configuration in {shown}"))
    }

    /// Reads and checks the text of a configuration.
    pub fn parse(text: &[u8]) -> Result<Config> {
        let config: Config = json::read(text)?;
        config
            .settings
            .validate()
            .map_err(|bad| anyhow!("settings.{}", json::printable(&bad.to_string())))?;
        if config.limits.sockets < MIN_SOCKETS {
            bail!(
                "limits.sockets: {} are fewer than the {MIN_SOCKETS} that are needed",
                config.limits.sockets
            );
        }
        Ok(config)
    }

    /// The seed as a number; one that is not in hexadecimal digits still makes a seed of its own.
    pub fn seed(&self) -> u64 {
        u64::from_str_radix(&self.seed, 16).unwrap_or_else(|_| {
            self.seed.bytes().fold(7, |sum, b| sum.wrapping_mul(31).wrapping_add(u64::from(b)))
        })
    }
}

#[cfg(test)]
mod tests;
