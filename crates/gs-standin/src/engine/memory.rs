//! Engine memory in KV-cache blocks, shared by reservations, streams, prefill results and cached
//! prefixes.

use std::collections::{BTreeMap, HashMap};

use gs_protocol::prefix::PrefixHash;

/// Blocks held by one reservation, prefill, result or stream. Return them with
/// [`BlockMemory::release`].
#[derive(Debug, Default)]
pub struct BlockLease {
    pinned: Vec<PrefixHash>,
    private_blocks: u32,
}

impl BlockLease {
    /// Number of blocks held, including shared ones.
    pub fn block_count(&self) -> u32 {
        saturating_u32(self.pinned.len()) + self.private_blocks
    }

    /// Number of blocks that no other lease shares.
    pub fn private_blocks(&self) -> u32 {
        self.private_blocks
    }

    /// Number of blocks held through the prefix cache.
    pub fn cached_blocks(&self) -> u32 {
        saturating_u32(self.pinned.len())
    }
}

/// One block in the prefix cache, keyed by the hash of the prefix that it ends.
#[derive(Debug)]
struct CachedBlock {
    pins: u32,
    lru_tick: u64,
}

/// All blocks of an engine. Unpinned prefixes are evicted, least recently used first.
#[derive(Debug)]
pub struct BlockMemory {
    total_blocks: u32,
    private_blocks: u32,
    pinned_blocks: u32,
    lru_tick: u64,
    cached: HashMap<PrefixHash, CachedBlock>,
    unpinned: BTreeMap<u64, PrefixHash>,
    evicted: Vec<PrefixHash>,
}

impl BlockMemory {
    /// Creates empty memory of `total_blocks` blocks.
    pub fn new(total_blocks: u32) -> Self {
        Self {
            total_blocks,
            private_blocks: 0,
            pinned_blocks: 0,
            lru_tick: 0,
            cached: HashMap::new(),
            unpinned: BTreeMap::new(),
            evicted: Vec::new(),
        }
    }

    /// Number of blocks available to new leases, including those of evictable prefixes.
    pub fn free_blocks(&self) -> u32 {
        self.total_blocks - self.private_blocks - self.pinned_blocks
    }

    /// Allocates private blocks, or returns `None` if too few are free.
    pub fn allocate(&mut self, blocks: u32) -> Option<BlockLease> {
        self.allocate_with_prefix(&[], blocks)
    }

    /// Allocates `blocks` blocks for a prompt, sharing those of its cached prefix.
    ///
    /// `hashes` are the prefix hashes of the prompt's full blocks. Returns `None` if too few blocks
    /// are free.
    pub fn allocate_with_prefix(
        &mut self,
        hashes: &[PrefixHash],
        blocks: u32,
    ) -> Option<BlockLease> {
        let pinned = self.pin_cached_prefix(hashes);
        let private_blocks = blocks.saturating_sub(saturating_u32(pinned.len()));
        let mut lease = BlockLease {
            pinned,
            private_blocks: 0,
        };
        if private_blocks > self.free_blocks() {
            self.release(lease);
            return None;
        }
        lease.private_blocks = private_blocks;
        self.private_blocks += private_blocks;
        self.evict_excess();
        Some(lease)
    }

    /// Puts the full blocks of a computed prompt into the prefix cache; the lease keeps them
    /// pinned. Returns the hashes that were not cached before.
    pub fn cache_prefix(
        &mut self,
        lease: &mut BlockLease,
        hashes: &[PrefixHash],
    ) -> Vec<PrefixHash> {
        let mut stored = Vec::new();
        for &hash in &hashes[lease.pinned.len().min(hashes.len())..] {
            lease.private_blocks -= 1;
            self.private_blocks -= 1;
            if !self.cached.contains_key(&hash) {
                stored.push(hash);
            }
            self.pin(hash);
            lease.pinned.push(hash);
        }
        stored
    }

    /// Frees a lease; its prefixes stay cached until they are evicted.
    pub fn release(&mut self, lease: BlockLease) {
        self.private_blocks -= lease.private_blocks;
        for hash in lease.pinned.into_iter().rev() {
            self.unpin(hash);
        }
    }

    /// Returns the prefixes evicted since the last call.
    pub fn drain_evicted(&mut self) -> Vec<PrefixHash> {
        std::mem::take(&mut self.evicted)
    }

    /// Panics if the block counts are inconsistent; `private_blocks` is the sum over all leases.
    pub fn assert_consistent(&self, private_blocks: u32) {
        assert_eq!(self.private_blocks, private_blocks, "private blocks");
        let unpinned = saturating_u32(self.unpinned.len());
        assert_eq!(
            self.pinned_blocks + unpinned,
            saturating_u32(self.cached.len()),
            "cached blocks"
        );
        assert!(
            self.private_blocks + self.pinned_blocks <= self.total_blocks,
            "more blocks in use than exist"
        );
    }

    /// Pins the longest cached prefix of a prompt and returns its hashes.
    fn pin_cached_prefix(&mut self, hashes: &[PrefixHash]) -> Vec<PrefixHash> {
        let cached: Vec<_> = hashes
            .iter()
            .copied()
            .take_while(|hash| self.cached.contains_key(hash))
            .collect();
        for &hash in &cached {
            self.pin(hash);
        }
        cached
    }

    fn pin(&mut self, hash: PrefixHash) {
        let block = self.cached.entry(hash).or_insert(CachedBlock {
            pins: 0,
            lru_tick: 0,
        });
        block.pins += 1;
        if block.pins == 1 {
            self.pinned_blocks += 1;
            self.unpinned.remove(&block.lru_tick);
        }
    }

    fn unpin(&mut self, hash: PrefixHash) {
        let Some(block) = self.cached.get_mut(&hash) else {
            return;
        };
        block.pins -= 1;
        if block.pins > 0 {
            return;
        }
        self.lru_tick += 1;
        block.lru_tick = self.lru_tick;
        self.pinned_blocks -= 1;
        self.unpinned.insert(self.lru_tick, hash);
    }

    /// Evicts unpinned prefixes until private and cached blocks fit into memory.
    fn evict_excess(&mut self) {
        while self.private_blocks + saturating_u32(self.cached.len()) > self.total_blocks {
            let Some((_, hash)) = self.unpinned.pop_first() else {
                return;
            };
            self.cached.remove(&hash);
            self.evicted.push(hash);
        }
    }
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
