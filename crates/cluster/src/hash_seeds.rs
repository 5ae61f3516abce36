//! Random bytes of the operating system, replaced by ones that follow from a seed.
//!
//! The state machines keep hash maps, whose keys the standard library draws once for each thread. In the order of their
//! items a run would differ from the next. This takes the place of the C library's `getrandom` in test programs.

use std::cell::Cell;

thread_local! {
    static STATE: Cell<u64> = const { Cell::new(0x5eed) };
}

/// Sets what this thread draws from now on. Before its first hash map.
pub fn set(seed: u64) {
    STATE.with(|state| state.set(seed));
}

fn draw() -> u64 {
    STATE.with(|state| {
        let mut random = pewterseam_wire::random::Random::new(state.get());
        let value = random.draw();
        state.set(state.get().wrapping_add(0x9e37_79b9_7f4a_7c15));
        value
    })
}

/// The C library's function. Nothing in a test program needs real randomness.
///
/// # Safety
/// `buffer` must be valid for writes of `length` bytes.
#[unsafe(no_mangle)]
unsafe extern "C" fn getrandom(buffer: *mut u8, length: usize, _flags: u32) -> isize {
    for offset in 0..length {
        // SAFETY: the caller promises that `length` bytes may be written.
        unsafe { buffer.add(offset).write(draw() as u8) };
    }
    length as isize
}
