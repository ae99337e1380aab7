//! The operators' own settings: the file that `--operator` names, checked whole before anything runs. What it
//! does not name is off.

use std::path::Path;

use anyhow::{Context, Result, anyhow};
use ipnet::IpNet;
use serde::Deserialize;

/// The operators' file, a section a feature.
#[derive(Deserialize, Default, Debug)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Who may connect, and whose word on the client's address is taken.
    pub address_lists: Option<AddressLists>,
}

/// Settings of the address lists.
#[derive(Deserialize, Default, Debug)]
#[serde(deny_unknown_fields, default)]
pub struct AddressLists {
    /// Clients from these ranges only; none means from anywhere.
    pub allow: Vec<IpNet>,
    /// No clients from these, whatever `allow` says.
    pub deny: Vec<IpNet>,
    /// Peers that begin with a PROXY protocol header and are believed.
    pub proxy_trusted: Vec<IpNet>,
}

impl Operator {
    /// Reads and checks the file; without one, every feature is off.
    pub fn read(path: Option<&Path>) -> Result<Operator> {
        let Some(path) = path else { return Ok(Operator::default()) };
        let shown = path.display();
        let text = std::fs::read(path).with_context(|| format!("cannot read the operators' file {shown}"))?;
        Operator::parse(&text).with_context(|| format!("bad operators' file {shown}"))
    }

    /// Reads and checks the text of such a file. An error names the key.
    pub fn parse(text: &[u8]) -> Result<Operator> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let read = serde_path_to_error::deserialize(&mut json);
        let operator: Operator = read.map_err(|error| match error.path().to_string().as_str() {
            "." => anyhow!("{}", error.inner()),
            key => anyhow!("{key}: {}", error.inner()),
        })?;
        json.end()?;
        Ok(operator)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is wrong with a file, in one line.
    fn complaint(text: &str) -> String {
        format!("{:#}", Operator::parse(text.as_bytes()).expect_err(text))
    }

    #[test]
    fn what_is_not_named_is_off() {
        let operator = Operator::parse(b"{}").expect("an empty file is sound");
        assert!(operator.address_lists.is_none());
        assert!(Operator::read(None).expect("no file").address_lists.is_none());
    }

    #[test]
    fn the_address_lists_are_read() {
        let text = br#"{"address_lists":{"deny":["10.8.1.0/24","::ffff:10.9.0.0/112"]}}"#;
        let lists = Operator::parse(text).expect("sound").address_lists.expect("on");
        assert_eq!((lists.allow.len(), lists.deny.len(), lists.proxy_trusted.len()), (0, 2, 0));
    }

    #[test]
    fn a_complaint_names_the_key() {
        for (text, key) in [
            (r#"{"addres_lists":{}}"#, "addres_lists"),
            (r#"{"address_lists":{"denny":[]}}"#, "denny"),
            (r#"{"address_lists":{"deny":["10.8.1.0/24","10.8.1.0/33"]}}"#, "address_lists.deny[1]"),
            (r#"{"address_lists":{"allow":"10.8.1.0/24"}}"#, "address_lists.allow"),
            (r#"{"address_lists":{"proxy_trusted":["front"]}}"#, "address_lists.proxy_trusted[0]"),
            (r#"{"address_lists":{"deny":[],"deny":[]}}"#, "deny"),
        ] {
            let complaint = complaint(text);
            assert!(complaint.contains(key), "{text}: {complaint}");
        }
        assert!(Operator::parse(b"{} {}").is_err(), "nothing may follow");
        let missing = Operator::read(Some(Path::new("/nowhere/operator.json"))).expect_err("it is missing");
        assert!(format!("{missing:#}").contains("/nowhere/operator.json"), "{missing:#}");
    }
}
