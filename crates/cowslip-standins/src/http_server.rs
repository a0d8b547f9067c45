//! Serves HTTP/1.1 on a thread with a current-thread runtime.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread::Builder;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::runtime::Builder as RuntimeBuilder;
use tokio::sync::oneshot;

use crate::RunningServer;
use crate::http_reply::Reply;

/// Delay before the next attempt after `accept` failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Handles the requests of one server; cloned for each connection.
pub(crate) trait RequestHandler: Clone + Send + 'static {
    /// Handles one request; an error closes the connection without a response.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// Listens on `addr` and serves with the handler that `make` returns. `make` runs inside the server's
/// runtime, so it can spawn tasks.
pub(crate) fn start_server<H, F>(name: &str, addr: SocketAddr, make: F) -> io::Result<RunningServer>
where
    H: RequestHandler,
    F: FnOnce() -> H + Send + 'static,
{
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let runtime = RuntimeBuilder::new_current_thread().enable_all().build()?;
    let (stop, stopped) = oneshot::channel();
    let thread = Builder::new().name(name.to_owned()).spawn(move || {
        runtime.block_on(async move {
            tokio::select! {
                _ = stopped => {}
                () = accept_all(listener, make) => {}
            }
        });
    })?;
    Ok(RunningServer::new(addr, stop, thread))
}

async fn accept_all<H, F>(listener: TcpListener, make: F)
where
    H: RequestHandler,
    F: FnOnce() -> H,
{
    let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
        return;
    };
    let handler = make();
    loop {
        // Either the connection closed before it was accepted, or the process is out of file descriptors,
        // which are freed as other connections close.
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // With Nagle's algorithm, small responses would wait for acknowledgements. Fails only on a closed
        // connection.
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { handler.handle(request).await }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            // Closed connections and deliberately aborted responses both end here; the client sees them as
            // errors.
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
