//! The store away, stale or forgetful, and instances that tell each other.

use std::cell::RefCell;
use std::time::Duration;

use hawthornmill::ident::{DomainId, Incarnation, InstanceId, ServerId};
use hawthornmill::routing::leaving::Leaving;
use hawthornmill::routing::news::{Knowledge, Mate, News};
use hawthornmill::routing::parts::split;
use hawthornmill::wire::{Message, Opener, Sealer};
use hawthornmill_test_support::news::news_of;

use super::fleet::{Fleet, PEER, call, config, key, request, route, until};
use super::store::Mode;
use crate::block_on;
use serde_json::json;

fn with_route(version: u64, name: &str) -> String {
    let mut config = config(version);
    if let Some(routes) = config["routes"].as_array_mut() {
        routes.push(route(name, "idempotent", &json!({})));
    }
    config.to_string()
}

/// A configuration that takes several datagrams.
fn with_many_routes(version: u64) -> String {
    let mut config = config(version);
    if let Some(routes) = config["routes"].as_array_mut() {
        let more = (0..100).map(|n| route(&format!("added-{n}"), "idempotent", &json!({})));
        routes.extend(more);
    }
    config.to_string()
}

/// Another instance as far as its datagrams go; no connection to it gets through.
struct Peer {
    socket: tokio::net::UdpSocket,
    to: std::net::SocketAddr,
    sealer: RefCell<Sealer>,
}

impl Peer {
    /// A peer of the first gateway, in process run `run`.
    async fn bind(fleet: &Fleet, run: u64) -> Self {
        let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await;
        let sealer = Sealer::new(key(), InstanceId::of("other"), Incarnation(run), 0);
        Self {
            socket: socket.expect("a port is free"),
            to: std::net::SocketAddr::new(fleet.gateways[0].ip, PEER),
            sealer: RefCell::new(sealer),
        }
    }

    async fn send(&self, message: &Message) {
        let frame = self.sealer.borrow_mut().seal(message);
        let frame = frame.expect("the message fits");
        let sent = self.socket.send_to(&frame, self.to).await;
        sent.expect("the datagram goes");
    }

    /// Says that callers reach it at `port` and that it has the catalog of `version`.
    async fn tell(&self, port: u16, version: u64) {
        let own = self.socket.local_addr().expect("the socket has an address");
        let mate = Mate {
            front: std::net::SocketAddr::new(own.ip(), port),
            peer: own,
            domain: DomainId::of("a"),
        };
        let news = News {
            version,
            revision: 0,
            ..news_of(mate)
        };
        for _ in 0..20 {
            self.send(&Message::News(Box::new(news.clone()))).await;
        }
    }

    /// Answers each question for its knowledge with `knowledge`, but loses the first part each time.
    async fn answer(&self, knowledge: &Knowledge) {
        let whole = postcard::to_allocvec(knowledge).expect("it can be encoded");
        let mut opener = Opener::new(key(), 0);
        let mut buffer = vec![0; 2_048];
        loop {
            let (length, _) = self.socket.recv_from(&mut buffer).await.expect("it comes");
            let frame = opener.open(&buffer[..length]);
            if let Ok(Message::Wanted(wanted)) = frame.map(|f| f.message) {
                let parts = split(&whole, &wanted);
                let lost = usize::from(parts.len() > 1);
                for part in parts.into_iter().skip(lost) {
                    self.send(&Message::Part(part)).await;
                }
            }
        }
    }
}

async fn status(front: std::net::SocketAddr, path: &str) -> u16 {
    call(front, request("GET", path, "a", "").as_bytes())
        .await
        .map_or(0, |a| a.status())
}

#[test]
fn instances_name_each_other_to_callers() {
    block_on(async {
        let fleet = Fleet::start(3, 1).await;
        let all: Vec<_> = fleet
            .gateways
            .iter()
            .map(super::fleet::Gateway::front)
            .collect();

        for gateway in &fleet.gateways {
            until("every instance is named", || async {
                let named = gateway.named().await;
                all.iter().all(|a| named.contains(a))
            })
            .await;
        }
    });
}

/// The store turns one machine away and serves the others. A key is taken away meanwhile; the
/// machine that hears nothing of the store must not go on taking it.
#[test]
fn a_machine_that_the_store_turns_away_learns_from_the_others() {
    block_on(async {
        let fleet = Fleet::start(2, 1).await;
        let cut = &fleet.gateways[1];
        fleet.store.refuse(cut.ip);

        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());
        until("the route is served there", || async {
            status(cut.front(), "/added/").await == 200
        })
        .await;
        fleet.register(&fleet.servers[0], "draining");
        until("the server is left there", || async {
            status(cut.front(), "/added/").await == 503
        })
        .await;
    });
}

/// The store is down and an instance restarts. It knows nothing; another one knows all of it.
#[test]
fn an_instance_that_restarts_without_the_store_serves_what_the_others_know() {
    block_on(async {
        let mut fleet = Fleet::start(2, 1).await;
        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());
        let front = fleet.gateways[0].front();
        until("the route is served", || async {
            status(front, "/added/").await == 200
        })
        .await;
        fleet.store.set_mode(Mode::Silent);

        fleet.gateways[1].kill();
        fleet.gateways[1].start();

        until("it is ready", || fleet.gateways[1].is_ready()).await;
        assert_eq!(status(fleet.gateways[1].front(), "/added/").await, 200);
    });
}

