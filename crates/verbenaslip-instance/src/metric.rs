//! Metrics in the text format of Prometheus.

use std::net::SocketAddr;
use std::time::Duration;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net::TcpStream;
use verbenaslip_relay::http::Connection;
use verbenaslip_relay::socket;

/// Bucket bounds of latency histograms, in seconds; the latency objectives of both users are among them.
const LATENCY_BUCKETS: [f64; 13] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.2, 2.0, 4.0, 8.0, 15.0];

/// Time between two aggregations of recorded histogram samples; without them, the samples of a histogram that
/// nobody reads would pile up without limit. Also limits the wait for more bytes of a request.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Starts to record metrics, and serves them if there is an address.
///
/// # Errors
///
/// Returns why the metrics can't be recorded or served.
pub fn start(address: Option<SocketAddr>) -> Result<(), String> {
    let builder = PrometheusBuilder::new()
        .set_buckets(&LATENCY_BUCKETS)
        .map_err(|error| error.to_string())?;
    let handle = builder.install_recorder().map_err(|error| error.to_string())?;
    let upkeep = handle.clone();
    tokio::task::spawn_local(async move {
        loop {
            tokio::time::sleep(UPKEEP_INTERVAL).await;
            upkeep.run_upkeep();
        }
    });
    let Some(address) = address else { return Ok(()) };
    let listener = socket::listen(address).map_err(|error| format!("{address}: {error}"))?;
    tokio::task::spawn_local(async move {
        loop {
            let stream = socket::accept(&listener).await;
            tokio::task::spawn_local(serve(stream, handle.clone()));
        }
    });
    Ok(())
}

/// Records the number of figures of upstreams that an instance holds and the age of the oldest;
/// records nothing until there are figures.
pub(crate) fn record_figures(count: usize, oldest_age: Option<Duration>, had_figures: &mut bool) {
    *had_figures |= count > 0;
    if *had_figures {
        metrics::gauge!("verbenaslip_upstream_figures").set(count as f64);
        metrics::gauge!("verbenaslip_upstream_figure_age_seconds")
            .set(oldest_age.unwrap_or_default().as_secs_f64());
    }
}

async fn serve(stream: TcpStream, handle: PrometheusHandle) {
    let mut connection = Connection::new(stream);
    while connection.head_length().is_none() {
        let filled = tokio::time::timeout(UPKEEP_INTERVAL, connection.fill()).await;
        if !matches!(filled, Ok(Ok(count)) if count > 0) || connection.buffer.len() > 8 << 10 {
            return;
        }
    }
    let text = handle.render();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        text.len()
    );
    // The client may have closed the connection.
    let _ = connection.send(&[head.as_bytes(), text.as_bytes()].concat()).await;
    connection.shutdown().await;
}
