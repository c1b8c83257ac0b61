//! Getting from other instances what they know and this one does not.
//!
//! It is asked for in datagrams first, and over a connection where it doesn't fit them or none comes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::limits::patience::{self, Patience};
use hawthornmill::routing::news::{Knowledge, Pull};
use hawthornmill::routing::parts::{Gathering, Part, Wanted, split};
use hawthornmill::routing::registry::List;
use hawthornmill::wire::{Message, Opener, Sealer};
use hawthornmill_process::frames;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::journal;
use crate::pool::connect_within;
use crate::post::Post;

/// Time for which a mate must be ahead before it is asked: the store's own answer is mostly faster.
const BEHIND: Duration = Duration::from_millis(350);
/// Time between two looks at whether a mate is ahead.
const LOOK: Duration = Duration::from_millis(100);
/// Time for which a mate that did not answer is not asked again; by then it counts as silent.
const MUTE: Duration = Duration::from_secs(2);
/// Time for the parts that were asked for; several round trips between regions.
const ROUND: Duration = Duration::from_millis(200);
/// Rounds in a row that bring nothing, after which a connection is tried.
const MOST_EMPTY: usize = 2;

/// The answer in parts that is waited for, if any.
#[derive(Debug, Default)]
pub struct Gatherings {
    /// Who was asked last.
    asked: Cell<Option<SocketAddr>>,
    /// What has come from there.
    gathering: RefCell<Gathering>,
    /// A part came.
    came: Notify,
}

impl Gatherings {
    /// Takes one part; one that nobody waits for is dropped.
    pub fn take(&self, from: SocketAddr, part: Part) {
        if self.asked.get() == Some(from) {
            self.gathering.borrow_mut().take(part);
            self.came.notify_one();
        }
    }

    fn begin(&self, mate: SocketAddr) {
        self.asked.set(Some(mate));
        self.gathering.take();
    }

    fn look<T>(&self, look: impl FnOnce(&Gathering) -> T) -> T {
        look(&self.gathering.borrow())
    }
}

/// Sends the parts that `wanted` asks for.
pub fn tell_parts(gateway: &Gateway, post: &Post, to: SocketAddr, wanted: &Wanted) {
    let Ok(whole) = postcard::to_allocvec(&knowledge(gateway, wanted.pull)) else {
        log::error!(target: "mates", "what is known can't be encoded");
        return;
    };
    for part in split(&whole, wanted) {
        post.send(&Message::Part(part), [to]);
    }
}

/// Why an answer doesn't come in datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Unanswered {
    Silent,
    TooLarge,
    Unreadable,
}

/// Asks `mate` in datagrams.
async fn gather(
    gateway: &Gateway,
    post: &Post,
    mate: SocketAddr,
    pull: Pull,
) -> Result<Knowledge, Unanswered> {
    let gathering = &gateway.gathering;
    gathering.begin(mate);
    let mut empty = 0;
    while empty < MOST_EMPTY {
        let (before, wanted) = gathering.look(|g| (g.count(), g.wanted(pull)));
        post.send(&Message::Wanted(wanted), [mate]);
        let _over = tokio::time::timeout(ROUND, until_whole(gathering)).await;
        if gathering.look(Gathering::is_too_large) {
            return Err(Unanswered::TooLarge);
        }
        if let Some(whole) = gathering.look(Gathering::whole) {
            return postcard::from_bytes(&whole).map_err(|error| {
                log::warn!(target: "mates", "{mate} can't be understood: {error}");
                Unanswered::Unreadable
            });
        }
        let came = gathering.look(Gathering::count) > before;
        empty = if came { 0 } else { empty + 1 };
    }
    Err(Unanswered::Silent)
}

async fn until_whole(gathering: &Gatherings) {
    let over = |g: &Gathering| g.is_too_large() || g.whole().is_some();
    while !gathering.look(over) {
        gathering.came.notified().await;
    }
}

/// Asks mates that know more, for as long as the process lives.
pub async fn catch_up(gateway: Rc<Gateway>, post: Rc<Post>) {
    let mut behind: Option<Instant> = None;
    let mut mute: Vec<(SocketAddr, Instant)> = Vec::new();
    let mut patience = Patience::default();
    loop {
        tokio::time::sleep(LOOK).await;
        let now = gateway.now();
        mute.retain(|(_, at)| now.duration_since(*at) < MUTE);
        let passed: Vec<SocketAddr> = mute.iter().map(|(mate, _)| *mate).collect();
        let (version, revision) = (gateway.version(), gateway.desk.borrow().registry.latest());
        let ahead = gateway
            .mates
            .borrow()
            .ahead(version, revision, &passed, now);
        if ahead.is_empty() {
            behind = None;
            continue;
        }
        if now.duration_since(*behind.get_or_insert(now)) < BEHIND {
            continue;
        }
        let mut answered = true;
        for mate in ahead {
            let (peer, asked) = (mate.mate.peer, gateway.now());
            let pull = Pull { version, revision };
            if !ask_one(&gateway, &post, peer, pull, patience.time()).await {
                mute.push((peer, gateway.now()));
                patience.missed(gateway.mates.borrow().is_heard_since(peer, asked));
                answered = false;
            }
        }
        if answered {
            behind = None;
            patience = Patience::default();
        }
    }
}

/// How far a question over a connection is.
#[derive(Debug, Clone, Copy)]
enum Step {
    Connecting,
    Connected,
    Asked,
}

