//! Gives the cloud its orders.

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

/// How long the cloud may take to accept a connection, and to answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The longest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Holds a call to the cloud.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Post {
    /// The path.
    pub path: String,
    /// The header fields beside the usual ones.
    pub fields: Vec<(String, String)>,
    /// The body, in JSON.
    pub body: Vec<u8>,
}

/// Knows the cloud's calls and their formats; decides nothing.
pub trait Codec: Send + Sync {
    /// Writes an order of the holder of the duty.
    fn encode_order(&self, holder: &Instance, order: &Order) -> Post;

    /// Reads the answer's status.
    fn outcome(&self, status: u16) -> Outcome;
}

/// Tells what became of an order.
#[derive(Clone, Copy, Debug)]
pub struct OrderResult {
    /// The order.
    pub id: u64,
    /// What became of it.
    pub outcome: Outcome,
}

/// Calls the cloud.
pub struct Cloud {
    /// Where it is reached.
    pub address: SocketAddr,
    /// The name of this instance.
    pub holder: Instance,
    /// Its formats.
    pub codec: Arc<dyn Codec>,
    /// Takes what became of orders.
    pub results: UnboundedSender<OrderResult>,
}

impl Cloud {
    /// Gives an order, without waiting for it.
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
            // The control thread is gone only when the process ends.
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
        // The process may have been frozen since the order was made, and another instance may hold
        // the duty by now. The cloud does not check, so the lease is looked at last of all.
        if monotonic::now() >= order.valid_until {
            return None;
        }
        connection.send(&bytes).await.ok()?;
        let answer = tokio::time::timeout(TIMEOUT, read_status(&mut connection)).await;
        answer.ok().flatten()
    }
}

async fn read_status(connection: &mut Connection) -> Option<u16> {
    loop {
        if let Some(end) = connection.head_length() {
            return ResponseHead::parse(&connection.buffer[..end]).ok().map(|head| head.status);
        }
        if connection.buffer.len() > MAX_HEAD_BYTES
            || !matches!(connection.fill().await, Ok(count) if count > 0)
        {
            return None;
        }
    }
}
