//! Sends orders to the cloud.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc::UnboundedSender;
use verbenaslip_base::name::Instance;
use verbenaslip_fleet::order::{Order, Outcome};
use verbenaslip_relay::event_log;
use verbenaslip_relay::http::{Connection, ResponseHead};
use verbenaslip_relay::{monotonic, socket};

use crate::event;

/// Time limit for the connection to the cloud, and again for its answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the head of an answer, with the interim answers before it.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// HTTP POST request to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Post {
    /// Path of the request.
    pub path: String,
    /// Header fields in addition to the usual ones.
    pub fields: Vec<(String, String)>,
    /// Body in JSON.
    pub body: Vec<u8>,
}

/// Adapter that knows the paths and formats of the cloud; it makes no decisions.
pub trait Codec: Send + Sync {
    /// Encodes an order that is sent by the instance `holder`.
    fn encode_order(&self, holder: &Instance, order: &Order) -> Post;

    /// Returns the outcome that a status of the answer stands for.
    fn outcome(&self, status: u16) -> Outcome;
}

/// Result of an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderResult {
    /// Number of the order.
    pub id: u64,
    /// Outcome of the order.
    pub outcome: Outcome,
}

/// Client of the cloud.
pub struct Cloud {
    /// Address of the cloud.
    pub address: SocketAddr,
    /// Name of this instance.
    pub holder: Instance,
    /// Adapter for the formats of the cloud.
    pub codec: Arc<dyn Codec>,
    /// Receives the results of orders.
    pub results: UnboundedSender<OrderResult>,
}

impl Cloud {
    /// Sends an order in a task of its own; the result is sent to `results`.
    pub fn send_order(self: &Rc<Self>, order: Order) {
        let cloud = self.clone();
        tokio::task::spawn_local(async move {
            let status = cloud.post(&order).await;
            let outcome = status.map_or(Outcome::Unknown, |status| cloud.codec.outcome(status));
            event_log::emit(
                event::CLOUD_ORDERED,
                [
                    ("order", json!(order.id)),
                    ("fence", json!(order.fence)),
                    ("task", json!(format!("{:?}", order.task))),
                    ("status", json!(status)),
                ],
            );
            // The receiver is closed only when the process ends.
            let _ = cloud.results.send(OrderResult { id: order.id, outcome });
        });
    }

    async fn post(&self, order: &Order) -> Option<u16> {
        let post = self.codec.encode_order(&self.holder, order);
        let stream = socket::connect(self.address, TIMEOUT).await.ok()?;
        let mut connection = Connection::new(stream);
        let mut head = format!("POST {} HTTP/1.1\r\nHost: {}\r\n", post.path, self.address);
        for (name, value) in &post.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("Content-Type: application/json\r\nConnection: close\r\n");
        head.push_str(&format!("Content-Length: {}\r\n\r\n", post.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&post.body);
        // The process may have been paused since the order was made, and another instance may be the leader by now.
        // The cloud does not check that, so the lease is checked as late as possible.
        if monotonic::now() >= order.valid_until {
            return None;
        }
        connection.send(&bytes).await.ok()?;
        let answer = tokio::time::timeout(TIMEOUT, read_status(&mut connection)).await;
        answer.ok().flatten()
    }
}

async fn read_status(connection: &mut Connection) -> Option<u16> {
    let mut interim_bytes = 0;
    loop {
        if let Some(end) = connection.head_length() {
            let head = connection.buffer.split_to(end);
            let status = ResponseHead::parse(&head).ok()?.status;
            if status >= 200 {
                return Some(status);
            }
            interim_bytes += end;
        } else if interim_bytes + connection.buffer.len() > MAX_HEAD_BYTES
            || !matches!(connection.fill().await, Ok(count) if count > 0)
        {
            return None;
        }
    }
}
