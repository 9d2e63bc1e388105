//! Engine memory in pieces, shared by reservations, streams, results and cached prefixes.

use std::collections::{BTreeMap, HashMap};

use gs_protocol::prefix::PrefixHash;

/// Memory that one piece of work holds. It has to be given back through [`PieceMemory::release`].
#[derive(Debug, Default)]
pub struct PieceLease {
    pinned: Vec<PrefixHash>,
    private: u32,
}

impl PieceLease {
    /// Pieces held, shared ones included.
    pub fn pieces(&self) -> u32 {
        count(self.pinned.len()) + self.private
    }

    /// Pieces that no other work shares.
    pub fn private(&self) -> u32 {
        self.private
    }

    /// Pieces that were found in the prefix cache.
    pub fn cached(&self) -> u32 {
        count(self.pinned.len())
    }
}

/// One prefix in the cache.
#[derive(Debug)]
struct CachedPiece {
    pins: u32,
    tick: u64,
}

/// All pieces of an engine. Unpinned prefixes are evicted, least recently used first.
#[derive(Debug)]
pub struct PieceMemory {
    total: u32,
    private: u32,
    pinned: u32,
    tick: u64,
    cached: HashMap<PrefixHash, CachedPiece>,
    unpinned: BTreeMap<u64, PrefixHash>,
    evicted: Vec<PrefixHash>,
}

impl PieceMemory {
    /// Empty memory of a number of pieces.
    pub fn new(total: u32) -> Self {
        Self {
            total,
            private: 0,
            pinned: 0,
            tick: 0,
            cached: HashMap::new(),
            unpinned: BTreeMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Pieces that new work can take; those of evictable prefixes count.
    pub fn free(&self) -> u32 {
        self.total - self.private - self.pinned
    }

    /// Takes pieces for work that shares none, or `None` if too few are free.
    pub fn take(&mut self, pieces: u32) -> Option<PieceLease> {
        self.take_prefixed(&[], pieces)
    }

    /// Takes the pieces of a prompt, sharing those of its prefix that are cached.
    pub fn take_prefixed(&mut self, hashes: &[PrefixHash], pieces: u32) -> Option<PieceLease> {
        let pinned = self.pin_found(hashes);
        let private = pieces.saturating_sub(count(pinned.len()));
        let mut lease = PieceLease { pinned, private: 0 };
        if private > self.free() {
            self.release(lease);
            return None;
        }
        lease.private = private;
        self.private += private;
        self.evict_excess();
        Some(lease)
    }

    /// Puts the full pieces of a computed prompt into the cache; the lease keeps them pinned.
    /// Returns those that were not cached before.
    pub fn store(&mut self, lease: &mut PieceLease, hashes: &[PrefixHash]) -> Vec<PrefixHash> {
        let mut stored = Vec::new();
        for &hash in &hashes[lease.pinned.len().min(hashes.len())..] {
            lease.private -= 1;
            self.private -= 1;
            if !self.cached.contains_key(&hash) {
                stored.push(hash);
            }
            self.pin(hash);
            lease.pinned.push(hash);
        }
        stored
    }

    /// Gives memory back; its prefixes stay cached until they are evicted.
    pub fn release(&mut self, lease: PieceLease) {
        self.private -= lease.private;
        for hash in lease.pinned.into_iter().rev() {
            self.unpin(hash);
        }
    }

    /// Takes the prefixes evicted since the last call.
    pub fn drain_evicted(&mut self) -> Vec<PrefixHash> {
        std::mem::take(&mut self.evicted)
    }

    /// Panics unless the pieces add up; `private` is the sum over all leases.
    pub fn assert_consistent(&self, private: u32) {
        assert_eq!(self.private, private, "private pieces");
        let unpinned = count(self.unpinned.len());
        assert_eq!(
            self.pinned + unpinned,
            count(self.cached.len()),
            "cached pieces"
        );
        assert!(self.private + self.pinned <= self.total, "too many pieces");
    }

    fn pin_found(&mut self, hashes: &[PrefixHash]) -> Vec<PrefixHash> {
        let found: Vec<_> = hashes
            .iter()
            .copied()
            .take_while(|hash| self.cached.contains_key(hash))
            .collect();
        for &hash in &found {
            self.pin(hash);
        }
        found
    }

    fn pin(&mut self, hash: PrefixHash) {
        let piece = self
            .cached
            .entry(hash)
            .or_insert(CachedPiece { pins: 0, tick: 0 });
        piece.pins += 1;
        if piece.pins == 1 {
            self.pinned += 1;
            self.unpinned.remove(&piece.tick);
        }
    }

    fn unpin(&mut self, hash: PrefixHash) {
        let Some(piece) = self.cached.get_mut(&hash) else {
            return;
        };
        piece.pins -= 1;
        if piece.pins > 0 {
            return;
        }
        self.tick += 1;
        piece.tick = self.tick;
        self.pinned -= 1;
        self.unpinned.insert(self.tick, hash);
    }

    fn evict_excess(&mut self) {
        while self.private + count(self.cached.len()) > self.total {
            let Some((_, hash)) = self.unpinned.pop_first() else {
                return;
            };
            self.cached.remove(&hash);
            self.evicted.push(hash);
        }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
