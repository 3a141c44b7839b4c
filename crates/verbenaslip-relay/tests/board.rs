//! State that the control thread and the traffic thread share.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::index::Index;
use verbenaslip_fleet::route_table::RouteTable;
use verbenaslip_relay::shared::SharedState;

fn with_routes() -> View {
    View { routes: Some(Arc::new(Index::new(Arc::new(RouteTable::default())))), ..View::default() }
}

#[tokio::test]
async fn who_waits_for_a_route_table_goes_on_as_soon_as_there_is_one() {
    let board = Arc::new(SharedState::default());
    let waits = tokio::spawn({
        let board = board.clone();
        async move { board.wait_for_routes().await }
    });
    tokio::task::yield_now().await;
    board.set_view(View::default());
    tokio::task::yield_now().await;
    assert!(!waits.is_finished(), "a view without a route table must not end the wait");
    board.set_view(with_routes());
    let ended = tokio::time::timeout(Duration::from_secs(60), waits).await;
    assert!(ended.is_ok_and(|joined| joined.is_ok()));
}

#[tokio::test]
async fn who_finds_a_route_table_does_not_wait() {
    let board = SharedState::default();
    board.set_view(with_routes());
    board.wait_for_routes().await;
}
