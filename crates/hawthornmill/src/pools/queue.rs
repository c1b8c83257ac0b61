//! Queues of waiting requests at an entry: who is let in, who goes next, who is given up.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::kept::use_kept;
use crate::board::{Board, RequestKey, Waiting};
use crate::codes::Code;
use crate::ident::{AccountId, ServerId, ServiceId};
use crate::limits::backlog::Backlog;
use crate::limits::pace::Pace;

/// Grants of servers to be avoided that a request lets go by before it takes one.
const DECLINES: u8 = 4;

/// Requests of a queue behind which one may be refused for its deadline.
const KEPT: usize = 4;

/// A new request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Service that it calls.
    pub service: ServiceId,
    /// Account that pays.
    pub account: AccountId,
    /// Bytes of its body.
    pub bytes: usize,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// Puts a request into its account's queue.
///
/// # Errors
/// [`Code::QueueFull`], [`Code::QueueTooLong`] or [`Code::InstanceFull`]; the request was not run.
pub fn enqueue(board: &mut Board, arrival: Arrival, now: Instant) -> Result<RequestKey, Code> {
    check_account(board, &arrival)?;
    let ahead = waiting(board, arrival.service, arrival.account);
    let left = arrival.deadline.saturating_duration_since(now);
    // Some wait in any case: a wrong estimate then takes no work from a server, and is put right by
    // how they are served.
    if ahead >= KEPT && pace(board, arrival.service, arrival.account).hopeless(ahead, left, now) {
        return Err(Code::QueueTooLong);
    }
    make_room(board, &arrival)?;
    Ok(insert(board, arrival, now, SmallVec::new()))
}

/// Puts a request that failed at `avoid` back to the place that it had.
///
/// It was let in before and its body is held anyway, so no bound is checked again.
pub fn requeue(
    board: &mut Board,
    arrival: Arrival,
    arrived: Instant,
    avoid: SmallVec<[ServerId; 2]>,
) -> RequestKey {
    insert(board, arrival, arrived, avoid)
}

/// Tells whether a request of `bytes` would find no room in its account's bounds.
///
/// # Errors
/// [`Code::QueueFull`]; asked before a body is read, so that a flood costs no memory for bodies.
pub fn check_account(board: &Board, arrival: &Arrival) -> Result<(), Code> {
    let held = board.backlogs.of(arrival.account);
    let fits = board
        .config
        .accounts
        .get(&arrival.account)
        .is_some_and(|a| held.count < a.max_queue && held.bytes + arrival.bytes <= a.max_bytes);
    fits.then_some(()).ok_or(Code::QueueFull)
}

/// Makes room within the instance's bounds, at the cost of the account that holds most.
///
/// First come, first served would let one account with a long queue, or one that came first, keep
/// all others out. So the newest request of the largest backlog is refused instead, as long as the
/// arriving account holds less than that one.
fn make_room(board: &mut Board, arrival: &Arrival) -> Result<(), Code> {
    loop {
        let total = board.backlogs.total();
        let size: fn(Backlog) -> usize = if total.count >= board.tuning.max_waiting {
            |b| b.count
        } else if total.bytes + arrival.bytes > board.tuning.max_bytes {
            |b| b.bytes
        } else {
            return Ok(());
        };
        let mut own = board.backlogs.of(arrival.account);
        own.count += 1;
        own.bytes += arrival.bytes;
        let largest = board.backlogs.largest(size);
        let Some((account, _)) = largest.filter(|(_, b)| size(*b) > size(own)) else {
            return Err(Code::InstanceFull);
        };
        let Some(newest) = newest_of(board, account) else {
            return Err(Code::InstanceFull);
        };
        cancel(board, newest);
        board.refusals.push((newest, Code::InstanceFull));
    }
}

fn newest_of(board: &Board, account: AccountId) -> Option<RequestKey> {
    board
        .queues
        .iter()
        .filter(|((_, a), _)| *a == account)
        .filter_map(|(_, queue)| queue.back().copied())
        .max_by_key(|request| board.waiting[*request].arrived)
}

