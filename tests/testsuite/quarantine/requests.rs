//! A request that is repeated, and others that only happen to run where servers crash.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hawthornmill::ident::AccountId;
use hawthornmill::quarantine::evidence::RunningRequest;
use hawthornmill::quarantine::fingerprint::{Fingerprint, RequestContent};
use hawthornmill::quarantine::table::{Change, QUARANTINE_TTL, Quarantine, QuarantineStatus};
use hawthornmill::routing::recent::{Audience, Source};
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::routing::shape::PromptPart;
use hawthornmill::wire::frame::MAX_DATAGRAM_BYTES;

use super::{
    after_events, answer, crash, is_quarantined, millis, news, request, run, status, tell,
};

/// Failure: a request crashes server after server, since nothing ties its repeats to each other.
#[test]
fn third_end_holds_a_request_and_then_refuses_it() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let bad = request("/bad");

    crash(&mut table, 1, std::slice::from_ref(&bad), now);
    crash(&mut table, 2, std::slice::from_ref(&bad), now + millis(200));
    let after_two = status(&mut table, &bad, now + millis(300));
    crash(&mut table, 3, std::slice::from_ref(&bad), now + millis(400));
    let after_three = status(&mut table, &bad, now + millis(450));
    let later = status(&mut table, &bad, now + millis(1_100));

    assert_eq!(after_two, QuarantineStatus::Clear);
    assert!(
        matches!(after_three, QuarantineStatus::Held(_)),
        "{after_three:?}"
    );
    let QuarantineStatus::Quarantined(quarantined) = later else {
        panic!("{later:?}");
    };
    assert_eq!(
        (quarantined.crashes, quarantined.retry_after),
        (3, QUARANTINE_TTL)
    );
    assert_eq!(
        status(&mut table, &request("/7"), now + millis(1_100)),
        QuarantineStatus::Clear
    );
}

/// Failure: a rack that loses power counts against each request that ran there, and three racks refuse sound requests.
#[test]
fn servers_that_end_together_convict_no_request() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let long = request("/long");

    for wave in 0..6_u32 {
        let at = now + millis(2_000) * wave;
        for server in 0..3 {
            let number = wave as usize * 3 + server;
            let running = if server == 0 {
                vec![long.clone()]
            } else {
                vec![request(&format!("/{number}"))]
            };
            crash(
                &mut table,
                number,
                &running,
                at + millis(server as u64 * 10),
            );
        }
    }

    let entry = status(&mut table, &long, now + millis(13_000));
    assert_eq!(entry, QuarantineStatus::Clear);
}

/// Failure: the repeats of two clients crash two servers in one group, and that counts as a rack.
#[test]
fn request_that_ran_on_all_servers_of_a_moment_is_their_cause() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let bad = request("/bad");

    for wave in 0..3_u32 {
        let at = now + millis(300) * wave;
        for server in 0..2 {
            let number = wave as usize * 2 + server;
            crash(
                &mut table,
                number,
                &[bad.clone(), request(&format!("/{number}"))],
                at,
            );
        }
    }

    assert!(matches!(
        status(&mut table, &bad, now + millis(700)),
        QuarantineStatus::Held(_)
    ));
}

/// Failure: a request that is answered elsewhere stays refused because of servers that crashed under it by chance.
#[test]
fn answered_request_is_cleared() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let popular = request("/popular");

    for number in 0..3 {
        crash(
            &mut table,
            number,
            std::slice::from_ref(&popular),
            now + millis(200 * number as u64),
        );
    }
    answer(&mut table, &popular, now + millis(500));
    let cleared = status(&mut table, &popular, now + millis(2_000));
    for number in 3..5 {
        crash(
            &mut table,
            number,
            std::slice::from_ref(&popular),
            now + millis(3_000 + 200 * number as u64),
        );
    }

    assert_eq!(cleared, QuarantineStatus::Clear);
    assert_eq!(table.earlier_crashes(popular.fingerprints.request), 2);
    assert_eq!(
        status(&mut table, &popular, now + millis(9_000)),
        QuarantineStatus::Clear
    );
}

