//! Tests of the administration daemon as a process, against the platform stand-in.

mod accepting;
mod api_page;
mod crashes;
mod refusing;
mod support;
mod viewing;
