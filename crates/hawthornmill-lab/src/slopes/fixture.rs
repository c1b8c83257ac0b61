//! Fleets of any size on boards, without sockets.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write;
use std::time::{Duration, Instant};

use hawthornmill::blackboard::{Blackboard, Tuning};
use hawthornmill::config::FleetConfig;
use hawthornmill::config::accept::{Manifest, Values, accept, manifest};
use hawthornmill::ident::{AccountId, DomainId, Incarnation, InstanceId, PoolId, ServiceId};
use hawthornmill::membership::LivenessUpdate;
use hawthornmill::pools;
use hawthornmill::pools::entry::Arrival;
use hawthornmill::wire::frame::payload_len;
use hawthornmill::wire::message::{
    AccountTotal, Contact, Demand, Grant, GrantId, Grants, Message, SlotRelease,
};
use smallvec::SmallVec;

/// Accounts for which an entry tells more waiting calls than are granted.
const WANTED: u32 = 16;
/// Cost of every call.
const COST: f32 = 100.0;
/// Bytes of text in one configuration value, under the platform's bound.
const VALUE: usize = 400_000;
/// Failure domains of one region, about as in the size to design for (24 in 10).
const DOMAINS_EACH: usize = 2;

/// Size of a fleet.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Client accounts.
    pub accounts: usize,
    /// Services, one for each model.
    pub models: usize,
    /// Backend servers.
    pub servers: usize,
    /// Failure domains.
    pub domains: usize,
    /// Instances.
    pub instances: usize,
}

impl Size {
    /// The size to design for.
    pub const DESIGN: Self = Self {
        accounts: 230,
        models: 7,
        servers: 12_000,
        domains: 24,
        instances: 350,
    };
}

/// Texts of a fleet of `size`, split into values that the platform takes.
///
/// `change` goes into a label of the first server, so that two values of it differ by one line.
pub fn values(size: Size, change: usize) -> Values {
    let mut lines = Vec::new();
    for domain in 0..size.domains {
        lines.push(format!(
            "[domain d{domain}]\nregion = r{}\n",
            domain / DOMAINS_EACH
        ));
    }
    for model in 0..size.models {
        lines.push(format!("[service m{model}]\n"));
    }
    for account in 0..size.accounts {
        let token = blake3::hash(format!("token-a{account}").as_bytes());
        let tier = ["small", "medium", "large"][account % 3];
        lines.push(format!(
            "[account a{account}]\nlabels = size={tier}\ntoken = {token}\n"
        ));
    }
    for (name, share) in [("small", 1), ("medium", 2), ("large", 4)] {
        lines.push(format!(
            "[grant {name}]\naccounts = size={name}\nservers = kind in (std,spare),!trial\nshare = {share}\n"
        ));
    }
    lines.push("[grant trial]\naccounts = size=large\nservers = trial\nshare = 1\n".into());
    let mut values = Values::new();
    values.insert("base".into(), lines.concat().into());
    let mut text = String::new();
    for server in 0..size.servers {
        let changed = if server == 0 { change } else { 0 };
        let trial = if server % 50 == 0 { ",trial=yes" } else { "" };
        let _infallible = write!(
            text,
            "[server s{server}]\nservice = m{}\ndomain = d{}\naddress = 10.0.0.1:{}\n\
             labels = kind=std,change=c{changed}{trial}\n",
            server % size.models,
            server / size.models % size.domains,
            1 + server % 60_000,
        );
        if text.len() > VALUE {
            put(&mut values, &mut text);
        }
    }
    put(&mut values, &mut text);
    values
}

fn put(values: &mut Values, text: &mut String) {
    let name = format!("servers-{}", values.len());
    values.insert(name.into(), std::mem::take(text).into());
}

/// The accepted configuration of a fleet of `size`.
///
/// # Panics
/// When the generated text is refused, which is a fault of this module.
pub fn config(size: Size, revision: u64) -> (FleetConfig, Manifest, Values) {
    let values = values(size, revision as usize);
    let manifest = manifest(revision, &values);
    match accept(&manifest, &values) {
        Ok(config) => (config, manifest, values),
        Err(faults) => panic!("{}", faults[0]),
    }
}

/// How to reach instance `number` of a fleet of `size`.
pub fn contact(size: Size, number: usize) -> Contact {
    let domain = number % size.domains;
    Contact {
        name: format!("i{number}").into(),
        domain: format!("d{domain}").into(),
        region: format!("r{}", domain / DOMAINS_EACH).into(),
        http: "10.0.0.1:8000".into(),
        peer: "10.0.0.1:9000".into(),
    }
}

/// The board of instance `number`, with `size` in force and every instance heard at `now`.
pub fn board(size: Size, number: usize, now: Instant) -> Blackboard {
    let mut board = Blackboard::new(
        contact(size, number),
        Incarnation(1),
        Tuning::default(),
        now,
    );
    let (config, manifest, values) = config(size, 1);
    board.install(config, manifest, values);
    for other in 0..size.instances {
        board.members.upsert_contact(contact(size, other), now);
    }
    hear_all(&mut board, size, now);
    board
}