/// Failure: a request that was refused wrongly stays so, though one that was under way is answered.
#[test]
fn late_answer_lifts_a_quarantine_everywhere() {
    let (mut here, mut there, now) = (Quarantine::default(), Quarantine::default(), Instant::now());
    let wrong = request("/wrong");
    for number in 0..3 {
        crash(
            &mut here,
            number,
            std::slice::from_ref(&wrong),
            now + millis(200 * number as u64),
        );
    }
    let at = now + millis(1_100);
    assert!(is_quarantined(&mut here, &wrong, at));
    tell(&here, &mut there, at);
    assert!(is_quarantined(&mut there, &wrong, at + millis(700)));

    answer(&mut here, &wrong, at + millis(800));
    tell(&here, &mut there, at + millis(900));

    assert_eq!(
        status(&mut here, &wrong, at + millis(900)),
        QuarantineStatus::Clear
    );
    assert_eq!(
        status(&mut there, &wrong, at + millis(900)),
        QuarantineStatus::Clear
    );
    let changes = there.take_changes();
    assert_eq!(
        changes.last(),
        Some(&Change::Cleared(wrong.fingerprints.request))
    );
}

/// Failure: each instance sees one crash, so none of them ever knows of three.
#[test]
fn instances_that_saw_one_end_each_find_the_cause_together() {
    let now = Instant::now();
    let bad = request("/bad");
    let mut instances = vec![Quarantine::default(); 3];

    for (number, table) in instances.iter_mut().enumerate() {
        crash(
            table,
            number,
            std::slice::from_ref(&bad),
            now + millis(200 * number as u64),
        );
    }
    let at = now + millis(500);
    let told: Vec<_> = instances.iter().flat_map(|t| news(t, at)).collect();
    for table in &mut instances {
        for message in &told {
            table.apply(message, at);
        }
    }

    for table in &mut instances {
        assert!(is_quarantined(table, &bad, at + millis(700)));
        assert_eq!(table.earlier_crashes(bad.fingerprints.request), 3);
    }
}

/// Failure: an instance that has just started, or missed all that was told before, sends a quarantined request.
#[test]
fn instance_that_starts_later_is_told() {
    let (mut known, mut newcomer, now) =
        (Quarantine::default(), Quarantine::default(), Instant::now());
    let bad = request("/bad");
    for number in 0..3 {
        crash(
            &mut known,
            number,
            std::slice::from_ref(&bad),
            now + millis(200 * number as u64),
        );
    }
    assert!(is_quarantined(&mut known, &bad, now + millis(1_100)));
    let later = now + Duration::from_mins(3);

    for message in known.messages(Audience::OtherDomains, true, later) {
        newcomer.apply(&message, later);
    }

    assert!(is_quarantined(&mut newcomer, &bad, later));
}

/// Failure: a stream that is served for long loses its server three times by chance and is refused.
#[test]
fn streams_that_go_on_are_no_cause_unless_they_break_at_the_same_event() {
    let (mut table, now) = (Quarantine::default(), Instant::now());

    for (number, events) in [70, 12, 31, 44].into_iter().enumerate() {
        let at = now + millis(300 * number as u64);
        let running = [after_events("/long", events), after_events("/same", 20)];
        crash(&mut table, number, &running, at);
    }

    let later = now + millis(2_000);
    assert_eq!(
        status(&mut table, &request("/long"), later),
        QuarantineStatus::Clear
    );
    assert!(is_quarantined(&mut table, &request("/same"), later));
}

/// Failure: a sound request that is sent again lands where the next server crashes, and is refused with the cause.
#[test]
fn request_that_ran_beside_the_cause_goes_on() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let (bad, beside) = (request("/bad"), request("/beside"));

    for number in 0..5 {
        let running = if number < 3 {
            vec![bad.clone(), beside.clone()]
        } else {
            vec![bad.clone()]
        };
        crash(
            &mut table,
            number,
            &running,
            now + millis(200 * number as u64),
        );
    }

    let later = now + millis(2_000);
    assert!(is_quarantined(&mut table, &bad, later));
    assert_eq!(status(&mut table, &beside, later), QuarantineStatus::Clear);
}

