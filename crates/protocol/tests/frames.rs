//! Frames, whole and in pieces, and bytes that are none.

use protocol::{ConfigId, FrameError, Heartbeat, MAX_FRAME_BYTES, Message, frame, unframe};

#[test]
fn frames_come_back_whole_however_they_are_cut() {
    let flags = [
        Message::Follow { have: ConfigId { version: 7, digest_prefix: 9 } },
        Message::Heartbeat(Heartbeat::default()),
        Message::BackendHeartbeats(vec![("i-1".into(), 3)]),
    ];
    let bytes: Vec<u8> = flags.iter().flat_map(frame).collect();
    for size in 1..bytes.len() {
        let (mut buffer, mut read) = (Vec::new(), Vec::new());
        for piece in bytes.chunks(size) {
            buffer.extend_from_slice(piece);
            while let Some((flag, taken)) = unframe::<Message>(&buffer).expect("a frame") {
                buffer.drain(..taken);
                read.push(flag);
            }
        }
        assert!(buffer.is_empty());
        assert_eq!(read, flags);
    }
}

#[test]
fn what_is_no_frame_is_told_apart_from_half_a_frame() {
    assert_eq!(unframe::<Message>(&[0, 0]), Ok(None));
    let long = u32::try_from(MAX_FRAME_BYTES + 1).expect("fits").to_be_bytes();
    assert_eq!(unframe::<Message>(&long), Err(FrameError::TooLong(MAX_FRAME_BYTES + 1)));
    assert_eq!(unframe::<Message>(&[0, 0, 0, 3, 255, 255, 255]), Err(FrameError::Undecodable));
}

#[test]
fn any_byte_changed_gives_a_message_or_an_error_but_no_panic() {
    let whole = frame(&Message::BackendHeartbeats(vec![("i-1".into(), 3), ("i-2".into(), 9)]));
    for at in 4..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            if let Ok(read) = unframe::<Message>(&bytes) {
                assert!(read.is_some(), "the length is untouched");
            }
        }
    }
}
