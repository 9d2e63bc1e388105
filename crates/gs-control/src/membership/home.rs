//! Which entry looks after a backend server.

use gs_protocol::ids::{DataCentreName, EntryName, ServerName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An entry that may look after servers, and where it stands.
pub type HomeCandidate<'a> = (&'a EntryName, &'a DataCentreName);

/// Chooses the home of a server by rendezvous hash, among the entries of the server's data centre if
/// there are any. Entries that agree on who is alive agree on the home; when an entry comes or goes, only
/// its own share of the servers moves.
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
        .max_by_key(|(entry, place)| (*place == data_centre, score(entry), *entry))
        .map(|(entry, _)| *entry)
}
