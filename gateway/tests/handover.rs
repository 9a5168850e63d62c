//! A new version under load: two real processes under one name.

mod helper;

use helper::{Backend, Do, Mood, Setup, World, ok, pause, request, row, until};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

async fn world(setup: &Setup) -> World {
    World::set(setup, Mood::Adds).await
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_ends_at_the_door_while_a_second_process_takes_over_and_the_first_one_goes() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup { rate: 1e6, burst: 1e6, ..Setup::operated(&[row("b", backend.at, "in_service")]) };
    let mut world = world(&setup).await;
    let (over, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let mut load = Vec::new();
    for _ in 0..8 {
        let (at, over, answered) = (world.gateway.at, over.clone(), answered.clone());
        load.push(tokio::spawn(async move {
            while !over.load(Ordering::SeqCst) {
                // One connection a request: each has to pass the door.
                let stream = tokio::net::TcpStream::connect(at).await.expect("let in");
                let mut client = helper::Client(tokio::io::BufReader::new(stream));
                let reply = client.ask(UP).await;
                assert_eq!(reply.status(), 200, "the front is not sent away");
                if reply.headers.contains_key("connection") {
                    continue;
                }
                // A refusal is the decisions' answer, not the door's.
                let status = client.ask(&request("look", 5000, "", "")).await.status();
                assert!([200, 429].contains(&status), "{status}");
                answered.fetch_add(1, Ordering::SeqCst);
            }
        }));
    }
    until("load", || answered.load(Ordering::SeqCst) > 50).await;
    let (mut kept, mut idle) = (world.gateway.client().await, world.gateway.client().await);
    assert_eq!(kept.ask(UP).await.status(), 200);
    assert_eq!(idle.ask(UP).await.status(), 200);
    let mut second = world.beside(&setup).await;
    assert!(world.gateway.call("PING\n").await.starts_with("NO"));
    // Kept connections end with an answer, or idle and late.
    let reply = kept.ask(&request("order", 5000, "", "b")).await;
    assert!([200, 429].contains(&reply.status()), "{}", reply.status());
    assert_eq!(reply.headers["connection"], "close");
    world.gateway.terminate();
    let mut rest = Vec::new();
    helper::soon("the close", idle.0.read_to_end(&mut rest)).await.expect("a clean end");
    assert_eq!(world.gateway.ended().await.code(), Some(0));
    let before = answered.load(Ordering::SeqCst);
    until("load at the second process alone", || answered.load(Ordering::SeqCst) > before + 50).await;
    over.store(true, Ordering::SeqCst);
    for client in load {
        client.await.expect("every request answered");
    }
    assert!(second.figures().await.pointer("/ok/look").and_then(|n| n.as_u64()) >= Some(50));
    second.terminate();
    assert_eq!(second.ended().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_two_processes_are_one_gateway_for_a_quota() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    // So slow a rate that nothing comes in while the test runs.
    let rows = [row("b", backend.at, "in_service")];
    let setup = Setup { rate: 0.001, burst: 20.0, ..Setup::operated(&rows) };
    let world = world(&setup).await;
    let mut client = world.gateway.client().await;
    for _ in 0..5 {
        assert_eq!(client.ask(&request("look", 5000, "", "")).await.status(), 200);
    }
    let second = world.beside(&setup).await;
    let mut served = 0;
    for _ in 0..30 {
        served +=
            usize::from(second.client().await.ask(&request("look", 5000, "", "")).await.status() == 200);
    }
    assert_eq!(served, 15, "what the first process had left, and no more");
    let reply = client.ask(&request("look", 5000, "", "")).await;
    assert_eq!(reply.status(), 429, "the first process has nothing left");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_operators_told_one_process_binds_the_other_one() {
    let (a, b) = (Backend::start(&[Do::Say(ok("a"))]).await, Backend::start(&[Do::Say(ok("b"))]).await);
    let setup = Setup::operated(&[row("b0", a.at, "in_service"), row("b1", b.at, "in_service")]);
    let world = world(&setup).await;
    let mut long = world.gateway.client().await;
    assert!(world.gateway.call("DETACH b0\n").await.starts_with("YES"));
    assert!(world.gateway.call("LAMEDUCK\n").await.starts_with("YES"));
    // Keeps the first process alive.
    *b.deeds.lock().expect("lock") = vec![Do::Hang, Do::Say(ok("b"))];
    long.write(&request("order", 20_000, "", "b")).await;
    until("the attempt", || b.attempts() == 1).await;
    let second = world.beside(&setup).await;
    assert_eq!(second.figures().await["pool_ejected"], 1);
    assert_eq!(second.client().await.ask(UP).await.status(), 503, "the drain is not over");
    assert!(second.call("REJOIN\n").await.starts_with("YES"));
    for _ in 0..20 {
        assert_eq!(second.client().await.ask(&request("look", 5000, "", "")).await.body, b"b");
    }
    assert_eq!(a.attempts(), 0);
    assert!(second.call("ATTACH b0\n").await.starts_with("YES"));
    world.gateway.shows("/pool_ejected", 0).await;
    assert!(world.gateway.call("DETACH b1\n").await.starts_with("YES"));
    second.shows("/pool_ejected", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_process_that_goes_before_it_takes_over_changes_nothing() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let setup = Setup::operated(&[row("b", backend.at, "in_service")]);
    let world = world(&setup).await;
    let path = setup.place.as_ref().expect("a place").0.join("fennelscale-t.handover");
    for said in ["", "ta"] {
        let mut other = UnixStream::connect(&path).await.expect("a process that can be found");
        helper::soon("the listener's byte", other.read_u8()).await.expect("a byte");
        tokio::io::AsyncWriteExt::write_all(&mut other, said.as_bytes()).await.expect("written");
    }
    let mut client = world.gateway.client().await;
    let reply = client.ask(&request("look", 900, "", "")).await;
    assert_eq!((reply.status(), reply.headers.contains_key("connection")), (200, false));
    assert!(world.gateway.call("PING\n").await.starts_with("YES"));
    // The next one is served as if nothing had been.
    let second = world.beside(&setup).await;
    assert_eq!(second.client().await.ask(&request("look", 900, "", "")).await.status(), 200);
    // A file that is left behind by a process that was killed is in nobody's way.
    drop((second, world));
    pause(100).await;
    std::fs::write(&path, "").unwrap_or(());
    let world = World::set(&setup, Mood::Adds).await;
    let answer = tokio::time::timeout(Duration::from_secs(30), world.gateway.call("PING\n")).await;
    assert!(answer.expect("a reply").starts_with("YES"));
}
