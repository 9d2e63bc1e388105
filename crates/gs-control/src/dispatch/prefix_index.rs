//! Index of the servers that hold prompt prefixes, from this entry's placements and from cache
//! events.

use std::collections::{HashMap, VecDeque};

use gs_protocol::prefix::{BLOCK_TOKENS, PrefixHash};
use xxhash_rust::xxh3::Xxh3Builder;

use super::server_record::ServerId;

/// Maximum number of holders kept for one prefix.
const MAX_HOLDERS: usize = 4;

/// Indexed prefix lengths in KV-cache blocks, as `(up to, step)`: every 4 blocks up to 64, every 16
/// up to 512, then every 64.
const INDEXED_LENGTHS: [(usize, usize); 3] = [(64, 4), (512, 16), (usize::MAX, 64)];

/// A server that holds or held a prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHolder {
    /// Server.
    pub server: ServerId,
    /// Generation of the server's prefix cache.
    pub epoch: u32,
    /// Number of KV-cache blocks that the server had stored when the prefix was last used.
    pub blocks_at_use: u64,
}

/// Latest holders of one prefix, newest first.
#[derive(Clone, Copy, Debug, Default)]
struct HolderList([Option<PrefixHolder>; MAX_HOLDERS]);

impl HolderList {
    fn iter(&self) -> impl Iterator<Item = &PrefixHolder> {
        self.0.iter().flatten()
    }

    fn remove(&mut self, server: ServerId) {
        for slot in &mut self.0 {
            if slot.is_some_and(|holder| holder.server == server) {
                *slot = None;
            }
        }
    }

    /// Adds a holder at the front. The oldest is dropped if the list is full.
    fn push(&mut self, holder: PrefixHolder) {
        let free = self.0.iter().position(Option::is_none);
        self.0[..=free.unwrap_or(MAX_HOLDERS - 1)].rotate_right(1);
        self.0[0] = Some(holder);
    }
}

/// A server that holds a prefix of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixMatch {
    /// Server.
    pub server: ServerId,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Holders by prefix, bounded in size.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    holders: HashMap<PrefixHash, HolderList, Xxh3Builder>,
    /// Indexed prefixes, oldest first.
    insertion_order: VecDeque<PrefixHash>,
    capacity: usize,
}

/// Indexed prefix lengths of a prompt in KV-cache blocks, shortest first.
fn indexed_lengths(block_count: usize) -> impl DoubleEndedIterator<Item = usize> {
    let mut from = 0;
    let ranges = INDEXED_LENGTHS.map(|(up_to, step)| {
        let last = up_to.min(block_count);
        let range = (from + step..last + 1).step_by(step);
        from = last;
        range
    });
    ranges.into_iter().flatten()
}

impl PrefixIndex {
    /// Creates an empty index that holds at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::with_hasher(Xxh3Builder::new()),
            insertion_order: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Records that a server holds every prefix of a prompt.
    pub fn record_prompt(&mut self, prefix_hashes: &[PrefixHash], holder: PrefixHolder) {
        for length in indexed_lengths(prefix_hashes.len()) {
            if let Some(prefix) = prefix_hashes.get(length - 1) {
                self.record(*prefix, holder);
            }
        }
    }

    /// Removes a server as holder of every prefix of a prompt.
    pub fn remove_prompt(&mut self, prefix_hashes: &[PrefixHash], server: ServerId) {
        for length in indexed_lengths(prefix_hashes.len()) {
            if let Some(prefix) = prefix_hashes.get(length - 1) {
                self.remove(*prefix, server);
            }
        }
    }

    /// Records that a server holds a prefix.
    pub fn record(&mut self, prefix: PrefixHash, holder: PrefixHolder) {
        if !self.holders.contains_key(&prefix) {
            self.insertion_order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.remove(holder.server);
        holders.push(holder);
        self.evict_oldest();
    }

    /// Removes a server as holder of a prefix.
    pub fn remove(&mut self, prefix: PrefixHash, server: ServerId) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.remove(server);
    }

    /// Servers that hold a prefix of a prompt, longest match first, each listed once. `is_held`
    /// returns whether a recorded holder still has the prefix.
    pub fn find(
        &self,
        prefix_hashes: &[PrefixHash],
        is_held: impl Fn(&PrefixHolder) -> bool,
    ) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::with_capacity(MAX_HOLDERS);
        for length in indexed_lengths(prefix_hashes.len()).rev() {
            let Some(holders) = prefix_hashes
                .get(length - 1)
                .and_then(|prefix| self.holders.get(prefix))
            else {
                continue;
            };
            for holder in holders.iter() {
                let is_listed = matches.iter().any(|found| found.server == holder.server);
                if !is_listed && is_held(holder) {
                    matches.push(PrefixMatch {
                        server: holder.server,
                        tokens: length as u32 * BLOCK_TOKENS,
                    });
                }
            }
            if matches.len() >= MAX_HOLDERS {
                break;
            }
        }
        matches
    }

    /// Evicts the oldest prefixes beyond the capacity.
    fn evict_oldest(&mut self) {
        while self.insertion_order.len() > self.capacity {
            if let Some(prefix) = self.insertion_order.pop_front() {
                self.holders.remove(&prefix);
            }
        }
    }
}