/// Failure: a quarantine outlives its cause, or each of its crashes costs as many servers as the first one did.
#[test]
fn quarantine_lapses_without_requests_and_one_more_end_renews_it() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let bad = request("/bad");
    for number in 0..3 {
        crash(
            &mut table,
            number,
            std::slice::from_ref(&bad),
            now + millis(200 * number as u64),
        );
    }
    let refused_at = now + QUARANTINE_TTL / 2;
    assert!(is_quarantined(&mut table, &bad, now + millis(1_100)));
    assert!(is_quarantined(&mut table, &bad, refused_at));

    let kept = now + QUARANTINE_TTL + millis(1_100);
    assert!(!table.is_empty());
    table.update(kept);
    assert!(!table.is_empty(), "a request was refused in between");
    let expired = refused_at + QUARANTINE_TTL;
    assert_eq!(status(&mut table, &bad, expired), QuarantineStatus::Clear);
    crash(
        &mut table,
        3,
        std::slice::from_ref(&bad),
        expired + millis(100),
    );

    assert!(is_quarantined(&mut table, &bad, expired + millis(800)));
}

/// Failure: a client fills the memory of all instances, or a datagram, with requests under which servers crash.
#[test]
fn what_is_kept_and_told_is_bounded() {
    let (mut table, now) = (Quarantine::default(), Instant::now());

    for number in 0..600 {
        let at = now + millis(250 * number as u64);
        let bad = request(&format!("/{}", number / 3));
        let others = (0..200).map(|n| request(&format!("/{number}/{n}")));
        let running: Vec<_> = std::iter::once(bad).chain(others).collect();
        crash(&mut table, number, &running, at);
        table.update(at);
        for message in table.messages(Audience::OtherDomains, true, at) {
            let bytes = postcard::to_stdvec(&message).expect("it can be encoded");
            assert!(bytes.len() < MAX_DATAGRAM_BYTES - 100, "{}", bytes.len());
        }
    }

    assert!(table.len() <= 128, "{}", table.len());
    assert!(table.len() > 100, "{}", table.len());
}

/// Failure: a crash that two instances report, each with what it ran there, counts twice.
#[test]
fn end_that_two_instances_saw_counts_once() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let bad = request("/bad");

    for number in 0..2 {
        let at = now + millis(200 * number as u64);
        crash(&mut table, number, std::slice::from_ref(&bad), at);
        table.record_crash(
            run(number),
            at + millis(40),
            &[bad.clone(), request("/other")],
            Source::Peer,
            at + millis(90),
        );
    }

    assert_eq!(table.earlier_crashes(bad.fingerprints.request), 2);
    assert_eq!(
        status(&mut table, &bad, now + millis(2_000)),
        QuarantineStatus::Clear
    );
}

/// Failure: two requests of which servers see something else share their fate.
#[test]
fn fingerprints_tell_requests_apart_by_all_that_servers_see() {
    let part = |id| PromptPart { id, tokens: 10 };
    let (one, other) = ([part(1), part(2)], [part(1), part(3)]);
    let base = RequestContent {
        account: Some(AccountId::of("lab")),
        method: "POST",
        host: b"h.example",
        target: "/a/7",
        parts: &one,
        body: &[b"0123456789"],
    };
    let all = [
        base,
        RequestContent {
            account: None,
            ..base
        },
        RequestContent {
            account: Some(AccountId::of("other")),
            ..base
        },
        RequestContent {
            method: "GET",
            ..base
        },
        RequestContent {
            host: b"i.example",
            ..base
        },
        RequestContent {
            target: "/a/8",
            ..base
        },
        RequestContent {
            host: b"h.exampl",
            target: "e/a/7",
            ..base
        },
        RequestContent {
            parts: &other,
            ..base
        },
        RequestContent {
            parts: &one[..1],
            ..base
        },
        RequestContent {
            body: &[b"012345678"],
            ..base
        },
        RequestContent {
            body: &[b"0123456789\0"],
            ..base
        },
    ];

    let distinct: BTreeSet<Fingerprint> = all.iter().map(Fingerprint::of_request).collect();

    assert_eq!(distinct.len(), all.len());
    assert_eq!(
        Fingerprint::of_request(&base),
        Fingerprint::of_request(&{ base })
    );
}

