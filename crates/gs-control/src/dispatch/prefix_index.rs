//! Which servers hold which prompt prefixes, from own routing history and cache events.

use std::collections::{HashMap, VecDeque};

use gs_protocol::prefix::{BLOCK_TOKENS, PrefixHash};
use xxhash_rust::xxh3::Xxh3Builder;

use super::server_record::ServerId;

/// Holders remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// A prefix is remembered every 4 pieces up to 64 pieces, every 16 up to 512, then every 64.
const MARK_STEPS: [(usize, usize); 3] = [(64, 4), (512, 16), (usize::MAX, 64)];

/// A server that holds a prefix, or held it once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixHolder {
    /// The server.
    pub server: ServerId,
    /// The contents of the server's cache that are meant.
    pub epoch: u32,
    /// Pieces that the server had stored when the prefix was last used.
    pub stamp: u64,
}

/// The last holders of one prefix, the latest first.
#[derive(Clone, Copy, Debug, Default)]
struct HolderList([Option<PrefixHolder>; MAX_HOLDERS]);

impl HolderList {
    fn iter(&self) -> impl Iterator<Item = &PrefixHolder> {
        self.0.iter().flatten()
    }

    fn remove(&mut self, server: ServerId) {
        for slot in &mut self.0 {
            if slot.is_some_and(|known| known.server == server) {
                *slot = None;
            }
        }
    }

    /// Adds a holder in the first free place, or in place of the one added last.
    fn push(&mut self, holder: PrefixHolder) {
        let free = self.0.iter().position(Option::is_none);
        self.0[..=free.unwrap_or(MAX_HOLDERS - 1)].rotate_right(1);
        self.0[0] = Some(holder);
    }
}

/// A server and the tokens of a prompt that it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PrefixMatch {
    /// The server.
    pub server: ServerId,
    /// Tokens held.
    pub tokens: u32,
}

/// Holders of prefixes, bounded in size.
#[derive(Clone, Debug)]
pub struct PrefixIndex {
    holders: HashMap<PrefixHash, HolderList, Xxh3Builder>,
    order: VecDeque<PrefixHash>,
    capacity: usize,
}

/// The prefixes of a prompt that are remembered, as counts of pieces, shortest first.
fn mark_lengths(pieces: usize) -> impl DoubleEndedIterator<Item = usize> {
    let mut from = 0;
    let ranges = MARK_STEPS.map(|(until, step)| {
        let last = until.min(pieces);
        let range = (from + step..last + 1).step_by(step);
        from = last;
        range
    });
    ranges.into_iter().flatten()
}

impl PrefixIndex {
    /// An empty index that remembers at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self {
            holders: HashMap::with_hasher(Xxh3Builder::new()),
            order: VecDeque::new(),
            capacity: capacity.max(1),
        }
    }

    /// Remembers that a server holds every prefix of a prompt.
    pub fn note_prompt(&mut self, pieces: &[PrefixHash], holder: PrefixHolder) {
        for length in mark_lengths(pieces.len()) {
            if let Some(piece) = pieces.get(length - 1) {
                self.note(*piece, holder);
            }
        }
    }

    /// Forgets that a server holds any prefix of a prompt.
    pub fn forget_prompt(&mut self, pieces: &[PrefixHash], server: ServerId) {
        for length in mark_lengths(pieces.len()) {
            if let Some(piece) = pieces.get(length - 1) {
                self.forget(*piece, server);
            }
        }
    }

    /// Remembers that a server holds a prefix.
    pub fn note(&mut self, piece: PrefixHash, holder: PrefixHolder) {
        if !self.holders.contains_key(&piece) {
            self.order.push_back(piece);
        }
        let holders = self.holders.entry(piece).or_default();
        holders.remove(holder.server);
        holders.push(holder);
        self.shrink();
    }

    /// Forgets that a server holds a prefix.
    pub fn forget(&mut self, piece: PrefixHash, server: ServerId) {
        let Some(holders) = self.holders.get_mut(&piece) else {
            return;
        };
        holders.remove(server);
    }

    /// Servers that hold a prefix of a prompt, the longest match first, each once.
    pub fn find(
        &self,
        pieces: &[PrefixHash],
        is_held: impl Fn(&PrefixHolder) -> bool,
    ) -> Vec<PrefixMatch> {
        let mut matches: Vec<PrefixMatch> = Vec::with_capacity(MAX_HOLDERS);
        for length in mark_lengths(pieces.len()).rev() {
            let Some(holders) = pieces.get(length - 1).and_then(|p| self.holders.get(p)) else {
                continue;
            };
            for holder in holders.iter() {
                let known = matches.iter().any(|found| found.server == holder.server);
                if !known && is_held(holder) {
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

    /// Drops the oldest prefixes beyond the capacity.
    fn shrink(&mut self) {
        while self.order.len() > self.capacity {
            if let Some(piece) = self.order.pop_front() {
                self.holders.remove(&piece);
            }
        }
    }
}
