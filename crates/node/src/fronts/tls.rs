//! TLS for applications on other hosts: a port of its own, whose certificate, key and client CA are read again
//! while it runs. Behind the handshake a connection is served as on the plain port.

use std::fs::File;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use tokio_rustls::rustls::crypto::ring::default_provider;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::version::{TLS12, TLS13};
use tokio_rustls::rustls::{RootCertStore, ServerConfig, ServerConnection};
use tracing::info;
use x509_parser::objects::{oid_registry, oid2abbrev};
use x509_parser::prelude::{FromDer, X509Certificate, X509Name};

use crate::operator::{Tls as Settings, Version};

/// Certificates and keys are smaller; a file that is not must not fill the memory.
const FILE_BYTES: u64 = 1 << 20;
/// A longer subject is cut: it comes from outside, and log lines are short.
const SUBJECT_CHARS: usize = 200;
/// Both ends speak this, or the handshake fails.
const PROTOCOL: &[u8] = b"http/1.1";

/// Where the files are and what is asked of clients.
#[derive(Debug, Clone)]
pub struct Source {
    cert_file: PathBuf,
    key_file: PathBuf,
    client_ca_file: Option<PathBuf>,
    min_version: Version,
}

/// The texts of the files, as they belong together.
#[derive(PartialEq, Clone)]
struct Texts {
    cert: Vec<u8>,
    key: Vec<u8>,
    client_ca: Option<Vec<u8>>,
}

/// What handshakes go by, and where it comes from.
pub struct Tls {
    source: Source,
    /// Pair and CA in one, so that they change together.
    current: Mutex<Arc<ServerConfig>>,
    /// What the files held when they were last read, sound or not, or why they could not be read.
    last: Mutex<Result<Texts, String>>,
}

impl Source {
    /// The files that the operators name.
    pub fn new(settings: &Settings) -> Result<Source> {
        Ok(Source {
            cert_file: settings.cert_file.clone().context("tls.cert_file is missing")?,
            key_file: settings.key_file.clone().context("tls.key_file is missing")?,
            client_ca_file: settings.client_ca_file.clone(),
            min_version: settings.min_version,
        })
    }

    fn read(&self) -> Result<Texts> {
        let client_ca = self.client_ca_file.as_deref().map(|path| read("tls.client_ca_file", path));
        Ok(Texts {
            cert: read("tls.cert_file", &self.cert_file)?,
            key: read("tls.key_file", &self.key_file)?,
            client_ca: client_ca.transpose()?,
        })
    }
}

fn read(key: &str, path: &Path) -> Result<Vec<u8>> {
    let shown = path.display();
    let mut text = Vec::new();
    let file = File::open(path).and_then(|file| file.take(FILE_BYTES + 1).read_to_end(&mut text));
    file.with_context(|| format!("{key}: cannot read {shown}"))?;
    if text.len() as u64 > FILE_BYTES {
        bail!("{key}: {shown} is longer than {FILE_BYTES} bytes");
    }
    Ok(text)
}

impl Texts {
    /// What handshakes go by from here on.
    fn config(&self, min_version: Version) -> Result<Arc<ServerConfig>> {
        let provider = Arc::new(default_provider());
        let versions: &[_] = match min_version {
            Version::Tls12 => &[&TLS13, &TLS12],
            Version::Tls13 => &[&TLS13],
        };
        let builder =
            ServerConfig::builder_with_provider(provider.clone()).with_protocol_versions(versions)?;
        let builder = match &self.client_ca {
            Some(text) => {
                let mut roots = RootCertStore::empty();
                for certificate in certificates(text).context("tls.client_ca_file")? {
                    roots.add(certificate).context("tls.client_ca_file")?;
                }
                let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider);
                builder.with_client_cert_verifier(verifier.build().context("tls.client_ca_file")?)
            }
            None => builder.with_no_client_auth(),
        };
        let chain = certificates(&self.cert).context("tls.cert_file")?;
        let key = PrivateKeyDer::from_pem_slice(&self.key).context("tls.key_file")?;
        let mut config = builder
            .with_single_cert(chain, key)
            .context("tls.cert_file and tls.key_file do not go together")?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(Arc::new(config))
    }

    /// The serial number of the certificate, for the log.
    fn serial(&self) -> String {
        let first = certificates(&self.cert).ok().and_then(|chain| chain.into_iter().next());
        let serial = first.as_ref().and_then(|certificate| {
            X509Certificate::from_der(certificate)
                .ok()
                .map(|(_, certificate)| certificate.raw_serial_as_string())
        });
        serial.unwrap_or_else(|| "?".to_owned())
    }
}

