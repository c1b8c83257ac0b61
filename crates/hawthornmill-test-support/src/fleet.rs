//! Builds fleet configurations.

use std::fmt::Write;

use hawthornmill::config::FleetConfig;
use hawthornmill::config::accept::{Manifest, Values, accept, manifest};

/// Builder of a fleet configuration.
#[derive(Debug, Clone, Default)]
pub struct FleetBuilder {
    text: String,
}

impl FleetBuilder {
    /// An empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a failure domain.
    #[must_use]
    pub fn domain(self, name: &str, region: &str) -> Self {
        self.line(&format!("[domain {name}]\nregion = {region}"))
    }

    /// Adds a service whose calls may be retried and report their cost.
    #[must_use]
    pub fn service(self, name: &str) -> Self {
        self.line(&format!("[service {name}]\nestimate = 100"))
    }

    /// Adds a service whose calls must not be retried; their cost is the time that they take.
    #[must_use]
    pub fn non_idempotent_service(self, name: &str) -> Self {
        self.line(&format!("[service {name}]\nrepeat = never\ncost = time"))
    }

    /// Adds a server with `slots` slots and one label `pool=LABEL`.
    #[must_use]
    pub fn server(self, name: &str, service: &str, domain: &str, slots: u16, label: &str) -> Self {
        self.line(&format!(
            "[server {name}]\nservice = {service}\ndomain = {domain}\n\
             address = 127.0.0.1:1\nslots = {slots}\nlabels = pool={label}"
        ))
    }

    /// Adds an account whose token is `token-NAME`, with one label `size=SIZE`.
    #[must_use]
    pub fn account(self, name: &str, size: &str) -> Self {
        let token = blake3::hash(format!("token-{name}").as_bytes());
        self.line(&format!(
            "[account {name}]\nlabels = size={size}\ntoken = {token}"
        ))
    }

    /// Adds an account like [`Self::account`], with additional lines in its section.
    #[must_use]
    pub fn account_with(self, name: &str, size: &str, lines: &str) -> Self {
        let mut fleet = self.account(name, size);
        // Removes the empty line that ends the section, so that `lines` are added to it.
        fleet.text.truncate(fleet.text.trim_end().len());
        fleet.line(&format!("\n{lines}"))
    }

    /// Adds a grant.
    #[must_use]
    pub fn grant(self, name: &str, accounts: &str, servers: &str, share: f64) -> Self {
        self.line(&format!(
            "[grant {name}]\naccounts = {accounts}\nservers = {servers}\nshare = {share}"
        ))
    }

    /// Adds `line` as it is.
    #[must_use]
    pub fn line(mut self, line: &str) -> Self {
        let _infallible = writeln!(self.text, "{line}\n");
        self
    }

    /// Returns the text.
    pub fn text(&self) -> Box<str> {
        self.text.as_str().into()
    }

    /// Returns the text as the values of a revision.
    pub fn values(&self) -> Values {
        Values::from([("fleet".into(), self.text())])
    }

    /// Returns the validated configuration, as `revision`.
    ///
    /// # Panics
    /// With the first error, if the configuration is invalid.
    pub fn accept(&self, revision: u64) -> (FleetConfig, Manifest, Values) {
        let values = self.values();
        let manifest = manifest(revision, &values);
        match accept(&manifest, &values) {
            Ok(config) => (config, manifest, values),
            Err(errors) => panic!("{}", errors[0]),
        }
    }
}
