//! The list of entries that callers choose from.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use gs_protocol::caller::EntryList;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::client::get_json;
use super::error::LoadError;

/// The path of the entry list.
pub const ENTRIES_PATH: &str = "/v1/entries";

/// Delay before the next attempt if no entry returned its list.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// An entry and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryChoice {
    /// The address of the entry.
    pub address: SocketAddr,
    /// The weight of the entry in the random choice.
    pub weight: u32,
}

/// The current list of entries.
#[derive(Debug, Default)]
pub struct EntryPool {
    choices: RefCell<Vec<EntryChoice>>,
}

impl EntryPool {
    /// Creates a list in which all entries have the same weight.
    pub fn fixed(addresses: &[SocketAddr]) -> Self {
        let choices = addresses
            .iter()
            .map(|&address| EntryChoice { address, weight: 1 });
        Self {
            choices: RefCell::new(choices.collect()),
        }
    }

    /// Requests the list from an entry and replaces the current one; returns its lifetime.
    pub async fn refresh(
        &self,
        client: &Client,
        from: SocketAddr,
        token: &str,
    ) -> Result<Duration, LoadError> {
        let list: EntryList = get_json(client, from, ENTRIES_PATH, Some(token)).await?;
        let choices = list.entries.iter().map(|entry| EntryChoice {
            address: entry.address,
            weight: entry.weight,
        });
        *self.choices.borrow_mut() = choices.collect();
        Ok(Duration::from_secs(list.ttl_s.max(1)))
    }

    /// Refreshes the list whenever its lifetime ends, until the task is dropped. Requests go to the
    /// listed entries in turn until one answers, and then to `from`.
    pub async fn refresh_periodically(&self, client: &Client, from: SocketAddr, token: &str) {
        loop {
            let known = self.addresses();
            let mut wait = RETRY_WAIT;
            for address in known.into_iter().chain([from]) {
                if let Ok(ttl) = self.refresh(client, address, token).await {
                    wait = ttl;
                    break;
                }
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Chooses a random entry by weight, other than `avoid` if there is another.
    pub fn choose(&self, random: &mut Pcg64Mcg, avoid: Option<SocketAddr>) -> Option<SocketAddr> {
        let choices = self.choices.borrow();
        let usable = |choice: &&EntryChoice| Some(choice.address) != avoid;
        let total: u32 = choices
            .iter()
            .filter(usable)
            .map(|choice| choice.weight)
            .sum();
        if total == 0 {
            return choices.first().map(|choice| choice.address);
        }
        let mut remaining = random.gen_range(0..total);
        for choice in choices.iter().filter(usable) {
            if remaining < choice.weight {
                return Some(choice.address);
            }
            remaining -= choice.weight;
        }
        None
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let choices = self.choices.borrow();
        choices.iter().map(|choice| choice.address).collect()
    }
}
