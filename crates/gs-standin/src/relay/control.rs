//! HTTP handlers of the relay's control calls.

use actix_web::{HttpResponse, web};

use super::conditions::LinkUpdate;
use super::state::RelayState;

type RelayData = web::Data<RelayState>;

/// Registers the routes of the control calls.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/ready", web::get().to(HttpResponse::Ok))
        .route("/control/faults", web::get().to(read_faults))
        .route("/control/faults", web::post().to(set_faults))
        .route("/control/cut", web::post().to(cut))
        .route("/control/silence", web::post().to(silence))
        .route("/control/status", web::get().to(read_status));
}

async fn read_faults(state: RelayData) -> HttpResponse {
    HttpResponse::Ok().json(state.lock().conditions)
}

async fn set_faults(state: RelayData, update: web::Json<LinkUpdate>) -> HttpResponse {
    let mut link = state.lock();
    link.conditions.apply(*update);
    HttpResponse::Ok().json(link.conditions)
}

async fn cut(state: RelayData) -> HttpResponse {
    state.cut();
    HttpResponse::Ok().json(state.status())
}

async fn silence(state: RelayData) -> HttpResponse {
    state.silence();
    HttpResponse::Ok().json(state.status())
}

async fn read_status(state: RelayData) -> HttpResponse {
    HttpResponse::Ok().json(state.status())
}