#[test]
fn changes_made_while_the_store_was_silent_are_in_force_after_it() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        for mode in [Mode::Silent, Mode::Refusing] {
            fleet.store.set_mode(mode);
            tokio::time::sleep(Duration::from_millis(200)).await;
            assert_eq!(status(front, "/get/").await, 200, "what is known serves on");
            fleet.store.set_mode(Mode::Sound);
        }

        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());

        until("the route is served", || async {
            status(front, "/added/").await == 200
        })
        .await;
    });
}

/// The store drops its history while a server leaves. No wait tells of that; only a fresh list does.
#[test]
fn a_server_that_left_while_the_history_was_lost_gets_no_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let front = fleet.gateways[0].front();
        fleet.store.lose_history(Some("servers/i-0"));
        until("the loss is noticed", || async {
            !fleet.gateways[0].logged("store_history_lost").is_empty()
        })
        .await;
        tokio::time::sleep(Duration::from_millis(2_600)).await;
        let before = fleet.servers[0].received().len();

        for _ in 0..10 {
            assert_eq!(status(front, "/get/").await, 200);
        }

        assert_eq!(fleet.servers[0].received().len(), before);
    });
}

/// Waits are long, since every call is paid for.
#[test]
fn a_calm_second_costs_the_store_less_than_one_call_per_topic() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
        let before = fleet.store.calls();

        tokio::time::sleep(Duration::from_secs(5)).await;

        let calls = fleet.store.calls() - before;
        assert!(calls <= 8, "{calls} calls in five seconds");
    });
}

/// Failure: an instance that knows of a newer catalog, and can't get it, says by the old one that there is no such route.
#[test]
fn an_instance_that_knows_of_a_newer_catalog_says_no_final_word_by_its_own() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        assert_eq!(status(front, "/added/").await, 404, "it has the newest");
        let ahead = Peer::bind(&fleet, 1).await;

        until("it hears of a newer one", || async {
            ahead.tell(1_001, 2).await;
            status(front, "/added/").await == 503
        })
        .await;

        assert_eq!(status(front, "/get/").await, 200, "what is known serves on");
        fleet
            .store
            .put("op/config", with_route(2, "added").as_bytes());
        until("the route is served", || async {
            status(front, "/added/").await == 200
        })
        .await;
        assert_eq!(status(front, "/unknown/").await, 404, "it has the newest");
    });
}

/// Failure: an instance can't get a catalog that others have long decided by, and goes on by its own.
#[test]
fn an_instance_that_stays_behind_takes_no_requests_while_others_do() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let gateway = &fleet.gateways[0];
        let ahead = Peer::bind(&fleet, 1).await;

        until("it takes no more", || async {
            ahead.tell(1_001, 2).await;
            status(gateway.front(), "/get/").await == 503 && !gateway.is_ready().await
        })
        .await;

        until("it serves again once nobody has more", || async {
            status(gateway.front(), "/get/").await == 200 && gateway.is_ready().await
        })
        .await;
    });
}

/// Failure: an instance whose list of registrations comes late sends on to a server that others know to leave.
#[test]
fn a_server_that_a_peer_knows_to_leave_gets_no_requests() {
    block_on(async {
        let fleet = Fleet::start(1, 2).await;
        let front = fleet.gateways[0].front();
        let peer = Peer::bind(&fleet, 1).await;
        let leaving = Leaving {
            server: ServerId::of("i-0"),
            revision: 1_000,
        };

        until("it is heard", || async {
            peer.send(&Message::Leaving(vec![leaving])).await;
            !fleet.gateways[0].logged("registration_leaving").is_empty()
        })
        .await;
        let before = fleet.servers[0].received().len();

        for _ in 0..10 {
            assert_eq!(status(front, "/get/").await, 200);
        }
        assert_eq!(fleet.servers[0].received().len(), before);
    });
}

/// Failure: callers fill an instance's link, no connection to a peer is answered in time, and it never gets a new catalog.
#[test]
fn a_newer_catalog_comes_in_datagrams_where_no_connection_gets_through() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let ahead = Peer::bind(&fleet, 1).await;
        let catalog = hawthornmill_platform::catalog::parse(with_many_routes(2).as_bytes());
        let knowledge = Knowledge {
            catalog: Some(catalog.expect("the catalog is sound")),
            servers: None,
            doubted: Vec::new(),
            revision: 0,
        };
        ahead.tell(1_001, 2).await;

        let served = until("the route is served", || async {
            ahead.tell(1_001, 2).await;
            status(front, "/added-99/").await == 200
        });
        tokio::select! {
            () = served => {}
            () = ahead.answer(&knowledge) => {}
        }
    });
}

/// A machine's time of day is set back, and its process restarts: its run has a lower number than the
/// one before. Taken for an echo of that one, its news would never be heard again, and callers would
/// not be sent to it.
#[test]
fn an_instance_whose_clock_was_set_back_is_heard_again() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        Peer::bind(&fleet, 9).await.tell(1_001, 0).await;
        let named = |port: u16| {
            let gateway = &fleet.gateways[0];
            move || async move { gateway.named().await.iter().any(|a| a.port() == port) }
        };
        until("the first run is named", named(1_001)).await;

        Peer::bind(&fleet, 5).await.tell(1_002, 0).await;

        until("the second run is named", named(1_002)).await;
    });
}
