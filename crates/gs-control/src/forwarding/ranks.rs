//! Ranks of requests where the configuration has workspaces, and the number of waiting requests by rank.

use std::time::Instant;

use super::admission::StartClass;

/// Number of ranks that are told apart. Less urgent ones count as the last.
pub const RANK_COUNT: usize = 10;

/// What decides the place of a request among others.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerOrder {
    /// Priority; 0 is the most urgent.
    pub rank: u8,
    /// Name of the workspace; empty on public routes.
    pub workspace: String,
    /// Name of the route.
    pub route: String,
    /// The workspace's share of recent service.
    pub share: f64,
    /// What the request adds to the share when it is sent to a server.
    pub increment: f64,
    /// Size of the request, to be compared with others of its route.
    pub size: u64,
    /// When its client gives up, if it said so.
    pub gives_up_at: Option<Instant>,
    /// Whether its client came back as told after a refusal. Set by the queue.
    pub has_waited: bool,
}

impl CallerOrder {
    /// Returns the rank as an index of [`RankCounts`].
    pub(crate) fn level(&self) -> usize {
        usize::from(self.rank).min(RANK_COUNT - 1)
    }
}

/// Number of waiting requests of one rank.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankWaiting {
    /// Requests that can be on time.
    pub on_time: u32,
    /// Requests that will be late.
    pub late: u32,
}

impl RankWaiting {
    /// One request of a class.
    pub fn one(class: StartClass) -> Self {
        let is_late = class == StartClass::Late;
        Self {
            on_time: u32::from(!is_late),
            late: u32::from(is_late),
        }
    }

    fn count(self, class: StartClass) -> u32 {
        match class {
            StartClass::OnTime => self.on_time,
            StartClass::Late => self.late,
        }
    }
}

/// Number of waiting requests by rank. All are 0 where the configuration has no workspaces.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RankCounts([RankWaiting; RANK_COUNT]);

impl RankCounts {
    /// Counts without any request.
    pub const NONE: Self = Self(
        [RankWaiting {
            on_time: 0,
            late: 0,
        }; RANK_COUNT],
    );

    /// Adds waiting requests of a rank.
    pub fn add(&mut self, rank: u8, waiting: RankWaiting) {
        let level = usize::from(rank).min(RANK_COUNT - 1);
        self.0[level].on_time = self.0[level].on_time.saturating_add(waiting.on_time);
        self.0[level].late = self.0[level].late.saturating_add(waiting.late);
    }

    /// Adds all counts of an entry.
    pub fn add_all(&mut self, other: &Self) {
        for (rank, waiting) in other.iter() {
            self.add(rank, waiting);
        }
    }

    /// Returns the ranks that have waiting requests.
    pub fn iter(&self) -> impl Iterator<Item = (u8, RankWaiting)> + '_ {
        let ranks = (0..).zip(self.0);
        ranks.filter(|(_, waiting)| *waiting != RankWaiting::default())
    }

    /// Returns the number of requests of a class and a rank.
    pub fn at(&self, class: StartClass, rank: u8) -> u32 {
        self.0[usize::from(rank).min(RANK_COUNT - 1)].count(class)
    }

    /// Returns the number of requests of a class that are more urgent than a rank.
    pub fn before(&self, class: StartClass, rank: u8) -> u32 {
        let level = usize::from(rank).min(RANK_COUNT - 1);
        let better = self.0[..level].iter();
        better.map(|waiting| waiting.count(class)).sum()
    }
}