/// Failure: an operator sees that a sound request is refused and can't do anything about it.
#[test]
fn operator_can_trust_a_request() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let bad = request("/bad");
    for number in 0..3 {
        crash(
            &mut table,
            number,
            std::slice::from_ref(&bad),
            now + millis(200 * number as u64),
        );
    }
    assert!(is_quarantined(&mut table, &bad, now + millis(1_100)));

    table.set_exempt(&[bad.fingerprints.request], now + millis(1_200));
    crash(
        &mut table,
        3,
        std::slice::from_ref(&bad),
        now + millis(1_300),
    );

    assert_eq!(
        status(&mut table, &bad, now + millis(3_000)),
        QuarantineStatus::Clear
    );
}

/// Failure: servers that don't tell when they started crash again and again, and all of it counts as one crash.
#[test]
fn ends_of_a_server_without_a_start_are_told_apart_by_their_times() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let bad = request("/bad");
    let unnamed = ServerRun {
        start_ms: 0,
        ..run(1)
    };

    for number in 0..3 {
        let at = now + millis(2_000 * number);
        for seen_at in [at, at + millis(80)] {
            table.record_crash(
                unnamed,
                seen_at,
                std::slice::from_ref(&bad),
                Source::Own,
                seen_at,
            );
        }
    }

    assert_eq!(table.earlier_crashes(bad.fingerprints.request), 3);
}

/// Failure: all servers are down most of the time, so nothing is answered, and the request that most callers send is
/// refused in place of the cause, or beside it.
#[test]
fn popular_request_is_no_cause_while_nothing_is_answered() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let (bad, popular) = (request("/bad"), request("/popular"));

    for number in 0..9 {
        let copies = (0..6).map(|copy| RunningRequest {
            attempt: number as u64 * 10 + copy,
            ..popular.clone()
        });
        let cause = (number % 4 != 0).then(|| bad.clone());
        let running: Vec<_> = copies.chain(cause).collect();
        crash(
            &mut table,
            number,
            &running,
            now + millis(200 * number as u64),
        );
    }

    let later = now + millis(3_000);
    assert!(is_quarantined(&mut table, &bad, later));
    assert_eq!(status(&mut table, &popular, later), QuarantineStatus::Clear);
}

/// Failure: a request was refused before the cause that explains the same crashes was known, and stays so.
#[test]
fn quarantine_is_lifted_when_another_cause_explains_its_ends() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let (bad, beside) = (request("/bad"), request("/beside"));
    for number in 0..3 {
        crash(
            &mut table,
            number,
            std::slice::from_ref(&beside),
            now + millis(200 * number as u64),
        );
    }
    assert!(is_quarantined(&mut table, &beside, now + millis(1_100)));

    // An instance whose news comes late ran the cause there, and at one server more.
    for number in 0..4 {
        let at = now + millis(200 * number as u64);
        table.record_crash(
            run(number),
            at,
            std::slice::from_ref(&bad),
            Source::Peer,
            now + millis(1_200),
        );
    }

    assert_eq!(
        status(&mut table, &beside, now + millis(1_300)),
        QuarantineStatus::Clear
    );
    assert!(is_quarantined(&mut table, &bad, now + millis(1_900)));
}

/// Failure: so many requests were answered after a crash that no further answer clears anything.
#[test]
fn latest_answers_count_however_many_there_were() {
    let (mut table, now) = (Quarantine::default(), Instant::now());
    let popular = request("/popular");
    for number in 0..64 {
        let others = (0..46).map(|n| request(&format!("/{number}/{n}")));
        let running: Vec<_> = others.collect();
        crash(
            &mut table,
            number,
            &running,
            now + millis(200 * number as u64),
        );
        for other in &running {
            answer(&mut table, other, now + millis(200 * number as u64 + 100));
        }
    }
    let later = now + millis(200 * 64);

    for number in 0..3 {
        let at = later + millis(200 * number as u64);
        crash(&mut table, 100 + number, std::slice::from_ref(&popular), at);
    }
    answer(&mut table, &popular, later + millis(500));

    assert_eq!(
        status(&mut table, &popular, later + millis(3_000)),
        QuarantineStatus::Clear
    );
}
