//! Formats answers of the administration API as text.

mod accept;
mod drain;
mod format;
mod head;
mod history;
mod status;

pub(crate) use accept::AcceptView;
pub(crate) use drain::DrainView;
pub(crate) use head::HeadTable;
pub(crate) use history::HistoryTable;
pub(crate) use status::StatusTable;
