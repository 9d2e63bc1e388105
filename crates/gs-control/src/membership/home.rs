//! Assignment of each backend server to a home entry, which releases what dead entries hold at it.

use gs_protocol::ids::{DataCentreName, EntryName, ServerName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry that servers may be assigned to, and its data centre.
pub type HomeCandidate<'a> = (&'a EntryName, &'a DataCentreName);

/// Returns the home of a server: the entry with the highest rendezvous hash among the entries of
/// the server's data centre, or among all entries if there are none.
///
/// Entries that agree on which entries are alive agree on the home. When an entry joins or leaves,
/// only its own share of the servers is reassigned.
///
/// ```
/// use gs_control::membership::choose_home;
/// use gs_protocol::ids::{DataCentreName, EntryName, ServerName};
///
/// let (near, far) = (EntryName::from("near"), EntryName::from("far"));
/// let (north, south) = (DataCentreName::from("north"), DataCentreName::from("south"));
/// let entries = [(&near, &north), (&far, &south)];
/// assert_eq!(choose_home(&ServerName::from("any"), &north, &entries), Some(&near));
/// ```
pub fn choose_home<'a>(
    server: &ServerName,
    data_centre: &DataCentreName,
    entries: &[HomeCandidate<'a>],
) -> Option<&'a EntryName> {
    let score = |entry: &EntryName| {
        let seed = xxh3_64_with_seed(entry.as_str().as_bytes(), 0);
        xxh3_64_with_seed(server.as_str().as_bytes(), seed)
    };
    entries
        .iter()
        .max_by_key(|(entry, entry_data_centre)| {
            (*entry_data_centre == data_centre, score(entry), *entry)
        })
        .map(|(entry, _)| *entry)
}
