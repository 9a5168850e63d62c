//! Orders as they come on the socket: the header that names their base, and how long they may be.

use control_plane::{CALLS, Call, Change, Declared};
use hyper::header::{HeaderMap, HeaderValue};
use protocol::Order;
use yare::parameterized;

fn replace() -> &'static Declared {
    CALLS.iter().find(|call| call.path == "/Config.Replace").expect("it is declared")
}

#[parameterized(
    written = { &["r12"], Ok(12) },
    bare = { &["0"], Ok(0) },
    with_spaces = { &[" r5 "], Ok(5) },
    left_out = { &[], Ok(0) },
    twice_the_same = { &["r5", "5"], Ok(5) },
    two_that_differ = { &["r5", "r6"], Err(400) },
    empty = { &[""], Err(400) },
    sign = { &["+5"], Err(400) },
    sign_behind_the_letter = { &["r+5"], Err(400) },
    two_letters = { &["rr5"], Err(400) },
    quoted = { &["\"r5\""], Err(400) },
    too_large = { &["r18446744073709551616"], Err(400) },
    no_text = { &["r\u{ff}"], Err(400) },
)]
fn the_base_of_an_order_is_read_or_the_order_is_not(values: &[&str], base: Result<u64, u16>) {
    let mut headers = HeaderMap::new();
    for value in values {
        let latin: Vec<u8> = value.chars().map(|letter| letter as u8).collect();
        headers.append("x-base-version", HeaderValue::from_bytes(&latin).expect("a value"));
    }
    let read = match (replace().read)("", &headers, b"{}") {
        Ok(Call::Order(Order::Replace { base, .. })) => Ok(base),
        Ok(other) => panic!("{other:?}"),
        Err(reply) => Err(reply.status),
    };
    assert_eq!(read, base);
}

#[test]
fn the_longest_order_fits_into_the_log() {
    // Bytes that are all alike would be written shorter.
    let body = (0..replace().longest).map(|at| at as u8).collect();
    let change = Change { base: u64::MAX - 1, version: u64::MAX, digest: [7; 32], body };
    let bytes = bitcode::encode(&change).len();
    assert!(bytes <= raft::LARGEST_CHANGE, "{bytes} bytes");
}
