//! Data types of an accepted fleet configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ident::{AccountId, DomainId, PoolId, RegionId, ServerId, ServiceId};
use crate::labels::{Labels, Selector};

/// May a call of a service be run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPolicy {
    /// A call may be retried while nothing of its answer was passed on.
    Allowed,
    /// A call runs at most once and needs an idempotency key.
    Never,
}

/// How a finished call is charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CostKind {
    /// What the backend server reports with the answer.
    Reported,
    /// Milliseconds that the call held its slot.
    Time,
}

/// What makes an answer whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The length or end that HTTP names.
    Length,
    /// A last line with `"done":true` besides.
    DoneLine,
}

/// Rules for the answers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseRules {
    /// What makes an answer whole.
    pub completion: Completion,
    /// A broken answer can be resumed: the field `from` of the request counts lines to leave out.
    pub resume: bool,
    /// Longest silence within an answer.
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
    /// May a call be run again.
    pub retry: RetryPolicy,
    /// How a call is charged.
    pub cost: CostKind,
    /// Cost assumed of an account's first call, in the service's unit.
    pub estimate: f64,
    /// Deadline of a call that names none.
    pub timeout: Duration,
    /// Rules for its answers.
    pub response: ResponseRules,
}

/// A backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct BackendServer {
    /// Name in the configuration.
    pub name: Box<str>,
    /// Service that it offers.
    pub service: ServiceId,
    /// Failure domain in which it stands.
    pub domain: DomainId,
    /// `host:port` of its HTTP interface.
    pub address: Box<str>,
    /// Requests that it runs at one time.
    pub slots: u16,
    /// Labels, the implicit `name`, `service`, `domain` and `region` among them.
    pub labels: Labels,
    /// A leaving server gets no new work.
    pub leaving: bool,
    /// Index of the server's class in [`FleetConfig::classes`].
    pub class: u16,
}

/// A grant: which accounts may use which servers, and the share each is owed there.
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

/// Servers that the same grants select.
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
    /// Servers in the order of their keys.
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
    /// The share of `account` on `server`; none where no grant joins them.
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

    /// Tells whether any server of `pool` is open to `account`.
    pub fn can_use_pool(&self, account: AccountId, pool: PoolId) -> bool {
        self.pools
            .get(&pool)
            .is_some_and(|p| p.servers.iter().any(|s| self.share(account, *s).is_some()))
    }

    /// Tells whether any server of `service` is open to `account`.
    pub fn can_use_service(&self, account: AccountId, service: ServiceId) -> bool {
        self.pools_by_service
            .get(&service)
            .is_some_and(|pools| pools.iter().any(|p| self.can_use_pool(account, *p)))
    }
}