fn certificates(pem: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let certificates = CertificateDer::pem_slice_iter(pem).collect::<Result<Vec<_>, _>>()?;
    if certificates.is_empty() {
        bail!("there is no certificate in it");
    }
    Ok(certificates)
}

impl Tls {
    /// Reads the files for the first time.
    pub fn start(source: Source) -> Result<Tls> {
        let texts = source.read()?;
        let current = Mutex::new(texts.config(source.min_version)?);
        Ok(Tls { source, current, last: Mutex::new(Ok(texts)) })
    }

    /// What a handshake that begins now goes by.
    pub fn config(&self) -> Arc<ServerConfig> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Reads the files again for good, on a thread that may wait for a slow disk.
    pub async fn keep_fresh(self: Arc<Tls>, every: Duration) {
        loop {
            sleep(every).await;
            let tls = self.clone();
            if let Ok(Some(line)) = spawn_blocking(move || tls.refresh()).await {
                info!("{line}");
            }
        }
    }

    /// Reads the files again. What is sound replaces what was; what is not changes nothing. Tells either once.
    fn refresh(&self) -> Option<String> {
        let read = self.source.read().map_err(|error| format!("{error:#}"));
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if *last == read {
            return None;
        }
        *last = read;
        let config = last.as_ref().map_err(Clone::clone).and_then(|texts| {
            let config = texts.config(self.source.min_version).map_err(|error| format!("{error:#}"))?;
            Ok((config, texts.serial()))
        });
        Some(match config {
            Ok((config, serial)) => {
                *self.current.lock().unwrap_or_else(PoisonError::into_inner) = config;
                format!("tls: the files were read again, certificate serial={serial}")
            }
            Err(error) => format!("tls: the certificate stays as it was: {error}"),
        })
    }
}

/// The subject of the certificate that a client has shown, as it stands in the log.
pub fn subject(connection: &ServerConnection) -> Option<String> {
    let certificate = connection.peer_certificates()?.first()?;
    let (_, certificate) = X509Certificate::from_der(certificate).ok()?;
    Some(in_words(certificate.subject()))
}

/// A name in the certificate's own order. What a client can put into it must not pass for another attribute, nor
/// end the quotes or the line in the log.
fn in_words(name: &X509Name<'_>) -> String {
    let mut words = String::new();
    for (number, rdn) in name.iter_rdn().enumerate() {
        for (part, attribute) in rdn.iter().enumerate() {
            words += if part > 0 {
                "+"
            } else if number > 0 {
                ","
            } else {
                ""
            };
            match oid2abbrev(attribute.attr_type(), oid_registry()) {
                Ok(short) => words += short,
                Err(_) => words += &attribute.attr_type().to_id_string(),
            }
            words.push('=');
            match attribute.as_str() {
                Ok(text) => text.chars().for_each(|c| push_escaped(&mut words, c)),
                Err(_) => {
                    words.push('#');
                    attribute.as_slice().iter().for_each(|byte| words += &format!("{byte:02x}"));
                }
            }
        }
    }
    match words.char_indices().nth(SUBJECT_CHARS) {
        // A backslash at the cut would take the closing quote into the subject.
        Some((cut, _)) => format!("{}...", words[..cut].trim_end_matches('\\')),
        None => words,
    }
}

/// Escapes as RFC 4514 does.
fn push_escaped(words: &mut String, c: char) {
    match c {
        ',' | '+' | '"' | '\\' | '<' | '>' | ';' | '=' => words.extend(['\\', c]),
        c if c.is_control() => {
            let mut utf8 = [0; 4];
            c.encode_utf8(&mut utf8).bytes().for_each(|byte| *words += &format!("\\{byte:02X}"));
        }
        c => words.push(c),
    }
}

#[cfg(test)]
mod tests;
