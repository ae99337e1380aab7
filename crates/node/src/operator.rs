//! The operators' own settings: the file that `--operator` names, checked whole before anything runs. What it
//! does not name is off.

mod peers;
mod residency;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, anyhow};
use ipnet::IpNet;
use routes::policy::Platform;
use routes::{Refusal, Table};
use schemars::JsonSchema;
use serde::de::{Error, IgnoredAny};
use serde::{Deserialize, Deserializer};

pub use peers::{MEMBER, Peers};
pub use residency::Facts;

use crate::json;

/// The operators' file, a section a feature.
#[derive(Deserialize, JsonSchema, Default, Debug)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Where the settings come from.
    #[serde(skip)]
    file: PathBuf,
    /// What stands there, for the routes.
    #[serde(skip)]
    text: String,
    /// Who may connect, and whose word on the client's address is taken.
    pub address_lists: Option<AddressLists>,
    /// Figures for a collector.
    pub figures: Option<Figures>,
    /// What the module is told and decides, kept for later.
    pub capture: Option<Capture>,
    /// A port for applications on other hosts.
    pub tls: Option<Tls>,
    /// Policies by route. Read and checked by the package for routes, which sees the text itself.
    #[schemars(with = "Option<routes::schema::Section>")]
    pub routes: Option<IgnoredAny>,
    /// A fleet that acts together.
    pub peers: Option<Peers>,
    /// Where requests may go, by class, route and tenant.
    pub residency: Option<::residency::Section>,
}

/// Settings of the address lists.
#[derive(Deserialize, JsonSchema, Default, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct AddressLists {
    /// Clients from these ranges only; none means from anywhere.
    #[schemars(with = "Vec<String>")]
    pub allow: Vec<IpNet>,
    /// No clients from these, whatever `allow` says.
    #[schemars(with = "Vec<String>")]
    pub deny: Vec<IpNet>,
    /// Peers that begin with a PROXY protocol header and are believed.
    #[schemars(with = "Vec<String>")]
    pub proxy_trusted: Vec<IpNet>,
}

/// Settings of the figures.
#[derive(Deserialize, JsonSchema, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Figures {
    /// How a line looks.
    pub format: Format,
    /// Whether standard error gets them.
    pub stderr: bool,
    /// A file that gets them.
    pub file: Option<PathBuf>,
    /// A collector that gets them.
    #[schemars(with = "Option<String>")]
    pub udp: Option<Collector>,
    /// How often they are handed out.
    #[serde(deserialize_with = "within::<_, 10, 600_000>")]
    #[schemars(range(min = 10, max = 600_000))]
    pub flush_ms: usize,
    /// How much is kept until then.
    #[serde(deserialize_with = "within::<_, 1, 16_384>")]
    #[schemars(range(min = 1, max = 16_384))]
    pub buffer_kb: usize,
}

impl Default for Figures {
    fn default() -> Figures {
        let (format, flush_ms, buffer_kb) = (Format::Statsd, 1_000, 64);
        Figures { format, stderr: true, file: None, udp: None, flush_ms, buffer_kb }
    }
}

/// Settings of the capture.
#[derive(Deserialize, JsonSchema, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Capture {
    /// How much is held in memory.
    #[serde(deserialize_with = "within::<_, 16, 65_536>")]
    #[schemars(range(min = 16, max = 65_536))]
    pub ring_kb: usize,
    /// Where files go; without one there are none.
    pub folder: Option<PathBuf>,
    /// How many files are kept.
    #[serde(deserialize_with = "within::<_, 1, 10_000>")]
    #[schemars(range(min = 1, max = 10_000))]
    pub files: usize,
    /// How large one is at most.
    #[serde(deserialize_with = "within::<_, 8, 1_048_576>")]
    #[schemars(range(min = 8, max = 1_048_576))]
    pub file_kb: usize,
}

impl Default for Capture {
    fn default() -> Capture {
        Capture { ring_kb: 768, folder: None, files: 8, file_kb: 1_024 }
    }
}

