//! Queues of waiting requests at an entry: admission, order and expiry.

use std::time::{Duration, Instant};

use smallvec::SmallVec;

use super::retained::use_retained;
use crate::blackboard::{Blackboard, RequestKey, WaitingRequest};
use crate::codes::Code;
use crate::ident::{AccountId, ServerId, ServiceId};
use crate::limits::backlog::Backlog;
use crate::limits::queue_rate::QueueRate;

/// Grants for avoided servers that a request declines before it accepts one.
const MAX_DECLINES: u8 = 4;

/// Queue length from which a request may be rejected because of its deadline.
const MIN_QUEUE_LENGTH: usize = 4;

/// A new request.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The service called.
    pub service: ServiceId,
    /// The account charged.
    pub account: AccountId,
    /// Size of its body.
    pub bytes: usize,
    /// Deadline of the caller.
    pub deadline: Instant,
}

/// Adds a request to its account's queue.
///
/// # Errors
/// [`Code::QueueFull`], [`Code::QueueTooLong`] or [`Code::InstanceFull`]; the request was not run.
pub fn enqueue(board: &mut Blackboard, arrival: Arrival, now: Instant) -> Result<RequestKey, Code> {
    check_account_limits(board, &arrival)?;
    let ahead = queue_length(board, arrival.service, arrival.account);
    let left = arrival.deadline.saturating_duration_since(now);
    // A few requests wait in any case: a wrong estimate then doesn't leave servers idle, and how
    // fast these requests are served corrects it.
    if ahead >= MIN_QUEUE_LENGTH
        && queue_rate(board, arrival.service, arrival.account).misses_deadline(ahead, left, now)
    {
        return Err(Code::QueueTooLong);
    }
    make_room(board, &arrival)?;
    Ok(insert(board, arrival, now, SmallVec::new()))
}

/// Returns a request that failed on the servers in `avoid` to its position in the queue.
///
/// It was admitted before and its body is in memory anyway, so no limit is checked again.
pub fn requeue(
    board: &mut Blackboard,
    arrival: Arrival,
    arrived: Instant,
    avoid: SmallVec<[ServerId; 2]>,
) -> RequestKey {
    insert(board, arrival, arrived, avoid)
}

/// Checks a request against its account's limits.
///
/// Called before the body is read, so that a flood uses no memory for bodies.
///
/// # Errors
/// [`Code::QueueFull`] if the request exceeds a limit.
pub fn check_account_limits(board: &Blackboard, arrival: &Arrival) -> Result<(), Code> {
    let backlog = board.backlogs.account(arrival.account);
    let fits = board
        .config
        .accounts
        .get(&arrival.account)
        .is_some_and(|a| {
            backlog.count < a.max_queue && backlog.bytes + arrival.bytes <= a.max_bytes
        });
    fits.then_some(()).ok_or(Code::QueueFull)
}

/// Makes room within the instance's limits by evicting requests of the account with most of them.
///
/// In order of arrival, an account with a long queue could keep all others out. So the newest
/// request of the largest backlog is rejected instead, as long as the arriving account has a smaller
/// backlog.
fn make_room(board: &mut Blackboard, arrival: &Arrival) -> Result<(), Code> {
    loop {
        let total = board.backlogs.total();
        let size: fn(Backlog) -> usize = if total.count >= board.tuning.max_waiting {
            |b| b.count
        } else if total.bytes + arrival.bytes > board.tuning.max_bytes {
            |b| b.bytes
        } else {
            return Ok(());
        };
        let mut own = board.backlogs.account(arrival.account);
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
        board.rejections.push((newest, Code::InstanceFull));
    }
}

fn newest_of(board: &Blackboard, account: AccountId) -> Option<RequestKey> {
    board
        .queues
        .iter()
        .filter(|((_, a), _)| *a == account)
        .filter_map(|(_, queue)| queue.back().copied())
        .max_by_key(|request| board.waiting[*request].arrived)
}

