//! Handlers of the control calls for tests, which are exempt from counts, rate limits and faults.

use actix_web::HttpResponse;
use actix_web::web::{Data, Json};

use super::faults::FaultSwitches;
use super::limits::CallStats;
use super::state::PlatformState;
use super::vms::VmChange;

/// `GET /ready`
pub(super) async fn ready() -> HttpResponse {
    HttpResponse::Ok().finish()
}

/// `POST /control/faults`
pub(super) async fn set_faults(
    state: Data<PlatformState>,
    faults: Json<FaultSwitches>,
) -> HttpResponse {
    state.lock().faults = faults.into_inner();
    state.notify_change();
    HttpResponse::Ok().finish()
}

/// `POST /control/vms`
pub(super) async fn change_vms(state: Data<PlatformState>, change: Json<VmChange>) -> HttpResponse {
    state.change_vms(change.into_inner());
    HttpResponse::Ok().finish()
}

/// `GET /control/stats`
pub(super) async fn read_stats(state: Data<PlatformState>) -> Json<CallStats> {
    Json(state.lock().stats())
}
