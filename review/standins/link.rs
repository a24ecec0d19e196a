//! Link between zones that can be cut.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

unsafe extern "C" {
    /// Changes the length of the queue of a listening socket.
    safe fn listen(socket: i32, backlog: i32) -> i32;
}

/// Length of the queue of new connections while the link is open.
const BACKLOG: i32 = 128;

/// Proxy that forwards connections to one daemon. While it is cut, it delivers nothing, and new
/// connections hang: the queue of the listener is full.
pub struct Link {
    is_cut: Mutex<bool>,
    /// Counts how often the open connections went silent.
    silences: AtomicU32,
    changed: Condvar,
    address: SocketAddr,
    socket: i32,
    fillers: Mutex<Vec<TcpStream>>,
}

impl Link {
    /// Starts a proxy.
    pub fn start(address: SocketAddr, target: SocketAddr) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let link = Arc::new(Self {
            is_cut: Mutex::new(false),
            silences: AtomicU32::new(0),
            changed: Condvar::new(),
            address,
            socket: listener.as_raw_fd(),
            fillers: Mutex::default(),
        });
        let server = Arc::clone(&link);
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                server.wait_until_open();
                let Ok(target) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = (stream.set_nodelay(true), target.set_nodelay(true));
                server.forward_both(stream, target);
            }
        });
        Ok(link)
    }

    /// Cuts the link.
    pub fn cut(&self) {
        *self.is_cut.lock().unwrap() = true;
        listen(self.socket, 0);
        // The first connection is accepted and waits; the next ones fill the queue.
        for _ in 0..4 {
            let filler = TcpStream::connect_timeout(&self.address, Duration::from_millis(30));
            self.fillers.lock().unwrap().extend(filler);
        }
    }

    /// Ends the cut. Bytes that were held up are delivered, unless their sender has reset the
    /// connection.
    pub fn heal(&self) {
        listen(self.socket, BACKLOG);
        self.fillers.lock().unwrap().clear();
        *self.is_cut.lock().unwrap() = false;
        self.changed.notify_all();
    }

    /// Delivers nothing any more on the connections that are open. New ones work.
    pub fn silence(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    fn wait_until_open(&self) {
        let is_cut = self.is_cut.lock().unwrap();
        drop(self.changed.wait_while(is_cut, |is_cut| *is_cut).unwrap());
    }

    fn forward_both(self: &Arc<Self>, stream: TcpStream, target: TcpStream) {
        let ends = [(&stream, &target), (&target, &stream)];
        for (from, to) in ends {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let link = Arc::clone(self);
            thread::spawn(move || link.forward(from, to));
        }
    }

    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 65_536];
        let silences = self.silences.load(Ordering::SeqCst);
        loop {
            let read = from.read(&mut buffer);
            if self.silences.load(Ordering::SeqCst) != silences {
                // Nothing is read any more, and the other side does not see an end.
                std::mem::forget(to);
                return;
            }
            // Also the end of a connection is not seen on the other side of a cut.
            self.wait_until_open();
            let has_reset = matches!(from.take_error(), Ok(Some(_)));
            let is_delivered = match read {
                Ok(count) if count > 0 && !has_reset => to.write_all(&buffer[..count]).is_ok(),
                _ => false,
            };
            if !is_delivered {
                let _ = to.shutdown(std::net::Shutdown::Both);
                let _ = from.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}
