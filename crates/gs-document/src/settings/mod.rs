//! The settings of `gs-entry` and `gs-admin`, parsed from JSON with comments.

mod admin;
mod defaults;
mod entry;
mod schema;
mod secret;
mod sections;

pub use admin::{AdminLimits, AdminSettings, EnvironmentNames, parse_admin_settings};
pub use entry::{EntrySettings, PlacementPolicy, parse_entry_settings};
pub use secret::PeerKey;
pub use sections::{
    ClaimSettings, EntryLimits, IntervalSettings, PeerSetting, ServerSetting, TimeoutSettings,
};
