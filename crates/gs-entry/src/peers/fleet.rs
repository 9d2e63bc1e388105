//! The other entries that the traffic threads list to callers.

use gs_control::membership::MemberCandidate;

/// Other entries that callers can use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetView {
    /// The entries, sorted by name.
    pub entries: Vec<MemberCandidate>,
}
