//! Link that can be cut: connections through it end, and new ones are refused.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    target: SocketAddr,
    open: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Link {
    /// Starts a link to an address.
    pub fn to(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let link = Self {
            addr,
            target,
            open: Arc::new(AtomicBool::new(true)),
            streams: Arc::default(),
        };
        link.serve(listener);
        link
    }

    fn serve(&self, listener: TcpListener) {
        drop(listener.set_nonblocking(true));
        let link = self.clone();
        thread::spawn(move || {
            while link.open.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((caller, _)) => link.connect(caller),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn connect(&self, caller: TcpStream) {
        drop(caller.set_nonblocking(false));
        let Ok(server) = TcpStream::connect(self.target) else {
            return;
        };
        for stream in [&caller, &server] {
            drop(stream.set_nodelay(true));
            self.streams.lock().unwrap().extend(stream.try_clone());
        }
        if let (Ok(to_server), Ok(to_caller)) = (server.try_clone(), caller.try_clone()) {
            thread::spawn(move || copy(caller, to_server));
            thread::spawn(move || copy(server, to_caller));
        }
    }

    /// Refuses new connections.
    pub fn refuse(&self) {
        self.open.store(false, Ordering::SeqCst);
    }

    /// Ends all connections.
    pub fn end_connections(&self) {
        for stream in self.streams.lock().unwrap().drain(..) {
            drop(stream.shutdown(Shutdown::Both));
        }
    }

    /// Lets connections pass again.
    pub fn heal(&self) {
        let listener = TcpListener::bind(self.addr).expect("the address of the link");
        self.open.store(true, Ordering::SeqCst);
        self.serve(listener);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buf = [0; 16 << 10];
    while let Ok(len @ 1..) = from.read(&mut buf) {
        if to.write_all(&buf[..len]).is_err() {
            break;
        }
    }
    drop(to.shutdown(Shutdown::Both));
    drop(from.shutdown(Shutdown::Both));
}
