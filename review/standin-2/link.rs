//! A link from one machine to one server, which can be cut: connections are then refused, and open ones end.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16_384];
    while let Ok(read) = from.read(&mut buffer) {
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

impl Link {
    pub fn open(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let link = Self {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let shared = link.clone();
        std::thread::spawn(move || shared.run(listener, server));
        Ok(link)
    }

    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn run(&self, first: TcpListener, server: SocketAddr) {
        let mut listener = Some(first);
        loop {
            if self.is_cut.load(Ordering::Relaxed) {
                listener = None;
                for stream in self.open.lock().expect("the link").drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                std::thread::sleep(Duration::from_millis(2));
                continue;
            }
            let Some(current) = &listener else {
                listener = TcpListener::bind(self.address).ok();
                continue;
            };
            let _ = current.set_nonblocking(true);
            let Ok((client, _)) = current.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = client.set_nonblocking(false);
            let Ok(server) = TcpStream::connect_timeout(&server, Duration::from_secs(1)) else {
                continue;
            };
            let pair = (client.try_clone(), server.try_clone(), client.try_clone());
            let (Ok(client_end), Ok(server_end), Ok(kept)) = pair else {
                continue;
            };
            let _ = (client.set_nodelay(true), server.set_nodelay(true));
            let mut open = self.open.lock().expect("the link");
            if open.len() > 512 {
                open.drain(..256);
            }
            open.push(kept);
            drop(open);
            std::thread::spawn(move || copy(client, server));
            std::thread::spawn(move || copy(server_end, client_end));
        }
    }
}