fn insert(
    board: &mut Blackboard,
    arrival: Arrival,
    arrived: Instant,
    avoid: SmallVec<[ServerId; 2]>,
) -> RequestKey {
    let request = board.waiting.insert(WaitingRequest {
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
    let position = queue.partition_point(|r| board.waiting[*r].arrived <= arrived);
    queue.insert(position, request);
    board.backlogs.add(arrival.account, arrival.bytes);
    board.dirty_queues.insert(key);
    use_retained(board, arrival.service, arrival.account);
    request
}

/// Removes a waiting request; returns `None` if it is no longer waiting.
pub fn cancel(board: &mut Blackboard, request: RequestKey) -> Option<WaitingRequest> {
    let waiting = board.waiting.remove(request)?;
    board.backlogs.remove(waiting.account, waiting.bytes);
    let key = (waiting.service, waiting.account);
    if let Some(queue) = board.queues.get_mut(&key) {
        queue.retain(|r| *r != request);
        if queue.is_empty() {
            board.queues.remove(&key);
            if let Some(rate) = board.queue_rates.get_mut(&key) {
                rate.on_empty();
            }
        }
    }
    board.dirty_queues.insert(key);
    Some(waiting)
}

/// Rejects waiting requests whose deadline has passed.
pub fn expire(board: &mut Blackboard, now: Instant) {
    let expired: Vec<RequestKey> = board
        .waiting
        .iter()
        .filter(|(_, w)| w.deadline <= now)
        .map(|(key, _)| key)
        .collect();
    for request in expired {
        cancel(board, request);
        board.rejections.push((request, Code::DeadlinePassed));
    }
}

/// The request to assign a slot on `server` to.
///
/// The oldest request that can still meet its deadline goes first; one that probably can't is chosen
/// only if no other waits. Otherwise an overloaded queue would give every slot to a request that is
/// about to time out, and the servers' work would be wasted.
pub fn next_request(
    board: &mut Blackboard,
    service: ServiceId,
    account: AccountId,
    server: ServerId,
    now: Instant,
) -> Option<RequestKey> {
    let key = (service, account);
    let holding_time = board
        .queue_rates
        .get(&key)
        .and_then(QueueRate::mean_holding_time);
    let finish = now + holding_time.unwrap_or_default();
    let queue = board.queues.get(&key)?;
    let fits = |w: &WaitingRequest| !w.avoid.contains(&server) || w.declined >= MAX_DECLINES;
    let find = |in_time: &dyn Fn(&WaitingRequest) -> bool| {
        let mut all = queue.iter().copied();
        all.find(|r| board.waiting.get(*r).is_some_and(|w| in_time(w) && fits(w)))
    };
    let found = find(&|w| w.deadline > finish).or_else(|| find(&|w| w.deadline > now));
    if found.is_none() {
        decline(board, key);
    }
    found
}

/// Records that a grant is returned because every waiting request avoids its server.
///
/// The owner doesn't know the avoided servers and may grant the same one again and again if it has
/// the most free slots or is the only one. So a request declines [`MAX_DECLINES`] times only.
fn decline(board: &mut Blackboard, key: (ServiceId, AccountId)) {
    let oldest = board.queues.get(&key).and_then(|q| q.front()).copied();
    if let Some(waiting) = oldest.and_then(|r| board.waiting.get_mut(r)) {
        waiting.declined = waiting.declined.saturating_add(1);
    }
    board.dirty_queues.insert(key);
}

fn queue_length(board: &Blackboard, service: ServiceId, account: AccountId) -> usize {
    let queue = board.queues.get(&(service, account));
    queue.map_or(0, std::collections::VecDeque::len)
}

fn queue_rate(board: &Blackboard, service: ServiceId, account: AccountId) -> QueueRate {
    let known = board.queue_rates.get(&(service, account));
    known.copied().unwrap_or_default()
}

/// Records that a request of the queue got a slot.
pub fn record_dispatch(
    board: &mut Blackboard,
    service: ServiceId,
    account: AccountId,
    now: Instant,
) {
    let remaining = queue_length(board, service, account);
    let rate = board.queue_rates.entry((service, account)).or_default();
    rate.record_dispatch(remaining, now);
}

/// Records how long a request held its slot.
pub fn record_holding_time(
    board: &mut Blackboard,
    service: ServiceId,
    account: AccountId,
    time: Duration,
) {
    let rate = board.queue_rates.entry((service, account)).or_default();
    rate.record_holding_time(time);
}

/// Time after which a rejected caller should retry: when half of its queue has been served.
///
/// `draw` is a random number between 0 and 1 that spreads callers that were rejected together.
pub fn retry_after(
    board: &Blackboard,
    service: ServiceId,
    account: AccountId,
    draw: f64,
    now: Instant,
) -> Duration {
    let ahead = queue_length(board, service, account);
    queue_rate(board, service, account).retry_after(ahead, draw, now)
}
