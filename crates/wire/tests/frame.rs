//! Frames: what is written is read again, however it arrives.

use bytes::{BufMut, Bytes, BytesMut};
use pewterseam_wire::frame::{FrameError, MAX_FRAME_BYTES, read_frame, write_frame};
use pewterseam_wire::random::Random;
use quickcheck::quickcheck;

fn framed(value: &Bytes) -> BytesMut {
    let mut buffer = BytesMut::new();
    write_frame(&mut buffer, value).expect("written");
    buffer
}

/// Bytes that do not repeat themselves.
fn noise(length: usize) -> Bytes {
    let mut random = Random::new(7);
    (0..length).map(|_| random.below(256) as u8).collect()
}

/// Items that are alike, as in a configuration.
fn items(count: usize) -> Bytes {
    let mut random = Random::new(7);
    let item = |_| format!(r#"{{"name":"r-{}","timeoutMs":600,"priority":1}},"#, random.below(1_000_000));
    Bytes::from((0..count).map(item).collect::<String>())
}

quickcheck! {
    /// Guards values of all lengths, alike and not, that arrive in two parts and with more behind them.
    fn a_value_is_read_as_it_was_written(plain: Vec<u8>, times: u8, cut: usize) -> bool {
        let value = Bytes::from(plain.repeat(usize::from(times) + 1));
        let mut whole = framed(&value);
        whole.extend_from_slice(&framed(&Bytes::from_static(b"next")));
        let cut = cut % whole.len();
        let mut rest = whole.split_off(cut);
        let early: Option<Bytes> = read_frame(&mut whole).expect("well formed");
        let read = early.or_else(|| {
            whole.unsplit(std::mem::take(&mut rest));
            read_frame(&mut whole).expect("well formed")
        });
        read == Some(value)
    }
}

/// Guards links against configurations that fill them: items that are alike take half of their length at most.
#[test]
fn what_repeats_itself_travels_compressed() {
    let value = items(2_000);
    let mut buffer = framed(&value);
    assert!(buffer.len() * 2 < value.len(), "{} bytes for {}", buffer.len(), value.len());
    assert_eq!(read_frame::<Bytes>(&mut buffer).expect("well formed"), Some(value));
    assert!(buffer.is_empty());
}

/// Guards against frames that compressing makes longer.
#[test]
fn what_does_not_repeat_itself_travels_as_it_is() {
    let value = noise(5_000);
    let buffer = framed(&value);
    assert!(buffer.len() < value.len() + 16, "{} bytes", buffer.len());
}

/// Guards memory against a short frame that announces a long value.
#[test]
fn a_compressed_value_that_is_announced_too_long_is_refused() {
    let mut buffer = BytesMut::new();
    let announced = MAX_FRAME_BYTES as u32 + 1;
    buffer.put_u32(1 << 31 | 8);
    buffer.put_u32_le(announced);
    buffer.put_u32(0);
    assert!(matches!(read_frame::<Bytes>(&mut buffer), Err(FrameError::TooLong(_))));
}

/// Guards against a panic, or a value that nobody wrote, where a compressed frame is damaged.
#[test]
fn a_damaged_compressed_value_is_refused() {
    let mut buffer = framed(&items(500));
    let middle = buffer.len() / 2;
    buffer.truncate(middle);
    let length = (middle - 4) as u32 | 1 << 31;
    buffer[..4].copy_from_slice(&length.to_be_bytes());
    assert!(matches!(read_frame::<Bytes>(&mut buffer), Err(FrameError::Decompress(_))));
}