/// A call of the first account to the first model that nothing makes late.
pub fn call(now: Instant) -> Arrival {
    Arrival {
        service: ServiceId::of("m0"),
        account: AccountId::of("a0"),
        bytes: 1000,
        deadline: now + Duration::from_hours(1),
    }
}

/// Every instance gives a sign of life.
pub fn hear_all(board: &mut Blackboard, size: Size, now: Instant) {
    for other in 0..size.instances {
        let sign = LivenessUpdate {
            from: InstanceId::of(&format!("i{other}")),
            incarnation: Incarnation(1),
            leaving: false,
            revision: 1,
            interval: Duration::from_mins(1),
            stable_tenths: u8::MAX,
            direct: true,
        };
        board.members.record_liveness(sign, now);
    }
}

/// A pool's owner with calls waiting and every slot granted.
#[derive(Debug)]
pub struct BusyOwner {
    /// The owner's board.
    pub board: Blackboard,
    /// The pool.
    pub pool: PoolId,
    now: Instant,
    entries: Vec<InstanceId>,
    granted: VecDeque<(InstanceId, Grant)>,
    received: BTreeMap<(InstanceId, AccountId), u32>,
}

impl BusyOwner {
    /// An owner of a pool of `servers` servers, asked by `entries` entries for `waiting` of
    /// `accounts` accounts.
    pub fn new(accounts: usize, waiting: usize, servers: usize, entries: usize) -> Self {
        let size = Size {
            accounts,
            models: 1,
            servers,
            domains: 1,
            instances: 1,
        };
        let start = Instant::now();
        let mut board = board(size, 0, start);
        pools::run_due(&mut board, start);
        let now = start + Duration::from_millis(600);
        board.last_tick = now;
        let pool = PoolId::of(ServiceId::of("m0"), DomainId::of("d0"));
        let entries = (0..entries)
            .map(|n| InstanceId::of(&format!("e{n}")))
            .collect();
        let mut owner = Self {
            board,
            pool,
            now,
            entries,
            granted: VecDeque::new(),
            received: BTreeMap::new(),
        };
        for account in 0..waiting {
            let entry = owner.entries[account % owner.entries.len()];
            owner.want(
                entry,
                AccountId::of(&format!("a{account}")),
                SmallVec::new(),
            );
        }
        owner
    }

    /// Slots that are granted.
    pub fn granted(&self) -> usize {
        self.granted.len()
    }

    /// The oldest grant comes back, its account wants another, and the owner grants the slot anew.
    ///
    /// # Panics
    /// When no slot is granted, which is a fault of the fixture.
    ///
    /// Returns the time of the decision alone: from a free slot to the grant on the board.
    pub fn step(&mut self) -> Duration {
        let (entry, grant) = self.granted.pop_front().expect("slots are granted");
        let id = GrantId {
            owner_run: self.board.incarnation.0 as u32,
            seq: grant.seq,
        };
        let done = SlotRelease {
            grant: id,
            cost: COST,
            failed: false,
        };
        self.want(entry, grant.account, SmallVec::from_iter([done]))
    }

    /// Bytes of the payloads of a step's two messages: entry to owner, owner to entry.
    ///
    /// # Panics
    /// When no slot is granted, which is a fault of the fixture.
    pub fn message_bytes(&mut self) -> [usize; 2] {
        let (_, grant) = *self.granted.front().expect("slots are granted");
        let done = SlotRelease {
            grant: GrantId {
                owner_run: self.board.incarnation.0 as u32,
                seq: grant.seq,
            },
            cost: COST,
            failed: false,
        };
        let want = AccountTotal {
            account: grant.account,
            total: grant.seq,
        };
        let demand = Message::Demand(Demand {
            pool: self.pool,
            requested: SmallVec::from_iter([want]),
            released: SmallVec::from_iter([done]),
        });
        let grants = Message::Grants(Grants {
            pool: self.pool,
            grants: SmallVec::from_iter([grant]),
        });
        [demand, grants].map(|m| payload_len(&m))
    }

    fn want(
        &mut self,
        entry: InstanceId,
        account: AccountId,
        done: SmallVec<[SlotRelease; 2]>,
    ) -> Duration {
        let received = self.received.entry((entry, account)).or_default();
        let wanted = *received + WANTED;
        let demand = Demand {
            pool: self.pool,
            requested: SmallVec::from_iter([AccountTotal {
                account,
                total: wanted,
            }]),
            released: done,
        };
        let message = Message::Demand(demand);
        pools::handle_message(&mut self.board, entry, Incarnation(1), message, self.now);
        let begin = Instant::now();
        pools::schedule::grant_due(&mut self.board, self.now);
        let decided = begin.elapsed();
        pools::run_due(&mut self.board, self.now);
        for (to, message) in self.board.outbox.drain(..) {
            if let Message::Grants(grants) = message {
                for grant in grants.grants {
                    *self.received.entry((to, grant.account)).or_default() += 1;
                    self.granted.push_back((to, grant));
                }
            }
        }
        decided
    }
}
