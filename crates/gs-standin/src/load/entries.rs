//! The entries that callers choose from.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use gs_protocol::caller::EntryList;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::client::get_json;
use super::error::LoadError;

/// Where an entry list is asked for.
pub const ENTRIES_PATH: &str = "/v1/entries";

/// How long to wait after a list that did not come.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// An entry and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryChoice {
    /// Where the entry listens.
    pub address: SocketAddr,
    /// Its weight.
    pub weight: u32,
}

/// The present list of entries.
#[derive(Debug, Default)]
pub struct EntryPool {
    choices: RefCell<Vec<EntryChoice>>,
}

impl EntryPool {
    /// A fixed list in which all entries weigh the same.
    pub fn fixed(addresses: &[SocketAddr]) -> Self {
        let choices = addresses
            .iter()
            .map(|&address| EntryChoice { address, weight: 1 });
        Self {
            choices: RefCell::new(choices.collect()),
        }
    }

    /// Asks for the list and takes it over; returns how long it may be used.
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

    /// Keeps the list fresh for ever; any entry of it is asked, and `from` if none answers.
    pub async fn keep_fresh(&self, client: &Client, from: SocketAddr, token: &str) {
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

    /// Chooses an entry by weight, another one than `avoid` if there is one.
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
        let mut left = random.gen_range(0..total);
        for choice in choices.iter().filter(usable) {
            if left < choice.weight {
                return Some(choice.address);
            }
            left -= choice.weight;
        }
        None
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        let choices = self.choices.borrow();
        choices.iter().map(|choice| choice.address).collect()
    }
}
