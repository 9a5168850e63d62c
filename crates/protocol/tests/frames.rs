//! Decoding of frames: complete, in pieces, and invalid.

use protocol::{ConfigId, FrameError, Heartbeat, MAX_FRAME_BYTES, Message, frame, unframe};

#[test]
fn frames_decode_regardless_of_how_they_are_split() {
    let messages = [
        Message::Follow { have: ConfigId { version: 7, digest_prefix: 9 } },
        Message::Heartbeat(Heartbeat::default()),
        Message::BackendHeartbeats(vec![("i-1".into(), 3)]),
    ];
    let bytes: Vec<u8> = messages.iter().flat_map(frame).collect();
    for size in 1..bytes.len() {
        let (mut buffer, mut read) = (Vec::new(), Vec::new());
        for piece in bytes.chunks(size) {
            buffer.extend_from_slice(piece);
            while let Some((message, length)) = unframe::<Message>(&buffer).expect("a frame") {
                buffer.drain(..length);
                read.push(message);
            }
        }
        assert!(buffer.is_empty());
        assert_eq!(read, messages);
    }
}

#[test]
fn invalid_frames_are_distinguished_from_incomplete_ones() {
    assert_eq!(unframe::<Message>(&[0, 0]), Ok(None));
    let long = u32::try_from(MAX_FRAME_BYTES + 1).expect("the length fits into 32 bits").to_be_bytes();
    assert_eq!(unframe::<Message>(&long), Err(FrameError::TooLong(MAX_FRAME_BYTES + 1)));
    assert_eq!(unframe::<Message>(&[0, 0, 0, 3, 255, 255, 255]), Err(FrameError::Undecodable));
}

#[test]
fn a_flipped_bit_yields_a_message_or_an_error_but_no_panic() {
    let whole = frame(&Message::BackendHeartbeats(vec![("i-1".into(), 3), ("i-2".into(), 9)]));
    for at in 4..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            if let Ok(read) = unframe::<Message>(&bytes) {
                assert!(read.is_some(), "only the body is modified, so the frame is complete");
            }
        }
    }
}
