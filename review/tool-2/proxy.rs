//! A TCP proxy on loopback that can fall silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time after which a pump looks again whether its connection has fallen silent.
const POLL: Duration = Duration::from_millis(5);

/// A connection through the proxy.
struct Link {
    is_silent: AtomicBool,
    is_open: AtomicBool,
}

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    links: Arc<Mutex<Vec<Arc<Link>>>>,
    /// Whether new connections are silent too.
    is_cut: Arc<AtomicBool>,
    opened: Arc<AtomicUsize>,
}

impl Proxy {
    /// Starts a proxy in front of an address.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            links: Arc::default(),
            is_cut: Arc::default(),
            opened: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                accepting.connect(client, target);
            }
        });
        Ok(proxy)
    }

    /// Forwards nothing any more on the connections that are open now; new ones work.
    /// Returns how many there are.
    pub fn silence_open(&self) -> usize {
        let mut links = self.links.lock().unwrap();
        links.retain(|link| link.is_open.load(Ordering::SeqCst));
        links
            .iter()
            .for_each(|link| link.is_silent.store(true, Ordering::SeqCst));
        links.len()
    }

    /// Forwards nothing any more, on open and on new connections.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        self.silence_open();
    }

    fn connect(&self, client: TcpStream, target: SocketAddr) {
        self.opened.fetch_add(1, Ordering::SeqCst);
        let is_silent = self.is_cut.load(Ordering::SeqCst);
        let link = Arc::new(Link {
            is_silent: is_silent.into(),
            is_open: true.into(),
        });
        self.links.lock().unwrap().push(link.clone());
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        for (from, to) in [(&client, &server), (&server, &client)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let link = link.clone();
            thread::spawn(move || pump(from, to, &link));
        }
    }
}

/// Copies bytes until an end closes the connection; a silent one is kept open.
fn pump(mut from: TcpStream, mut to: TcpStream, link: &Link) {
    let _ = (
        from.set_nodelay(true),
        to.set_nodelay(true),
        from.set_read_timeout(Some(POLL)),
    );
    let mut buf = [0; 16 * 1024];
    loop {
        if link.is_silent.load(Ordering::SeqCst) {
            thread::park();
        }
        let read = match from.read(&mut buf) {
            Ok(0) => break,
            Ok(read) => read,
            Err(err)
                if matches!(
                    err.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        if !link.is_silent.load(Ordering::SeqCst) && to.write_all(&buf[..read]).is_err() {
            break;
        }
    }
    link.is_open.store(false, Ordering::SeqCst);
    let _ = to.shutdown(std::net::Shutdown::Both);
}
