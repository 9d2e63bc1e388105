//! The other entries, as the traffic threads show them to callers.

use gs_control::membership::MemberCandidate;

/// The other entries that callers can be sent to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FleetView {
    /// The entries, by name.
    pub entries: Vec<MemberCandidate>,
}
