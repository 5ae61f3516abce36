//! The fleet's keys, and what is derived from them.

/// Bytes of the keyed hash of a datagram. A stranger guesses one of 2^64; a datagram has 256 bytes in all.
pub const DATAGRAM_HASH_BYTES: usize = 8;
/// Bytes of the keyed hash of a call's body.
pub const CALL_HASH_BYTES: usize = 32;

const DATAGRAMS: &str = "pewterseam fleet 2026-12 datagrams";
const CALLS: &str = "pewterseam fleet 2026-12 calls";
const OWNERS: &str = "pewterseam fleet 2026-12 owners";

/// What one key is used for, each purpose with a key of its own, so that bytes of one are nothing in another.
#[derive(Clone)]
struct Derived {
    datagrams: [u8; 32],
    calls: [u8; 32],
}

/// All keys that are taken; what goes out is sealed with the first.
#[derive(Clone)]
pub struct Keys {
    all: Vec<Derived>,
    owners: [u8; 16],
}

impl std::fmt::Debug for Keys {
    /// Never the keys themselves.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} keys", self.all.len())
    }
}

impl Keys {
    /// Danger: a fleet without a key would take anyone's word; without any key nothing opens and nothing is
    /// sealed that others open.
    pub fn new(keys: &[[u8; 32]]) -> Self {
        let derived = |key: &[u8; 32]| Derived {
            datagrams: blake3::derive_key(DATAGRAMS, key),
            calls: blake3::derive_key(CALLS, key),
        };
        // Owners of keys must not move when the fleet's key is changed: a constant, not a secret.
        let mut owners = [0; 16];
        owners.copy_from_slice(&blake3::derive_key(OWNERS, b"")[..16]);
        Keys { all: keys.iter().map(derived).collect(), owners }
    }

    /// For rendezvous hashing.
    pub fn owners(&self) -> [u8; 16] {
        self.owners
    }

    /// The hash that goes out with a datagram; none without a key.
    pub fn seal_datagram(&self, parts: &[&[u8]]) -> Option<[u8; DATAGRAM_HASH_BYTES]> {
        let hash = hash(&self.all.first()?.datagrams, parts);
        hash.as_bytes().first_chunk().copied()
    }

    pub fn opens_datagram(&self, parts: &[&[u8]], sealed: &[u8]) -> bool {
        sealed.len() == DATAGRAM_HASH_BYTES
            && self
                .all
                .iter()
                .any(|key| same(&hash(&key.datagrams, parts).as_bytes()[..sealed.len()], sealed))
    }

    pub fn seal_call(&self, parts: &[&[u8]]) -> Option<[u8; CALL_HASH_BYTES]> {
        Some(*hash(&self.all.first()?.calls, parts).as_bytes())
    }

    pub fn opens_call(&self, parts: &[&[u8]], sealed: &[u8; CALL_HASH_BYTES]) -> bool {
        // The library compares hashes in constant time.
        self.all.iter().any(|key| hash(&key.calls, parts) == blake3::Hash::from(*sealed))
    }
}

/// Danger: each part is preceded by its length, so that no two sequences of parts hash alike.
fn hash(key: &[u8; 32], parts: &[&[u8]]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    hasher.finalize()
}

/// In a time that does not tell where they differ.
fn same(one: &[u8], other: &[u8]) -> bool {
    one.iter().zip(other).fold(0, |differ, (one, other)| differ | (one ^ other)) == 0
}