/// Asks one mate; false when it does not answer, over a connection within `time`.
async fn ask_one(
    gateway: &Gateway,
    post: &Post,
    mate: SocketAddr,
    pull: Pull,
    time: Duration,
) -> bool {
    let began = gateway.now();
    match gather(gateway, post, mate, pull).await {
        Ok(knowledge) => {
            learn(gateway, knowledge, mate);
            note_answer(gateway, mate, began, "parts", None);
            return true;
        }
        Err(Unanswered::Silent) if has_other(gateway, mate, pull) => {
            note_answer(gateway, mate, began, "parts", Some("silent"));
            return false;
        }
        Err(_other) => {}
    }
    let step = Cell::new(Step::Connecting);
    let answer = tokio::time::timeout(time, ask(gateway, mate, pull, &step)).await;
    let why = match answer {
        Ok(Ok(knowledge)) => {
            learn(gateway, knowledge, mate);
            None
        }
        Ok(Err(error)) => Some(error.to_string()),
        Err(_elapsed) => Some(format!("no answer in {} ms", time.as_millis())),
    };
    let (answered, step) = (why.is_none(), format!("{:?}", step.get()));
    note_answer(gateway, mate, began, &step, why.as_deref());
    answered
}

/// Tells whether somebody else knows more than `pull` says: asked next, it may answer at once.
fn has_other(gateway: &Gateway, mate: SocketAddr, pull: Pull) -> bool {
    let (mates, now) = (gateway.mates.borrow(), gateway.now());
    !mates
        .ahead(pull.version, pull.revision, &[mate], now)
        .is_empty()
}

fn note_answer(gateway: &Gateway, mate: SocketAddr, began: Instant, step: &str, why: Option<&str>) {
    let took = gateway.now().duration_since(began);
    let fields = json!({
        "mate": mate.to_string(), "step": step, "why": why, "took_ms": took.as_millis() as u64,
    });
    journal::belief("mate_asked", fields);
}

fn learn(gateway: &Gateway, knowledge: Knowledge, from: SocketAddr) {
    let from = from.to_string();
    if let Some(catalog) = knowledge.catalog {
        gateway.accept(catalog, &from);
    }
    if let Some(entries) = knowledge.servers {
        let list = List {
            entries,
            doubted: knowledge.doubted,
            revision: knowledge.revision,
            away: false,
        };
        gateway.list(list, &from);
        let registry = &mut gateway.desk.borrow_mut().registry;
        registry.caught_up(knowledge.revision);
    }
}

async fn ask(
    gateway: &Gateway,
    mate: SocketAddr,
    pull: Pull,
    step: &Cell<Step>,
) -> std::io::Result<Knowledge> {
    let mut link = connect_within(mate, patience::MOST).await?;
    step.set(Step::Connected);
    let channel = link.read_u64_le().await?;
    step.set(Step::Asked);
    let key = gateway.settings().key;
    let mut sealer = Sealer::new(key, gateway.me, gateway.incarnation, channel);
    send(&mut link, &mut sealer, &Message::Pull(pull)).await?;
    let mut opener = Opener::new(key, channel);
    match receive(&mut link, &mut opener).await? {
        Message::Knowledge(knowledge) => Ok(*knowledge),
        _ => Err(std::io::ErrorKind::InvalidData.into()),
    }
}

async fn send(link: &mut TcpStream, sealer: &mut Sealer, message: &Message) -> std::io::Result<()> {
    let frame = sealer.seal(message).map_err(std::io::Error::other)?;
    let mut bytes = Vec::with_capacity(frame.len() + size_of::<u32>());
    frames::append(&mut bytes, &frame);
    link.write_all(&bytes).await
}

async fn receive(link: &mut TcpStream, opener: &mut Opener) -> std::io::Result<Message> {
    let frame = frames::read(link).await.map_err(std::io::Error::other)?;
    let frame = frame.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let frame = opener.open(&frame).map_err(std::io::Error::other)?;
    Ok(frame.message)
}

/// Answers mates that ask, for as long as the process lives.
pub async fn answer(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let Ok((link, from)) = listener.accept().await else {
            tokio::time::sleep(LOOK).await;
            continue;
        };
        let gateway = Rc::clone(&gateway);
        tokio::task::spawn_local(async move {
            let told = tokio::time::timeout(patience::MOST, tell_one(&gateway, link)).await;
            if let Ok(Err(error)) = told {
                let fields = json!({"mate": from.to_string(), "why": error.to_string()});
                journal::belief("mate_not_told", fields);
            }
        });
    }
}

async fn tell_one(gateway: &Gateway, mut link: TcpStream) -> std::io::Result<()> {
    let channel: u64 = rand::random();
    link.write_u64_le(channel).await?;
    let key = gateway.settings().key;
    let mut opener = Opener::new(key, channel);
    let Message::Pull(pull) = receive(&mut link, &mut opener).await? else {
        return Err(std::io::ErrorKind::InvalidData.into());
    };
    let knowledge = knowledge(gateway, pull);
    let mut sealer = Sealer::new(key, gateway.me, gateway.incarnation, channel);
    send(
        &mut link,
        &mut sealer,
        &Message::Knowledge(Box::new(knowledge)),
    )
    .await
}

fn knowledge(gateway: &Gateway, pull: Pull) -> Knowledge {
    let table = gateway.table();
    let newer = table.filter(|t| t.version() > pull.version);
    let desk = gateway.desk.borrow();
    let latest = desk.registry.latest();
    Knowledge {
        catalog: newer.map(|t| t.catalog().clone()),
        servers: (latest > pull.revision).then(|| desk.registry.snapshot()),
        doubted: desk.registry.doubted(gateway.now()),
        revision: latest,
    }
}
