//! Protocol transcripts: the host's replies, and its error messages for malformed input.

use doorcourse_simhost::{Host, HostError};

const SETTINGS: &str = r#"{"classes":[{"name":"look","effect":"idempotent","goal-time-ms":500.0,"hard-limit-ms":2000.0,
"worth":1.0}],"plans":[{"name":"p","refill":5.0,"burst":10.0,"worth-factor":1.0}],"fleet-size":2,"my-number":0,
"locality":"z","period-ms":1.0,"discovery":"pushed","a-new-key":{"x":1},"extra":{"has-counter":true,
"count-limit-ms":50.0,"units-top":1},"load-info":{"source":"inline"},"permissions":{"most-tries":3,
"may-cancel":true,"max-retry-after-ms":1000.0},"rules":{"cold-from":0.2,"cold-ms":9000.0}}"#;

fn run(lines: &[&str]) -> Result<Vec<String>, HostError> {
    let input = lines.join("\n") + "\n";
    let mut output = Vec::new();
    Host::default().run(&mut input.as_bytes(), &mut output)?;
    Ok(String::from_utf8(output).expect("UTF-8 text").lines().map(str::to_owned).collect())
}

fn start(instance: u32) -> String {
    format!("START\t{instance}\t7\t{}", SETTINGS.replace('\n', ""))
}

fn error_of(lines: &[&str]) -> String {
    run(lines).expect_err("an error").to_string()
}

const LIST: [&str; 2] = ["TABLE\t0\t1", "ENTRY\tbackend.x\tz\tk\t0\tIN\t1\t-"];
const ANNOUNCEMENT: &str = "ANNOUNCE\t3\tremembered\t1\t0";
const ORDER: &str = "ORDER\t3\t55\tc-1\t0\t900.0\tlook\t0\t0\t2\t1\tp";

#[test]
fn empty_batch_gets_empty_reply_and_end_between_batches_is_no_error() {
    assert_eq!(run(&["BATCH\t8412.25", "YOUR_TURN"]).expect("a reply"), ["READY"]);
}

#[test]
fn request_is_charged_to_the_counter_and_sent() {
    let start = start(3);
    let first =
        run(&["BATCH\t1", &start, LIST[0], LIST[1], ANNOUNCEMENT, ORDER, "YOUR_TURN"]).expect("a reply");
    let call = first.iter().find(|l| l.starts_with("CHARGE_COUNTER\t3\t")).expect("a counter call");
    let name = call.split('\t').nth(2).expect("a name");
    let total = format!("TOTAL\t3\tdelivered\t{name}\t2.15\t5");
    let end = "ATTEMPT_END\t3\t55\t18.5\tbackend.x\tdelivered\t86\t0\t0\t1\toutstanding:4,unheard:2";
    let script = [
        "BATCH\t1",
        &start,
        LIST[0],
        LIST[1],
        ANNOUNCEMENT,
        ORDER,
        "YOUR_TURN",
        "BATCH\t2",
        &total,
        "YOUR_TURN",
    ];
    let reply = run(&[&script[..], &["BATCH\t3", end, "YOUR_TURN"]].concat()).expect("a reply");
    assert!(reply.iter().any(|l| l.starts_with("HAND_OFF\t3\t55\tbackend.x\t")), "{reply:?}");
    assert_eq!(reply.iter().filter(|l| *l == "READY").count(), 3);
}

#[test]
fn exit_and_start_in_one_batch_reset_the_gateway() {
    let start = start(3);
    let script = [
        "BATCH\t1",
        &start,
        LIST[0],
        LIST[1],
        ANNOUNCEMENT,
        ORDER,
        "EXIT\t3",
        &start,
        "GONE\t3\t55",
        "YOUR_TURN",
    ];
    assert_eq!(run(&script).expect("a reply").last().map(String::as_str), Some("READY"));
}

#[test]
fn reused_list_id_refers_to_the_newer_list() {
    let start = start(3);
    let newer = "ENTRY\tbackend.y\tz\tk\t0\tIN\t1\t-";
    let script =
        ["BATCH\t1", &start, LIST[0], LIST[1], ANNOUNCEMENT, LIST[0], newer, "ANNOUNCE\t3\tall\t2\t0", ORDER];
    let reply = run(&[&script[..], &["YOUR_TURN"]].concat()).expect("a reply");
    let call = reply.iter().find(|l| l.starts_with("CHARGE_COUNTER")).expect("a counter call");
    let total = format!("TOTAL\t3\tdelivered\t{}\t2\t5", call.split('\t').nth(2).expect("a name"));
    let reply =
        run(&[&script[..], &["YOUR_TURN", "BATCH\t2", &total, "YOUR_TURN"]].concat()).expect("a reply");
    assert!(reply.iter().any(|l| l.starts_with("HAND_OFF\t3\t55\tbackend.y\t")), "{reply:?}");
}

#[test]
fn instances_share_no_state() {
    let (three, four) = (start(3), start(4));
    let other = ANNOUNCEMENT.replace("\t3\t", "\t4\t");
    let order = ORDER.replace("\t3\t", "\t4\t");
    let alone = run(&["BATCH\t1", &four, LIST[0], LIST[1], &other, &order, "YOUR_TURN"]).expect("a reply");
    let script =
        ["BATCH\t1", &three, &four, LIST[0], LIST[1], ANNOUNCEMENT, &other, ORDER, &order, "YOUR_TURN"];
    let both = run(&script).expect("a reply");
    let of_four = |lines: Vec<String>| -> Vec<String> {
        lines.into_iter().filter(|l| l.split('\t').nth(1) == Some("4")).collect()
    };
    assert_eq!(of_four(alone), of_four(both));
}

#[test]
fn malformed_input_is_reported_with_line_and_error() {
    let start = start(3);
    assert_eq!(error_of(&["BATCH\tsoon"]), "line 1: clock is not a number: soon");
    assert_eq!(error_of(&["HELLO"]), "line 1: expected a BATCH line: HELLO");
    assert_eq!(error_of(&["BATCH\t1", "DUE\t9\t1"]), "line 2: gateway 9 was never started");
    assert_eq!(error_of(&["BATCH\t1", "EXIT\t9"]), "line 2: gateway 9 was never started");
    assert_eq!(error_of(&["BATCH\t1", "WHAT\t1"]), "line 2: unknown message WHAT");
    assert_eq!(error_of(&["BATCH\t1", &start, "DUE\t3"]), "line 3: tag is missing");
    assert_eq!(error_of(&["BATCH\t1", &start, "DUE\t3\tx"]), "line 3: tag is not a number: x");
    assert_eq!(error_of(&["BATCH\t1", &start, ANNOUNCEMENT]), "line 3: no such list of backends");
    assert_eq!(
        error_of(&["BATCH\t1", "TABLE\t0\t1", "YOUR_TURN"]),
        "line 3: expected an ENTRY line: YOUR_TURN"
    );
    assert_eq!(error_of(&["BATCH\t1", "START\t1\t2\t{}"]), "line 2: settings name no request class");
    assert_eq!(
        error_of(&["BATCH\t1", "START\t1\t2\t{\"classes\":3}"]),
        "line 2: settings: classes is not a list"
    );
    assert!(error_of(&["BATCH\t1", "START\t1\t2\t{"]).starts_with("line 2: settings: "));
    assert_eq!(error_of(&["BATCH\t1", &start]), "line 2: input ended inside a batch");
}
