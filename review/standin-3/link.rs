//! A link between an entry and the store that can be cut. Connections that are open or are opened while it is cut stay
//! silent for good; new ones work when it has healed.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Whether a connection has been open while the link was cut.
type Silent = Arc<AtomicBool>;

pub struct Link {
    pub address: SocketAddr,
    is_cut: AtomicBool,
    open: Mutex<Vec<Silent>>,
    last_opened: Mutex<Instant>,
}

impl Link {
    pub fn start(target: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port for the link");
        let link = Arc::new(Self {
            address: listener.local_addr().expect("an address"),
            is_cut: AtomicBool::new(false),
            open: Mutex::default(),
            last_opened: Mutex::new(Instant::now()),
        });
        let served = Arc::clone(&link);
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let silent: Silent = Arc::default();
                {
                    let mut open = served.open.lock().expect("the connections");
                    open.retain(|known| Arc::strong_count(known) > 1);
                    open.push(Arc::clone(&silent));
                    silent.store(served.is_cut.load(Ordering::SeqCst), Ordering::SeqCst);
                }
                *served.last_opened.lock().expect("the time") = Instant::now();
                let (near_again, far_again) = (near.try_clone(), far.try_clone());
                if let (Ok(near_again), Ok(far_again)) = (near_again, far_again) {
                    let other = Arc::clone(&silent);
                    std::thread::spawn(move || pass(near, far, &silent));
                    std::thread::spawn(move || pass(far_again, near_again, &other));
                }
            }
        });
        link
    }

    pub fn cut(&self) {
        let open = self.open.lock().expect("the connections");
        self.is_cut.store(true, Ordering::SeqCst);
        for silent in open.iter() {
            silent.store(true, Ordering::SeqCst);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// When a connection was opened last.
    pub fn last_opened(&self) -> Instant {
        *self.last_opened.lock().expect("the time")
    }
}

/// Passes bytes on, or nothing, not even the end, on a silent connection.
fn pass(mut from: TcpStream, mut to: TcpStream, silent: &AtomicBool) {
    let mut buffer = [0; 16384];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        let is_silent = silent.load(Ordering::SeqCst);
        if count == 0 {
            if !is_silent {
                let _ = to.shutdown(Shutdown::Write);
            }
            return;
        }
        if !is_silent && to.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}
