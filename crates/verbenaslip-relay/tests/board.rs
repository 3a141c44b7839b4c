//! State that the control thread and the traffic thread share.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::index::Index;
use verbenaslip_fleet::route_table::RouteTable;
use verbenaslip_relay::shared::SharedState;

fn view_with_routes() -> View {
    View { routes: Some(Arc::new(Index::new(Arc::new(RouteTable::default())))), ..View::default() }
}

#[tokio::test]
async fn waiting_for_routes_ends_when_a_table_arrives() {
    let shared = Arc::new(SharedState::default());
    let waiter = tokio::spawn({
        let shared = shared.clone();
        async move { shared.wait_for_routes().await }
    });
    tokio::task::yield_now().await;
    shared.set_view(View::default());
    tokio::task::yield_now().await;
    assert!(!waiter.is_finished(), "a view without a route table must not end the wait");
    shared.set_view(view_with_routes());
    let result = tokio::time::timeout(Duration::from_secs(60), waiter).await;
    assert!(result.is_ok_and(|joined| joined.is_ok()));
}

#[tokio::test]
async fn waiting_for_routes_returns_at_once_if_a_table_is_known() {
    let shared = SharedState::default();
    shared.set_view(view_with_routes());
    shared.wait_for_routes().await;
}
