//! Further tries: what may go to a second backend, and what must not.

mod helper;

use helper::{
    Client, Do, Heard, ScriptedBackend, World, conf, good, on_one_thread, other, request, route, says_good,
    until, usual,
};
use protocol::Phase;
use std::rc::Rc;
use tokio::sync::Notify;

/// Spoils the answer of the first request that either backend gets.
async fn two(spoilt: fn(&Heard) -> Do) -> [ScriptedBackend; 2] {
    let first = Rc::new(std::cell::Cell::new(true));
    let does = move |first: Rc<std::cell::Cell<bool>>| {
        move |heard: &Heard| if first.replace(false) { spoilt(heard) } else { says_good(heard) }
    };
    [
        ScriptedBackend::start("i-1", "one", does(first.clone())).await,
        ScriptedBackend::start("i-2", "one", does(first)).await,
    ]
}

fn wrong_id(heard: &Heard) -> Do {
    Do::Say(good(heard, "", "b").replace("X-Attempt-Id: 7f", "X-Attempt-Id: 7e"))
}
fn no_id(heard: &Heard) -> Do {
    Do::Say(good(heard, "", "b").replace("X-Attempt-Id: 7f\r\n", ""))
}
fn no_seal(heard: &Heard) -> Do {
    Do::Say(good(heard, "", "b").replace("X-Server-Seal: s\r\n", ""))
}
fn encoded(heard: &Heard) -> Do {
    Do::Say(good(heard, "Content-Encoding: gzip\r\n", "b"))
}
fn cut(heard: &Heard) -> Do {
    Do::Break(good(heard, "", "b").replace("Content-Length: 1", "Content-Length: 9"))
}
fn unframed(heard: &Heard) -> Do {
    Do::Break(good(heard, "", "b").replace("Content-Length: 1\r\n", ""))
}
fn garbage(_: &Heard) -> Do {
    Do::Break("not HTTP at all\r\n\r\n".into())
}
fn silence(_: &Heard) -> Do {
    Do::Break(String::new())
}
fn failed(heard: &Heard) -> Do {
    Do::Say(other(heard, "503 Service Unavailable", ""))
}

#[yare::parameterized(
    wrong_id = { crate::wrong_id }, no_id = { crate::no_id }, no_seal = { crate::no_seal }, encoded = { crate::encoded }, cut = { crate::cut },
    unframed = { crate::unframed }, garbage = { crate::garbage }, silence = { crate::silence }, failed = { crate::failed },
)]
fn what_may_have_run_is_no_success_and_goes_on_only_if_it_is_pure(spoilt: fn(&Heard) -> Do) {
    on_one_thread(async move {
        let backends = two(spoilt).await;
        let world = World::start(usual(), &[&backends[0], &backends[1]]).await;
        let reply = world.ask(&request("POST", "/e/x", "", "b")).await;
        assert_eq!((reply.status(), reply.wait()), (502, None));
        assert_eq!(backends.iter().map(ScriptedBackend::count).sum::<usize>(), 1, "sent on once");

        let backends = two(spoilt).await;
        let world = World::start(usual(), &[&backends[0], &backends[1]]).await;
        let reply = world.ask(&request("POST", "/p/x", "", "b")).await;
        assert_eq!((reply.status(), &*reply.body), (200, &b"fine"[..]));
        assert_eq!(backends.iter().map(ScriptedBackend::count).collect::<Vec<_>>(), [1, 1]);
    });
}

#[test]
fn an_effectful_request_goes_on_by_a_backend_s_word_that_it_did_not_run() {
    on_one_thread(async {
        let full = |heard: &Heard| Do::Say(other(heard, "503 Service Unavailable", "X-Not-Executed: 1\r\n"));
        let backends = two(full).await;
        let world = World::start(usual(), &[&backends[0], &backends[1]]).await;
        assert_eq!(world.ask(&request("POST", "/e/x", "", "b")).await.status(), 200);
        assert_eq!(backends.iter().map(ScriptedBackend::count).collect::<Vec<_>>(), [1, 1]);
        assert!(backends.iter().all(|backend| backend.last().body == b"b"));
    });
}

#[test]
fn what_comes_after_a_whole_answer_is_nobody_s() {
    on_one_thread(async {
        let twice = |heard: &Heard| Do::Say(good(heard, "", "one") + &good(heard, "", "two"));
        let backend = ScriptedBackend::start("i-1", "one", twice).await;
        let world = World::start(usual(), &[&backend]).await;
        let mut client = Client::connect(world.front).await;
        for n in 1..=3 {
            let reply = client.ask(&request("POST", "/e/x", "", "b")).await.expect("an answer");
            assert_eq!((reply.status(), &*reply.body, backend.connections.get()), (200, &b"one"[..], n));
        }
    });
}