fn insert(
    board: &mut Board,
    arrival: Arrival,
    arrived: Instant,
    avoid: SmallVec<[ServerId; 2]>,
) -> RequestKey {
    let request = board.waiting.insert(Waiting {
        service: arrival.service,
        account: arrival.account,
        arrived,
        deadline: arrival.deadline,
        bytes: arrival.bytes,
        avoid,
        declined: 0,
    });
    let key = (arrival.service, arrival.account);
    let queue = board.queues.entry(key).or_default();
    let place = queue.partition_point(|r| board.waiting[*r].arrived <= arrived);
    queue.insert(place, request);
    board.backlogs.add(arrival.account, arrival.bytes);
    board.dirty.insert(key);
    use_kept(board, arrival.service, arrival.account);
    request
}

/// Takes a waiting request out; none when it waits no longer.
pub fn cancel(board: &mut Board, request: RequestKey) -> Option<Waiting> {
    let waiting = board.waiting.remove(request)?;
    board.backlogs.remove(waiting.account, waiting.bytes);
    let key = (waiting.service, waiting.account);
    if let Some(queue) = board.queues.get_mut(&key) {
        queue.retain(|r| *r != request);
        if queue.is_empty() {
            board.queues.remove(&key);
            if let Some(pace) = board.paces.get_mut(&key) {
                pace.emptied();
            }
        }
    }
    board.dirty.insert(key);
    Some(waiting)
}

/// Gives up waiting requests whose deadline has passed.
pub fn expire(board: &mut Board, now: Instant) {
    let late: Vec<RequestKey> = board
        .waiting
        .iter()
        .filter(|(_, w)| w.deadline <= now)
        .map(|(key, _)| key)
        .collect();
    for request in late {
        cancel(board, request);
        board.refusals.push((request, Code::DeadlinePassed));
    }
}

/// The request that a slot on `server` goes to.
///
/// The oldest that can still be answered in time goes first; one that probably can't is taken only
/// when nothing else waits. Otherwise an overloaded queue gives every slot to a request that is
/// about to be given up, and servers are busy for nobody.
pub fn next(
    board: &mut Board,
    service: ServiceId,
    account: AccountId,
    server: ServerId,
    now: Instant,
) -> Option<RequestKey> {
    let key = (service, account);
    let hold = board.paces.get(&key).and_then(Pace::hold);
    let enough = now + hold.unwrap_or_default();
    let queue = board.queues.get(&key)?;
    let fits = |w: &Waiting| !w.avoid.contains(&server) || w.declined >= DECLINES;
    let find = |left: &dyn Fn(&Waiting) -> bool| {
        let mut all = queue.iter().copied();
        all.find(|r| board.waiting.get(*r).is_some_and(|w| left(w) && fits(w)))
    };
    let found = find(&|w| w.deadline > enough).or_else(|| find(&|w| w.deadline > now));
    if found.is_none() {
        decline(board, key);
    }
    found
}

/// Notes that a grant goes back because every waiting request avoids its server.
///
/// The owner doesn't know what a request avoids and may offer the same server again and again, when
/// it has the most free slots or is the only one; a request therefore declines a few times only.
fn decline(board: &mut Board, key: (ServiceId, AccountId)) {
    let oldest = board.queues.get(&key).and_then(|q| q.front()).copied();
    if let Some(waiting) = oldest.and_then(|r| board.waiting.get_mut(r)) {
        waiting.declined = waiting.declined.saturating_add(1);
    }
    board.dirty.insert(key);
}

fn waiting(board: &Board, service: ServiceId, account: AccountId) -> usize {
    let queue = board.queues.get(&(service, account));
    queue.map_or(0, std::collections::VecDeque::len)
}

fn pace(board: &Board, service: ServiceId, account: AccountId) -> Pace {
    let known = board.paces.get(&(service, account));
    known.copied().unwrap_or_default()
}

/// Notes that a request of the queue got a slot.
pub fn note_served(board: &mut Board, service: ServiceId, account: AccountId, now: Instant) {
    let left = waiting(board, service, account);
    let pace = board.paces.entry((service, account)).or_default();
    pace.served(left, now);
}

/// Notes for how long a request held its slot.
pub fn note_held(board: &mut Board, service: ServiceId, account: AccountId, time: Duration) {
    let pace = board.paces.entry((service, account)).or_default();
    pace.held(time);
}

/// When a caller that was refused may come back: half of its queue over the rate of its account.
///
/// `draw` lies between 0 and 1 and spreads callers that were refused together.
pub fn retry_after(
    board: &Board,
    service: ServiceId,
    account: AccountId,
    draw: f64,
    now: Instant,
) -> Duration {
    let ahead = waiting(board, service, account);
    pace(board, service, account).come_back(ahead, draw, now)
}
