//! The engine as a process: its threads and its HTTP server.

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

/// Seconds that a shutdown waits for open connections.
const SHUTDOWN_S: u64 = 1;

/// The state that the threads share, and how to wake its loops.
#[derive(Debug)]
pub struct EngineShared {
    state: Mutex<EngineState>,
    /// Told when a stream can run.
    pub batch_wake: Notify,
    /// Told when a prefill waits.
    pub prefill_wake: Notify,
}

impl EngineShared {
    /// The state, for a short time.
    pub fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The next chunk to compute; none while the engine is silent.
    pub fn next_chunk(&self) -> Option<ChunkWork> {
        let mut state = self.lock();
        if state.faults.silent {
            return None;
        }
        state.next_chunk(Instant::now())
    }
}

/// An engine that listens and is not served yet.
pub struct EngineServer {
    address: SocketAddr,
    server: Server,
    shared: Arc<EngineShared>,
}

impl EngineServer {
    /// Listens at the address of the options. Call it within an actix system.
    pub fn bind(options: EngineOptions) -> Result<Self, StandinError> {
        let listen = options.listen;
        let workers = options.workers.max(1);
        let shared = Arc::new(EngineShared {
            state: Mutex::new(EngineState::new(options, Instant::now())),
            batch_wake: Notify::new(),
            prefill_wake: Notify::new(),
        });
        let data = web::Data::from(Arc::clone(&shared));
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
            shared,
        })
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until the process is told to end.
    pub async fn run(self) -> Result<(), StandinError> {
        let batch = Arc::clone(&self.shared);
        actix_rt::spawn(async move { timers::run_batch(&batch).await });
        let prefills = Arc::clone(&self.shared);
        actix_rt::spawn(async move { timers::run_prefills(&prefills).await });
        actix_rt::spawn(async move { timers::run_expiry(&self.shared).await });
        info!(target: "engine", address:% = self.address; "ready");
        self.server
            .await
            .map_err(|source| StandinError::Serve { source })
    }
}

/// Runs an engine until the process is told to end.
pub async fn run(options: EngineOptions) -> Result<(), StandinError> {
    EngineServer::bind(options)?.run().await
}