/// Settings of TLS. Without a port it is off.
#[derive(Deserialize, JsonSchema, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// The port, on the host of the plain one.
    pub port: Option<u16>,
    /// The certificate chain, in PEM.
    pub cert_file: Option<PathBuf>,
    /// Its private key, in PEM.
    pub key_file: Option<PathBuf>,
    /// The oldest version that is spoken.
    pub min_version: Version,
    /// Who must have signed the certificates of clients, in PEM; without it none are asked for.
    pub client_ca_file: Option<PathBuf>,
    /// How often the files are read again.
    #[serde(deserialize_with = "within::<_, 1, 86_400>")]
    #[schemars(range(min = 1, max = 86_400))]
    pub reload_s: usize,
}

impl Default for Tls {
    fn default() -> Tls {
        Tls {
            port: None,
            cert_file: None,
            key_file: None,
            min_version: Version::Tls12,
            client_ca_file: None,
            reload_s: 30,
        }
    }
}

/// A version of TLS.
#[derive(Deserialize, JsonSchema, Debug, Clone, Copy, PartialEq)]
pub enum Version {
    /// 1.2.
    #[serde(rename = "1.2")]
    Tls12,
    /// 1.3.
    #[serde(rename = "1.3")]
    Tls13,
}

/// How figures are written.
#[derive(Deserialize, JsonSchema, Debug, Clone, Copy, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Format {
    /// StatsD, with tags behind `#`.
    Statsd,
    /// The line protocol of InfluxDB.
    Influx,
}

/// Where a collector listens.
#[derive(Deserialize, Debug, PartialEq)]
#[serde(try_from = "String")]
pub struct Collector {
    /// A name or an address.
    pub host: String,
    /// Its port.
    pub port: u16,
}

impl Collector {
    /// Its address, where it is not given by name.
    pub fn address(&self) -> Option<SocketAddr> {
        Some(SocketAddr::new(self.host.parse().ok()?, self.port))
    }
}

impl TryFrom<String> for Collector {
    type Error = &'static str;

    fn try_from(text: String) -> Result<Collector, &'static str> {
        let (host, port) = text.rsplit_once(':').ok_or("not host:port")?;
        let port = port.parse().ok().filter(|port| *port > 0).ok_or("not a port")?;
        let bare = host.strip_prefix('[').and_then(|host| host.strip_suffix(']'));
        match bare.unwrap_or(host) {
            host if host.is_empty() || (bare.is_none() && host.contains(':')) => Err("not host:port"),
            host => Ok(Collector { host: host.to_owned(), port }),
        }
    }
}

/// Reads a whole number between two bounds.
fn within<'de, D: Deserializer<'de>, const LEAST: usize, const MOST: usize>(
    from: D,
) -> Result<usize, D::Error> {
    let number = usize::deserialize(from)?;
    if (LEAST..=MOST).contains(&number) {
        return Ok(number);
    }
    Err(D::Error::custom(format_args!("{number} is not between {LEAST} and {MOST}")))
}

impl Operator {
    /// Reads and checks the file; without one, every feature is off.
    pub fn read(path: Option<&Path>) -> Result<Operator> {
        let Some(path) = path else { return Ok(Operator::default()) };
        let shown = path.display();
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cannot read the operators' file {shown}"))?;
        let operator = Operator { file: path.to_owned(), ..Operator::default() };
        let parsed = operator.blame(Operator::parse(text.as_bytes()))?;
        Ok(Operator { file: operator.file, text, ..parsed })
    }

    /// The routes that the file sets, checked against the platform. All that is wrong is told, a line each.
    pub fn table(&self, platform: &Platform) -> Result<Table> {
        if self.routes.is_none() {
            return Ok(Table::default());
        }
        let told = |refusals: Vec<Refusal>| {
            let lines: Vec<String> = refusals.iter().map(Refusal::to_string).collect();
            anyhow!("{}", lines.join("\n"))
        };
        self.blame(Table::read(&self.text, platform).map_err(told))
    }

    /// Names the file in the error of a feature that cannot start by its settings.
    pub fn blame<T>(&self, started: Result<T>) -> Result<T> {
        started.with_context(|| format!("bad operators' file {}", self.file.display()))
    }

    /// Reads and checks the text of such a file. An error names the key.
    pub fn parse(text: &[u8]) -> Result<Operator> {
        let operator: Operator = json::read(text)?;
        operator.peers.as_ref().map_or(Ok(()), Peers::check)?;
        Ok(operator)
    }
}

#[cfg(test)]
mod tests;
