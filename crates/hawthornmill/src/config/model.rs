//! Data types of an accepted fleet configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ident::{AccountId, DomainId, PoolId, RegionId, ServerId, ServiceId};
use crate::labels::{Labels, Selector};

/// Whether a call of a service may be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A call may be retried until a part of its response was forwarded.
    Allowed,
    /// A call runs at most once and needs an idempotency key.
    Never,
}

/// How a finished call is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostKind {
    /// What the backend server reports with the response.
    Reported,
    /// Milliseconds that the call held its slot.
    Time,
}

/// How the end of a complete response is recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// By HTTP framing alone.
    Length,
    /// By HTTP framing and a last line with `"done":true`.
    DoneLine,
}

/// Rules for the responses of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseRules {
    /// How the end of a complete response is recognized.
    pub completion: Completion,
    /// An interrupted response can be resumed: the field `from` of the request is the number of
    /// lines to skip.
    pub resume: bool,
    /// Longest time without data within a response.
    pub idle_timeout: Duration,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Labels, the implicit `name` among them.
    pub labels: Labels,
    /// BLAKE3 hash of the bearer token, as 32 bytes.
    pub token: [u8; 32],
    /// Requests that may wait at one instance.
    pub max_queue: usize,
    /// Bytes of waiting request bodies at one instance.
    pub max_bytes: usize,
}

/// A service that backend servers offer.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name in the configuration and in the call path.
    pub name: Box<str>,
    /// Whether a call may be run again.
    pub retry: RetryPolicy,
    /// How a call is charged.
    pub cost: CostKind,
    /// Cost assumed for an account's first call, in the service's unit.
    pub estimate: f64,
    /// Timeout of a call without a deadline of its own.
    pub timeout: Duration,
    /// Rules for its responses.
    pub response: ResponseRules,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendServer {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Service that it offers.
    pub service: ServiceId,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// `host:port` of its HTTP interface.
    pub address: Box<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u16,
    /// Labels, the implicit `name`, `service`, `domain` and `region` among them.
    pub labels: Labels,
    /// A leaving server gets no new work.
    pub leaving: bool,
    /// Index of the server's class in [`FleetConfig::classes`].
    pub class: u16,
}

/// A grant: which accounts may use which servers, and with which share.
#[derive(Debug, Clone, PartialEq)]
pub struct Grant {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Selects accounts.
    pub accounts: Selector,
    /// Selects backend servers.
    pub servers: Selector,
    /// Weight against other accounts on the same servers.
    pub share: f64,
}

/// A class of servers: those that the same grants select.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ServerClass {
    /// Share of each account that may use the class: the largest of its grants.
    pub shares: BTreeMap<AccountId, f64>,
}

/// A pool: the backend servers of one service in one failure domain.
#[derive(Debug, Clone, PartialEq)]
pub struct Pool {
    /// Service of the pool.
    pub service: ServiceId,
    /// Failure domain of the pool.
    pub domain: DomainId,
    /// Region of that failure domain.
    pub region: RegionId,
    /// Servers in the order of their identifiers.
    pub servers: Vec<ServerId>,
}

/// An accepted fleet configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FleetConfig {
    /// Revision of the manifest.
    pub revision: u64,
    /// Region of each failure domain.
    pub domains: BTreeMap<DomainId, RegionId>,
    /// Name of each failure domain.
    pub domain_names: BTreeMap<DomainId, Box<str>>,
    /// Name of each region.
    pub region_names: BTreeMap<RegionId, Box<str>>,
    /// Client accounts.
    pub accounts: BTreeMap<AccountId, Account>,
    /// Services.
    pub services: BTreeMap<ServiceId, Service>,
    /// Backend servers.
    pub servers: BTreeMap<ServerId, BackendServer>,
    /// Grants in the order of their names.
    pub grants: Vec<Grant>,
    /// Classes of servers that the same grants select.
    pub classes: Vec<ServerClass>,
    /// Pools.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Pools of each service.
    pub pools_by_service: BTreeMap<ServiceId, Vec<PoolId>>,
    /// Account of each token hash.
    pub tokens: BTreeMap<[u8; 32], AccountId>,
}

impl FleetConfig {
    /// The share of `account` on `server`; `None` if no grant covers both.
    pub fn share(&self, account: AccountId, server: ServerId) -> Option<f64> {
        let class = self.servers.get(&server)?.class;
        self.class_share(account, class)
    }

    /// The share of `account` on the servers of `class`.
    pub fn class_share(&self, account: AccountId, class: u16) -> Option<f64> {
        self.classes
            .get(usize::from(class))?
            .shares
            .get(&account)
            .copied()
    }

    /// Returns whether `account` may use any server of `pool`.
    pub fn can_use_pool(&self, account: AccountId, pool: PoolId) -> bool {
        self.pools
            .get(&pool)
            .is_some_and(|p| p.servers.iter().any(|s| self.share(account, *s).is_some()))
    }

    /// Returns whether `account` may use any server of `service`.
    pub fn can_use_service(&self, account: AccountId, service: ServiceId) -> bool {
        self.pools_by_service
            .get(&service)
            .is_some_and(|pools| pools.iter().any(|p| self.can_use_pool(account, *p)))
    }
}
