//! HTTP handlers of the relay's control calls.

use actix_web::{HttpResponse, web};

use super::conditions::LinkUpdate;
use super::state::RelayShared;

type RelayData = web::Data<RelayShared>;

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

async fn read_faults(shared: RelayData) -> HttpResponse {
    HttpResponse::Ok().json(shared.lock().conditions)
}

async fn set_faults(shared: RelayData, update: web::Json<LinkUpdate>) -> HttpResponse {
    let mut link = shared.lock();
    link.conditions.apply(*update);
    HttpResponse::Ok().json(link.conditions)
}

async fn cut(shared: RelayData) -> HttpResponse {
    shared.cut();
    HttpResponse::Ok().json(shared.status())
}

async fn silence(shared: RelayData) -> HttpResponse {
    shared.silence();
    HttpResponse::Ok().json(shared.status())
}

async fn read_status(shared: RelayData) -> HttpResponse {
    HttpResponse::Ok().json(shared.status())
}
