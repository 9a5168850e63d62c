//! The operators' side: calls and replies, figures, backends out of use, clients sent away.

mod helper;

use helper::{Backend, Do, Mood, Setup, World, list, ok, pause, request, row, until};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const UP: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

async fn operated(backends: &[&Backend]) -> (World, Setup) {
    let rows: Vec<_> =
        backends.iter().enumerate().map(|(i, b)| row(&format!("b{i}"), b.at, "in_service")).collect();
    let setup = Setup::operated(&rows);
    (World::set(&setup, Mood::Adds).await, setup)
}

#[tokio::test(flavor = "multi_thread")]
async fn each_call_has_its_reply_and_what_is_no_call_the_reason() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let (world, _setup) = operated(&[&backend]).await;
    let long = "DETACH ".to_owned() + &"x".repeat(5000) + "\n";
    let cases = [
        ("PING\n", "YES"),
        ("PING\r\n", "YES"),
        ("DETACH b0\n", "YES"),
        ("DETACH b0\n", "YES"),
        ("ATTACH b0\n", "YES"),
        ("ATTACH b0\n", "YES"),
        ("LAMEDUCK\n", "YES"),
        ("REJOIN\n", "YES"),
        ("DETACH\n", "NO the backend's ID is missing"),
        ("ATTACH \n", "NO the backend's ID is missing"),
        ("DETACH b1\n", "NO backend has this ID"),
        ("ATTACH b1\n", "NO backend has this ID"),
        ("DETACH b0 b0\n", "NO too many words"),
        ("PONG\n", "NO such call"),
        ("\n", "NO call came"),
        (&long, "NO the line is too long"),
    ];
    for (call, start) in cases {
        let reply = world.gateway.call(call).await;
        assert!(reply.starts_with(start), "{call:?}: {reply:?}");
        assert_eq!((reply.lines().count(), reply.ends_with('\n')), (1, true), "{call:?}: {reply:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_callers_hold_nobody_up() {
    let (world, _setup) = operated(&[]).await;
    let mut silent = Vec::new();
    for n in 0..40 {
        let mut caller =
            TcpStream::connect(world.gateway.console.expect("a console")).await.expect("a caller");
        if n % 2 == 0 {
            caller.write_all(b"PIN").await.expect("half a call");
        }
        silent.push(caller);
    }
    let begun = Instant::now();
    assert!(world.gateway.call("PING\n").await.starts_with("YES"));
    // Far less than a silent caller's time; the rest is for a busy machine.
    assert!(begun.elapsed() < Duration::from_secs(8), "{:?}", begun.elapsed());
    // Of so many the first ones have given way: descriptors are bounded.
    let mut gone = 0;
    for mut caller in silent {
        let closed = tokio::time::timeout(Duration::from_millis(200), caller.read(&mut [0; 8])).await;
        gone += usize::from(closed.is_ok());
    }
    assert!(gone >= 30, "{gone}");
}

#[tokio::test(flavor = "multi_thread")]
async fn the_figures_are_what_peers_saw() {
    let backend = Backend::start(&[Do::Say(ok("x"))]).await;
    let (world, _setup) = operated(&[&backend]).await;
    let fresh = world.gateway.figures().await;
    for name in ["ok", "shed", "errors"] {
        assert_eq!(fresh[name], serde_json::json!({"look": 0, "save": 0, "order": 0}), "{name}");
    }
    for (name, value) in [("tries", 0), ("active", 0), ("pool_size", 1), ("pool_ejected", 0)] {
        assert_eq!(fresh[name], value, "{name}");
    }
    let mut client = world.gateway.client().await;
    for _ in 0..3 {
        assert_eq!(client.ask(&request("look", 900, "", "")).await.status(), 200);
    }
    assert_eq!(client.ask(&request("order", 900, "", "b")).await.status(), 200);
    assert_eq!(client.ask(UP).await.status(), 200);
    assert_eq!(client.ask("GET /unheard HTTP/1.1\r\nHost: x\r\n\r\n").await.status(), 400);
    *backend.deeds.lock().expect("lock") = vec![Do::Say(ERROR.into()), Do::Hang];
    assert_eq!(world.gateway.client().await.ask(&request("order", 900, "", "b")).await.status(), 502);
    // What failed is left alone for a while, and the module holds a request no longer than that.
    let mut shed = 0;
    while backend.attempts() < 6 {
        let mut client = world.gateway.client().await;
        client.write(&request("look", 60_000, "", "")).await;
        tokio::select! {
            reply = client.read() => {
                assert_eq!(reply.status(), 429);
                shed += 1;
            }
            () = until("the attempt that hangs", || backend.attempts() == 6) => {
                world.gateway.shows("/active", 1).await;
                assert_eq!(world.gateway.figures().await["tries"], 6);
            }
        }
    }
    // That client has left.
    world.gateway.shows("/active", 0).await;
    let end = world.gateway.figures().await;
    assert_eq!(end["ok"], serde_json::json!({"look": 3, "save": 0, "order": 1}));
    assert_eq!(end["shed"], serde_json::json!({"look": shed, "save": 0, "order": 0}));
    assert_eq!(end["errors"], serde_json::json!({"look": 0, "save": 0, "order": 1}));
    assert_eq!(end["tries"], backend.attempts());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_detached_backend_stays_out_against_discovery_sighup_and_a_restart_until_attached() {
    let (a, b) = (Backend::start(&[Do::Say(ok("a"))]).await, Backend::start(&[Do::Say(ok("b"))]).await);
    let (mut world, setup) = operated(&[&a, &b]).await;
    let rows = [row("b0", a.at, "in_service"), row("b1", b.at, "in_service")];
    let mut client = world.gateway.client().await;
    for _ in 0..2 {
        assert!(world.gateway.call("DETACH b0\n").await.starts_with("YES"));
    }
    let figures = world.gateway.figures().await;
    assert_eq!((&figures["pool_size"], &figures["pool_ejected"]), (&2.into(), &1.into()));
    let before = world.discovery.calls.load(Ordering::SeqCst);
    world.discovery.tell(list(2, true, &rows));
    world.discovery.asked_again(before).await;
    world.gateway.reload(world.discovery.at, world.counter.at, &setup);
    world.gateway.shows("/config_applied", 1).await;
    let seen = a.attempts();
    for _ in 0..20 {
        assert_eq!(client.ask(&request("look", 900, "", "")).await.body, b"b");
    }
    // A process that starts later is told by the file, and by a damaged one of nothing.
    world.gateway.terminate();
    assert_eq!(world.gateway.ended().await.code(), Some(0));
    world = World::set(&setup, Mood::Adds).await;
    world.gateway.shows("/pool_ejected", 1).await;
    let mut client = world.gateway.client().await;
    for _ in 0..20 {
        assert_eq!(client.ask(&request("look", 900, "", "")).await.body, b"b");
    }
    assert_eq!(a.attempts(), seen);
    assert!(world.gateway.call("ATTACH b0\n").await.starts_with("YES"));
    world.gateway.shows("/pool_ejected", 0).await;
    helper::soon("a request at the backend that is back", async {
        while a.attempts() == seen {
            assert_eq!(client.ask(&request("look", 900, "", "")).await.status(), 200);
        }
    })
    .await;
    let place = &setup.place.as_ref().expect("a place").0;
    std::fs::write(place.join("fennelscale-t.detached"), "[\"b0").expect("a damaged file");
    world = World::set(&setup, Mood::Adds).await;
    assert_eq!(world.gateway.figures().await["pool_ejected"], 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lame_duck_says_no_finishes_what_it_has_and_closes_until_it_rejoins() {
    let backend = Backend::start(&[Do::Say(ok("x")), Do::SayLater(600, ok("late"))]).await;
    let (world, _setup) = operated(&[&backend]).await;
    let (mut idle, mut busy) = (world.gateway.client().await, world.gateway.client().await);
    assert_eq!(idle.ask(&request("look", 900, "", "")).await.status(), 200);
    busy.write(&request("order", 5000, "", "b")).await;
    until("the attempt", || backend.attempts() == 2).await;
    // Slow with its head, and at it already when the drain begins.
    let mut slow = world.gateway.client().await;
    let text = request("look", 5000, "", "");
    slow.write(&text[..40]).await;
    pause(50).await;
    assert!(world.gateway.call("LAMEDUCK\n").await.starts_with("YES"));
    let reply = world.gateway.client().await.ask(UP).await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (503, "close"));
    let mut rest = Vec::new();
    helper::soon("the close of the idle one", idle.0.read_to_end(&mut rest)).await.expect("a clean end");
    assert_eq!(rest, b"");
    let reply = busy.read().await;
    assert_eq!((reply.status(), reply.body.as_slice()), (200, b"late".as_slice()));
    assert_eq!(reply.headers["connection"], "close");
    // Who comes all the same is served, and sent away.
    *backend.deeds.lock().expect("lock") = vec![Do::Say(ok("x"))];
    slow.write(&text[40..]).await;
    let reply = slow.read().await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
    let reply = world.gateway.client().await.ask(&request("look", 900, "", "")).await;
    assert_eq!((reply.status(), reply.headers["connection"].as_str()), (200, "close"));
    assert!(world.gateway.call("REJOIN\n").await.starts_with("YES"));
    let mut client = world.gateway.client().await;
    let reply = client.ask(UP).await;
    assert_eq!((reply.status(), reply.headers.contains_key("connection")), (200, false));
    // Longer than a lame duck leaves an idle connection.
    pause(600).await;
    assert_eq!(client.ask(&request("look", 900, "", "")).await.status(), 200);
}