#[test]
fn no_more_backends_are_asked_than_the_route_allows() {
    on_one_thread(async {
        let backends = two(silence).await;
        let once =
            conf(2, &[route("p", "/p/", "pure", "one", "").replace(r#""max_tries":2"#, r#""max_tries":1"#)]);
        let world = World::start(once, &[&backends[0], &backends[1]]).await;
        assert_eq!(world.ask(&request("GET", "/p/x", "", "")).await.status(), 502);
        assert_eq!(backends.iter().map(ScriptedBackend::count).sum::<usize>(), 1);
    });
}

#[test]
fn who_is_not_who_was_meant_is_left_out_until_a_newer_word() {
    on_one_thread(async {
        let learner = ScriptedBackend::start("i-1", "one", |heard| {
            Do::Say(other(heard, "421 Misdirected Request", "X-Instance-Id: i-7\r\n"))
        });
        let learner = learner.await;
        let world = World::start(usual(), &[&learner]).await;
        let asked = request("POST", "/e/x", "", "b");
        assert_eq!((world.ask(&asked).await.status(), learner.count()), (503, 1));
        let right = ScriptedBackend::start("i-2", "one", says_good).await;
        world.data_plane.update_backends(&[right.backend.clone(), learner.backend.clone()], false);
        for _ in 0..4 {
            assert_eq!(world.ask(&asked).await.status(), 200);
        }
        assert_eq!(learner.count(), 1);
        world
            .data_plane
            .update_backends(&[learner.told(Phase::Serving, 2), right.told(Phase::Draining, 2)], false);
        world.ask(&asked).await;
        assert_eq!(learner.count(), 2);
    });
}

#[test]
fn who_drains_gets_nothing_new_and_ends_what_it_has() {
    on_one_thread(async {
        let word = Rc::new(Notify::new());
        let told = word.clone();
        let one = ScriptedBackend::start("i-1", "one", move |heard| {
            Do::Await(told.clone(), good(heard, "", "late"))
        })
        .await;
        let world = World::start(usual(), &[&one]).await;
        let mut client = Client::connect(world.front).await;
        client.send(&request("POST", "/e/x", "", "b")).await;
        until(|| one.count() == 1).await;
        let two = ScriptedBackend::start("i-2", "one", says_good).await;
        world.data_plane.update_backends(&[one.told(Phase::Draining, 2), two.backend.clone()], false);
        // Whoever has heard less takes nothing back.
        world.data_plane.update_backends(&[one.backend.clone(), two.backend.clone()], true);
        for _ in 0..3 {
            assert_eq!(world.ask(&request("POST", "/e/x", "", "b")).await.status(), 200);
        }
        assert_eq!((one.count(), two.count()), (1, 3));
        word.notify_one();
        assert_eq!(client.hear().await.expect("an answer").body, b"late");
    });
}

#[test]
fn after_the_signal_to_end_clients_are_sent_away_and_what_runs_gets_its_answer() {
    on_one_thread(async {
        let word = Rc::new(Notify::new());
        let told = word.clone();
        let backend = ScriptedBackend::start("i-1", "one", move |heard| match &*heard.line {
            "POST /e/slow HTTP/1.1" => Do::Await(told.clone(), good(heard, "", "late")),
            _ => says_good(heard),
        });
        let backend = backend.await;
        let mut world = World::start(usual(), &[&backend]).await;
        let ready = "GET /readiness HTTP/1.1\r\nHost: r\r\n\r\n";
        let mut platform = Client::connect(world.readiness).await;
        assert_eq!(platform.ask(ready).await.expect("an answer").status(), 200);
        let mut client = Client::connect(world.front).await;
        client.send(&request("POST", "/e/slow", "", "b")).await;
        until(|| backend.count() == 1).await;
        drop(world.end.take());
        until(|| !world.data_plane.is_ready()).await;
        assert_eq!(platform.ask(ready).await.expect("an answer").status(), 503);
        let reply = world.ask(&request("POST", "/e/quick", "", "b")).await;
        assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
        // Nobody is let in any more, and the one that is here waits.
        while tokio::net::TcpStream::connect(world.front).await.is_ok() {
            tokio::task::yield_now().await;
        }
        assert!(!world.served.is_finished());
        word.notify_one();
        let reply = client.hear().await.expect("an answer");
        assert_eq!((&*reply.body, reply.header("connection")), (&b"late"[..], Some("close")));
        world.served.await.expect("an end");
    });
}

#[test]
fn where_nobody_listens_nothing_ran() {
    on_one_thread(async {
        let mut dead = ScriptedBackend::start("i-1", "one", says_good).await.backend;
        let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        dead.address = free.to_string();
        let world = World::start(usual(), &[]).await;
        world.data_plane.update_backends(std::slice::from_ref(&dead), true);
        let reply = world.ask(&request("POST", "/e/x", "", "b")).await;
        assert!(reply.status() == 503 && reply.wait().is_some(), "{reply:?}");
        let right = ScriptedBackend::start("i-2", "one", says_good).await;
        world.data_plane.update_backends(std::slice::from_ref(&right.backend), false);
        for _ in 0..4 {
            assert_eq!(world.ask(&request("POST", "/e/x", "", "b")).await.status(), 200);
        }
    });
}

#[test]
fn without_room_the_refusal_comes_early_and_the_unit_goes_back() {
    on_one_thread(async {
        let mut backend = ScriptedBackend::start("i-1", "one", |_| Do::Hang).await;
        backend.backend.capacity = 1;
        let world = World::start(usual(), &[&backend]).await;
        let mut out = Vec::new();
        for n in 1..=2 {
            let mut client = Client::connect(world.front).await;
            client.send(&request("POST", "/e/x", "", "b")).await;
            until(|| backend.count() == n).await;
            out.push(client);
        }
        let begun = std::time::Instant::now();
        let reply = world.ask(&request("POST", "/e/x", "", "b")).await;
        assert!(reply.status() == 503 && reply.wait().is_some(), "{reply:?}");
        assert!(begun.elapsed().as_millis() < 600, "well within the goal of 1,000 ms");
        assert_eq!(
            (backend.count(), world.lease_client.asked.get(), world.lease_client.back.get()),
            (2, 3, 1)
        );
        // Whoever leaves while waiting takes nothing along, whoever leaves what runs does.
        let mut client = Client::connect(world.front).await;
        client.send(&request("POST", "/e/x", "", "b")).await;
        until(|| world.lease_client.asked.get() == 4).await;
        drop(client);
        until(|| world.lease_client.back.get() == 2).await;
        drop(out);
        until(|| world.data_plane.active_requests() == 0).await;
        assert_eq!((backend.count(), world.lease_client.back.get()), (2, 2));
    });
}
