//! The engine's HTTP server and background tasks.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use actix_web::dev::Server;
use actix_web::{App, HttpServer, web};
use log::info;
use tokio::sync::Notify;

use super::http;
use super::options::EngineOptions;
use super::prefill::ChunkWork;
use super::state::EngineState;
use super::timers;
use crate::KEEP_ALIVE;
use crate::error::StandinError;

/// Seconds that a shutdown waits for open connections to finish.
const SHUTDOWN_S: u64 = 1;

/// Engine state shared by the worker threads, and the signals that wake its loops.
#[derive(Debug)]
pub struct SharedEngine {
    state: Mutex<EngineState>,
    /// Notified when a stream's KV cache has been loaded.
    pub batch_wake: Notify,
    /// Notified when a prefill is queued or an attempt is cancelled.
    pub prefill_wake: Notify,
}

impl SharedEngine {
    /// Locks the state. Never hold the guard across an await.
    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Selects the next prefill chunk; `None` if nothing can run or the `silent` fault is on.
    pub fn next_chunk(&self) -> Option<ChunkWork> {
        let mut state = self.lock();
        if state.faults.silent {
            return None;
        }
        state.next_chunk(Instant::now())
    }
}

/// An engine whose address is bound; [`EngineServer::run`] serves it.
pub struct EngineServer {
    address: SocketAddr,
    server: Server,
    engine: Arc<SharedEngine>,
}

impl EngineServer {
    /// Binds the listen address of the options. Must be called within an actix system.
    ///
    /// Returns [`StandinError::Listen`] if the address cannot be bound.
    pub fn bind(options: EngineOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let workers = options.workers.max(1);
        let engine = Arc::new(SharedEngine {
            state: Mutex::new(EngineState::new(options, Instant::now())),
            batch_wake: Notify::new(),
            prefill_wake: Notify::new(),
        });
        let data = web::Data::from(Arc::clone(&engine));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .configure(http::configure)
                .wrap(actix_web::middleware::from_fn(http::apply_faults))
        })
        .workers(workers)
        .h1_allow_half_closed(false)
        .keep_alive(KEEP_ALIVE)
        .tcp_nodelay(true)
        .shutdown_timeout(SHUTDOWN_S)
        .bind(listen)
        .map_err(|source| StandinError::Listen {
            address: listen,
            source,
        })?;
        let address = server.addrs().first().copied().unwrap_or(listen);
        Ok(Self {
            address,
            server: server.run(),
            engine,
        })
    }

    /// The address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until the process receives a shutdown signal.
    pub async fn run(self) -> Result<(), StandinError> {
        let batch = Arc::clone(&self.engine);
        actix_rt::spawn(async move { timers::run_batch(&batch).await });
        let prefills = Arc::clone(&self.engine);
        actix_rt::spawn(async move { timers::run_prefills(&prefills).await });
        actix_rt::spawn(async move { timers::run_maintenance(&self.engine).await });
        info!(target: "engine", address:% = self.address; "ready");
        self.server
            .await
            .map_err(|source| StandinError::Serve { source })
    }
}

/// Runs an engine until the process receives a shutdown signal.
pub async fn run(options: EngineOptions) -> Result<(), StandinError> {
    EngineServer::bind(options)?.run().await
}
